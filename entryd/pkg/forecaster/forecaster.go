// Package forecaster predicts, before a request is sent to its shards, whether
// enough of them will answer before the latency goal. The prediction uses the
// expected latency of each shard, which reflects the queues of its targets.
//
// Under overload, a request that is answered late takes capacity from requests
// that could still be answered in time. Refusing it immediately keeps the queues
// short for the requests that are served.
package forecaster

import (
	"sync"
	"time"
)

const (
	// maxWaitFraction is the largest expected latency of a shard, as a fraction of
	// the time left until the goal. A shard with a higher expected latency counts
	// as late.
	maxWaitFraction = 0.5
	// reportLife is the age at which a report of another daemon is ignored.
	reportLife = 400 * time.Millisecond
	// probeInterval is the time between two requests of a route that are admitted
	// regardless of the forecast. Without them, the end of an overload would not
	// be noticed.
	probeInterval = 250 * time.Millisecond
)

// Forecaster keeps the expected latency of each shard, as reported by the
// shard's owner. The zero value is ready for use. It is safe for concurrent use.
type Forecaster struct {
	mu sync.Mutex
	// reports holds the last report of each shard that is not idle.
	reports map[string]report
	// lastProbes holds, for each route, the time of the last request that was
	// admitted in spite of the forecast.
	lastProbes map[string]time.Time
}

// report is the expected latency of a shard at the time of its owner's reply.
type report struct {
	owner   string
	latency time.Duration
	at      time.Time
}

// RecordLatency records the latency that the owner of a shard, given by its id, expects
// for one more request. A latency of zero or less marks the shard as idle and removes
// its report.
func (f *Forecaster) RecordLatency(now time.Time, owner, shard string, latency time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.reports == nil {
		f.reports = make(map[string]report)
	}
	if latency <= 0 {
		delete(f.reports, shard)
		return
	}
	f.reports[shard] = report{
		owner:   owner,
		latency: latency,
		at:      now,
	}
}

// ExpectedLatency returns the time that a shard needs to answer one more request.
// It is the latency reported by the shard's owner less the age of the report, because the
// queue drains in the meantime. It returns zero if there is no recent report of that owner:
// the word of another one may tell of its own links.
func (f *Forecaster) ExpectedLatency(now time.Time, owner, shard string) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	last, ok := f.reports[shard]
	age := now.Sub(last.at)
	if !ok || last.owner != owner || age >= reportLife {
		return 0
	}
	return max(last.latency-age, 0)
}

// Query describes a request for which Admit makes a forecast.
type Query struct {
	// Route is the name of the route. Probes are counted per route.
	Route string
	// Left is the time until the goal.
	Left time.Duration
	// Floor is the minimum fraction of shards that an answer has to cover.
	Floor float64
	// Latencies holds the expected latency of each shard.
	Latencies []time.Duration
}

// MaxLatency returns the expected latency above which a shard counts as late.
func (q *Query) MaxLatency() time.Duration {
	return time.Duration(maxWaitFraction * float64(q.Left))
}

// Admit reports whether a request should be sent. If it returns false, wait is the
// time until the first of the late shards is expected to answer in time again.
func (f *Forecaster) Admit(now time.Time, q Query) (wait time.Duration, ok bool) {
	limit := q.MaxLatency()
	late, shortest := 0, time.Duration(0)
	for _, d := range q.Latencies {
		if d <= limit {
			continue
		}
		late++
		if excess := d - limit; shortest == 0 || excess < shortest {
			shortest = excess
		}
	}
	n := len(q.Latencies)
	if float64(n-late) >= q.Floor*float64(n) {
		return 0, true
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if now.Sub(f.lastProbes[q.Route]) >= probeInterval {
		if f.lastProbes == nil {
			f.lastProbes = make(map[string]time.Time)
		}
		f.lastProbes[q.Route] = now
		return 0, true
	}
	return shortest, false
}
