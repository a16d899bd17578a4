package admitter

import (
	"math"
	"time"

	"plantaincleat/entryd/pkg/estimator"
	"plantaincleat/entryd/pkg/sharer"
	"plantaincleat/tier/gen/config"
)

const (
	// maxClasses bounds the number of classes of an institution that are tracked
	// one by one.
	maxClasses = 32
	// maxMedianAge is the time since the last completion after which the median
	// latency is no longer a reason to refuse.
	maxMedianAge = time.Second
	// medianRefresh is the number of completions between two computations of
	// the median.
	medianRefresh = 8
	// minCompletions is the number of completions from which the median latency
	// may be a reason to refuse.
	minCompletions = 16
)

// institutionState holds the limits and the usage of one institution.
type institutionState struct {
	name        string
	rate        float64
	concurrency float64
	removed     bool

	// quota is this daemon's part of the fleet-wide concurrency limit. Zero
	// means that there is no limit.
	quota        int
	bucket       rateBucket
	offered      sharer.Meter
	inFlight     int
	peakInFlight int
	queue        queue
	classes      map[string]*classState
}

// configure sets the institution's name and fleet-wide limits.
func (s *institutionState) configure(i *config.Institution) {
	s.name = i.GetName()
	s.rate = i.GetRate()
	s.concurrency = float64(i.GetConcurrency())
	s.removed = false
}

// class returns the state of a class, which it adds if there is none. Classes
// beyond maxClasses share one state.
func (s *institutionState) class(name string) *classState {
	c := s.classes[name]
	if c != nil {
		return c
	}
	if len(s.classes) >= maxClasses {
		name = ""
	}
	if c = s.classes[name]; c == nil {
		c = &classState{}
		s.classes[name] = c
	}
	return c
}

// demand returns the concurrency that the institution needs at this daemon. It is
// the highest of three numbers: the peak of requests in flight since the last
// call, the requests now in flight or queued, and the offered rate multiplied by
// the highest median latency of a class.
func (s *institutionState) demand(now time.Time) uint32 {
	needed := 0.0
	for _, c := range s.classes {
		needed = max(needed, s.offered.Value(now)*c.median.Seconds())
	}
	peak := max(s.peakInFlight, s.inFlight+len(s.queue))
	s.peakInFlight = s.inFlight
	return uint32(max(float64(peak), min(math.Ceil(needed), math.MaxUint32)))
}

// usesLess reports whether the institution has fewer requests in flight than
// another one in proportion to their weights. Ties are broken by name.
func (s *institutionState) usesLess(other *institutionState) bool {
	mine := float64(s.inFlight) * other.weight()
	theirs := float64(other.inFlight) * s.weight()
	if mine != theirs {
		return mine < theirs
	}
	return s.name < other.name
}

// weight returns the institution's weight in sharing the daemon's concurrency
// limit.
func (s *institutionState) weight() float64 {
	return max(s.concurrency, 1)
}

// classState holds the recent latencies of one class of an institution.
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

// expected returns the expected latency of a request: the median of recent
// latencies. It returns zero if there were fewer than minCompletions, and once in
// each maxMedianAge without a completion, so that a request is admitted and the
// median measured again.
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
