package coordinator

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"plantaincleat/tier/gen/peer"
)

// probeInterval is the time between two probes that a root sends to a target that was
// reported as slow. A probe finds out whether the target is still slow.
const probeInterval = time.Second

// slowTargets holds the targets that gatherers reported as slow. It is safe for
// concurrent use, and reads take no lock. The zero value is empty and ready to use.
type slowTargets struct {
	// mu serialises updates.
	mu sync.Mutex
	// table maps a target id to its entry. The map is replaced on every update.
	table atomic.Pointer[map[string]*slowTarget]
}

// slowTarget holds a report about a slow target. It is immutable except for nextProbe.
type slowTarget struct {
	reportedAt time.Time
	// latency is the expected latency of one more request at the time of the report.
	latency time.Duration
	// service is the service time of the target.
	service time.Duration
	// threshold is the expected latency above which the target counts as slow.
	threshold time.Duration
	// nextProbe is the time of the next probe in Unix nanoseconds.
	nextProbe atomic.Int64
}

// find returns the entry of a target, or nil if it was not reported as slow.
func (s *slowTargets) find(id string) *slowTarget {
	t := s.table.Load()
	if t == nil {
		return nil
	}
	return (*t)[id]
}

// update adds the targets that a partial reports as slow, and removes those of asked
// that it does not report. asked holds the targets of the sub-plan.
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

// newSlowTarget returns the entry for a report. It keeps the time of the next probe if
// the target has a previous entry.
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

// expectedLatency returns the expected latency of one more request to the target. It
// assumes that the target has worked on its queue since the report.
func (t *slowTarget) expectedLatency(now time.Time) time.Duration {
	return max(t.latency-now.Sub(t.reportedAt), t.service)
}

// isSlow reports whether the expected latency of the target still exceeds the threshold.
func (t *slowTarget) isSlow(now time.Time) bool { return t.expectedLatency(now) > t.threshold }

// noneListed reports whether none of the targets has an entry.
func (s *slowTargets) noneListed(ids []string) bool {
	for _, id := range ids {
		if s.find(id) != nil {
			return false
		}
	}
	return true
}

// claimProbe reports whether the caller has to probe the target. It returns true to one
// caller in each probeInterval.
func (t *slowTarget) claimProbe(now time.Time) bool {
	due := t.nextProbe.Load()
	return now.UnixNano() >= due && t.nextProbe.CompareAndSwap(due, now.Add(probeInterval).UnixNano())
}
