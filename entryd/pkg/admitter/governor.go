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

	// tolerance is the ratio of a window's mean latency to the base latency
	// above which the limit falls.
	tolerance = 3
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

	// basePeriod is the time for which a base latency is kept once and then
	// once more. Its boundaries follow the wall clock, so that all daemons
	// that share targets measure at the same time.
	basePeriod = 30 * time.Second
	// dipShare is the part of the limit in force while a limited daemon
	// measures its base latency anew. It is below 1/tolerance, so that the
	// measure has no queue in it and the base does not creep up.
	dipShare = 0.25
	// minDip and maxDip bound the time of a measurement, otherwise
	// dipLatencies times the mean latency.
	minDip       = 200 * time.Millisecond
	maxDip       = time.Second
	dipLatencies = 3
	// blockSamples is the number of latencies in one measure of the base.
	blockSamples = 32
)

// base is the latency of a class without queueing: the least mean of a block
// of samples in this or the last period.
type base struct {
	sum               time.Duration
	n                 int
	current, previous time.Duration
}

// add records a latency.
func (b *base) add(d time.Duration) {
	b.sum += d
	b.n++
	if b.n < blockSamples {
		return
	}
	mean := b.sum / blockSamples
	b.sum, b.n = 0, 0
	if b.current == 0 || mean < b.current {
		b.current = mean
	}
}

// rotate begins a period.
func (b *base) rotate() {
	if b.current != 0 {
		b.previous = b.current
	}
	b.current, b.sum, b.n = 0, 0, 0
}

// value returns the base latency, or zero if it is not known.
func (b *base) value() time.Duration {
	if b.current == 0 || b.previous != 0 && b.previous < b.current {
		return b.previous
	}
	return b.current
}

// governor adapts the daemon's concurrency. It closes a window after a number
// of completions. The limit falls if many of them were overloaded or if the
// mean latency is a multiple of the base, and rises if it was used.
type governor struct {
	limit  float64
	flight int

	start     time.Time
	peak      int
	done, bad int
	ratio     float64
	ratios    int
	latency   time.Duration
	latencies int

	mean    time.Duration
	limited bool
	period  int64
	dip     time.Time
}

// allowed returns the concurrency in force.
func (g *governor) allowed(now time.Time) int {
	if now.Before(g.dip) {
		return max(int(g.limit*dipShare), 1)
	}
	return int(g.limit)
}

// enter counts a request that starts.
func (g *governor) enter() {
	g.flight++
	g.peak = max(g.peak, g.flight)
}

// leave counts a request that ends.
func (g *governor) leave(now time.Time, b *base, latency time.Duration, r Result) {
	g.flight--
	g.done++
	switch r {
	case Overloaded:
		g.bad++
	case Completed:
		g.latency += latency
		g.latencies++
		b.add(latency)
		if v := b.value(); v > 0 {
			g.ratio += float64(latency) / float64(v)
			g.ratios++
		}
	}
	g.close(now)
}

// rotates reports whether a period of the base latency begins now, and starts
// a measurement if the daemon is limited.
func (g *governor) rotates(now time.Time) bool {
	period := now.UnixNano() / int64(basePeriod)
	if period == g.period {
		return false
	}
	first := g.period == 0
	g.period = period
	if g.limited && !first {
		g.dip = now.Add(min(max(dipLatencies*g.mean, minDip), maxDip))
	}
	return !first
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
	if g.latencies > 0 {
		g.mean = g.latency / time.Duration(g.latencies)
	}
	if !now.Before(g.dip) {
		g.adjust()
	}
	g.start = now
	g.peak = g.flight
	g.done, g.bad = 0, 0
	g.ratio, g.ratios = 0, 0
	g.latency, g.latencies = 0, 0
}

// adjust moves the limit at the end of a window.
func (g *governor) adjust() {
	ratio := 0.0
	if g.ratios > 0 {
		ratio = g.ratio / float64(g.ratios)
	}
	g.limited = float64(g.peak) >= usedShare*g.limit
	switch {
	case ratio > tolerance, float64(g.bad) > badShare*float64(g.done):
		cut := minCut
		if ratio > tolerance {
			cut = min(max(tolerance/ratio, maxCut), minCut)
		}
		g.limit = max(min(g.limit, float64(g.peak))*cut, minLimit)
		g.limited = true
	case g.limited:
		g.limit = min(max(g.limit*growth, g.limit+1), maxLimit)
	}
}
