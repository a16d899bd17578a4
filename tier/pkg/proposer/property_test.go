package proposer

import (
	"context"
	"errors"
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"plantaincleat/tier/pkg/configreader"
	"plantaincleat/tier/pkg/storer"
)

// TestOutcomesMatchHistory interleaves proposals with each other and with
// faults of the store. What a proposer was told must hold for good.
func TestOutcomesMatchHistory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := &hooked{Memory: &storer.Memory{}}
		told := map[string]error{}
		// A change is proposed again only where reads are linearizable.
		stale := rapid.Bool().Draw(t, "stale reads")
		unsettled := ""
		started, depth := 0, 0
		propose := func() {
			id := fmt.Sprintf("%c", 'a'+started)
			if unsettled != "" && !stale && rapid.Bool().Draw(t, "again") {
				id, unsettled = unsettled, ""
			}
			started++
			depth++
			defer func() { depth-- }()
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			calls := 0
			before := store.before
			store.before = func(step string) {
				if calls++; calls > 40 {
					cancel()
				}
				before(step)
			}
			_, told[id] = newProposer(store).Propose(ctx, change(id, uint32(id[0])))
			store.before = before
			if errors.Is(told[id], storer.ErrUnknownOutcome) {
				unsettled = id
			}
		}
		store.before = func(string) {
			if stale && rapid.IntRange(0, 3).Draw(t, "switch") == 0 {
				store.SetStale(rapid.Bool().Draw(t, "stale"))
			}
			store.SetUnavailable(rapid.IntRange(0, 9).Draw(t, "outage") == 0)
			if rapid.IntRange(0, 3).Draw(t, "lost") == 0 {
				store.LoseAnswers(1)
			}
			if rapid.IntRange(0, 3).Draw(t, "late") == 0 {
				store.DelayWrites(1)
			}
			if rapid.IntRange(0, 3).Draw(t, "land") == 0 {
				store.ApplyDelayed()
			}
			if depth < 3 && started < 8 && rapid.IntRange(0, 4).Draw(t, "race") == 0 {
				propose()
			}
		}
		for started < 4 {
			propose()
		}
		store.before = nil
		store.SetUnavailable(false)
		store.SetStale(false)
		store.LoseAnswers(0)
		store.DelayWrites(0)
		store.ApplyDelayed()
		verify(t, store, told)
	})
}

// verify compares what the proposers were told with the history.
func verify(t *rapid.T, store storer.Store, told map[string]error) {
	heads, _, err := configreader.ReadHistory(context.Background(), store)
	if err != nil {
		t.Fatal(err)
	}
	accepted := map[string]int{}
	for i, h := range heads {
		accepted[h.Change]++
		if want := uint64(len(heads) - i); h.Revision != want {
			t.Fatalf("entry %d has revision %d", want, h.Revision)
		}
	}
	for id, err := range told {
		var undecided *UnknownOutcomeError
		var lost *ConflictError
		n := accepted[id]
		switch {
		case n > 1:
			t.Fatalf("change %s was accepted %d times", id, n)
		case err == nil && n == 0:
			t.Fatalf("change %s was reported as accepted", id)
		case errors.As(err, &lost) && n == 1:
			t.Fatalf("change %s was reported as lost: %v", id, err)
		case errors.Is(err, storer.ErrUnavailable) && !errors.As(err, &undecided) && n == 1:
			t.Fatalf("change %s was reported as not accepted: %v", id, err)
		}
	}
	if len(heads) == 0 {
		return
	}
	got, err := configreader.Read(context.Background(), store)
	if err != nil || !proto.Equal(got.Head, heads[0]) {
		t.Fatalf("in force = %v, %v; want %v", got, err, heads[0])
	}
}
