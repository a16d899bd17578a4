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

// slowTarget is what was reported of a target at a time. It is immutable but
// for the probe.
type slowTarget struct {
	reportedAt time.Time
	latency    time.Duration
	service    time.Duration
	threshold  time.Duration
	// nextProbe is the time of the next probe in Unix nanoseconds.
	nextProbe atomic.Int64
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
	if len(slow) == 0 && s.noneListed(asked) {
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
		next[r.GetTarget()] = newSlowTarget(r, next[r.GetTarget()], now)
	}
	for _, id := range asked {
		if !reported[id] {
			delete(next, id)
		}
	}
	s.table.Store(&next)
}

func newSlowTarget(r *peer.Slow, previous *slowTarget, now time.Time) *slowTarget {
	e := &slowTarget{
		reportedAt: now,
		latency:    time.Duration(r.GetFinish()) * time.Microsecond,
		service:    time.Duration(r.GetService()) * time.Microsecond,
		threshold:  time.Duration(r.GetLimit()) * time.Microsecond,
	}
	e.nextProbe.Store(now.Add(probeInterval).UnixNano())
	if previous != nil {
		e.nextProbe.Store(previous.nextProbe.Load())
	}
	return e
}

// expectedLatency returns in what time the target would answer one more request, given
// that the requests ahead have since been worked on.
func (t *slowTarget) expectedLatency(now time.Time) time.Duration {
	return max(t.latency-now.Sub(t.reportedAt), t.service)
}

// isSlow reports whether the target still counts as slow.
func (t *slowTarget) isSlow(now time.Time) bool { return t.expectedLatency(now) > t.threshold }

func (s *slowTargets) noneListed(ids []string) bool {
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
	due := t.nextProbe.Load()
	return now.UnixNano() >= due && t.nextProbe.CompareAndSwap(due, now.Add(probeInterval).UnixNano())
}
