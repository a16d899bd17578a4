package estimator

import (
	"sync/atomic"
	"time"
)

// maxGap is the maximum time by which one answer advances the activity clock.
const maxGap = 10 * time.Millisecond

// Group holds the state that the estimators of one set of targets share, in particular an
// activity clock that advances only while answers arrive from any target. A silence
// measured on this clock excludes the time in which the daemon itself was paused or
// partitioned from all targets. The zero value is ready for use. It is safe for
// concurrent use.
type Group struct {
	// last is the time of the last answer, in nanoseconds since origin.
	last atomic.Int64
	// active is the activity clock in nanoseconds.
	active atomic.Int64
	// origin is the first time that was passed to an estimator of the group.
	origin atomic.Pointer[time.Time]
}

// since returns the time since the group's origin. The first call sets the origin.
func (g *Group) since(now time.Time) time.Duration {
	origin := g.origin.Load()
	if origin == nil {
		origin = g.setOrigin(now)
	}
	return now.Sub(*origin)
}

// setOrigin sets the origin unless a concurrent call has set it, and returns it.
func (g *Group) setOrigin(now time.Time) *time.Time {
	g.origin.CompareAndSwap(nil, &now)
	return g.origin.Load()
}

// recordAnswer advances the activity clock for an answer at a time since the origin.
func (g *Group) recordAnswer(at time.Duration) {
	last := g.last.Load()
	gap := min(int64(at)-last, int64(maxGap))
	if gap <= 0 || !g.last.CompareAndSwap(last, int64(at)) {
		return
	}
	g.active.Add(gap)
}

// activity returns the activity clock in nanoseconds.
func (g *Group) activity() int64 {
	return g.active.Load()
}
