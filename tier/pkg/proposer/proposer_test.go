package proposer

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"google.golang.org/protobuf/proto"

	"plantaincleat/tier/gen/config"
	"plantaincleat/tier/pkg/configreader"
	"plantaincleat/tier/pkg/storer"
)

// TestMain fixes the seed of rapid, so that each run draws the same cases.
func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// instantClock is a clock whose After fires at once.
type instantClock struct {
	clockwork.Clock
}

func (instantClock) After(time.Duration) <-chan time.Time {
	c := make(chan time.Time, 1)
	c <- time.Time{}
	return c
}

// hookedStore is a Memory that calls before ahead of each call, with the kind of
// the call: read, part or head.
type hookedStore struct {
	*storer.Memory
	before func(step string)
	// stalePages holds, by prefix, pages that one Read returns in place of the
	// current ones.
	stalePages map[string]storer.Page
}

func (h *hookedStore) runHook(step string) {
	if h.before != nil {
		h.before(step)
	}
}

func (h *hookedStore) Read(ctx context.Context, prefix string) (storer.Page, error) {
	h.runHook("read")
	if page, found := h.stalePages[prefix]; found {
		delete(h.stalePages, prefix)
		return page, nil
	}
	return h.Memory.Read(ctx, prefix)
}

func (h *hookedStore) Get(ctx context.Context, key string) (storer.Item, bool, error) {
	h.runHook("read")
	return h.Memory.Get(ctx, key)
}

func (h *hookedStore) Commit(ctx context.Context, txn storer.Txn) (storer.Result, error) {
	step := "part"
	if txn.Writes[0].Key == configreader.HeadKey {
		step = "head"
	}
	h.runHook(step)
	return h.Memory.Commit(ctx, txn)
}

func newProposer(store storer.Store) *Proposer {
	return &Proposer{
		Store: store,
		Clock: instantClock{Clock: clockwork.NewFakeClock()},
	}
}

// newChange returns a valid change. cell makes its content distinct.
func newChange(id string, cell uint32) Change {
	return Change{
		ID:     id,
		Author: "author of " + id,
		Reason: "reason of " + id,
		Config: &config.Config{Policy: &config.Policy{Cell: cell}},
	}
}

func mustPropose(t *testing.T, store storer.Store, c Change) *config.Head {
	t.Helper()
	head, err := newProposer(store).Propose(context.Background(), c)
	if err != nil {
		t.Fatal(err)
	}
	return head
}

// historyIDs returns the concatenated IDs of the accepted changes, oldest first.
func historyIDs(t *testing.T, store storer.Store) string {
	t.Helper()
	heads, _, err := configreader.ReadHistory(context.Background(), store)
	if err != nil {
		t.Fatal(err)
	}
	ids := ""
	for _, h := range heads {
		ids = h.Change + ids
	}
	return ids
}

func TestPropose(t *testing.T) {
	store := &storer.Memory{}
	if _, err := configreader.Read(context.Background(), store); !errors.Is(err, configreader.ErrNoConfig) {
		t.Errorf("Read of an empty store: %v, want ErrNoConfig", err)
	}
	mustPropose(t, store, newChange("a", 1))
	head := mustPropose(t, store, newChange("b", 2))
	if head.Revision != 2 || head.Author != "author of b" {
		t.Errorf("head = %v", head)
	}
	got, err := configreader.Read(context.Background(), store)
	if err != nil {
		t.Fatal(err)
	}
	if !proto.Equal(got.Head, head) || got.Config.Policy.Cell != 2 {
		t.Errorf("read = %v", got)
	}
	state, err := configreader.ReadState(context.Background(), store)
	if err != nil || len(state.PartDigests) != 2 {
		t.Errorf("stored parts = %v, %v; want two, the policy and the empty part", state.PartDigests, err)
	}
	if again := mustPropose(t, store, newChange("a", 1)); again.Revision != 1 {
		t.Errorf("change proposed again got revision %d, want 1", again.Revision)
	}
	if got := historyIDs(t, store); got != "ab" {
		t.Errorf("history = %s", got)
	}
}

func TestHistoryLimit(t *testing.T) {
	store := &storer.Memory{}
	c := newChange("a", 1)
	c.RevisionAbove = HistoryLimit - 1
	mustPropose(t, store, c)
	for i := range HistoryLimit + 1 {
		mustPropose(t, store, newChange(fmt.Sprint(i), 1))
	}
	heads, _, err := configreader.ReadHistory(context.Background(), store)
	if err != nil || len(heads) != HistoryLimit {
		t.Errorf("history has %d entries, %v; want %d", len(heads), err, HistoryLimit)
	}
}

func TestProposeInvalid(t *testing.T) {
	store := &storer.Memory{}
	c := newChange("a", 1)
	c.Author = ""
	c.Reason = "two\nlines"
	c.Config.Policy.Hedge = 2
	_, err := newProposer(store).Propose(context.Background(), c)
	var invalid *InvalidError
	if !errors.As(err, &invalid) || len(invalid.Problems) != 3 {
		t.Fatalf("err = %v, want an InvalidError with 3 problems", err)
	}
	if n := store.Counts().Writes; n != 0 {
		t.Errorf("writes = %d", n)
	}
}

func TestProposeConflict(t *testing.T) {
	base := uint64(1)
	tests := []struct {
		name string
		base *uint64
		// step is the call ahead of which another operator's change is accepted.
		step string
	}{
		{
			name: "before the parts",
			step: "part",
		},
		{
			name: "before the compare-and-swap",
			step: "head",
		},
		{
			name: "before the first read, with an explicit base",
			base: &base,
			step: "read",
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			store := &hookedStore{Memory: &storer.Memory{}}
			mustPropose(t, store, newChange("a", 1))
			store.before = func(step string) {
				if step == test.step {
					store.before = nil
					mustPropose(t, store.Memory, newChange("b", 2))
				}
			}
			c := newChange("c", 3)
			c.BaseRevision = test.base
			_, err := newProposer(store).Propose(context.Background(), c)
			var lost *ConflictError
			if !errors.As(err, &lost) || lost.BaseRevision != 1 {
				t.Fatalf("err = %v, want a ConflictError for base revision 1", err)
			}
			for _, text := range []string{"revision 2", "change b", "author of b", "reason of b"} {
				if !strings.Contains(err.Error(), text) {
					t.Errorf("%q is not in %q", text, err)
				}
			}
			if got := historyIDs(t, store); got != "ab" {
				t.Errorf("history = %s", got)
			}
		})
	}
}

func TestProposeAnswerLost(t *testing.T) {
	tests := []struct {
		name string
		// fault is injected before the compare-and-swap.
		fault func(m *storer.Memory)
		// next runs before the call that follows the compare-and-swap.
		next func(m *storer.Memory)
		want string
	}{
		{
			name:  "in force",
			fault: func(m *storer.Memory) { m.LoseAnswers(1) },
			want:  "ac",
		},
		{
			name:  "in force and then replaced",
			fault: func(m *storer.Memory) { m.LoseAnswers(1) },
			next:  func(m *storer.Memory) { mustPropose(t, m, newChange("b", 2)) },
			want:  "acb",
		},
		{
			name:  "not in force yet",
			fault: func(m *storer.Memory) { m.DelayWrites(1) },
			want:  "ac",
		},
		{
			name:  "applied before the outcome is read back",
			fault: func(m *storer.Memory) { m.DelayWrites(1) },
			next:  func(m *storer.Memory) { m.ApplyDelayed() },
			want:  "ac",
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			store := &hookedStore{Memory: &storer.Memory{}}
			mustPropose(t, store, newChange("a", 1))
			store.before = func(step string) {
				if step != "head" {
					return
				}
				test.fault(store.Memory)
				store.before = func(string) {
					store.before = nil
					if test.next != nil {
						test.next(store.Memory)
					}
				}
			}
			head := mustPropose(t, store, newChange("c", 3))
			store.ApplyDelayed()
			if head.Change != "c" || head.Revision != 2 {
				t.Errorf("head = %v", head)
			}
			if got := historyIDs(t, store); got != test.want {
				t.Errorf("history = %s, want %s", got, test.want)
			}
		})
	}
}

func TestProposeIgnoresStaleHistory(t *testing.T) {
	store := &hookedStore{Memory: &storer.Memory{}}
	mustPropose(t, store, newChange("a", 1))
	page, err := store.Read(context.Background(), configreader.HistoryPrefix)
	if err != nil {
		t.Fatal(err)
	}
	store.before = func(step string) {
		if step == "head" {
			store.before = nil
			store.LoseAnswers(1)
			store.stalePages = map[string]storer.Page{configreader.HistoryPrefix: page}
		}
	}
	if head := mustPropose(t, store, newChange("c", 3)); head.Revision != 2 {
		t.Errorf("head = %v", head)
	}
}

func TestProposeDelayedWriteConflict(t *testing.T) {
	store := &hookedStore{Memory: &storer.Memory{}}
	store.before = func(step string) {
		if step != "head" {
			return
		}
		store.DelayWrites(1)
		store.before = func(string) {
			store.before = nil
			mustPropose(t, store.Memory, newChange("b", 2))
		}
	}
	_, err := newProposer(store).Propose(context.Background(), newChange("c", 3))
	var lost *ConflictError
	if !errors.As(err, &lost) || lost.Winner.Change != "b" {
		t.Fatalf("err = %v, want a ConflictError with change b as the winner", err)
	}
	if n := store.ApplyDelayed(); n != 0 {
		t.Errorf("%d delayed writes took effect, want none", n)
	}
}

func TestProposeUnknownOutcome(t *testing.T) {
	store := &hookedStore{Memory: &storer.Memory{}}
	ctx, cancel := context.WithCancel(context.Background())
	store.before = func(step string) {
		if step != "head" {
			return
		}
		store.LoseAnswers(1)
		store.before = func(string) {
			store.SetUnavailable(true)
			cancel()
		}
	}
	_, err := newProposer(store).Propose(ctx, newChange("a", 1))
	var undecided *UnknownOutcomeError
	if !errors.As(err, &undecided) || !errors.Is(err, storer.ErrUnknownOutcome) || undecided.Revision != 1 {
		t.Fatalf("err = %v, want an UnknownOutcomeError for revision 1", err)
	}
	store.before = nil
	store.SetUnavailable(false)
	mustPropose(t, store, newChange("b", 2))
	if head := mustPropose(t, store, newChange("a", 1)); head.Revision != 1 {
		t.Errorf("change proposed again: head = %v, want revision 1", head)
	}
	if got := historyIDs(t, store); got != "ab" {
		t.Errorf("history = %s", got)
	}
}

func TestProposeStoreUnavailable(t *testing.T) {
	for _, step := range []string{"read", "part", "head"} {
		t.Run(step, func(t *testing.T) {
			store := &hookedStore{Memory: &storer.Memory{}}
			store.before = func(s string) { store.SetUnavailable(s == step) }
			_, err := newProposer(store).Propose(context.Background(), newChange("a", 1))
			if !errors.Is(err, storer.ErrUnavailable) {
				t.Fatalf("err = %v, want ErrUnavailable", err)
			}
			store.before = nil
			store.SetUnavailable(false)
			if got := historyIDs(t, store); got != "" {
				t.Errorf("history = %s", got)
			}
		})
	}
}
