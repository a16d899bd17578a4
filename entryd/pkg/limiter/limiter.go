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
	// longQueue times the allowed queue is a long one.
	longQueue = 4
	// usedShare is the part of the limit that must be in flight for a
	// success to raise it.
	usedShare = 0.75
	// saturatedShare is the part of all limits that must be in flight for
	// a group to count as saturated.
	saturatedShare = 0.9
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

// Share returns how many of a target's connections one gatherer may open, so
// that twice the expected gatherers, one for each cell, stay within the
// target's limit. It is at least one.
func Share(connections, cells int) int {
	return max(connections/(2*max(cells, 1)), 1)
}

// Group sums up the limiters of a set of targets. The zero value is ready for
// use.
type Group struct {
	flight atomic.Int64
	limit  atomic.Int64
}

// Saturated reports whether nearly all that the limits allow is in flight.
func (g *Group) Saturated() bool {
	limit := float64(g.limit.Load()) / unit
	return float64(g.flight.Load()) >= saturatedShare*limit
}

// Flight returns the requests in flight to all targets of the group.
func (g *Group) Flight() int {
	return int(g.flight.Load())
}

// Limit returns the sum of the limits.
func (g *Group) Limit() int {
	return int(g.limit.Load() / unit)
}

// Limiter is the limit of one target.
type Limiter struct {
	group   *Group
	queue   int
	ceiling int64
	budget  int64

	flight      atomic.Int64
	limit       atomic.Int64
	connections atomic.Int64
	// round counts decreases. Requests that were sent before the last
	// decrease cause no other one.
	round atomic.Uint64
}

// Permit stands for one request in flight.
type Permit struct {
	round uint64
	used  bool
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
		group:   g,
		queue:   slots * queue,
		ceiling: initial * ceilingFactor,
		budget:  int64(max(s.Connections, 1)),
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
		n := l.flight.Load()
		if n >= min(limit/unit, int64(allowed)) {
			return Permit{}, false
		}
		if !l.flight.CompareAndSwap(n, n+1) {
			continue
		}
		l.group.flight.Add(1)
		return Permit{
			round: l.round.Load(),
			used:  float64((n+1)*unit) >= usedShare*float64(limit),
		}, true
	}
}

// Release ends a request. The queue is the one that the target reported with
// its answer; zero if there was none.
func (l *Limiter) Release(p Permit, r Result, queue int) {
	l.flight.Add(-1)
	l.group.flight.Add(-1)
	switch r {
	case Success:
		if queue > longQueue*l.queue {
			l.cut(p, queueFactor)
		} else if p.used && queue <= l.queue {
			l.raise()
		}
	case Shed:
		l.cut(p, shedFactor)
	case Timeout:
		l.cut(p, timeoutFactor)
	}
}

// Flight returns the number of requests in flight.
func (l *Limiter) Flight() int {
	return int(l.flight.Load())
}

// Limit returns the number of requests that may be in flight.
func (l *Limiter) Limit() int {
	return int(l.limit.Load() / unit)
}

// Connect takes one connection from this daemon's share.
func (l *Limiter) Connect() bool {
	if l.connections.Add(1) <= l.budget {
		return true
	}
	l.connections.Add(-1)
	return false
}

// Disconnect gives a connection back.
func (l *Limiter) Disconnect() {
	l.connections.Add(-1)
}

// raise adds one request for each round of successes.
func (l *Limiter) raise() {
	for {
		old := l.limit.Load()
		limit := min(old+unit*unit/old, l.ceiling)
		if limit == old || l.swap(old, limit) {
			return
		}
	}
}

// cut multiplies the limit, once for each round.
func (l *Limiter) cut(p Permit, factor float64) {
	if !l.round.CompareAndSwap(p.round, p.round+1) {
		return
	}
	for {
		old := l.limit.Load()
		limit := max(int64(math.Floor(float64(old)*factor)), unit)
		if limit == old || l.swap(old, limit) {
			return
		}
	}
}

// swap replaces the limit and keeps the group's sum.
func (l *Limiter) swap(old, limit int64) bool {
	if !l.limit.CompareAndSwap(old, limit) {
		return false
	}
	l.group.limit.Add(limit - old)
	return true
}
