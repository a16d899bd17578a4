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

	// tolerance is the ratio of the latency to the latency without waiting
	// above which the limit falls.
	tolerance = 2
	// badShare is the share of overloaded requests in a window above which
	// the limit falls.
	badShare = 0.05
	// maxCut and minCut bound the factor by which the limit falls.
	maxCut = 0.7
	minCut = 0.9
	// usedShare is the part of the limit that must have been in flight for
	// the limit to rise, by growth.
	usedShare = 0.8
	growth    = 1.05
)

// governor adapts the daemon's concurrency. It closes a window after a number
// of completions. The limit falls if many of them were overloaded, or if the
// requests spent a large part of their time waiting for a place at a target;
// it rises if it was used. A target that is slow, but has places, does not
// lower the limit.
type governor struct {
	limit  float64
	flight int

	start     time.Time
	peak      int
	done, bad int
	latency   time.Duration
	waited    time.Duration
	samples   int
	mean      time.Duration
}

// allowed returns the concurrency in force.
func (g *governor) allowed() int {
	return int(g.limit)
}

// enter counts a request that starts.
func (g *governor) enter() {
	g.flight++
	g.peak = max(g.peak, g.flight)
}

// leave counts a request that ends.
func (g *governor) leave(now time.Time, latency time.Duration, r Result) {
	g.flight--
	g.done++
	if r.Outcome == Overloaded {
		g.bad++
	}
	if r.Outcome != Failed {
		g.latency += latency
		g.waited += min(max(r.Waited, 0), latency)
		g.samples++
	}
	g.close(now)
}

// close ends the window if it is due.
func (g *governor) close(now time.Time) {
	if g.start.IsZero() {
		g.start = now
	}
	age := now.Sub(g.start)
	due := g.done >= minSamples && age >= max(minWindow, min(g.mean, maxWindow))
	if !due && age < maxWindow {
		return
	}
	if g.samples > 0 {
		g.mean = g.latency / time.Duration(g.samples)
	}
	g.adjust()
	g.start = now
	g.peak = g.flight
	g.done, g.bad, g.samples = 0, 0, 0
	g.latency, g.waited = 0, 0
}

// adjust moves the limit at the end of a window.
func (g *governor) adjust() {
	ratio := float64(g.latency) / float64(max(g.latency-g.waited, 1))
	switch {
	case ratio > tolerance, float64(g.bad) > badShare*float64(g.done):
		cut := max(min(tolerance/max(ratio, 1), minCut), maxCut)
		g.limit = max(min(g.limit, float64(g.peak))*cut, minLimit)
	case float64(g.peak) >= usedShare*g.limit:
		g.limit = min(max(g.limit*growth, g.limit+1), maxLimit)
	}
}
