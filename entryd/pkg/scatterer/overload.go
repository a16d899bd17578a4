package scatterer

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"plantaincleat/entryd/pkg/cataloger"
	"plantaincleat/entryd/pkg/forecaster"
	"plantaincleat/tier/gen/peer"
)

// minReportedLatency is the expected latency of a shard from which its owner reports
// it to other daemons.
const minReportedLatency = 20 * time.Millisecond

// bestLatency returns the lowest expected latency of the replicas of a pool, or zero if
// the pool has no usable replica.
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

// recordLoads records the latencies that an owner expects for its shards, and of which of them
// it reaches no target. A shard that is not in the reply counts as idle.
func (j *job) recordLoads(a *attempt, reply *peer.ScatterReply, now time.Time) {
	latencies := make(map[uint32]time.Duration, len(reply.GetLoads()))
	for _, l := range reply.GetLoads() {
		latencies[l.GetShard()] = time.Duration(l.GetFinish()) * time.Millisecond
	}
	unreached := make(map[uint32]bool)
	for _, index := range reply.GetUnreached() {
		unreached[index] = true
	}
	for index, u := range a.units {
		j.unreached.record(now, a.dest.owner.id, j.pools[u].Name(), unreached[uint32(index)])
		j.forecast.RecordLatency(now, a.dest.owner.id, j.pools[u].Name(), latencies[uint32(index)])
	}
}

// refuseOverloaded returns a refusal if too few shards of the route are expected to
// answer before the goal, and nil otherwise.
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
	res := refuse(route, peer.Reason_REASON_SHED, min(max(wait, minRetry), r.longestRetry(now)))
	res.LateShards = s.lateShards(route, &q, now)
	return res
}

// lateShards describes the shards that count as late in a forecast: how many of them each
// daemon has reported, and the highest latency.
func (s *Scatterer) lateShards(route *cataloger.Route, q *forecaster.Query, now time.Time) []string {
	counts := make(map[string]int)
	highest := make(map[string]time.Duration)
	for i, p := range route.Pools() {
		if d := q.Latencies[i]; d > q.MaxLatency() {
			reporter := s.sender(p, now)
			counts[reporter]++
			highest[reporter] = max(highest[reporter], d)
		}
	}
	var out []string
	for _, reporter := range slices.Sorted(maps.Keys(counts)) {
		out = append(out, fmt.Sprintf("%d shards of %s, up to %v", counts[reporter], reporter, highest[reporter].Round(time.Millisecond)))
	}
	return out
}

// shardLatency returns the latency that is expected for one more request to a shard.
// If another daemon sends it, it is the latency which that daemon has reported.
func (s *Scatterer) shardLatency(p *cataloger.Pool, now time.Time) time.Duration {
	if owner := s.sender(p, now); owner != s.ID {
		return s.forecast.ExpectedLatency(now, owner, p.Name())
	}
	return s.bestLatency(p, now)
}

// sender returns the id of the daemon that sends the next request to a shard: the first of its
// owners that reaches targets of it, or else the first one. Without owners it is this daemon.
func (s *Scatterer) sender(p *cataloger.Pool, now time.Time) string {
	if s.Placement == nil {
		return s.ID
	}
	ranked := s.Placement.Owners().Ranked(p.Name())
	for _, d := range ranked {
		if !s.passedOver(d, ranked, p, now) {
			return d.ID
		}
	}
	return s.ID
}
