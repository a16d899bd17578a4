package scatterer

import (
	"slices"
	"time"

	"plantaincleat/entryd/pkg/cataloger"
)

const (
	// hedgeLatencyFactor times the median latency is the time that a hedge needs to be
	// answered before the goal.
	hedgeLatencyFactor = 2
)

// selector chooses the path of a unit: the daemon that owns the shard, or else a
// replica by expected finish.
type selector struct {
	job *job
}

// Choose implements router.Chooser.
func (s *selector) Choose(unit int, tried []destination, now time.Time) (destination, bool) {
	if p, ok := s.chooseOwner(unit, tried, now); ok {
		return p, true
	}
	return s.chooseReplica(unit, tried, now)
}

// chooseOwner returns the first owner of a unit's shard that is in service. ok is
// false if that is this daemon itself, or if there is none.
func (s *selector) chooseOwner(unit int, tried []destination, now time.Time) (destination, bool) {
	j := s.job
	if !j.root || !j.route.Scattered() || j.Placement == nil {
		return destination{}, false
	}
	for _, d := range j.Placement.Owners().Ranked(j.pools[unit].Name()) {
		if d.ID == j.ID {
			return destination{}, false
		}
		p := destination{owner: j.owners.get(d)}
		if slices.Contains(tried, p) || j.partitionedFrom(d.DataCentre) {
			continue
		}
		if !p.owner.outOfService() {
			return p, true
		}
		if p.owner.probeDue(now) {
			go j.probeOwner(p.owner)
		}
	}
	return destination{}, false
}

// chooseReplica returns the best replica of a unit. A first attempt probes a suspected
// target now and then.
func (s *selector) chooseReplica(unit int, tried []destination, now time.Time) (destination, bool) {
	var best, last *cataloger.Replica
	var least time.Duration
	for _, r := range s.job.pools[unit].Replicas() {
		if slices.Contains(tried, destination{replica: r}) || r.Unavailable(now) {
			continue
		}
		if r.Vanished() || s.job.partitionedFrom(r.DataCentre()) {
			last = r
			continue
		}
		if len(tried) == 0 && s.job.route.GetIdempotent() && r.Estimator().Suspected() && r.Estimator().Probe(now) {
			return destination{replica: r}, true
		}
		if d := s.expectedCost(r, now); best == nil || d < least {
			best, least = r, d
		}
	}
	if best == nil {
		best = last
	}
	return destination{replica: best}, best != nil
}

// expectedCost returns when a target would answer one more request, the repetition of
// what it refuses or fails included.
func (s *selector) expectedCost(r *cataloger.Replica, now time.Time) time.Duration {
	d := r.Estimator().Cost(now)
	if r.DataCentre() != s.job.DataCentre {
		d += s.job.RemotePenalty
	}
	return d
}

// HedgeDelay implements router.Chooser.
func (s *selector) HedgeDelay(p destination) time.Duration {
	if !s.job.route.GetIdempotent() {
		return s.job.request.Deadline.Sub(s.job.request.Received)
	}
	if s.Failed(p, time.Time{}) {
		return 0
	}
	if p.owner != nil {
		return p.owner.ackTimeout()
	}
	late := s.job.route.Latencies().LateAfter()
	left := s.job.goal.Sub(s.job.Clock.Now()) - hedgeLatencyFactor*s.job.route.Latencies().MedianLatency()
	return min(late, max(left, late/2))
}

// Prompt implements router.Chooser.
func (s *selector) Prompt(_ int, p destination, now time.Time) bool {
	if p.owner != nil {
		return !p.owner.outOfService()
	}
	left := s.job.goal.Sub(now)
	d := s.expectedCost(p.replica, now)
	return d <= s.job.route.Latencies().SlowThreshold()+s.job.RemotePenalty || left > 0 && d < left
}

// Failed implements router.Chooser.
func (s *selector) Failed(p destination, _ time.Time) bool {
	if p.owner != nil {
		return p.owner.outOfService() || s.job.partitionedFrom(p.owner.datacentre)
	}
	return p.replica.Replaced() || p.replica.Estimator().Suspected() || s.job.partitionedFrom(p.replica.DataCentre())
}

// extraBudget charges extra sub-requests to the budget of their pool.
type extraBudget struct {
	job *job
}

// Sent implements router.Budget. What is asked for is counted when it is sent to
// a target.
func (p *extraBudget) Sent(int) {
	if !p.job.root {
		return
	}
	for _, one := range p.job.pools {
		one.Budget().RecordReceived()
	}
}

// Hedge implements router.Budget.
func (p *extraBudget) Hedge(unit int, _ time.Time) bool { return p.take(unit) }

// Retry implements router.Budget.
func (p *extraBudget) Retry(unit int, _ time.Time) bool { return p.take(unit) }

// Failover implements router.Budget. Leaving an owner that has not acknowledged is
// free: no target was asked.
func (p *extraBudget) Failover(unit int, _ time.Time) bool {
	for _, a := range p.job.open {
		if a.dest.owner == nil && slices.Contains(a.units, unit) || a.accepted && slices.Contains(a.units, unit) {
			return p.take(unit)
		}
	}
	return true
}

func (p *extraBudget) take(unit int) bool {
	if !p.job.confirmed {
		return false
	}
	b := p.job.pools[unit].Budget()
	return b.TakeSent() || p.job.root && b.TakeReceived()
}
