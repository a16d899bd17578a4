package storer

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"

	"github.com/rotisserie/eris"
)

// Memory is a Store in memory for tests, with switches for faults. The zero
// value is an empty store. Leases end only by Revoke or Expire.
type Memory struct {
	mu        sync.Mutex
	items     map[string]Item
	leases    map[int64]map[string]bool
	history   []Event
	revision  int64
	compacted int64
	nextLease int64
	changed   chan struct{}

	unavailable bool
	stale       map[string]Item
	staleAt     int64
	lost        int
	late        int
	landing     []Txn
	counts      Counts
}

// Counts are the calls made to a Memory, refused ones included.
type Counts struct {
	Reads   int
	Writes  int
	Watches int
}

// SetUnavailable makes every call fail with ErrUnavailable and ends the
// watches, until it is called with false.
func (m *Memory) SetUnavailable(unavailable bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.unavailable = unavailable
	m.wake()
}

// SetStale answers reads from the state at this moment until it is called
// with false.
func (m *Memory) SetStale(stale bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stale = nil
	if stale {
		m.stale, m.staleAt = maps.Clone(m.items), m.revision
		if m.stale == nil {
			m.stale = map[string]Item{}
		}
	}
}

// LoseAnswers makes the next n commits take effect and return ErrUnknown.
func (m *Memory) LoseAnswers(n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lost = n
}

// DelayWrites makes the next n commits return ErrUnknown without effect.
// They are evaluated when Land is called.
func (m *Memory) DelayWrites(n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.late = n
}

// ApplyDelayed evaluates the delayed commits in their order and returns how many
// were applied.
func (m *Memory) ApplyDelayed() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	applied := 0
	for _, txn := range m.landing {
		if m.apply(txn).Applied {
			applied++
		}
	}
	m.landing = nil
	return applied
}

// Compact drops the history up to the present revision.
func (m *Memory) Compact() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.compacted = m.revision
	m.history = nil
	m.wake()
}

// ExpireLease ends a lease as if its time had passed.
func (m *Memory) ExpireLease(lease int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.drop(lease)
}

// Counts returns the calls so far.
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
		return Page{}, eris.Wrapf(ErrUnavailable, "read %q: memory", prefix)
	}
	items, revision := m.view()
	page := Page{Revision: revision}
	for _, key := range slices.Sorted(maps.Keys(items)) {
		if strings.HasPrefix(key, prefix) {
			page.Items = append(page.Items, copied(items[key]))
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
		return Item{}, false, eris.Wrapf(ErrUnavailable, "get %q: memory", key)
	}
	items, _ := m.view()
	item, found := items[key]
	return copied(item), found, nil
}

// Commit implements Store.
func (m *Memory) Commit(_ context.Context, txn Txn) (Result, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counts.Writes++
	if m.unavailable {
		return Result{}, eris.Wrap(ErrUnavailable, "commit: memory")
	}
	if m.late > 0 {
		m.late--
		m.landing = append(m.landing, txn)
		return Result{}, eris.Wrap(ErrUnknownOutcome, "commit: memory")
	}
	result := m.apply(txn)
	if m.lost > 0 {
		m.lost--
		return Result{}, eris.Wrap(ErrUnknownOutcome, "commit: memory")
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
			pending, revision, changed, err := m.since(prefix, after)
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
		return 0, eris.Wrap(ErrUnavailable, "grant lease: memory")
	}
	m.nextLease++
	if m.leases == nil {
		m.leases = map[int64]map[string]bool{}
	}
	m.leases[m.nextLease] = map[string]bool{}
	return m.nextLease, nil
}

// RenewLease implements Store. A lease that has not ended has one second left.
func (m *Memory) RenewLease(_ context.Context, lease int64) (int64, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.unavailable {
		return 0, eris.Wrap(ErrUnavailable, "renew lease: memory")
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
		return eris.Wrap(ErrUnavailable, "revoke lease: memory")
	}
	m.drop(lease)
	return nil
}

// view returns the items that reads are answered from and their revision.
func (m *Memory) view() (map[string]Item, int64) {
	if m.stale != nil {
		return m.stale, m.staleAt
	}
	return m.items, m.revision
}

// since returns the events under prefix after a revision, the revision up to
// which they are complete, and a channel that is closed at the next change.
func (m *Memory) since(prefix string, after int64) ([]Event, int64, <-chan struct{}, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.unavailable {
		return nil, 0, nil, eris.Wrapf(ErrUnavailable, "watch %q: memory", prefix)
	}
	if after < m.compacted {
		return nil, 0, nil, eris.Wrapf(ErrCompacted, "watch %q: memory", prefix)
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

// apply evaluates a transaction.
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
	m.wake()
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
	m.history = append(m.history, Event{Item: copied(item)})
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

func (m *Memory) drop(lease int64) {
	keys := m.leases[lease]
	delete(m.leases, lease)
	if len(keys) == 0 {
		return
	}
	m.revision++
	for key := range keys {
		m.remove(key)
	}
	m.wake()
}

// wake closes the channel that watches wait on.
func (m *Memory) wake() {
	if m.changed != nil {
		close(m.changed)
		m.changed = nil
	}
}

func copied(item Item) Item {
	item.Value = slices.Clone(item.Value)
	return item
}
