// Package forecaster tells before a request is sent whether enough of its shards
// would answer in time, by the queues of their targets.
//
// Under overload a request that is answered late has used capacity which others
// needed. Refusing it at once keeps the queues short for those that are served.
package forecaster

import (
	"sync"
	"time"
)

const (
	// maxWaitFraction is the part of the time to the goal that may be spent waiting: a
	// shard whose next answer is expected later is taken to be late.
	maxWaitFraction = 0.5
	// reportLife is the age from which what another daemon has said no longer counts.
	reportLife = 400 * time.Millisecond
	// probeInterval is the time between two requests that are let through whatever the
	// forecast, so that a change is noticed.
	probeInterval = 250 * time.Millisecond
)

// Forecaster keeps when each shard would answer one more request. The zero value
// is ready for use. It is safe for concurrent use.
type Forecaster struct {
	mu         sync.Mutex
	reports    map[string]report
	lastProbes map[string]time.Time
}

// report is what the owner of a shard has said.
type report struct {
	latency time.Duration
	at      time.Time
}

// RecordLatency records when a shard would answer one more request.
func (f *Forecaster) RecordLatency(now time.Time, shard string, finish time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.reports == nil {
		f.reports = make(map[string]report)
	}
	if finish <= 0 {
		delete(f.reports, shard)
		return
	}
	f.reports[shard] = report{
		latency: finish,
		at:      now,
	}
}

// ExpectedLatency returns when a shard would answer one more request, zero if nothing
// recent is known. A queue drains as time passes.
func (f *Forecaster) ExpectedLatency(now time.Time, shard string) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	n, ok := f.reports[shard]
	age := now.Sub(n.at)
	if !ok || age >= reportLife {
		return 0
	}
	return max(n.latency-age, 0)
}

// Query is a request for which a forecast is made.
type Query struct {
	// Route names the requests among which one is let through now and then.
	Route string
	// Left is the time to the goal.
	Left time.Duration
	// Floor is the fraction of shards without which there is no answer.
	Floor float64
	// Latencies holds for each shard when it would answer.
	Latencies []time.Duration
}

// Admit reports whether a request should be sent. If not, wait is the time after
// which enough shards are expected to answer in time.
func (f *Forecaster) Admit(now time.Time, q Query) (wait time.Duration, ok bool) {
	limit := time.Duration(maxWaitFraction * float64(q.Left))
	late, shortest := 0, time.Duration(0)
	for _, d := range q.Latencies {
		if d <= limit {
			continue
		}
		late++
		if over := d - limit; shortest == 0 || over < shortest {
			shortest = over
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
