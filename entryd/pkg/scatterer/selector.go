package scatterer

import (
	"slices"
	"time"

	"plantaincleat/entryd/pkg/cataloger"
	"plantaincleat/tier/pkg/ranker"
)

const (
	// hedgeLatencyFactor times the median latency is the time that is reserved for a hedge
	// to be answered before the goal.
	hedgeLatencyFactor = 2
)

// selector implements router.Chooser. It sends a unit to the daemon that owns the
// shard or, if there is none in service, to the replica with the lowest expected cost. If this
// daemon does not reach the replicas, it sends the unit to another daemon that does.
type selector struct {
	job *job
}

// Choose implements router.Chooser.
func (s *selector) Choose(unit int, tried []destination, now time.Time) (destination, bool) {
	if s.job.mayNotSend() {
		return destination{}, false
	}
	if s.job.inTrial() {
		return s.chooseForTrial(unit, tried, now)
	}
	if dest, ok := s.chooseOwner(unit, tried, now); ok {
		return dest, true
	}
	if dest, ok := s.chooseReplica(unit, tried, now); ok {
		return dest, true
	}
	return s.chooseRelay(unit, tried, now)
}

// chooseOwner returns the first owner of a unit's shard that is in service and reaches targets
// of it. It returns false if this daemon precedes it in the ranking, or if there is none.
func (s *selector) chooseOwner(unit int, tried []destination, now time.Time) (destination, bool) {
	j := s.job
	if !j.root || !j.route.Scattered() || j.Placement == nil {
		return destination{}, false
	}
	pool := j.pools[unit]
	ranked := j.Placement.Owners().Ranked(pool.Name())
	for _, d := range ranked {
		if j.passedOver(d, ranked, pool, now) {
			continue
		}
		if d.ID == j.ID {
			return destination{}, false
		}
		dest := destination{owner: j.owners.get(d)}
		if slices.Contains(tried, dest) || j.partitionedFrom(d.DataCentre) {
			continue
		}
		if !dest.owner.outOfService(now) {
			return dest, true
		}
		if dest.owner.probeDue(now) {
			go j.probeOwner(dest.owner)
		}
	}
	return destination{}, false
}

// chooseReplica returns the replica of a unit with the lowest expected cost, or that of
// rankSuspects if the request is suspected of crashing targets. The first attempt may go
// to a suspected replica to probe it. Vanished replicas and those in
// data centres from which the daemon is partitioned are the last resort.
func (s *selector) chooseReplica(unit int, tried []destination, now time.Time) (destination, bool) {
	if s.job.isolated() || !s.job.sample(unit, now) {
		return destination{}, false
	}
	var best, lastResort *cataloger.Replica
	var lowest time.Duration
	var usable []*cataloger.Replica
	for _, r := range s.job.pools[unit].Replicas() {
		if slices.Contains(tried, destination{replica: r}) || r.Unavailable(now) || !r.State().LimitedUntil(now).IsZero() {
			continue
		}
		if r.Vanished() || s.job.partitionedFrom(r.DataCentre()) {
			lastResort = r
			continue
		}
		if s.job.plan.Suspected && !r.Estimator().Suspected() {
			usable = append(usable, r)
		}
		if len(tried) == 0 && s.job.route.GetIdempotent() && r.Estimator().Suspected() && r.Estimator().Probe(now) {
			return destination{replica: r}, true
		}
		if cost := s.expectedCost(r, now); best == nil || cost < lowest {
			best, lowest = r, cost
		}
	}
	switch {
	case best == nil:
		best = lastResort
	case len(usable) > 0:
		best = s.rankSuspects(usable)
	}
	return destination{replica: best}, best != nil
}

// rankSuspects returns the replica for a request that is suspected of crashing targets.
// Daemons send different requests to different replicas as far as possible, so that the
// end of a target is not blamed on two of them.
func (s *selector) rankSuspects(replicas []*cataloger.Replica) *cataloger.Replica {
	return ranker.Rank(replicas, s.job.plan.Subject().String(), (*cataloger.Replica).ID)[0]
}

// expectedCost returns the time that a target needs to answer one more request. It
// includes the expected cost of repeating refused and failed requests, and the
// penalty for a remote data centre.
func (s *selector) expectedCost(r *cataloger.Replica, now time.Time) time.Duration {
	cost := r.Estimator().Cost(now)
	if r.DataCentre() != s.job.DataCentre {
		cost += s.job.RemotePenalty
	}
	return cost
}

// HedgeDelay implements router.Chooser. For a request that is not idempotent, it
// returns the whole time until the deadline. Otherwise it returns zero for a failed
// destination, and the acknowledgement timeout for an owner. For a target, it returns
// the time after which a sub-request counts as late. It shortens that time, but to no
// less than half, if a hedge sent then would not be answered before the goal.
func (s *selector) HedgeDelay(dest destination) time.Duration {
	if !s.job.route.GetIdempotent() {
		return s.job.request.Deadline.Sub(s.job.request.Received)
	}
	if s.Failed(dest, s.job.Clock.Now()) {
		return 0
	}
	if dest.owner != nil {
		return dest.owner.ackTimeout()
	}
	late := s.job.route.Latencies().LateAfter()
	left := s.job.goal.Sub(s.job.Clock.Now()) - hedgeLatencyFactor*s.job.route.Latencies().MedianLatency()
	return min(late, max(left, late/2))
}

// Prompt implements router.Chooser. It reports whether an owner is in service, or
// whether a target is expected to answer before the goal or within the threshold for
// slow targets.
func (s *selector) Prompt(_ int, dest destination, now time.Time) bool {
	if dest.owner != nil {
		return !dest.owner.outOfService(now)
	}
	left := s.job.goal.Sub(now)
	d := s.expectedCost(dest.replica, now)
	return d <= s.job.route.Latencies().SlowThreshold()+s.job.RemotePenalty || left > 0 && d < left
}

// Failed implements router.Chooser.
func (s *selector) Failed(dest destination, now time.Time) bool {
	if dest.owner != nil {
		return dest.owner.outOfService(now) || s.job.Placement.Isolated(dest.owner.id) || s.job.partitionedFrom(dest.owner.datacentre)
	}
	return dest.replica.Replaced() || dest.replica.Estimator().Suspected() || s.job.partitionedFrom(dest.replica.DataCentre())
}
