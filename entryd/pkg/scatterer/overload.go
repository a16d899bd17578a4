package scatterer

import (
	"cmp"
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

// recordLoads records the latencies that an owner expects for its shards. A shard that
// is not in the reply counts as idle.
func (j *job) recordLoads(a *attempt, reply *peer.ScatterReply, now time.Time) {
	latencies := make(map[uint32]time.Duration, len(reply.GetLoads()))
	for _, l := range reply.GetLoads() {
		latencies[l.GetShard()] = time.Duration(l.GetFinish()) * time.Millisecond
	}
	for index, u := range a.units {
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
	res.LateShards = s.lateShards(route, &q)
	return res
}

// lateShards describes the shards that count as late in a forecast: how many of them each
// daemon has reported, and the highest latency.
func (s *Scatterer) lateShards(route *cataloger.Route, q *forecaster.Query) []string {
	counts := make(map[string]int)
	highest := make(map[string]time.Duration)
	for i, p := range route.Pools() {
		if d := q.Latencies[i]; d > q.MaxLatency() {
			reporter := cmp.Or(s.forecast.Reporter(p.Name()), s.ID)
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
// If another daemon owns the shard, it is the latency which that daemon has reported.
func (s *Scatterer) shardLatency(p *cataloger.Pool, now time.Time) time.Duration {
	if s.Placement != nil {
		owners := s.Placement.Owners()
		if ranked := owners.Ranked(p.Name()); len(ranked) > 0 && ranked[0].ID != s.ID {
			return s.forecast.ExpectedLatency(now, p.Name())
		}
	}
	return s.bestLatency(p, now)
}
