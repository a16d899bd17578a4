package admitter

import "time"

const (
	// DefaultLimit is the default initial limit of requests in flight.
	DefaultLimit = 32
	// minLimit and maxLimit bound the limit of requests in flight.
	minLimit = 4
	maxLimit = 4096

	// minWindow and maxWindow bound the length of a window, which is the time
	// between two adjustments of the limit. Within these bounds a window lasts
	// for at least the mean latency.
	minWindow = 100 * time.Millisecond
	maxWindow = time.Second
	// minSamples is the number of ended requests that closes a window before
	// maxWindow has passed.
	minSamples = 16

	// maxLatencyRatio is the ratio of the latency to the latency without
	// queueing above which the limit decreases.
	maxLatencyRatio = 2
	// overloadedFraction is the fraction of overloaded requests in a window
	// above which the limit decreases.
	overloadedFraction = 0.05
	// minDecreaseFactor and maxDecreaseFactor bound the factor by which the limit is
	// multiplied when it decreases.
	minDecreaseFactor = 0.7
	maxDecreaseFactor = 0.9
	// usedFraction is the fraction of the limit that must have been in flight
	// within the window for the limit to increase. It is then multiplied by
	// growthFactor, but increases by at least one.
	usedFraction = 0.8
	growthFactor = 1.05
)

// concurrencyLimiter adapts the limit of a daemon's requests in flight, once in
// each window of time. The limit decreases if many requests of the window were
// overloaded, or if they spent a large part of their latency queued because the
// limits of the targets were reached. Otherwise it increases if most of it was
// in use. A target that is slow but below its limit does not decrease it.
type concurrencyLimiter struct {
	limit    float64
	inFlight int

	windowStart       time.Time
	peakInFlight      int
	ended, overloaded int
	totalLatency      time.Duration
	totalQueueTime    time.Duration
	samples           int
	meanLatency       time.Duration
}

// allowed returns the current limit of requests in flight.
func (l *concurrencyLimiter) allowed() int {
	return int(l.limit)
}

// begin counts a request that starts.
func (l *concurrencyLimiter) begin() {
	l.inFlight++
	l.peakInFlight = max(l.peakInFlight, l.inFlight)
}

// end counts a request that ends.
func (l *concurrencyLimiter) end(now time.Time, latency time.Duration, r Result) {
	l.inFlight--
	l.ended++
	if r.Outcome == Overloaded {
		l.overloaded++
	}
	if r.Outcome != Failed {
		l.totalLatency += latency
		l.totalQueueTime += min(max(r.QueueTime, 0), latency)
		l.samples++
	}
	l.closeWindow(now)
}

// closeWindow adjusts the limit and starts a new window if the current one has
// lasted long enough.
func (l *concurrencyLimiter) closeWindow(now time.Time) {
	if l.windowStart.IsZero() {
		l.windowStart = now
	}
	age := now.Sub(l.windowStart)
	due := l.ended >= minSamples && age >= max(minWindow, min(l.meanLatency, maxWindow))
	if !due && age < maxWindow {
		return
	}
	if l.samples > 0 {
		l.meanLatency = l.totalLatency / time.Duration(l.samples)
	}
	l.adjust()
	l.windowStart = now
	l.peakInFlight = l.inFlight
	l.ended, l.overloaded, l.samples = 0, 0, 0
	l.totalLatency, l.totalQueueTime = 0, 0
}

// adjust changes the limit according to the requests of the window.
func (l *concurrencyLimiter) adjust() {
	ratio := float64(l.totalLatency) / float64(max(l.totalLatency-l.totalQueueTime, 1))
	switch {
	case ratio > maxLatencyRatio, float64(l.overloaded) > overloadedFraction*float64(l.ended):
		factor := max(min(maxLatencyRatio/max(ratio, 1), maxDecreaseFactor), minDecreaseFactor)
		l.limit = max(min(l.limit, float64(l.peakInFlight))*factor, minLimit)
	case float64(l.peakInFlight) >= usedFraction*l.limit:
		l.limit = min(max(l.limit*growthFactor, l.limit+1), maxLimit)
	}
}
