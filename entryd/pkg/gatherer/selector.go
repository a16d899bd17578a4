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
		if slices.Contains(tried, id) || s.job.gatherer.departures.Draining(id) {
			continue
		}
		q := s.job.gatherer.queue(id)
		if q == nil {
			continue
		}
		if _, draining := q.draining(); draining {
			continue
		}
		if len(tried) == 0 && !s.job.task.GetSuspected() && q.estimator.Suspected() && q.estimator.Probe(now) {
			return id, true
		}
		if d := q.expectedLatency(now); !found || d < least {
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
	return s.job.gatherer.latencies.LateAfter()
}

// Prompt implements router.Chooser.
func (s *selector) Prompt(_ int, id string, now time.Time) bool {
	q := s.job.gatherer.queue(id)
	return q != nil && q.expectedLatency(now) <= s.job.gatherer.latencies.SlowThreshold()
}

// Failed implements router.Chooser.
func (s *selector) Failed(id string, _ time.Time) bool {
	q := s.job.gatherer.queue(id)
	return q == nil || q.estimator.Suspected()
}
