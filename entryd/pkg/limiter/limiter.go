// Package limiter bounds the requests in flight to a target. The initial limit is
// the target's slots plus a small queue. The limit is multiplied by a factor below
// one when the target sheds a request, times out or reports a long queue. It
// increases by one for each round of successes while most of it is in use (additive
// increase, multiplicative decrease: Chiu and Jain, 1989).
//
// All methods are safe for concurrent use. All but Group.New allocate nothing.
package limiter

import (
	"math"
	"sync/atomic"
)

const (
	// DefaultQueue is the default number of requests that may wait at the
	// target for each slot.
	DefaultQueue = 1
	// ceilingFactor multiplied by the initial limit is the highest limit.
	ceilingFactor = 4
	// shedFactor and timeoutFactor multiply the limit after a shed request and
	// after a timeout.
	shedFactor    = 0.8
	timeoutFactor = 0.5
	// queueFactor multiplies the limit when a target reports a long queue.
	queueFactor = 0.9
	// longQueueFactor multiplied by the allowed queue is the length above which
	// a queue is long.
	longQueueFactor = 4
	// usedFraction is the fraction of the limit that must be in flight when a
	// request starts for its success to increase the limit.
	usedFraction = 0.75
	// saturatedFraction is the fraction of the sum of limits that must be in
	// flight for a group to count as saturated.
	saturatedFraction = 0.9
	// unit represents one request in the limits, which are fixed-point numbers.
	unit = 1 << 16
)

// Result is how a request ended.
type Result int

// Results of a request.
const (
	// Neutral is an end that does not change the limit: the request was
	// cancelled or failed for another reason.
	Neutral Result = iota
	// Success is a completed request.
	Success
	// Shed is a request that the target refused for lack of capacity.
	Shed
	// Timeout is a request that was not answered before its deadline.
	Timeout
)

// Settings describe one target. A zero Queue selects DefaultQueue; Slots and
// Connections are at least one.
type Settings struct {
	// Slots is the number of requests that the target executes at once.
	Slots int
	// Queue is the number of waiting requests allowed for each slot.
	Queue int
	// Connections is the number of connections that this daemon may open to
	// the target.
	Connections int
}

// ConnectionBudget returns how many connections to a target one gatherer may open.
// One gatherer for each cell is expected; twice as many stay within the target's
// limit of connections. The budget is at least one.
func ConnectionBudget(connections, cells int) int {
	return max(connections/(2*max(cells, 1)), 1)
}

// Group holds the sums over the limiters of a set of targets. The zero value is
// ready for use.
type Group struct {
	inFlight atomic.Int64
	limit    atomic.Int64
}

// Saturated reports whether the requests in flight to all targets have nearly
// reached the sum of the limits.
func (g *Group) Saturated() bool {
	limit := float64(g.limit.Load()) / unit
	return float64(g.inFlight.Load()) >= saturatedFraction*limit
}

// InFlight returns the number of requests in flight to all targets of the group.
func (g *Group) InFlight() int {
	return int(g.inFlight.Load())
}

// Limit returns the sum of the limits of all targets of the group, rounded down.
func (g *Group) Limit() int {
	return int(g.limit.Load() / unit)
}

// Limiter bounds the requests in flight and the connections to one target.
type Limiter struct {
	group          *Group
	allowedQueue   int
	maxLimit       int64
	maxConnections int64

	inFlight    atomic.Int64
	limit       atomic.Int64
	connections atomic.Int64
	// round counts decreases. A request that was sent before the last decrease
	// causes no further one.
	round atomic.Uint64
}

// Permit allows one request to be in flight.
type Permit struct {
	round     uint64
	limitUsed bool
}

// New returns the limiter of a target and adds it to the group.
func (g *Group) New(s Settings) *Limiter {
	slots := max(s.Slots, 1)
	queue := s.Queue
	if queue <= 0 {
		queue = DefaultQueue
	}
	initial := int64(slots*(1+queue)) * unit
	l := &Limiter{
		group:          g,
		allowedQueue:   slots * queue,
		maxLimit:       initial * ceilingFactor,
		maxConnections: int64(max(s.Connections, 1)),
	}
	l.limit.Store(initial)
	g.limit.Add(initial)
	return l
}

// Close subtracts the limit from that of the group. Permits may still be released
// afterwards.
func (l *Limiter) Close() {
	l.group.limit.Add(-l.limit.Load())
}

// Acquire returns a permit for one request if the number in flight is below both
// the limit and allowed. The caller must release each permit exactly once.
func (l *Limiter) Acquire(allowed int) (Permit, bool) {
	for {
		limit := l.limit.Load()
		n := l.inFlight.Load()
		if n >= min(limit/unit, int64(allowed)) {
			return Permit{}, false
		}
		if !l.inFlight.CompareAndSwap(n, n+1) {
			continue
		}
		l.group.inFlight.Add(1)
		return Permit{
			round:     l.round.Load(),
			limitUsed: float64((n+1)*unit) >= usedFraction*float64(limit),
		}, true
	}
}

// Release ends a request. The queue is the length that the target reported with its
// answer, or zero if there was no answer.
func (l *Limiter) Release(p Permit, r Result, queue int) {
	l.inFlight.Add(-1)
	l.group.inFlight.Add(-1)
	switch r {
	case Success:
		if queue > longQueueFactor*l.allowedQueue {
			l.decrease(p, queueFactor)
		} else if p.limitUsed && queue <= l.allowedQueue {
			l.increase()
		}
	case Shed:
		l.decrease(p, shedFactor)
	case Timeout:
		l.decrease(p, timeoutFactor)
	}
}

// InFlight returns the number of requests in flight.
func (l *Limiter) InFlight() int {
	return int(l.inFlight.Load())
}

// Limit returns the number of requests that may be in flight, rounded down.
func (l *Limiter) Limit() int {
	return int(l.limit.Load() / unit)
}

// AcquireConnection reserves one connection of this daemon's budget. It returns
// false if the budget is used up.
func (l *Limiter) AcquireConnection() bool {
	if l.connections.Add(1) <= l.maxConnections {
		return true
	}
	l.connections.Add(-1)
	return false
}

// ReleaseConnection returns one connection to the budget.
func (l *Limiter) ReleaseConnection() {
	l.connections.Add(-1)
}

// increase adds the reciprocal of the limit, which makes one request for each round
// of successes.
func (l *Limiter) increase() {
	for {
		old := l.limit.Load()
		limit := min(old+unit*unit/old, l.maxLimit)
		if limit == old || l.swapLimit(old, limit) {
			return
		}
	}
}

// decrease multiplies the limit by a factor, once in each round.
func (l *Limiter) decrease(p Permit, factor float64) {
	if !l.round.CompareAndSwap(p.round, p.round+1) {
		return
	}
	for {
		old := l.limit.Load()
		limit := max(int64(math.Floor(float64(old)*factor)), unit)
		if limit == old || l.swapLimit(old, limit) {
			return
		}
	}
}

// swapLimit replaces the limit if it is still the old one, and updates the group's
// sum.
func (l *Limiter) swapLimit(old, limit int64) bool {
	if !l.limit.CompareAndSwap(old, limit) {
		return false
	}
	l.group.limit.Add(limit - old)
	return true
}
