package scatterer

import (
	"fmt"
	"log/slog"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"plantaincleat/entryd/pkg/cataloger"
	"plantaincleat/entryd/pkg/crashtracker"
	"plantaincleat/entryd/pkg/valuer"
	"plantaincleat/tier/gen/peer"
)

// minReportedLatency is the expected latency of a shard from which its owner reports
// it to other daemons.
const minReportedLatency = 20 * time.Millisecond

// bestLatency returns the lowest expected latency of the replicas of a pool for a request of
// a rank, and the part of it that is not spent waiting, or zeros if the pool has no usable
// replica. A request does not wait for less urgent ones that are not on a connection yet.
func (s *Scatterer) bestLatency(p *cataloger.Pool, rank uint32, now time.Time) (best, service time.Duration) {
	found := false
	for _, r := range p.Replicas() {
		if r.Unavailable(now) || r.Vanished() {
			continue
		}
		e := r.Estimator()
		d := e.ExpectedLatency(now) - e.WaitFor(r.Client().LessUrgent(rank))
		if !found || d < best {
			best, service, found = d, e.Service(), true
		}
	}
	return best, min(service, best)
}

// loadOf returns the load of a shard that this daemon sends requests to.
func (s *Scatterer) loadOf(p *cataloger.Pool, urgent uint32, now time.Time) valuer.Load {
	latency, service := s.bestLatency(p, math.MaxUint32, now)
	load := valuer.Load{
		Latency: latency,
		Urgent:  latency,
		Service: service,
	}
	if latency >= minReportedLatency {
		load.Urgent, _ = s.bestLatency(p, urgent, now)
	}
	return load
}

// mostUrgent returns the rank of the most urgent route over shards.
func mostUrgent(catalog *cataloger.Catalog) uint32 {
	urgent := uint32(math.MaxUint32)
	for route := range catalog.Routes() {
		if route.Scattered() {
			urgent = min(urgent, route.GetRank())
		}
	}
	return urgent
}

// recordLoads records the latencies that an owner expects for its shards, and of which of them
// it reaches no target. A shard that is not in the reply counts as idle.
func (j *job) recordLoads(a *attempt, reply *peer.ScatterReply, now time.Time) {
	loads := make(map[uint32]valuer.Load, len(reply.GetLoads()))
	for _, l := range reply.GetLoads() {
		loads[l.GetShard()] = decodeLoad(l)
	}
	unreached := make(map[uint32]bool)
	for _, index := range reply.GetUnreached() {
		unreached[index] = true
	}
	for index, u := range a.units {
		j.unreached.record(now, a.dest.owner.id, j.pools[u].Name(), unreached[uint32(index)])
		j.forecast.RecordLoad(now, a.dest.owner.id, j.pools[u].Name(), loads[uint32(index)])
	}
}

// encodeLoad returns the report of the load of a shard.
func encodeLoad(shard int, load valuer.Load) *peer.ScatterLoad {
	return &peer.ScatterLoad{
		Shard:   uint32(shard),
		Finish:  uint32(load.Latency.Milliseconds()),
		Urgent:  proto.Uint32(uint32(max(load.Urgent, 0).Milliseconds())),
		Service: uint32(load.Service.Milliseconds()),
	}
}

// decodeLoad returns the load in a report. That of an earlier build counts for all
// priorities.
func decodeLoad(l *peer.ScatterLoad) valuer.Load {
	load := valuer.Load{
		Latency: time.Duration(l.GetFinish()) * time.Millisecond,
		Service: time.Duration(l.GetService()) * time.Millisecond,
	}
	load.Urgent = load.Latency
	if l.Urgent != nil {
		load.Urgent = min(load.Latency, time.Duration(l.GetUrgent())*time.Millisecond)
	}
	return load
}

// refuseOverloaded returns a refusal if the request is worth more when it returns later, and
// nil otherwise.
func (s *Scatterer) refuseOverloaded(r *Request, catalog *cataloger.Catalog, route *cataloger.Route, subject crashtracker.Subject) *Result {
	now := s.Clock.Now()
	returned := s.returns.Take(now, subject)
	if returned {
		s.tally.RecordReturned(r.Rank)
	}
	if !route.Scattered() {
		return s.refuseFull(r, route, now)
	}
	q := valuer.Query{
		Route:     route.GetName(),
		Left:      s.goal(r, route).Sub(now),
		Remaining: r.Deadline.Sub(now),
		Floor:     route.GetFloor(),
		Late:      lateWorth(r, route),
		Returned:  returned,
	}
	urgent := mostUrgent(catalog)
	for _, p := range route.Pools() {
		load := s.shardLoad(p, urgent, now)
		latency := load.Latency
		if r.Rank <= urgent {
			latency = load.Urgent
		}
		q.Latencies = append(q.Latencies, latency)
		q.Services = append(q.Services, load.Service)
	}
	wait, ok := s.forecast.Admit(now, q)
	if ok {
		return nil
	}
	res := s.refuseForRoom(r, route, kindOf(catalog, r.Rank), wait)
	res.LateShards = s.lateShards(route, &q, now)
	return res
}

// refuseFull returns a refusal if no target of a route without shards is expected to answer
// before the deadline because of what waits for it, and nil otherwise.
func (s *Scatterer) refuseFull(r *Request, route *cataloger.Route, now time.Time) *Result {
	best := time.Duration(math.MaxInt64)
	for _, p := range route.Pools() {
		for _, replica := range p.Replicas() {
			if replica.Unavailable(now) || replica.Vanished() {
				continue
			}
			if replica.Estimator().Suspected() {
				// Its queue says nothing of the room, and it may answer again.
				return nil
			}
			e := replica.Estimator()
			best = min(best, e.ExpectedLatency(now)-e.WaitFor(replica.Client().LessUrgent(r.Rank)))
		}
	}
	if best == math.MaxInt64 {
		return nil
	}
	wait, ok := s.forecast.AdmitSingle(now, route.GetName(), best, r.Deadline.Sub(now))
	if ok {
		return nil
	}
	return s.refuseForRoom(r, route, valuer.OnlyKind, wait)
}

// refuseForRoom returns the refusal of a request for which there is no room before a time.
func (s *Scatterer) refuseForRoom(r *Request, route *cataloger.Route, kind valuer.Kind, wait time.Duration) *Result {
	now := s.Clock.Now()
	s.tally.RecordRefused(r.Rank)
	if counts, due := s.tally.Due(now); due {
		slog.Info("too little room: requests were refused or turned away", "by_rank", counts)
	}
	after := valuer.RetryAfter(wait, minRetry, r.longestRetry(now), kind, rand.Float64())
	return refuse(route, peer.Reason_REASON_SHED, after)
}

// recordRefusal remembers a request that was refused for too little room, so that it is
// preferred when it returns.
func (s *Scatterer) recordRefusal(res *Result) {
	if res.Outcome == Refused && res.Reason == peer.Reason_REASON_SHED {
		s.returns.Record(s.Clock.Now(), res.Subject, res.RetryAfter)
	}
}

// Room returns who waited and who was turned away, by priority.
func (s *Scatterer) Room() []valuer.KindCounts { return s.tally.Counts() }

// kindOf returns how urgent a rank is among those of a catalog's routes over shards.
func kindOf(catalog *cataloger.Catalog, rank uint32) valuer.Kind {
	kind := valuer.OnlyKind
	for other := range catalog.Routes() {
		switch {
		case !other.Scattered():
		case other.GetRank() < rank:
			return valuer.LessUrgent
		case other.GetRank() > rank:
			kind = valuer.MostUrgent
		}
	}
	return kind
}

// lateWorth returns the worth of a late answer to a request.
func lateWorth(r *Request, route *cataloger.Route) float64 {
	return valuer.LateWorth(route.GetGoal().AsDuration(), r.Deadline.Sub(r.Received))
}

// lateShards describes the shards that count as late in a forecast: how many of them each
// daemon has reported, and the highest latency.
func (s *Scatterer) lateShards(route *cataloger.Route, q *valuer.Query, now time.Time) []string {
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

// shardLoad returns the load of a shard. If another daemon sends to it, it is that which the
// daemon has reported.
func (s *Scatterer) shardLoad(p *cataloger.Pool, urgent uint32, now time.Time) valuer.Load {
	if owner := s.sender(p, now); owner != s.ID {
		return s.forecast.Load(now, owner, p.Name())
	}
	return s.loadOf(p, urgent, now)
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
