package scatterer

import (
	"slices"
	"time"

	"plantaincleat/entryd/pkg/cataloger"
)

const (
	// hedgeFactor times the median latency is the time that a hedge needs to be
	// answered before the goal.
	hedgeFactor = 2
)

// selector chooses the path of a unit: the daemon that owns the shard, or else a
// replica by expected finish.
type selector struct {
	job *job
}

// Choose implements router.Chooser.
func (s *selector) Choose(unit int, tried []path, now time.Time) (path, bool) {
	if p, ok := s.owner(unit, tried, now); ok {
		return p, true
	}
	return s.replica(unit, tried, now)
}

// owner returns the first owner of a unit's shard that is in service. ok is
// false if that is this daemon itself, or if there is none.
func (s *selector) owner(unit int, tried []path, now time.Time) (path, bool) {
	j := s.job
	if !j.root || !j.route.Scattered() || j.Placement == nil {
		return path{}, false
	}
	for _, d := range j.Placement.Owners().Ranked(j.pools[unit].Name()) {
		if d.ID == j.ID {
			return path{}, false
		}
		p := path{owner: j.owners.get(d)}
		if slices.Contains(tried, p) || j.cutFrom(d.DataCentre) {
			continue
		}
		if !p.owner.failed() {
			return p, true
		}
		if p.owner.due(now) {
			go j.probe(p.owner)
		}
	}
	return path{}, false
}

// replica returns the best replica of a unit. A first attempt probes a suspected
// target now and then.
func (s *selector) replica(unit int, tried []path, now time.Time) (path, bool) {
	var best, last *cataloger.Replica
	var least time.Duration
	for _, r := range s.job.pools[unit].Replicas() {
		if slices.Contains(tried, path{replica: r}) || r.Leaving(now) {
			continue
		}
		if r.Vanished() || s.job.cutFrom(r.DataCentre()) {
			last = r
			continue
		}
		if len(tried) == 0 && s.job.route.GetIdempotent() && r.Estimator().Suspected() && r.Estimator().Probe(now) {
			return path{replica: r}, true
		}
		if d := s.expected(r, now); best == nil || d < least {
			best, least = r, d
		}
	}
	if best == nil {
		best = last
	}
	return path{replica: best}, best != nil
}

// expected returns when a target would answer one more request, the repetition of
// what it refuses or fails included.
func (s *selector) expected(r *cataloger.Replica, now time.Time) time.Duration {
	d := r.Estimator().Cost(now)
	if r.DataCentre() != s.job.DataCentre {
		d += s.job.RemotePenalty
	}
	return d
}

// HedgeDelay implements router.Chooser.
func (s *selector) HedgeDelay(p path) time.Duration {
	if !s.job.route.GetIdempotent() {
		return s.job.request.Deadline.Sub(s.job.request.Received)
	}
	if s.Failed(p, time.Time{}) {
		return 0
	}
	if p.owner != nil {
		return p.owner.late()
	}
	late := s.job.route.Pace().LateAfter()
	left := s.job.goal.Sub(s.job.Clock.Now()) - hedgeFactor*s.job.route.Pace().MedianLatency()
	return min(late, max(left, late/2))
}

// Prompt implements router.Chooser.
func (s *selector) Prompt(_ int, p path, now time.Time) bool {
	if p.owner != nil {
		return !p.owner.failed()
	}
	left := s.job.goal.Sub(now)
	d := s.expected(p.replica, now)
	return d <= s.job.route.Pace().SlowThreshold()+s.job.RemotePenalty || left > 0 && d < left
}

// Failed implements router.Chooser.
func (s *selector) Failed(p path, _ time.Time) bool {
	if p.owner != nil {
		return p.owner.failed() || s.job.cutFrom(p.owner.datacentre)
	}
	return p.replica.Gone() || p.replica.Estimator().Suspected() || s.job.cutFrom(p.replica.DataCentre())
}

// purse charges extra sub-requests to the budget of their pool.
type purse struct {
	job *job
}

// Sent implements router.Budget. What is asked for is counted when it is sent to
// a target.
func (p *purse) Sent(int) {
	if !p.job.root {
		return
	}
	for _, one := range p.job.pools {
		one.Budget().Received()
	}
}

// Hedge implements router.Budget.
func (p *purse) Hedge(unit int, _ time.Time) bool { return p.take(unit) }

// Retry implements router.Budget.
func (p *purse) Retry(unit int, _ time.Time) bool { return p.take(unit) }

// Failover implements router.Budget. Leaving an owner that has not acknowledged is
// free: no target was asked.
func (p *purse) Failover(unit int, _ time.Time) bool {
	for _, a := range p.job.open {
		if a.path.owner == nil && slices.Contains(a.units, unit) || a.accepted && slices.Contains(a.units, unit) {
			return p.take(unit)
		}
	}
	return true
}

func (p *purse) take(unit int) bool {
	if !p.job.confirmed {
		return false
	}
	b := p.job.pools[unit].Budget()
	return b.TakeAsked() || p.job.root && b.TakeReceived()
}
