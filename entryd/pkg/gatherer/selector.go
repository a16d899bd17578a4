package gatherer

import (
	"slices"
	"time"
)

// selector chooses among the replicas of a shard by expected finish.
type selector struct {
	job *job
}

// Choose implements router.Chooser. A first attempt probes a suspected target
// now and then: its late answers no longer count once their requests were
// withdrawn, so that only a new one can end the suspicion.
func (s *selector) Choose(unit int, tried []string, now time.Time) (string, bool) {
	best, found := "", false
	var least time.Duration
	for _, id := range s.job.wanted[unit].GetTargets() {
		if slices.Contains(tried, id) || s.job.gatherer.drainTracker.Draining(id) {
			continue
		}
		l := s.job.gatherer.lane(id)
		if l == nil {
			continue
		}
		if _, leaving := l.departure(); leaving {
			continue
		}
		if len(tried) == 0 && !s.job.task.GetSuspected() && l.gauge.Suspected() && l.gauge.Probe(now) {
			return id, true
		}
		if d := l.expected(now); !found || d < least {
			best, found, least = id, true, d
		}
	}
	return best, found
}

// HedgeDelay implements router.Chooser. A request to a target that has fallen
// silent is a probe, and is sent elsewhere at once as well.
func (s *selector) HedgeDelay(id string) time.Duration {
	if s.Failed(id, time.Time{}) {
		return 0
	}
	return s.job.gatherer.pace.LateAfter()
}

// Prompt implements router.Chooser.
func (s *selector) Prompt(_ int, id string, now time.Time) bool {
	l := s.job.gatherer.lane(id)
	return l != nil && l.expected(now) <= s.job.gatherer.pace.SlowThreshold()
}

// Failed implements router.Chooser.
func (s *selector) Failed(id string, _ time.Time) bool {
	l := s.job.gatherer.lane(id)
	return l == nil || l.gauge.Suspected()
}
