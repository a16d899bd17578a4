package valuer

import (
	"sync"
	"time"
)

const (
	// maxWaitFraction is the largest expected latency of a shard, and the longest wait of
	// a request for less urgent ones, as a fraction of the time left until the goal. A
	// shard with a higher expected latency counts as late.
	maxWaitFraction = 0.5
	// reportLife is the age at which a report of another daemon is ignored.
	reportLife = 400 * time.Millisecond
	// probeInterval is the time between two requests of a route that are admitted
	// regardless of the forecast. Without them, the end of an overload would not
	// be noticed.
	probeInterval = 250 * time.Millisecond
)

// Forecast keeps the expected latency of each shard, as reported by the
// shard's owner. The zero value is ready for use. It is safe for concurrent use.
type Forecast struct {
	mu sync.Mutex
	// reports holds the last report of each shard that is not idle.
	reports map[string]report
	// lastProbes holds, for each route, the time of the last request that was
	// admitted in spite of the forecast.
	lastProbes map[string]time.Time
}

// Load is the expected latency of one more request to a shard.
type Load struct {
	// Latency is that of a request of the least urgent priority.
	Latency time.Duration
	// Urgent is that of a request of the most urgent priority. It is at most Latency.
	Urgent time.Duration
	// Service is the part of both that is not spent waiting. Zero means that it is not
	// known.
	Service time.Duration
}

// report is the load of a shard at the time of its owner's reply.
type report struct {
	owner string
	load  Load
	at    time.Time
}

// RecordLoad records the load that the owner of a shard, given by its id, expects. A latency
// of zero or less marks the shard as idle and removes its report.
func (f *Forecast) RecordLoad(now time.Time, owner, shard string, load Load) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.reports == nil {
		f.reports = make(map[string]report)
	}
	if load.Latency <= 0 {
		delete(f.reports, shard)
		return
	}
	f.reports[shard] = report{
		owner: owner,
		load:  load,
		at:    now,
	}
}

// Load returns the load of a shard. It is that reported by the shard's owner, with latencies
// that are shorter by the age of the report, because the queue drains in the meantime. It
// returns zero if there is no recent report of that owner: the word of another one may tell
// of its own links.
func (f *Forecast) Load(now time.Time, owner, shard string) Load {
	f.mu.Lock()
	defer f.mu.Unlock()
	last, ok := f.reports[shard]
	age := now.Sub(last.at)
	if !ok || last.owner != owner || age >= reportLife {
		return Load{}
	}
	return Load{
		Latency: max(last.load.Latency-age, 0),
		Urgent:  max(last.load.Urgent-age, 0),
		Service: last.load.Service,
	}
}

// Query describes a request for which Admit makes a forecast.
type Query struct {
	// Route is the name of the route. Probes are counted per route.
	Route string
	// Left is the time until the goal, and Remaining that until the deadline. A Remaining
	// of zero means that the deadline is not known.
	Left, Remaining time.Duration
	// Floor is the minimum fraction of shards that an answer has to cover.
	Floor float64
	// Late is the worth of a late answer, as returned by LateWorth.
	Late float64
	// Returned is true if the request was refused before.
	Returned bool
	// Latencies holds the expected latency of each shard at the priority of the request.
	Latencies []time.Duration
	// Services holds the part of each latency that is not spent waiting. It may be nil.
	Services []time.Duration
}

// MaxLatency returns the expected latency above which a shard counts as late. The forecast
// is not exact, so that it is a part of the time that is left. A request that was refused
// before has all of it: what is too little for a newcomer is left to it.
func (q *Query) MaxLatency() time.Duration {
	if q.Returned {
		return q.Left
	}
	return time.Duration(maxWaitFraction * float64(q.Left))
}

// enough reports whether an answer without a number of shards covers the floor.
func (q *Query) enough(without int) bool {
	n := float64(len(q.Latencies))
	return n-float64(without) >= q.Floor*n
}

// refuse reports whether the request is worth more if it returns later.
func (q *Query) refuse() bool {
	limit := q.MaxLatency()
	if q.enough(countAbove(q.Latencies, limit)) {
		return false
	}
	if q.Remaining > 0 && !q.enough(countAbove(q.Latencies, q.Remaining)) {
		return true
	}
	// Without the queues, the shards would answer within their service times.
	back := q.Late
	if q.enough(countAbove(q.Services, limit)) {
		back = returnWorth(q.Late)
	}
	return back > q.Late
}

func countAbove(list []time.Duration, limit time.Duration) int {
	n := 0
	for _, d := range list {
		if d > limit {
			n++
		}
	}
	return n
}

// Admit reports whether a request should be sent. If it returns false, wait is the
// time until the first of the late shards is expected to answer in time again.
func (f *Forecast) Admit(now time.Time, q Query) (wait time.Duration, ok bool) {
	if !q.refuse() || f.probe(now, q.Route) {
		return 0, true
	}
	limit := q.MaxLatency()
	for _, d := range q.Latencies {
		if excess := d - limit; excess > 0 && (wait == 0 || excess < wait) {
			wait = excess
		}
	}
	return wait, false
}

// AdmitSingle reports whether a request to one target should be sent. It should not if it is
// known to fail: no target of its pool is expected to answer before the deadline. If it
// returns false, wait is the time until one is.
func (f *Forecast) AdmitSingle(now time.Time, route string, latency, remaining time.Duration) (wait time.Duration, ok bool) {
	if latency <= remaining || f.probe(now, route) {
		return 0, true
	}
	return latency - remaining, false
}

// probe reports whether a request is admitted in spite of the forecast.
func (f *Forecast) probe(now time.Time, route string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if now.Sub(f.lastProbes[route]) < probeInterval {
		return false
	}
	if f.lastProbes == nil {
		f.lastProbes = make(map[string]time.Time)
	}
	f.lastProbes[route] = now
	return true
}
