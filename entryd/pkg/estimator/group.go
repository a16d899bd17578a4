package estimator

import (
	"sync/atomic"
	"time"
)

// maxGap is the most that the time between two answers adds to the activity
// clock.
const maxGap = 10 * time.Millisecond

// Group holds what the estimators of one gatherer share: an activity clock
// that advances only while answers arrive from any target. A silence measured
// on it excludes the time in which the daemon itself was paused or cut off.
// The zero value is ready for use. It is safe for concurrent use.
type Group struct {
	// last is the time of the last answer, in nanoseconds since an
	// estimator's origin shared by the group.
	last   atomic.Int64
	active atomic.Int64
	origin atomic.Pointer[time.Time]
}

// since returns the time since the group's origin, which is the first time
// that it was given.
func (g *Group) since(now time.Time) time.Duration {
	origin := g.origin.Load()
	if origin == nil {
		origin = g.setOrigin(now)
	}
	return now.Sub(*origin)
}

// setOrigin sets the origin unless another caller has done so.
func (g *Group) setOrigin(now time.Time) *time.Time {
	g.origin.CompareAndSwap(nil, &now)
	return g.origin.Load()
}

// recordAnswer advances the activity clock for an answer at the given offset.
func (g *Group) recordAnswer(at time.Duration) {
	last := g.last.Load()
	gap := min(int64(at)-last, int64(maxGap))
	if gap <= 0 || !g.last.CompareAndSwap(last, int64(at)) {
		return
	}
	g.active.Add(gap)
}

// activity returns the activity clock.
func (g *Group) activity() int64 {
	return g.active.Load()
}
