package coordinator

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"plantaincleat/tier/gen/peer"
)

// probeInterval is the time between two requests that a root sends to a target
// that was reported as slow, to learn whether it still is.
const probeInterval = time.Second

// slowTargets are the targets that gatherers reported as slow. Readers take no
// lock. The zero value is empty and ready to use.
type slowTargets struct {
	mu    sync.Mutex
	table atomic.Pointer[map[string]*slowTarget]
}

type slowTarget struct {
	// probe is the time of the next probe in Unix nanoseconds.
	probe atomic.Int64
}

// find returns the entry of a target, or nil.
func (s *slowTargets) find(id string) *slowTarget {
	t := s.table.Load()
	if t == nil {
		return nil
	}
	return (*t)[id]
}

// update enters the targets that a partial reports as slow, and removes those
// that it asked and does not report.
func (s *slowTargets) update(asked []string, slow []*peer.Slow, now time.Time) {
	if len(slow) == 0 && s.none(asked) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	next := map[string]*slowTarget{}
	if t := s.table.Load(); t != nil {
		maps.Copy(next, *t)
	}
	reported := map[string]bool{}
	for _, r := range slow {
		reported[r.GetTarget()] = true
		if next[r.GetTarget()] == nil {
			e := &slowTarget{}
			e.probe.Store(now.Add(probeInterval).UnixNano())
			next[r.GetTarget()] = e
		}
	}
	for _, id := range asked {
		if !reported[id] {
			delete(next, id)
		}
	}
	s.table.Store(&next)
}

func (s *slowTargets) none(ids []string) bool {
	for _, id := range ids {
		if s.find(id) != nil {
			return false
		}
	}
	return true
}

// claimProbe reports whether the caller is to probe the target. It is true for
// one caller in each interval.
func (t *slowTarget) claimProbe(now time.Time) bool {
	due := t.probe.Load()
	return now.UnixNano() >= due && t.probe.CompareAndSwap(due, now.Add(probeInterval).UnixNano())
}
