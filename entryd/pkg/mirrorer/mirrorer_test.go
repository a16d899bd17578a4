package mirrorer

import (
	"context"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"plantaincleat/tier/gen/config"
	"plantaincleat/tier/pkg/storer"
)

// translate makes a target of each key under t/ if there is a configuration.
func translate(items map[string]storer.Item) (*config.Config, error) {
	if _, ok := items["c"]; !ok {
		return nil, nil
	}
	cfg := &config.Config{}
	for _, key := range slices.Sorted(maps.Keys(items)) {
		if key != "c" {
			cfg.Targets = append(cfg.Targets, &config.Target{Id: key + string(items[key].Value)})
		}
	}
	return cfg, nil
}

// progressive is a store whose watches tell their progress after each change.
type progressive struct {
	*storer.Memory
}

// Watch implements storer.Store.
func (p progressive) Watch(ctx context.Context, prefix string, after int64) <-chan storer.Event {
	out := make(chan storer.Event)
	go func() {
		defer close(out)
		for e := range p.Memory.Watch(ctx, prefix, after) {
			out <- e
			if e.Err == nil {
				out <- storer.Event{ProgressRevision: e.Item.ModRevision}
			}
		}
	}()
	return out
}

func put(t *testing.T, m *storer.Memory, key, value string) {
	t.Helper()
	if _, err := m.Commit(context.Background(), storer.Txn{Writes: []storer.Write{{Key: key, Value: []byte(value)}}}); err != nil {
		t.Fatal(err)
	}
}

func newMirror(m *storer.Memory, clock clockwork.Clock) *Mirror {
	return New(Options{
		Store:        progressive{Memory: m},
		Clock:        clock,
		Translate:    translate,
		Prefixes:     []string{"c", "t/"},
		MaxStaleness: time.Second,
	})
}

// TestContentAtARevision checks that two daemons which have followed the store by
// different ways hold the same content for the same revision.
func TestContentAtARevision(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	memory := &storer.Memory{}
	put(t, memory, "c", "")
	put(t, memory, "t/1", "a")
	clock := clockwork.NewFakeClock()
	watcher := newMirror(memory, clock)
	_, revision, err := watcher.Head(ctx)
	if err != nil {
		t.Fatal(err)
	}
	heads := watcher.Watch(ctx, revision)
	for i, change := range []string{"b", "c", "d"} {
		put(t, memory, "t/1", change)
		watched := <-heads
		lister := newMirror(memory, clock)
		listed, _, err := lister.Head(ctx)
		if err != nil {
			t.Fatal(err)
		}
		if string(listed.GetDigest()) != string(watched.GetDigest()) || listed.GetRevision() != watched.GetRevision() {
			t.Errorf("change %d: revision %d by a watch, %d by a list", i, watched.GetRevision(), listed.GetRevision())
		}
	}
}

func TestOtherKeysChangeNothing(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	memory := &storer.Memory{}
	put(t, memory, "c", "")
	m := newMirror(memory, clockwork.NewFakeClock())
	first, revision, err := m.Head(ctx)
	if err != nil {
		t.Fatal(err)
	}
	heads := m.Watch(ctx, revision)
	put(t, memory, "other", "x")
	put(t, memory, "t/1", "a")
	if next := <-heads; next.GetRevision() != first.GetRevision()+2 {
		t.Errorf("revision %d after %d", next.GetRevision(), first.GetRevision())
	}
}

// TestNothingIsTranslatedWithoutAChange checks that changes of other keys cost no
// translation of all items.
func TestNothingIsTranslatedWithoutAChange(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	memory := &storer.Memory{}
	put(t, memory, "c", "")
	m := newMirror(memory, clockwork.NewFakeClock())
	translations := 0
	m.Translate = func(items map[string]storer.Item) (*config.Config, error) {
		translations++
		return translate(items)
	}
	_, revision, err := m.Head(ctx)
	if err != nil {
		t.Fatal(err)
	}
	heads := m.Watch(ctx, revision)
	for range 5 {
		put(t, memory, "other", "x")
	}
	put(t, memory, "t/1", "a")
	<-heads
	if translations != 2 {
		t.Errorf("%d translations of two states", translations)
	}
}

// TestCallsWhileTheWatchIsFresh checks that a watch which has told its progress
// saves the calls of the checks.
func TestCallsWhileTheWatchIsFresh(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	memory := &storer.Memory{}
	put(t, memory, "c", "")
	clock := clockwork.NewFakeClock()
	m := newMirror(memory, clock)
	_, revision, err := m.Head(ctx)
	if err != nil {
		t.Fatal(err)
	}
	m.Watch(ctx, revision)
	before := memory.Counts().Reads
	for range 5 {
		if _, _, err := m.Head(ctx); err != nil {
			t.Fatal(err)
		}
	}
	if n := memory.Counts().Reads; n != before {
		t.Errorf("%d reads beside a fresh watch", n-before)
	}
	clock.Advance(2 * time.Second)
	if _, _, err := m.Head(ctx); err != nil {
		t.Fatal(err)
	}
	if memory.Counts().Reads == before {
		t.Error("no read though the watch is silent")
	}
}

func TestStaleListIsNotTaken(t *testing.T) {
	ctx := context.Background()
	memory := &storer.Memory{}
	put(t, memory, "c", "")
	memory.SetStale(true)
	put(t, memory, "t/1", "a")
	memory.SetStale(false)
	m := newMirror(memory, clockwork.NewFakeClock())
	newest, _, err := m.Head(ctx)
	if err != nil {
		t.Fatal(err)
	}
	m.mu.Lock()
	m.revision += 10
	m.mu.Unlock()
	if again, _, err := m.Head(ctx); err != nil || again.GetRevision() != newest.GetRevision() {
		t.Errorf("revision %d after %d, error %v", again.GetRevision(), newest.GetRevision(), err)
	}
}

func TestStoreAway(t *testing.T) {
	memory := &storer.Memory{}
	put(t, memory, "c", "")
	m := newMirror(memory, clockwork.NewFakeClock())
	if _, _, err := m.Head(context.Background()); err != nil {
		t.Fatal(err)
	}
	memory.SetUnavailable(true)
	if _, _, err := m.Head(context.Background()); err == nil {
		t.Error("no error")
	}
	if a, err := m.Read(context.Background()); err != nil || a == nil {
		t.Errorf("the copy is lost: %v", err)
	}
}
