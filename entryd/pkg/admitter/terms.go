package admitter

import (
	"math"
	"time"

	"plantaincleat/entryd/pkg/estimator"
	"plantaincleat/tier/gen/config"
)

const (
	// maxClasses bounds the classes that are tracked for an institution.
	maxClasses = 32
	// staleService is the age of the last completion at which the recent
	// service time no longer refuses.
	staleService = time.Second
	// refresh is the number of completions after which the median is
	// computed.
	refresh = 8
	// minCompletions is the number of completions before a median refuses.
	minCompletions = 16
)

// terms is the state of one institution.
type terms struct {
	name        string
	rate        float64
	concurrency float64
	removed     bool

	// share is this daemon's part of the concurrency; zero has no limit.
	share   int
	bucket  bucket
	offered meter
	flight  int
	peak    int
	queue   queue
	classes map[string]*class
}

// configure takes the institution's terms.
func (t *terms) configure(i *config.Institution) {
	t.name = i.GetName()
	t.rate = i.GetRate()
	t.concurrency = float64(i.GetConcurrency())
	t.removed = false
}

// class returns the state of a class. Classes beyond the bound share one.
func (t *terms) class(name string) *class {
	c := t.classes[name]
	if c != nil {
		return c
	}
	if len(t.classes) >= maxClasses {
		name = ""
	}
	if c = t.classes[name]; c == nil {
		c = &class{}
		t.classes[name] = c
	}
	return c
}

// demand returns the concurrency that the institution asks of this daemon: the
// highest since the last call, or what its offered rate would need.
func (t *terms) demand(now time.Time) uint32 {
	needed := 0.0
	for _, c := range t.classes {
		needed = max(needed, t.offered.value(now)*c.p50.Seconds())
	}
	peak := max(t.peak, t.flight+len(t.queue))
	t.peak = t.flight
	return uint32(max(float64(peak), min(math.Ceil(needed), math.MaxUint32)))
}

// before reports whether the institution uses less in proportion to its terms
// than another one. The name decides between equals.
func (t *terms) before(other *terms) bool {
	mine := float64(t.flight) * other.weight()
	theirs := float64(other.flight) * t.weight()
	if mine != theirs {
		return mine < theirs
	}
	return t.name < other.name
}

// weight returns the institution's weight when the daemon is full.
func (t *terms) weight() float64 {
	return max(t.concurrency, 1)
}

// class is the state of one class of an institution.
type class struct {
	sketch  estimator.Sketch
	n       int
	p50     time.Duration
	origin  time.Time
	updated time.Time
}

// add records the latency of a completed request.
func (c *class) add(now time.Time, latency time.Duration) {
	if c.origin.IsZero() {
		c.origin = now
	}
	c.sketch.Add(now.Sub(c.origin), latency)
	c.n++
	c.updated = now
	if c.n%refresh != 0 {
		return
	}
	var out [1]time.Duration
	if c.sketch.Quantiles([]float64{0.5}, out[:]) {
		c.p50 = out[0]
	}
}

// expected returns the median of recent latencies, or zero if there are too
// few or none in the last second. In the latter case one request passes in
// each second, so that the median is measured anew.
func (c *class) expected(now time.Time) time.Duration {
	if c.n < minCompletions {
		return 0
	}
	if now.Sub(c.updated) >= staleService {
		c.updated = now
		return 0
	}
	return c.p50
}
