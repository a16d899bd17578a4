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
	// maxMedianAge is the age of the last completion at which the recent
	// service time no longer refuses.
	maxMedianAge = time.Second
	// medianRefresh is the number of completions after which the median is
	// computed.
	medianRefresh = 8
	// minCompletions is the number of completions before a median refuses.
	minCompletions = 16
)

// institutionState is the state of one institution.
type institutionState struct {
	name        string
	rate        float64
	concurrency float64
	removed     bool

	// quota is this daemon's part of the concurrency; zero has no limit.
	quota        int
	bucket       tokenBucket
	offered      rateMeter
	inFlight     int
	peakInFlight int
	queue        queue
	classes      map[string]*classState
}

// configure takes the institution's terms.
func (t *institutionState) configure(i *config.Institution) {
	t.name = i.GetName()
	t.rate = i.GetRate()
	t.concurrency = float64(i.GetConcurrency())
	t.removed = false
}

// class returns the state of a class. Classes beyond the bound share one.
func (t *institutionState) class(name string) *classState {
	c := t.classes[name]
	if c != nil {
		return c
	}
	if len(t.classes) >= maxClasses {
		name = ""
	}
	if c = t.classes[name]; c == nil {
		c = &classState{}
		t.classes[name] = c
	}
	return c
}

// demand returns the concurrency that the institution asks of this daemon: the
// highest since the last call, or what its offered rate would need.
func (t *institutionState) demand(now time.Time) uint32 {
	needed := 0.0
	for _, c := range t.classes {
		needed = max(needed, t.offered.value(now)*c.median.Seconds())
	}
	peak := max(t.peakInFlight, t.inFlight+len(t.queue))
	t.peakInFlight = t.inFlight
	return uint32(max(float64(peak), min(math.Ceil(needed), math.MaxUint32)))
}

// usesLess reports whether the institution uses less in proportion to its terms
// than another one. The name decides between equals.
func (t *institutionState) usesLess(other *institutionState) bool {
	mine := float64(t.inFlight) * other.weight()
	theirs := float64(other.inFlight) * t.weight()
	if mine != theirs {
		return mine < theirs
	}
	return t.name < other.name
}

// weight returns the institution's weight when the daemon is full.
func (t *institutionState) weight() float64 {
	return max(t.concurrency, 1)
}

// classState is the state of one class of an institution.
type classState struct {
	sketch         estimator.Sketch
	completions    int
	median         time.Duration
	start          time.Time
	lastCompletion time.Time
}

// add records the latency of a completed request.
func (c *classState) add(now time.Time, latency time.Duration) {
	if c.start.IsZero() {
		c.start = now
	}
	c.sketch.Add(now.Sub(c.start), latency)
	c.completions++
	c.lastCompletion = now
	if c.completions%medianRefresh != 0 {
		return
	}
	var out [1]time.Duration
	if c.sketch.Quantiles([]float64{0.5}, out[:]) {
		c.median = out[0]
	}
}

// expected returns the median of recent latencies, or zero if there are too
// few or none in the last second. In the latter case one request passes in
// each second, so that the median is measured anew.
func (c *classState) expected(now time.Time) time.Duration {
	if c.completions < minCompletions {
		return 0
	}
	if now.Sub(c.lastCompletion) >= maxMedianAge {
		c.lastCompletion = now
		return 0
	}
	return c.median
}
