package scatterer

import (
	"slices"
	"time"

	"plantaincleat/entryd/pkg/cataloger"
)

// hedgeFactor times the median latency is the time that a hedge needs to be
// answered before the goal.
const hedgeFactor = 2

// selector chooses among the replicas of a unit by expected finish.
type selector struct {
	job *job
}

// Choose implements router.Chooser. A first attempt probes a suspected target
// now and then, so that its recovery is noticed.
func (s *selector) Choose(unit int, tried []*cataloger.Replica, now time.Time) (*cataloger.Replica, bool) {
	var best, last *cataloger.Replica
	var least time.Duration
	for _, r := range s.job.pools[unit].Replicas() {
		if slices.Contains(tried, r) || r.Leaving(now) {
			continue
		}
		if r.Vanished() {
			last = r
			continue
		}
		if len(tried) == 0 && s.job.route.GetIdempotent() && r.Gauge().Suspected() && r.Gauge().Probe(now) {
			return r, true
		}
		if d := s.expected(r, now); best == nil || d < least {
			best, least = r, d
		}
	}
	if best != nil {
		return best, true
	}
	return last, last != nil
}

// expected returns when a target would answer one more request.
func (s *selector) expected(r *cataloger.Replica, now time.Time) time.Duration {
	d := r.Gauge().Finish(now)
	if r.DataCentre() != s.job.DataCentre {
		d += s.job.Distance
	}
	return d
}

// HedgeDelay implements router.Chooser.
func (s *selector) HedgeDelay(r *cataloger.Replica) time.Duration {
	if !s.job.route.GetIdempotent() {
		return s.job.request.Deadline.Sub(s.job.request.Received)
	}
	if r.Gauge().Suspected() {
		return 0
	}
	late := s.job.route.Pace().Late()
	left := s.job.goal().Sub(s.job.Clock.Now()) - hedgeFactor*s.job.route.Pace().Median()
	return min(late, max(left, late/2))
}

// Prompt implements router.Chooser.
func (s *selector) Prompt(_ int, r *cataloger.Replica, now time.Time) bool {
	left := s.job.goal().Sub(now)
	d := s.expected(r, now)
	return d <= s.job.route.Pace().Slow()+s.job.Distance || left > 0 && d < left
}

// Failed implements router.Chooser.
func (s *selector) Failed(r *cataloger.Replica, _ time.Time) bool {
	return r.Gone() || r.Gauge().Suspected()
}

// purse charges extra sub-requests to the budget of their pool.
type purse struct {
	job *job
}

// Sent implements router.Budget.
func (p *purse) Sent(int) {
	for _, one := range p.job.pools {
		one.Budget().Sent(1)
	}
}

// Hedge implements router.Budget.
func (p *purse) Hedge(unit int, _ time.Time) bool { return p.job.pools[unit].Budget().Take(false) }

// Retry implements router.Budget.
func (p *purse) Retry(unit int, _ time.Time) bool { return p.job.pools[unit].Budget().Take(false) }

// Move implements router.Budget.
func (p *purse) Move(unit int, _ time.Time) bool { return p.job.pools[unit].Budget().Take(false) }
