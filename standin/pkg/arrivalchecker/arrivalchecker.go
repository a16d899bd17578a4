// Package arrivalchecker checks whether the requests of one daemon have reached one target
// although the target has announced to the daemon that it is leaving, or has asked it for a
// pause.
package arrivalchecker

import (
	"time"

	"plantaincleat/standin/pkg/httpresponder"
)

const (
	// pauseSlack is the time after a target has asked for a pause from which at most
	// maxPauseArrivals requests may reach it until the end of the pause.
	pauseSlack       = 500 * time.Millisecond
	maxPauseArrivals = 2
)

// Checker checks the arrivals from one daemon at one target. The zero value allows no
// request after an announcement that the target is leaving.
type Checker struct {
	// DrainLimit is the time after that announcement in which requests may still arrive.
	DrainLimit time.Duration
	// Forgotten reports whether the daemon may have forgotten, at a time, what it heard at
	// an earlier one. Nil means never.
	Forgotten func(heard, at time.Time) bool
	// HeldUp reports whether a request that arrived at a time may have been held up on its
	// way, so that it does not count. Nil means never.
	HeldUp func(at time.Time) bool

	// leavingSince is when the daemon heard that the target is leaving, or zero.
	leavingSince time.Time
	// pauseBegin and pauseEnd are the bounds of the last pause, or zero, and inPause counts
	// the requests in it after pauseSlack.
	pauseBegin, pauseEnd time.Time
	inPause              int
	result               Result
}

// Result counts what a Checker has seen.
type Result struct {
	// Heard counts the announcements.
	Heard int
	// AfterLeaving counts the requests that arrived later than the drain limit after the
	// target announced that it is leaving.
	AfterLeaving int
	// InPause counts the requests that arrived in a pause, later than half a second after
	// its begin.
	InPause int
	// BrokenPauses counts the pauses with more than two of these requests.
	BrokenPauses int
}

// Check returns the result for the arrivals of a daemon in their order.
func (c *Checker) Check(arrivals []httpresponder.Arrival) Result {
	for _, a := range arrivals {
		c.add(a)
	}
	return c.result
}

func (c *Checker) add(a httpresponder.Arrival) {
	c.forget(a.At)
	counts := c.HeldUp == nil || !c.HeldUp(a.At)
	if !c.leavingSince.IsZero() && a.At.Sub(c.leavingSince) > c.DrainLimit && counts {
		c.result.AfterLeaving++
	}
	if a.Leaving && c.leavingSince.IsZero() {
		c.result.Heard++
		c.leavingSince = a.At
	}
	switch {
	case a.At.Before(c.pauseEnd):
		if a.At.Sub(c.pauseBegin) > pauseSlack && counts {
			c.addInPause()
		}
	case a.Pause > 0:
		c.result.Heard++
		c.pauseBegin, c.pauseEnd, c.inPause = a.At, a.At.Add(a.Pause), 0
	}
}

func (c *Checker) addInPause() {
	c.result.InPause++
	c.inPause++
	if c.inPause == maxPauseArrivals+1 {
		c.result.BrokenPauses++
	}
}

// forget drops the announcements that the daemon may have forgotten at a time.
func (c *Checker) forget(at time.Time) {
	if c.Forgotten == nil {
		return
	}
	if !c.leavingSince.IsZero() && c.Forgotten(c.leavingSince, at) {
		c.leavingSince = time.Time{}
	}
	if !c.pauseEnd.IsZero() && c.Forgotten(c.pauseBegin, at) {
		c.pauseEnd = time.Time{}
	}
}
