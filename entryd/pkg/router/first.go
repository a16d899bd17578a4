package router

import "time"

// maxFirstReplacements bounds how often another unit replaces a first unit that
// failed.
const maxFirstReplacements = 1

// replaceFirst sends another unit as the first one after the first unit failed, and
// reports whether it did. A request that crashes targets then does not go to a second
// replica of the same unit.
func (q *Query[P]) replaceFirst(now time.Time) bool {
	if len(q.deferred) == 0 || q.firstReplacements >= maxFirstReplacements {
		return false
	}
	if finalReasons[q.units[q.options.FirstUnit-1].reason] {
		return false
	}
	q.firstReplacements++
	i := len(q.deferred) / 2
	next := q.deferred[i]
	q.deferred[i] = q.options.FirstUnit - 1
	q.options.FirstUnit = next + 1
	q.retries++
	q.send([]int{next}, now, false)
	return true
}

// FirstUnit returns the index plus one of the unit that is or was sent alone first.
// Zero means that all units were sent at once.
func (q *Query[P]) FirstUnit() int { return q.options.FirstUnit }

// OnlyFirstSent reports whether the other units still wait for the first unit.
func (q *Query[P]) OnlyFirstSent() bool { return len(q.deferred) > 0 }

// sendDeferred sends the other units once the first unit is covered or closed. It
// closes them instead if the first unit was closed for a final reason, or if
// Options.FirstRequired is set.
func (q *Query[P]) sendDeferred(now time.Time) {
	if len(q.deferred) == 0 {
		return
	}
	first := q.units[q.options.FirstUnit-1]
	if !first.covered && !first.closed {
		return
	}
	deferred := q.deferred
	q.deferred = nil
	if first.covered || !q.options.FirstRequired && !finalReasons[first.reason] {
		q.send(deferred, now, false)
		return
	}
	for _, u := range deferred {
		q.closeIfIdle(u, first.reason)
	}
}
