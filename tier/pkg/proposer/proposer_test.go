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

// TestMain fixes the seed, so that each run draws the same cases.
func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// instantClock lets waits end at once.
type instantClock struct {
	clockwork.Clock
}

func (instantClock) After(time.Duration) <-chan time.Time {
	c := make(chan time.Time, 1)
	c <- time.Time{}
	return c
}

// hooked calls a function before each call of a Memory.
type hooked struct {
	*storer.Memory
	before func(step string)
	// old holds pages that are returned once in place of the present ones.
	old map[string]storer.Page
}

func (h *hooked) call(step string) {
	if h.before != nil {
		h.before(step)
	}
}

func (h *hooked) Read(ctx context.Context, prefix string) (storer.Page, error) {
	h.call("read")
	if page, found := h.old[prefix]; found {
		delete(h.old, prefix)
		return page, nil
	}
	return h.Memory.Read(ctx, prefix)
}

func (h *hooked) Get(ctx context.Context, key string) (storer.Item, bool, error) {
	h.call("read")
	return h.Memory.Get(ctx, key)
}

func (h *hooked) Commit(ctx context.Context, txn storer.Txn) (storer.Result, error) {
	step := "part"
	if txn.Writes[0].Key == configreader.HeadKey {
		step = "head"
	}
	h.call(step)
	return h.Memory.Commit(ctx, txn)
}

func newProposer(store storer.Store) *Proposer {
	return &Proposer{
		Store: store,
		Clock: instantClock{Clock: clockwork.NewFakeClock()},
	}
}

// change returns a valid change whose content differs with cell.
func change(id string, cell uint32) Change {
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

// entries returns the ids of the accepted changes, the oldest first.
func entries(t *testing.T, store storer.Store) string {
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
		t.Errorf("before the first change: %v", err)
	}
	mustPropose(t, store, change("a", 1))
	head := mustPropose(t, store, change("b", 2))
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
	if err != nil || len(state.Parts) != 2 {
		t.Errorf("stored parts = %v, %v; want the policy and the empty part", state.Parts, err)
	}
	if again := mustPropose(t, store, change("a", 1)); again.Revision != 1 {
		t.Errorf("a change that was accepted before got revision %d", again.Revision)
	}
	if got := entries(t, store); got != "ab" {
		t.Errorf("history = %s", got)
	}
}

func TestHistoryIsBounded(t *testing.T) {
	store := &storer.Memory{}
	c := change("a", 1)
	c.RevisionAbove = HistoryLimit - 1
	mustPropose(t, store, c)
	for i := range HistoryLimit + 1 {
		mustPropose(t, store, change(fmt.Sprint(i), 1))
	}
	heads, _, err := configreader.ReadHistory(context.Background(), store)
	if err != nil || len(heads) != HistoryLimit {
		t.Errorf("entries = %d, %v; want %d", len(heads), err, HistoryLimit)
	}
}

func TestInvalid(t *testing.T) {
	store := &storer.Memory{}
	c := change("a", 1)
	c.Author = ""
	c.Reason = "two\nlines"
	c.Config.Policy.Hedge = 2
	_, err := newProposer(store).Propose(context.Background(), c)
	var invalid *InvalidError
	if !errors.As(err, &invalid) || len(invalid.Problems) != 3 {
		t.Fatalf("err = %v", err)
	}
	if n := store.Counts().Writes; n != 0 {
		t.Errorf("writes = %d", n)
	}
}

func TestRace(t *testing.T) {
	base := uint64(1)
	tests := []struct {
		name string
		base *uint64
		// step is the call before which the other operator's change goes.
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
			name: "before the start, on a stated base",
			base: &base,
			step: "read",
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			store := &hooked{Memory: &storer.Memory{}}
			mustPropose(t, store, change("a", 1))
			store.before = func(step string) {
				if step == test.step {
					store.before = nil
					mustPropose(t, store.Memory, change("b", 2))
				}
			}
			c := change("c", 3)
			c.BaseRevision = test.base
			_, err := newProposer(store).Propose(context.Background(), c)
			var lost *ConflictError
			if !errors.As(err, &lost) || lost.BaseRevision != 1 {
				t.Fatalf("err = %v", err)
			}
			for _, part := range []string{"revision 2", "change b", "author of b", "reason of b"} {
				if !strings.Contains(err.Error(), part) {
					t.Errorf("%q is not in %q", part, err)
				}
			}
			if got := entries(t, store); got != "ab" {
				t.Errorf("history = %s", got)
			}
		})
	}
}

func TestLostAnswer(t *testing.T) {
	tests := []struct {
		name string
		// fault is set before the compare-and-swap.
		fault func(m *storer.Memory)
		// next happens before the call after it.
		next func(m *storer.Memory)
		want string
	}{
		{
			name:  "in force",
			fault: func(m *storer.Memory) { m.LoseAnswers(1) },
			want:  "ac",
		},
		{
			name:  "in force and replaced since",
			fault: func(m *storer.Memory) { m.LoseAnswers(1) },
			next:  func(m *storer.Memory) { mustPropose(t, m, change("b", 2)) },
			want:  "acb",
		},
		{
			name:  "not in force yet",
			fault: func(m *storer.Memory) { m.DelayWrites(1) },
			want:  "ac",
		},
		{
			name:  "landed before the reading back",
			fault: func(m *storer.Memory) { m.DelayWrites(1) },
			next:  func(m *storer.Memory) { m.ApplyDelayed() },
			want:  "ac",
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			store := &hooked{Memory: &storer.Memory{}}
			mustPropose(t, store, change("a", 1))
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
			head := mustPropose(t, store, change("c", 3))
			store.ApplyDelayed()
			if head.Change != "c" || head.Revision != 2 {
				t.Errorf("head = %v", head)
			}
			if got := entries(t, store); got != test.want {
				t.Errorf("history = %s, want %s", got, test.want)
			}
		})
	}
}

func TestStaleHistoryIsNotBelieved(t *testing.T) {
	store := &hooked{Memory: &storer.Memory{}}
	mustPropose(t, store, change("a", 1))
	page, err := store.Read(context.Background(), configreader.HistoryPrefix)
	if err != nil {
		t.Fatal(err)
	}
	store.before = func(step string) {
		if step == "head" {
			store.before = nil
			store.LoseAnswers(1)
			store.old = map[string]storer.Page{configreader.HistoryPrefix: page}
		}
	}
	if head := mustPropose(t, store, change("c", 3)); head.Revision != 2 {
		t.Errorf("head = %v", head)
	}
}

func TestLateWriteLosesToAnother(t *testing.T) {
	store := &hooked{Memory: &storer.Memory{}}
	store.before = func(step string) {
		if step != "head" {
			return
		}
		store.DelayWrites(1)
		store.before = func(string) {
			store.before = nil
			mustPropose(t, store.Memory, change("b", 2))
		}
	}
	_, err := newProposer(store).Propose(context.Background(), change("c", 3))
	var lost *ConflictError
	if !errors.As(err, &lost) || lost.Winner.Change != "b" {
		t.Fatalf("err = %v", err)
	}
	if n := store.ApplyDelayed(); n != 0 {
		t.Errorf("%d late writes took effect", n)
	}
}

func TestUndecided(t *testing.T) {
	store := &hooked{Memory: &storer.Memory{}}
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
	_, err := newProposer(store).Propose(ctx, change("a", 1))
	var undecided *UnknownOutcomeError
	if !errors.As(err, &undecided) || !errors.Is(err, storer.ErrUnknownOutcome) || undecided.Revision != 1 {
		t.Fatalf("err = %v", err)
	}
	store.before = nil
	store.SetUnavailable(false)
	mustPropose(t, store, change("b", 2))
	if head := mustPropose(t, store, change("a", 1)); head.Revision != 1 {
		t.Errorf("proposed again: %v", head)
	}
	if got := entries(t, store); got != "ab" {
		t.Errorf("history = %s", got)
	}
}

func TestUnavailable(t *testing.T) {
	for _, step := range []string{"read", "part", "head"} {
		t.Run(step, func(t *testing.T) {
			store := &hooked{Memory: &storer.Memory{}}
			store.before = func(s string) { store.SetUnavailable(s == step) }
			_, err := newProposer(store).Propose(context.Background(), change("a", 1))
			if !errors.Is(err, storer.ErrUnavailable) {
				t.Fatalf("err = %v", err)
			}
			store.before = nil
			store.SetUnavailable(false)
			if got := entries(t, store); got != "" {
				t.Errorf("history = %s", got)
			}
		})
	}
}
