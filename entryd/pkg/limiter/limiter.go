// Package limiter bounds the requests in flight to a target. The limit starts
// from the target's slots and a small queue, falls by a factor when the target
// sheds, times out or reports a long queue, and rises by one for each round of successes that used
// it (additive increase, multiplicative decrease: Chiu and Jain, 1989).
//
// All methods are safe for concurrent use and allocate nothing.
package limiter

import (
	"math"
	"sync/atomic"
)

const (
	// DefaultQueue is the number of requests that may wait at the target
	// for each slot.
	DefaultQueue = 1
	// ceilingFactor times the starting limit is the highest limit.
	ceilingFactor = 4
	// shedFactor and timeoutFactor multiply the limit.
	shedFactor    = 0.8
	timeoutFactor = 0.5
	// queueFactor multiplies the limit when a target reports a long queue.
	queueFactor = 0.9
	// longQueueFactor times the allowed queue is a long one.
	longQueueFactor = 4
	// usedFraction is the part of the limit that must be in flight for a
	// success to raise it.
	usedFraction = 0.75
	// saturatedFraction is the part of all limits that must be in flight for
	// a group to count as saturated.
	saturatedFraction = 0.9
	// unit is one request in the fixed-point limit.
	unit = 1 << 16
)

// Result tells how a request ended.
type Result int

// Results of a request.
const (
	// Neutral says nothing about the limit: cancelled, or failed otherwise.
	Neutral Result = iota
	// Success is a completed request.
	Success
	// Shed is a refusal for want of capacity.
	Shed
	// Timeout is a request without an answer at its deadline.
	Timeout
)

// Settings describe one target. Zero fields take defaults.
type Settings struct {
	// Slots is the number of requests that the target runs at once.
	Slots int
	// Queue is the number of waiting requests allowed for each slot.
	Queue int
	// Connections is this daemon's share of the target's connections.
	Connections int
}

// ConnectionQuota returns how many of a target's connections one gatherer may open, so
// that twice the expected gatherers, one for each cell, stay within the
// target's limit. It is at least one.
func ConnectionQuota(connections, cells int) int {
	return max(connections/(2*max(cells, 1)), 1)
}

// Group sums up the limiters of a set of targets. The zero value is ready for
// use.
type Group struct {
	inFlight atomic.Int64
	limit    atomic.Int64
}

// Saturated reports whether nearly all that the limits allow is in flight.
func (g *Group) Saturated() bool {
	limit := float64(g.limit.Load()) / unit
	return float64(g.inFlight.Load()) >= saturatedFraction*limit
}

// InFlight returns the requests in flight to all targets of the group.
func (g *Group) InFlight() int {
	return int(g.inFlight.Load())
}

// Limit returns the sum of the limits.
func (g *Group) Limit() int {
	return int(g.limit.Load() / unit)
}

// Limiter is the limit of one target.
type Limiter struct {
	group          *Group
	allowedQueue   int
	maxLimit       int64
	maxConnections int64

	inFlight    atomic.Int64
	limit       atomic.Int64
	connections atomic.Int64
	// round counts decreases. Requests that were sent before the last
	// decrease cause no other one.
	round atomic.Uint64
}

// Permit stands for one request in flight.
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

// Close removes the limiter from its group. Requests in flight may still be
// released.
func (l *Limiter) Close() {
	l.group.limit.Add(-l.limit.Load())
}

// Acquire takes a place for one request, if fewer than the limit and fewer
// than allowed are in flight. Each permit ends in exactly one Release.
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

// Release ends a request. The queue is the one that the target reported with
// its answer; zero if there was none.
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

// Limit returns the number of requests that may be in flight.
func (l *Limiter) Limit() int {
	return int(l.limit.Load() / unit)
}

// AcquireConnection takes one connection from this daemon's share.
func (l *Limiter) AcquireConnection() bool {
	if l.connections.Add(1) <= l.maxConnections {
		return true
	}
	l.connections.Add(-1)
	return false
}

// ReleaseConnection gives a connection back.
func (l *Limiter) ReleaseConnection() {
	l.connections.Add(-1)
}

// increase adds one request for each round of successes.
func (l *Limiter) increase() {
	for {
		old := l.limit.Load()
		limit := min(old+unit*unit/old, l.maxLimit)
		if limit == old || l.swapLimit(old, limit) {
			return
		}
	}
}

// decrease multiplies the limit, once for each round.
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

// swapLimit replaces the limit and keeps the group's sum.
func (l *Limiter) swapLimit(old, limit int64) bool {
	if !l.limit.CompareAndSwap(old, limit) {
		return false
	}
	l.group.limit.Add(limit - old)
	return true
}
