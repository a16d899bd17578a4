package scatterer

import (
	"time"

	"plantaincleat/entryd/pkg/cataloger"
	"plantaincleat/entryd/pkg/forecaster"
	"plantaincleat/tier/gen/peer"
)

// minReportedLatency is the expected finish from which an owner tells others of it.
const minReportedLatency = 20 * time.Millisecond

// bestLatency returns when the best replica of a pool would answer one more request.
func (s *Scatterer) bestLatency(p *cataloger.Pool, now time.Time) time.Duration {
	var best time.Duration
	found := false
	for _, r := range p.Replicas() {
		if r.Unavailable(now) || r.Vanished() {
			continue
		}
		if d := r.Estimator().ExpectedLatency(now); !found || d < best {
			best, found = d, true
		}
	}
	return best
}

// recordLoads takes in what an owner says of the queues of its shards.
func (j *job) recordLoads(a *attempt, reply *peer.ScatterReply, now time.Time) {
	finishes := make(map[uint32]time.Duration, len(reply.GetLoads()))
	for _, l := range reply.GetLoads() {
		finishes[l.GetShard()] = time.Duration(l.GetFinish()) * time.Millisecond
	}
	for place, u := range a.units {
		j.forecast.RecordLatency(now, j.pools[u].Name(), finishes[uint32(place)])
	}
}

// refuseOverloaded refuses a request at once if too few of its shards would answer in
// time.
func (s *Scatterer) refuseOverloaded(r *Request, route *cataloger.Route) *Result {
	if !route.Scattered() {
		return nil
	}
	now := s.Clock.Now()
	q := forecaster.Query{
		Route: route.GetName(),
		Left:  s.goal(r, route).Sub(now),
		Floor: route.GetFloor(),
	}
	for _, p := range route.Pools() {
		q.Latencies = append(q.Latencies, s.shardLatency(p, now))
	}
	wait, ok := s.forecast.Admit(now, q)
	if ok {
		return nil
	}
	return &Result{
		Outcome:    Refused,
		Shards:     len(route.Pools()),
		Reason:     peer.Reason_REASON_SHED,
		RetryAfter: min(max(wait, minRetry), r.longestRetry(now)),
	}
}

// shardLatency returns when a shard would answer one more request, by its owner's
// word or, without an owner, by this daemon's own.
func (s *Scatterer) shardLatency(p *cataloger.Pool, now time.Time) time.Duration {
	if s.Placement != nil {
		owners := s.Placement.Owners()
		if line := owners.Ranked(p.Name()); len(line) > 0 && line[0].ID != s.ID {
			return s.forecast.ExpectedLatency(now, p.Name())
		}
	}
	return s.bestLatency(p, now)
}
