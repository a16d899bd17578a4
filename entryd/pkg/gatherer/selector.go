package gatherer

import (
	"slices"
	"time"
)

// selector is the router.Chooser of a job. It selects the replica of a shard with the
// lowest expected latency.
type selector struct {
	job *job
}

// Choose implements router.Chooser. From time to time a first attempt probes a suspected
// target. Answers to cancelled requests are ignored, so only a new request can end the
// suspicion.
func (s *selector) Choose(unit int, tried []string, now time.Time) (string, bool) {
	best, found := "", false
	var least time.Duration
	for _, id := range s.job.wanted[unit].GetTargets() {
		if slices.Contains(tried, id) || s.job.gatherer.drainTracker.Draining(id) {
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

// HedgeDelay implements router.Chooser. The delay is 0 for a suspected target: a request
// to it is a probe, so its unit is also sent to another target at once.
func (s *selector) HedgeDelay(id string) time.Duration {
	if s.Failed(id, time.Time{}) {
		return 0
	}
	return s.job.gatherer.latencies.LateAfter()
}

// Prompt implements router.Chooser. It reports whether the target is not slow.
func (s *selector) Prompt(_ int, id string, now time.Time) bool {
	q := s.job.gatherer.queue(id)
	return q != nil && q.expectedLatency(now) <= s.job.gatherer.latencies.SlowThreshold()
}

// Failed implements router.Chooser. It reports whether the target is suspected or not
// configured.
func (s *selector) Failed(id string, _ time.Time) bool {
	q := s.job.gatherer.queue(id)
	return q == nil || q.estimator.Suspected()
}
