package kvserver

import (
	"sort"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	etcd "plantaincleat/tier/gen/etcdserverpb"
)

// maxHistoryEvents is the number of events that are kept for watches that start at an
// earlier revision.
const maxHistoryEvents = 16384

// store is the key space with its revision, its history and its leases. It is safe for
// concurrent use.
type store struct {
	clock clockwork.Clock

	mu       sync.Mutex
	revision int64
	// compacted is the revision up to which events have been dropped.
	compacted   int64
	space       keySpace
	history     []*etcd.Event
	leases      map[int64]*lease
	lastLeaseID int64
	// changed is closed and replaced at each new revision.
	changed chan struct{}
}

// lease is a granted lease. ttl is in seconds.
type lease struct {
	ttl     int64
	expires time.Time
	timer   clockwork.Timer
	keys    map[string]bool
}

func newStore(clock clockwork.Clock) *store {
	return &store{
		clock:    clock,
		revision: 1,
		space:    keySpace{items: map[string]*etcd.KeyValue{}},
		leases:   map[int64]*lease{},
		changed:  make(chan struct{}),
	}
}

// snapshot returns a copy of the key space and its revision. The copy shares its items with
// the store.
func (s *store) snapshot() (keySpace, int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.space.clone(), s.revision
}

// currentRevision returns the latest revision.
func (s *store) currentRevision() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// lookup returns the items of a range in the order of their keys.
func (s *store) lookup(r *etcd.RangeRequest) *etcd.RangeResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.space.find(s.revision, r)
}

// txn executes a transaction atomically. All its changes have the same new revision.
func (s *store) txn(r *etcd.TxnRequest) (*etcd.TxnResponse, error) {
	if err := checkTxn(r); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	succeeded := true
	for _, c := range r.Compare {
		succeeded = succeeded && compareHolds(c, s.space.items[string(c.Key)])
	}
	ops := r.Success
	if !succeeded {
		ops = r.Failure
	}
	if err := s.checkLeases(ops); err != nil {
		return nil, err
	}
	next := s.revision + 1
	oldLength := len(s.history)
	responses := make([]*etcd.ResponseOp, 0, len(ops))
	for _, op := range ops {
		responses = append(responses, s.apply(op, next))
	}
	s.publish(oldLength, next)
	return &etcd.TxnResponse{
		Header:    s.header(),
		Succeeded: succeeded,
		Responses: responses,
	}, nil
}

// publish makes next the latest revision and wakes watches, unless the history still has
// oldLength events. It drops the oldest events beyond maxHistoryEvents. The caller holds mu.
func (s *store) publish(oldLength int, next int64) {
	if len(s.history) == oldLength {
		return
	}
	s.revision = next
	if excess := len(s.history) - maxHistoryEvents; excess > 0 {
		s.compacted = s.history[excess-1].Kv.ModRevision
		s.history = append([]*etcd.Event(nil), s.history[excess:]...)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// apply executes one operation of a transaction at revision next. The caller holds mu.
func (s *store) apply(op *etcd.RequestOp, next int64) *etcd.ResponseOp {
	switch r := op.Request.(type) {
	case *etcd.RequestOp_RequestPut:
		s.put(r.RequestPut, next)
		return &etcd.ResponseOp{
			Response: &etcd.ResponseOp_ResponsePut{
				ResponsePut: &etcd.PutResponse{Header: &etcd.ResponseHeader{Revision: next}},
			},
		}
	case *etcd.RequestOp_RequestDeleteRange:
		n := s.deleteRange(r.RequestDeleteRange, next)
		return &etcd.ResponseOp{
			Response: &etcd.ResponseOp_ResponseDeleteRange{
				ResponseDeleteRange: &etcd.DeleteRangeResponse{
					Header:  &etcd.ResponseHeader{Revision: next},
					Deleted: n,
				},
			},
		}
	default:
		return &etcd.ResponseOp{
			Response: &etcd.ResponseOp_ResponseRange{
				ResponseRange: s.space.find(s.revision, op.GetRequestRange()),
			},
		}
	}
}

// put writes an item at revision next. The caller holds mu.
func (s *store) put(r *etcd.PutRequest, next int64) {
	key := string(r.Key)
	kv := &etcd.KeyValue{
		Key:            r.Key,
		Value:          r.Value,
		CreateRevision: next,
		ModRevision:    next,
		Version:        1,
		Lease:          r.Lease,
	}
	if old := s.space.items[key]; old != nil {
		kv.CreateRevision = old.CreateRevision
		kv.Version = old.Version + 1
		s.detach(old)
	}
	if l := s.leases[r.Lease]; l != nil {
		l.keys[key] = true
	}
	s.space.set(kv)
	s.history = append(s.history, &etcd.Event{
		Type: etcd.Event_PUT,
		Kv:   kv,
	})
}

// deleteRange deletes the items of a range at revision next and returns their number. The
// caller holds mu.
func (s *store) deleteRange(r *etcd.DeleteRangeRequest, next int64) int64 {
	found := s.space.find(s.revision, &etcd.RangeRequest{
		Key:      r.Key,
		RangeEnd: r.RangeEnd,
	}).Kvs
	for _, kv := range found {
		s.remove(kv, next)
	}
	return int64(len(found))
}

// remove deletes an item at revision next. The caller holds mu.
func (s *store) remove(kv *etcd.KeyValue, next int64) {
	s.detach(kv)
	s.space.remove(string(kv.Key))
	s.history = append(s.history, &etcd.Event{
		Type: etcd.Event_DELETE,
		Kv: &etcd.KeyValue{
			Key:         kv.Key,
			ModRevision: next,
		},
	})
}

// detach removes the key of an item from its lease, if it has one. The caller holds mu.
func (s *store) detach(kv *etcd.KeyValue) {
	if l := s.leases[kv.Lease]; l != nil {
		delete(l.keys, string(kv.Key))
	}
}

// eventsSince returns the events of a range from revision start on, the revision up to
// which they are complete, and a channel that is closed at the next revision. If events
// from start on have been dropped, events is nil and compacted is the latest dropped
// revision. Otherwise compacted is zero.
func (s *store) eventsSince(key, end []byte, start int64) (events []*etcd.Event, revision, compacted int64, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if start <= s.compacted {
		return nil, s.revision, s.compacted, s.changed
	}
	i := sort.Search(len(s.history), func(i int) bool {
		return s.history[i].Kv.ModRevision >= start
	})
	for _, e := range s.history[i:] {
		if inRange(e.Kv.Key, key, end) {
			events = append(events, e)
		}
	}
	return events, s.revision, 0, s.changed
}

// compact drops the events up to and including a revision.
func (s *store) compact(revision int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	revision = min(revision, s.revision)
	if revision <= s.compacted {
		return
	}
	i := sort.Search(len(s.history), func(i int) bool {
		return s.history[i].Kv.ModRevision > revision
	})
	s.history = append([]*etcd.Event(nil), s.history[i:]...)
	s.compacted = revision
}

func (s *store) header() *etcd.ResponseHeader {
	return &etcd.ResponseHeader{Revision: s.revision}
}
