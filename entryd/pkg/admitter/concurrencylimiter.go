package admitter

import "time"

const (
	// DefaultLimit is the concurrency at which a daemon starts.
	DefaultLimit = 32
	// minLimit and maxLimit bound the concurrency.
	minLimit = 4
	maxLimit = 4096

	// minWindow and maxWindow bound the time between two changes of the
	// limit. A window also lasts for at least the mean latency.
	minWindow = 100 * time.Millisecond
	maxWindow = time.Second
	// minSamples is the number of completions that closes a window early.
	minSamples = 16

	// maxLatencyRatio is the ratio of the latency to the latency without waiting
	// above which the limit falls.
	maxLatencyRatio = 2
	// overloadedFraction is the share of overloaded requests in a window above which
	// the limit falls.
	overloadedFraction = 0.05
	// minDecrease and minCut bound the factor by which the limit falls.
	minDecrease = 0.7
	maxDecrease = 0.9
	// usedFraction is the part of the limit that must have been in flight for
	// the limit to rise, by growth.
	usedFraction = 0.8
	growthFactor = 1.05
)

// concurrencyLimiter adapts the daemon's concurrency. It closes a window after a number
// of completions. The limit falls if many of them were overloaded, or if the
// requests spent a large part of their time waiting for a place at a target;
// it rises if it was used. A target that is slow, but has places, does not
// lower the limit.
type concurrencyLimiter struct {
	limit    float64
	inFlight int

	windowStart       time.Time
	peakInFlight      int
	ended, overloaded int
	totalLatency      time.Duration
	totalWait         time.Duration
	samples           int
	meanLatency       time.Duration
}

// allowed returns the concurrency in force.
func (g *concurrencyLimiter) allowed() int {
	return int(g.limit)
}

// begin counts a request that starts.
func (g *concurrencyLimiter) begin() {
	g.inFlight++
	g.peakInFlight = max(g.peakInFlight, g.inFlight)
}

// end counts a request that ends.
func (g *concurrencyLimiter) end(now time.Time, latency time.Duration, r Result) {
	g.inFlight--
	g.ended++
	if r.Outcome == Overloaded {
		g.overloaded++
	}
	if r.Outcome != Failed {
		g.totalLatency += latency
		g.totalWait += min(max(r.Waited, 0), latency)
		g.samples++
	}
	g.closeWindow(now)
}

// closeWindow ends the window if it is due.
func (g *concurrencyLimiter) closeWindow(now time.Time) {
	if g.windowStart.IsZero() {
		g.windowStart = now
	}
	age := now.Sub(g.windowStart)
	due := g.ended >= minSamples && age >= max(minWindow, min(g.meanLatency, maxWindow))
	if !due && age < maxWindow {
		return
	}
	if g.samples > 0 {
		g.meanLatency = g.totalLatency / time.Duration(g.samples)
	}
	g.adjust()
	g.windowStart = now
	g.peakInFlight = g.inFlight
	g.ended, g.overloaded, g.samples = 0, 0, 0
	g.totalLatency, g.totalWait = 0, 0
}

// adjust moves the limit at the end of a window.
func (g *concurrencyLimiter) adjust() {
	ratio := float64(g.totalLatency) / float64(max(g.totalLatency-g.totalWait, 1))
	switch {
	case ratio > maxLatencyRatio, float64(g.overloaded) > overloadedFraction*float64(g.ended):
		cut := max(min(maxLatencyRatio/max(ratio, 1), maxDecrease), minDecrease)
		g.limit = max(min(g.limit, float64(g.peakInFlight))*cut, minLimit)
	case float64(g.peakInFlight) >= usedFraction*g.limit:
		g.limit = min(max(g.limit*growthFactor, g.limit+1), maxLimit)
	}
}
