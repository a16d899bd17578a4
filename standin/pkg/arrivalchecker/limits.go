package arrivalchecker

import (
	"time"

	"plantaincleat/standin/pkg/httpresponder"
)

const (
	// limitWindow is the span over which the arrivals at a target that has named a limit are
	// counted.
	limitWindow = 4 * time.Second
	// limitFactor times what the limit allows in a window, plus limitSlack, is the number of
	// requests from which a window breaks the limit.
	limitFactor = 1.5
	limitSlack  = 5
	// toldAfter is the time after an answer that named the limit from which the requests of
	// its receiver count.
	toldAfter = 500 * time.Millisecond
	// limitGrace is the time after a target has first named its limit from which windows
	// count.
	limitGrace = 4 * time.Second
)

// LimitChecker checks whether more requests have reached a target than the limit allows
// that it names in its answers. The zero value excuses no daemon.
type LimitChecker struct {
	// Excused reports whether the requests of a sender at a time do not count, since the
	// sender may have forgotten what it heard at an earlier time or was disrupted. Nil means
	// never.
	Excused func(from string, heard, at time.Time) bool
}

// LimitResult is what a LimitChecker has seen.
type LimitResult struct {
	// Told counts the senders that heard of a limit.
	Told int
	// Broken counts the arrivals at which the window that they end breaks the limit.
	Broken int
	// Most is the greatest number of arrivals in a window beyond what was allowed, or
	// negative if there was none.
	Most float64
	// Arrivals counts the requests that count.
	Arrivals int
}

// Check returns the result for the arrivals of all senders at a target in their order. The
// highest limit that a window saw is what it allows.
func (c *LimitChecker) Check(arrivals []httpresponder.Arrival) LimitResult {
	var out LimitResult
	first := time.Time{}
	told := make(map[string]time.Time)
	var window []httpresponder.Arrival
	for _, a := range arrivals {
		if a.Limit <= 0 {
			first = time.Time{}
			clear(told)
			window = nil
			continue
		}
		if first.IsZero() {
			first = a.At
			out.Most = -limitFactor*a.Limit*limitWindow.Seconds() - limitSlack
		}
		heard, ok := told[a.From]
		if ok && c.Excused != nil && c.Excused(a.From, heard, a.At) {
			ok = false
			delete(told, a.From)
		}
		if _, known := told[a.From]; !known {
			told[a.From] = a.At
			out.Told++
		}
		if !ok || a.At.Sub(heard) < toldAfter {
			continue
		}
		out.Arrivals++
		window = append(window, a)
		for window[0].At.Before(a.At.Add(-limitWindow)) {
			window = window[1:]
		}
		beyond := float64(len(window)) - allowed(window)
		if a.At.Sub(first) < limitGrace {
			continue
		}
		out.Most = max(out.Most, beyond)
		if beyond > 0 {
			out.Broken++
		}
	}
	return out
}

// allowed returns the number of requests that a window may hold.
func allowed(window []httpresponder.Arrival) float64 {
	limit := 0.0
	for _, a := range window {
		limit = max(limit, a.Limit)
	}
	return limitFactor*limit*limitWindow.Seconds() + limitSlack
}
