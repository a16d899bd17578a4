package gatherer

import (
	"sync"
	"sync/atomic"
	"time"

	"plantaincleat/entryd/pkg/estimator"
)

const (
	// pacePrior is the latency assumed before the first answers.
	pacePrior = 20 * time.Millisecond
	// paceRefresh is the number of samples after which the quantile is
	// computed again.
	paceRefresh = 64
	// lateFactor times the 95th percentile of the latency of all sub-requests
	// is when one of them counts as late.
	lateFactor = 1.25
	// minLate and maxLate bound that time.
	minLate = time.Millisecond
	maxLate = 100 * time.Millisecond
)

// pace tells when a sub-request is late, by the latencies of all targets of
// the gatherer: one slow target does not move it. The zero value starts from a
// prior. It is safe for concurrent use.
type pace struct {
	published atomic.Int64

	mu      sync.Mutex
	sketch  estimator.Sketch
	samples int
}

func (p *pace) add(at, latency time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sketch.Add(at, latency)
	p.samples++
	if p.samples > paceRefresh && p.samples%paceRefresh != 0 {
		return
	}
	var out [1]time.Duration
	if p.sketch.Quantiles([]float64{0.95}, out[:]) {
		p.published.Store(int64(out[0]))
	}
}

// late returns the time after which a sub-request counts as late.
func (p *pace) late() time.Duration {
	d := time.Duration(p.published.Load())
	if d == 0 {
		return pacePrior
	}
	return min(max(time.Duration(lateFactor*float64(d)), minLate), maxLate)
}
