// Package latencytracker tells when a sub-request is late and when a target is slow, by
// the answers of all targets.
package latencytracker

import (
	"sync"
	"sync/atomic"
	"time"

	"plantaincleat/entryd/pkg/estimator"
)

const (
	// pacePrior is the latency assumed before the first answers.
	pacePrior = 20 * time.Millisecond
	// paceRefresh is the number of samples after which quantiles are computed
	// again.
	paceRefresh = 64
	// lateFactor times the 95th percentile of the latency of all sub-requests
	// is when one of them counts as late.
	lateFactor = 1.25
	// minLate and maxLate bound that time.
	minLate = time.Millisecond
	maxLate = 100 * time.Millisecond
	// slowFactor times the median service time of all targets is the expected
	// finish from which a target counts as slow.
	slowFactor = 3
)

// Tracker holds the recent latencies of all targets: one slow target does not move
// it. The zero value starts from a prior. It is safe for concurrent use.
type Tracker struct {
	latency quantile
	median  quantile
	service quantile
}

// Add records the latency of an answer at an offset from any fixed time, and
// the service time behind it.
func (p *Tracker) Add(at, latency, service time.Duration) {
	p.latency.add(at, latency, 0.95)
	p.median.add(at, latency, 0.5)
	p.service.add(at, service, 0.5)
}

// LateAfter returns the time after which a sub-request counts as late.
func (p *Tracker) LateAfter() time.Duration {
	d := p.latency.get()
	if d == 0 {
		return pacePrior
	}
	return min(max(time.Duration(lateFactor*float64(d)), minLate), maxLate)
}

// MedianLatency returns the median latency of a sub-request.
func (p *Tracker) MedianLatency() time.Duration {
	if d := p.median.get(); d > 0 {
		return d
	}
	return pacePrior
}

// SlowThreshold returns the expected finish from which a target counts as slow.
func (p *Tracker) SlowThreshold() time.Duration {
	d := p.service.get()
	if d == 0 {
		d = pacePrior
	}
	return slowFactor * d
}

// quantile publishes one quantile of recent samples.
type quantile struct {
	published atomic.Int64

	mu      sync.Mutex
	sketch  estimator.Sketch
	samples int
}

func (q *quantile) add(at, sample time.Duration, share float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.sketch.Add(at, sample)
	q.samples++
	if q.samples > paceRefresh && q.samples%paceRefresh != 0 {
		return
	}
	var out [1]time.Duration
	if q.sketch.Quantiles([]float64{share}, out[:]) {
		q.published.Store(int64(out[0]))
	}
}

func (q *quantile) get() time.Duration { return time.Duration(q.published.Load()) }
