package kvserver

import (
	"sort"
	"time"

	etcd "plantaincleat/tier/gen/etcdserverpb"
)

// checkLeases returns errLeaseNotFound if a put names a lease that does not exist. The
// caller holds mu.
func (s *store) checkLeases(ops []*etcd.RequestOp) error {
	for _, op := range ops {
		id := op.GetRequestPut().GetLease()
		if id != 0 && s.leases[id] == nil {
			return errLeaseNotFound
		}
	}
	return nil
}

// grant creates a lease of ttl seconds and returns its id. If id is zero, the store chooses
// one.
func (s *store) grant(id, ttl int64) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if id == 0 {
		s.lastLeaseID++
		id = s.lastLeaseID
	}
	if s.leases[id] != nil {
		return 0, errLeaseExists
	}
	d := time.Duration(ttl) * time.Second
	s.leases[id] = &lease{
		ttl:     ttl,
		expires: s.clock.Now().Add(d),
		keys:    map[string]bool{},
	}
	s.leases[id].timer = s.clock.AfterFunc(d, func() { s.expire(id) })
	return id, nil
}

// renew extends a lease by its time to live, which it returns in seconds. It returns zero if
// the lease does not exist.
func (s *store) renew(id int64) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		return 0
	}
	d := time.Duration(l.ttl) * time.Second
	l.expires = s.clock.Now().Add(d)
	l.timer.Reset(d)
	return l.ttl
}

// revoke ends a lease and deletes its keys.
func (s *store) revoke(id int64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[id] == nil {
		return errLeaseNotFound
	}
	s.removeLease(id)
	return nil
}

// expire ends a lease if its time has passed. A renewal may have come before the timer
// function got the mutex.
func (s *store) expire(id int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil || s.clock.Now().Before(l.expires) {
		return
	}
	s.removeLease(id)
}

// removeLease removes a lease and deletes its keys at one new revision. The caller holds mu.
func (s *store) removeLease(id int64) {
	l := s.leases[id]
	l.timer.Stop()
	keys := make([]string, 0, len(l.keys))
	for key := range l.keys {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	delete(s.leases, id)
	next := s.revision + 1
	oldLength := len(s.history)
	for _, key := range keys {
		s.remove(s.space.items[key], next)
	}
	s.publish(oldLength, next)
}
