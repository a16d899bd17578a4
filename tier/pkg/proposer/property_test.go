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

// TestOutcomesMatchHistory interleaves proposals with each other and with store
// faults. The outcome that Propose reported for each change must agree with the
// final history.
func TestOutcomesMatchHistory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := &hookedStore{Memory: &storer.Memory{}}
		outcomes := map[string]error{}
		// A change with an unknown outcome is proposed again only if reads are
		// linearizable: a stale read could miss that it was accepted.
		stale := rapid.Bool().Draw(t, "stale reads")
		unresolved := ""
		started, depth := 0, 0
		propose := func() {
			id := fmt.Sprintf("%c", 'a'+started)
			if unresolved != "" && !stale && rapid.Bool().Draw(t, "propose again") {
				id, unresolved = unresolved, ""
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
			_, outcomes[id] = newProposer(store).Propose(ctx, newChange(id, uint32(id[0])))
			store.before = before
			if errors.Is(outcomes[id], storer.ErrUnknownOutcome) {
				unresolved = id
			}
		}
		store.before = func(string) {
			if stale && rapid.IntRange(0, 3).Draw(t, "switch staleness") == 0 {
				store.SetStale(rapid.Bool().Draw(t, "stale"))
			}
			store.SetUnavailable(rapid.IntRange(0, 9).Draw(t, "outage") == 0)
			if rapid.IntRange(0, 3).Draw(t, "lose answer") == 0 {
				store.LoseAnswers(1)
			}
			if rapid.IntRange(0, 3).Draw(t, "delay write") == 0 {
				store.DelayWrites(1)
			}
			if rapid.IntRange(0, 3).Draw(t, "apply delayed") == 0 {
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
		checkOutcomes(t, store, outcomes)
	})
}

// checkOutcomes compares the outcomes that Propose reported with the history.
func checkOutcomes(t *rapid.T, store storer.Store, outcomes map[string]error) {
	heads, _, err := configreader.ReadHistory(context.Background(), store)
	if err != nil {
		t.Fatal(err)
	}
	accepted := map[string]int{}
	for i, h := range heads {
		accepted[h.Change]++
		if want := uint64(len(heads) - i); h.Revision != want {
			t.Fatalf("history entry %d has revision %d", want, h.Revision)
		}
	}
	for id, err := range outcomes {
		var undecided *UnknownOutcomeError
		var lost *ConflictError
		n := accepted[id]
		switch {
		case n > 1:
			t.Fatalf("change %s was accepted %d times", id, n)
		case err == nil && n == 0:
			t.Fatalf("change %s was reported as accepted but is not in the history", id)
		case errors.As(err, &lost) && n == 1:
			t.Fatalf("change %s was accepted but reported as replaced by another: %v", id, err)
		case errors.Is(err, storer.ErrUnavailable) && !errors.As(err, &undecided) && n == 1:
			t.Fatalf("change %s was accepted but reported as not accepted: %v", id, err)
		}
	}
	if len(heads) == 0 {
		return
	}
	got, err := configreader.Read(context.Background(), store)
	if err != nil || !proto.Equal(got.Head, heads[0]) {
		t.Fatalf("configuration in force = %v, %v; want %v", got, err, heads[0])
	}
}
