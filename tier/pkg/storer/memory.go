package storer

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"

	"github.com/rotisserie/eris"
)

// Memory is an in-memory Store with fault injection for tests. The zero value is
// an empty store. Leases end only by RevokeLease or ExpireLease.
type Memory struct {
	mu        sync.Mutex
	items     map[string]Item
	leases    map[int64]map[string]bool
	history   []Event
	revision  int64
	compacted int64
	nextLease int64
	changed   chan struct{}

	unavailable   bool
	stale         map[string]Item
	staleRevision int64
	answersToLose int
	writesToDelay int
	delayed       []Txn
	counts        Counts
}

// Counts is the number of calls made to a Memory, including failed ones. Writes
// are calls of Commit.
type Counts struct {
	Reads   int
	Writes  int
	Watches int
}

// SetUnavailable makes every call fail with ErrUnavailable and ends all watches.
// It does so until it is called with false.
func (m *Memory) SetUnavailable(unavailable bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.unavailable = unavailable
	m.notifyWatches()
}

// SetStale makes reads return the state at the time of the call, until it is
// called with false.
func (m *Memory) SetStale(stale bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stale = nil
	if stale {
		m.stale, m.staleRevision = maps.Clone(m.items), m.revision
		if m.stale == nil {
			m.stale = map[string]Item{}
		}
	}
}

// LoseAnswers makes the next n commits take effect and return ErrUnknownOutcome.
func (m *Memory) LoseAnswers(n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.answersToLose = n
}

// DelayWrites makes the next n commits return ErrUnknownOutcome without taking
// effect. ApplyDelayed evaluates them.
func (m *Memory) DelayWrites(n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.writesToDelay = n
}

// ApplyDelayed evaluates the delayed commits in order, and returns the number of
// those whose conditions were true and whose writes were applied.
func (m *Memory) ApplyDelayed() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	applied := 0
	for _, txn := range m.delayed {
		if m.apply(txn).Applied {
			applied++
		}
	}
	m.delayed = nil
	return applied
}

// Compact drops the history of changes up to the current revision, so that
// watches that need it fail with ErrCompacted.
func (m *Memory) Compact() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.compacted = m.revision
	m.history = nil
	m.notifyWatches()
}

// Snapshot is the content of a Memory at one time, without its leases.
type Snapshot struct {
	items     map[string]Item
	history   []Event
	revision  int64
	compacted int64
}

// Snapshot returns the present content.
func (m *Memory) Snapshot() *Snapshot {
	m.mu.Lock()
	defer m.mu.Unlock()
	return &Snapshot{
		items:     maps.Clone(m.items),
		history:   slices.Clone(m.history),
		revision:  m.revision,
		compacted: m.compacted,
	}
}

// Restore replaces the content by that of a snapshot. What was written since is lost, its
// revisions are given out again, and all leases end.
func (m *Memory) Restore(s *Snapshot) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.items, m.history = maps.Clone(s.items), slices.Clone(s.history)
	m.revision, m.compacted = s.revision, s.compacted
	m.leases = nil
	m.notifyWatches()
}

// ExpireLease ends a lease as if its time to live had passed, and deletes the keys
// attached to it.
func (m *Memory) ExpireLease(lease int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.endLease(lease)
}

// Counts returns the number of calls so far.
func (m *Memory) Counts() Counts {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.counts
}

// Read implements Store.
func (m *Memory) Read(_ context.Context, prefix string) (Page, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counts.Reads++
	if m.unavailable {
		return Page{}, eris.Wrapf(ErrUnavailable, "read %q: in-memory store", prefix)
	}
	items, revision := m.readView()
	page := Page{Revision: revision}
	for _, key := range slices.Sorted(maps.Keys(items)) {
		if strings.HasPrefix(key, prefix) {
			page.Items = append(page.Items, cloneItem(items[key]))
		}
	}
	return page, nil
}

// Get implements Store.
func (m *Memory) Get(_ context.Context, key string) (Item, bool, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counts.Reads++
	if m.unavailable {
		return Item{}, false, eris.Wrapf(ErrUnavailable, "get %q: in-memory store", key)
	}
	items, _ := m.readView()
	item, found := items[key]
	return cloneItem(item), found, nil
}

// Commit implements Store.
func (m *Memory) Commit(_ context.Context, txn Txn) (Result, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counts.Writes++
	if m.unavailable {
		return Result{}, eris.Wrap(ErrUnavailable, "commit: in-memory store")
	}
	if m.writesToDelay > 0 {
		m.writesToDelay--
		m.delayed = append(m.delayed, txn)
		return Result{}, eris.Wrap(ErrUnknownOutcome, "commit: write delayed by in-memory store")
	}
	result := m.apply(txn)
	if m.answersToLose > 0 {
		m.answersToLose--
		return Result{}, eris.Wrap(ErrUnknownOutcome, "commit: answer lost by in-memory store")
	}
	return result, nil
}

// Watch implements Store.
func (m *Memory) Watch(ctx context.Context, prefix string, after int64) <-chan Event {
	events := make(chan Event)
	m.mu.Lock()
	m.counts.Watches++
	m.mu.Unlock()
	go func() {
		defer close(events)
		for ctx.Err() == nil {
			pending, revision, changed, err := m.EventsSince(prefix, after)
			if err != nil {
				emit(ctx, events, Event{Err: err})
				return
			}
			for _, event := range pending {
				if !emit(ctx, events, event) {
					return
				}
			}
			after = max(after, revision)
			select {
			case <-changed:
			case <-ctx.Done():
			}
		}
	}()
	return events
}

// GrantLease implements Store.
func (m *Memory) GrantLease(context.Context, int64) (int64, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.unavailable {
		return 0, eris.Wrap(ErrUnavailable, "grant lease: in-memory store")
	}
	m.nextLease++
	if m.leases == nil {
		m.leases = map[int64]map[string]bool{}
	}
	m.leases[m.nextLease] = map[string]bool{}
	return m.nextLease, nil
}

// RenewLease implements Store. It returns one second for a lease that has not
// ended.
func (m *Memory) RenewLease(_ context.Context, lease int64) (int64, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.unavailable {
		return 0, eris.Wrap(ErrUnavailable, "renew lease: in-memory store")
	}
	if m.leases[lease] == nil {
		return 0, nil
	}
	return 1, nil
}

// RevokeLease implements Store.
func (m *Memory) RevokeLease(_ context.Context, lease int64) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.unavailable {
		return eris.Wrap(ErrUnavailable, "revoke lease: in-memory store")
	}
	m.endLease(lease)
	return nil
}

// readView returns the items that reads see and their store revision. The caller
// holds mu.
func (m *Memory) readView() (map[string]Item, int64) {
	if m.stale != nil {
		return m.stale, m.staleRevision
	}
	return m.items, m.revision
}

// EventsSince returns the events under prefix after a store revision, the revision
// up to which they are complete, and a channel that is closed at the next change.
func (m *Memory) EventsSince(prefix string, after int64) ([]Event, int64, <-chan struct{}, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.unavailable {
		return nil, 0, nil, eris.Wrapf(ErrUnavailable, "watch %q: in-memory store", prefix)
	}
	if after < m.compacted {
		return nil, 0, nil, eris.Wrapf(ErrCompacted, "watch %q: in-memory store", prefix)
	}
	if m.changed == nil {
		m.changed = make(chan struct{})
	}
	var events []Event
	for _, e := range m.history {
		if e.Item.ModRevision > after && strings.HasPrefix(e.Item.Key, prefix) {
			events = append(events, e)
		}
	}
	return events, m.revision, m.changed, nil
}

// apply evaluates the conditions of a transaction and applies its writes if they
// are true. The caller holds mu.
func (m *Memory) apply(txn Txn) Result {
	for _, c := range txn.Conditions {
		if m.items[c.Key].ModRevision != c.ModRevision {
			return Result{Revision: m.revision}
		}
	}
	if len(txn.Writes) > 0 {
		m.revision++
	}
	for _, w := range txn.Writes {
		if w.Delete {
			m.remove(w.Key)
			continue
		}
		m.put(w)
	}
	m.notifyWatches()
	return Result{
		Applied:  true,
		Revision: m.revision,
	}
}

func (m *Memory) put(w Write) {
	if m.items == nil {
		m.items = map[string]Item{}
	}
	item := Item{
		Key:            w.Key,
		Value:          slices.Clone(w.Value),
		CreateRevision: m.revision,
		ModRevision:    m.revision,
	}
	if old, found := m.items[w.Key]; found {
		item.CreateRevision = old.CreateRevision
	}
	for _, keys := range m.leases {
		delete(keys, w.Key)
	}
	if keys := m.leases[w.LeaseID]; keys != nil {
		keys[w.Key] = true
	}
	m.items[w.Key] = item
	m.history = append(m.history, Event{Item: cloneItem(item)})
}

func (m *Memory) remove(key string) {
	if _, found := m.items[key]; !found {
		return
	}
	delete(m.items, key)
	m.history = append(m.history, Event{
		Item: Item{
			Key:         key,
			ModRevision: m.revision,
		},
		Deleted: true,
	})
}

func (m *Memory) endLease(lease int64) {
	keys := m.leases[lease]
	delete(m.leases, lease)
	if len(keys) == 0 {
		return
	}
	m.revision++
	for key := range keys {
		m.remove(key)
	}
	m.notifyWatches()
}

// notifyWatches wakes the watches by closing the channel that they wait on. The
// caller holds mu.
func (m *Memory) notifyWatches() {
	if m.changed != nil {
		close(m.changed)
		m.changed = nil
	}
}

func cloneItem(item Item) Item {
	item.Value = slices.Clone(item.Value)
	return item
}
