package gatherer

import (
	"slices"
	"time"
)

const (
	// minHedgeDelay and maxHedgeDelay bound the wait before a hedge.
	minHedgeDelay = time.Millisecond
	maxHedgeDelay = 100 * time.Millisecond
	// firstHedgeDelay is the wait before a target has answered at all.
	firstHedgeDelay = 30 * time.Millisecond
)

// selector chooses among the replicas of a shard by expected finish.
type selector struct {
	job *job
}

// Choose implements router.Chooser.
func (s *selector) Choose(unit int, tried []string, now time.Time) (string, bool) {
	best, found := "", false
	var least time.Duration
	for _, id := range s.job.wanted[unit].GetTargets() {
		if slices.Contains(tried, id) || s.job.gatherer.departures.Leaving(id) {
			continue
		}
		l := s.job.gatherer.lane(id)
		if l == nil {
			continue
		}
		if _, leaving := l.departure(); leaving {
			continue
		}
		if d := l.expected(now); !found || d < least {
			best, found, least = id, true, d
		}
	}
	return best, found
}

// HedgeDelay implements router.Chooser: the 95th percentile of the target's
// recent latency.
func (s *selector) HedgeDelay(id string) time.Duration {
	l := s.job.gatherer.lane(id)
	if l == nil {
		return firstHedgeDelay
	}
	d := l.gauge.P95()
	if d == 0 {
		return firstHedgeDelay
	}
	return min(max(d, minHedgeDelay), maxHedgeDelay)
}

// Failed implements router.Chooser.
func (s *selector) Failed(id string, _ time.Time) bool {
	l := s.job.gatherer.lane(id)
	return l == nil || l.gauge.Suspected()
}
