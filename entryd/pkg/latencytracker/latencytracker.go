// Package latencytracker computes, from the recent answers of all targets, the time
// after which a sub-request counts as late and the expected latency above which a
// target counts as slow.
package latencytracker

import (
	"sync"
	"sync/atomic"
	"time"

	"plantaincleat/entryd/pkg/estimator"
)

const (
	// priorLatency is the latency and the service time that are assumed before the
	// first answer.
	priorLatency = 20 * time.Millisecond
	// refreshSamples is the number of samples between two computations of a
	// quantile. It is computed with each of the first refreshSamples samples.
	refreshSamples = 64
	// lateFactor multiplied by the 95th percentile of the latency of all
	// sub-requests is the time after which one of them counts as late.
	lateFactor = 1.25
	// minLate and maxLate bound that time.
	minLate = time.Millisecond
	maxLate = 100 * time.Millisecond
	// slowFactor multiplied by the median service time of all targets is the
	// expected latency above which a target counts as slow.
	slowFactor = 3
)

// Tracker tracks the recent latencies and service times over all targets, so that
// one slow target has little influence. The zero value is ready for use and starts
// from priorLatency. It is safe for concurrent use.
type Tracker struct {
	p95Latency    recentQuantile
	medianLatency recentQuantile
	medianService recentQuantile
}

// Add records the latency of an answer and the service time of the request at its
// target. The time of the answer is given as an offset from a fixed time, which must
// be the same in all calls.
func (t *Tracker) Add(at, latency, service time.Duration) {
	t.p95Latency.add(at, latency, 0.95)
	t.medianLatency.add(at, latency, 0.5)
	t.medianService.add(at, service, 0.5)
}

// LateAfter returns the time since its start after which a sub-request counts as
// late.
func (t *Tracker) LateAfter() time.Duration {
	d := t.p95Latency.get()
	if d == 0 {
		return priorLatency
	}
	return min(max(time.Duration(lateFactor*float64(d)), minLate), maxLate)
}

// MedianLatency returns the median latency of recent sub-requests, or priorLatency
// if there were none.
func (t *Tracker) MedianLatency() time.Duration {
	if d := t.medianLatency.get(); d > 0 {
		return d
	}
	return priorLatency
}

// SlowThreshold returns the expected latency of a sub-request above which a target
// counts as slow.
func (t *Tracker) SlowThreshold() time.Duration {
	d := t.medianService.get()
	if d == 0 {
		d = priorLatency
	}
	return slowFactor * d
}

// recentQuantile computes one quantile of recent samples. Reading it takes no lock.
type recentQuantile struct {
	published atomic.Int64

	mu      sync.Mutex
	sketch  estimator.Sketch
	samples int
}

func (q *recentQuantile) add(at, sample time.Duration, fraction float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.sketch.Add(at, sample)
	q.samples++
	if q.samples > refreshSamples && q.samples%refreshSamples != 0 {
		return
	}
	var out [1]time.Duration
	if q.sketch.Quantiles([]float64{fraction}, out[:]) {
		q.published.Store(int64(out[0]))
	}
}

func (q *recentQuantile) get() time.Duration { return time.Duration(q.published.Load()) }
