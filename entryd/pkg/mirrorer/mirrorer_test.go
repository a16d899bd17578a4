package mirrorer

import (
	"context"
	"errors"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"plantaincleat/entryd/pkg/adopter"
	"plantaincleat/tier/gen/config"
	"plantaincleat/tier/pkg/storer"
)

var errTranslation = errors.New("unreadable")

// translate returns a configuration with one target per item except "c", or nil
// if there is no item "c".
func translate(items map[string]storer.Item) (Translation, error) {
	if _, ok := items["c"]; !ok {
		return Translation{}, nil
	}
	cfg := &config.Config{}
	for _, key := range slices.Sorted(maps.Keys(items)) {
		if key != "c" {
			cfg.Targets = append(cfg.Targets, &config.Target{Id: key + string(items[key].Value)})
		}
	}
	return Translation{
		Config: cfg,
	}, nil
}

// progressStore is a store whose watches send a progress event after each change.
type progressStore struct {
	*storer.Memory
}

// Watch implements storer.Store.
func (p progressStore) Watch(ctx context.Context, prefix string, after int64) <-chan storer.Event {
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

// nextHead returns the next head of a watch with another revision than the one before.
func nextHead(observations <-chan adopter.Observation, before uint64) *config.Head {
	for o := range observations {
		if o.Head.GetRevision() != before {
			return o.Head
		}
	}
	return nil
}

func put(t *testing.T, m *storer.Memory, key, value string) {
	t.Helper()
	if _, err := m.Commit(context.Background(), storer.Txn{Writes: []storer.Write{{Key: key, Value: []byte(value)}}}); err != nil {
		t.Fatal(err)
	}
}

func newMirror(m *storer.Memory, clock clockwork.Clock) *Mirror {
	return New(Options{
		Store:        progressStore{Memory: m},
		Clock:        clock,
		Translate:    translate,
		Prefixes:     []string{"c", "t/"},
		MaxStaleness: time.Second,
	})
}

// TestMirrorSameContentAtSameRevision checks that a mirror that watches the
// store and one that reads it have the same content at the same revision.
func TestMirrorSameContentAtSameRevision(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	memory := &storer.Memory{}
	put(t, memory, "c", "")
	put(t, memory, "t/1", "a")
	clock := clockwork.NewFakeClock()
	watcher := newMirror(memory, clock)
	first, revision, err := watcher.Head(ctx)
	if err != nil {
		t.Fatal(err)
	}
	before := first.Head.GetRevision()
	heads := watcher.Watch(ctx, revision)
	for i, change := range []string{"b", "c", "d"} {
		put(t, memory, "t/1", change)
		watched := nextHead(heads, before)
		before = watched.GetRevision()
		reader := newMirror(memory, clock)
		read, _, err := reader.Head(ctx)
		if err != nil {
			t.Fatal(err)
		}
		if string(read.Head.GetDigest()) != string(watched.GetDigest()) || read.Head.GetRevision() != watched.GetRevision() {
			t.Errorf("change %d: digests differ, or revision %d from a watch and %d from a read", i, watched.GetRevision(), read.Head.GetRevision())
		}
	}
}

func TestMirrorIgnoresOtherKeys(t *testing.T) {
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
	if next := nextHead(heads, first.Head.GetRevision()); next.GetRevision() != first.Head.GetRevision()+2 {
		t.Errorf("next head has revision %d, want two above %d", next.GetRevision(), first.Head.GetRevision())
	}
}

// TestMirrorTranslatesOnlyOnChange checks that changes of keys that are not
// mirrored do not cause a translation.
func TestMirrorTranslatesOnlyOnChange(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	memory := &storer.Memory{}
	put(t, memory, "c", "")
	m := newMirror(memory, clockwork.NewFakeClock())
	translations := 0
	m.Translate = func(items map[string]storer.Item) (Translation, error) {
		translations++
		return translate(items)
	}
	first, revision, err := m.Head(ctx)
	if err != nil {
		t.Fatal(err)
	}
	heads := m.Watch(ctx, revision)
	for range 5 {
		put(t, memory, "other", "x")
	}
	put(t, memory, "t/1", "a")
	nextHead(heads, first.Head.GetRevision())
	if translations != 2 {
		t.Errorf("%d translations, want 2: the initial state and one change", translations)
	}
}

// TestMirrorHeadReadsStoreOnlyIfWatchIsStale checks that Head makes no store call
// while the last progress of the watch is recent.
func TestMirrorHeadReadsStoreOnlyIfWatchIsStale(t *testing.T) {
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
		t.Errorf("%d reads of Head while the watch is recent, want 0", n-before)
	}
	clock.Advance(2 * time.Second)
	if _, _, err := m.Head(ctx); err != nil {
		t.Fatal(err)
	}
	if memory.Counts().Reads == before {
		t.Error("no read of Head after 2 s without progress, want one")
	}
}

// hangingStore is a store whose watches report nothing, as over a link that has gone, except progress that a test
// sends.
type hangingStore struct {
	*storer.Memory
	progress chan storer.Event
}

// Watch implements storer.Store.
func (h hangingStore) Watch(context.Context, string, int64) <-chan storer.Event { return h.progress }

// TestMirrorTellsAgeOfCopy guards against a copy that answers for the store: while a watch hangs, or reports late, what
// the store held at its last answer passes for a confirmation of now, and changes stay unknown for that long.
func TestMirrorTellsAgeOfCopy(t *testing.T) {
	memory := &storer.Memory{}
	put(t, memory, "c", "")
	put(t, memory, "t/1", "a")
	clock := clockwork.NewFakeClock()
	m := newMirror(memory, clock)
	store := hangingStore{
		Memory:   memory,
		progress: make(chan storer.Event),
	}
	m.Store = store
	read := clock.Now()
	_, revision, err := m.Head(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	observations := m.Watch(t.Context(), revision)
	check := func(step string, want time.Time) {
		t.Helper()
		o, _, err := m.Head(t.Context())
		if err != nil || !o.At.Equal(want) {
			t.Errorf("%s: the head is confirmed as of %v, want %v; error %v", step, o.At.Sub(read), want.Sub(read), err)
		}
		if _, at, err := m.Read(t.Context()); err != nil || !at.Equal(want) {
			t.Errorf("%s: the configuration is confirmed as of %v, want %v; error %v", step, at.Sub(read), want.Sub(read), err)
		}
	}
	clock.Advance(900 * time.Millisecond)
	check("while the watch hangs", read)
	asOf := read.Add(300 * time.Millisecond)
	store.progress <- storer.Event{
		ProgressRevision: revision,
		AsOf:             asOf,
	}
	if o := <-observations; !o.At.Equal(asOf) {
		t.Errorf("the watch confirms as of %v, want %v", o.At.Sub(read), asOf.Sub(read))
	}
	check("after an answer that has been under way for 0.6 s", asOf)
	store.progress <- storer.Event{ProgressRevision: revision}
	<-observations
	check("after progress without a time", asOf)
	m.Translate = func(map[string]storer.Item) (Translation, error) { return Translation{}, errTranslation }
	store.progress <- storer.Event{Item: storer.Item{Key: "t/1", ModRevision: revision + 1}}
	store.progress <- storer.Event{
		ProgressRevision: revision + 1,
		AsOf:             clock.Now(),
	}
	<-observations
	check("after a change that cannot be translated", asOf)
}

func TestMirrorHeadIgnoresOlderRead(t *testing.T) {
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
	if again, _, err := m.Head(ctx); err != nil || again.Head.GetRevision() != newest.Head.GetRevision() {
		t.Errorf("Head() after an older read: revision %d, want %d; error %v", again.Head.GetRevision(), newest.Head.GetRevision(), err)
	}
}

func TestMirrorStoreUnavailable(t *testing.T) {
	memory := &storer.Memory{}
	put(t, memory, "c", "")
	m := newMirror(memory, clockwork.NewFakeClock())
	if _, _, err := m.Head(context.Background()); err != nil {
		t.Fatal(err)
	}
	memory.SetUnavailable(true)
	if _, _, err := m.Head(context.Background()); err == nil {
		t.Error("Head() while the store is unavailable: no error")
	}
	if a, _, err := m.Read(context.Background()); err != nil || a == nil {
		t.Errorf("Read() returned no copy, error %v", err)
	}
}

// TestMirrorKeepsConfigurationInForce guards against an older configuration that a store
// holds after its return from a copy and that replaces the one in force.
func TestMirrorKeepsConfigurationInForce(t *testing.T) {
	memory := &storer.Memory{}
	put(t, memory, "c", "")
	put(t, memory, "t/1", "a")
	m := newMirror(memory, clockwork.NewFakeClock())
	stored := uint64(7)
	m.Translate = func(items map[string]storer.Item) (Translation, error) {
		out, err := translate(items)
		out.Version = stored
		if out.Config != nil {
			out.Config.Routes = []*config.Route{{Name: "stored"}}
		}
		return out, err
	}
	inForce := &config.Accepted{
		Head:   &config.Head{Version: 9},
		Config: &config.Config{Routes: []*config.Route{{Name: "in force"}}},
	}
	m.InForce = func() *config.Accepted { return inForce }
	check := func(version uint64, route string, targets int) {
		t.Helper()
		newest, _, err := m.Head(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		head := newest.Head
		accepted, _, err := m.Read(t.Context())
		if err != nil || head.GetVersion() != version || accepted.GetConfig().GetRoutes()[0].GetName() != route || len(accepted.GetConfig().GetTargets()) != targets {
			t.Errorf("version %d with %v, error %v; want version %d with route %q and %d targets", head.GetVersion(), accepted.GetConfig(), err, version, route, targets)
		}
	}
	check(9, "in force", 1)
	put(t, memory, "t/2", "b")
	check(9, "in force", 2)
	stored = 9
	put(t, memory, "c", "again")
	check(9, "stored", 2)
	stored = 10
	put(t, memory, "c", "next")
	check(10, "stored", 2)
	inForce.Head.Version = 12
	check(12, "in force", 2)
}
