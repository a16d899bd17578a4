package router

import (
	"time"

	"plantaincleat/tier/gen/peer"
)

// maxFirstReplacements is how often another unit takes the place of a first one that failed.
const maxFirstReplacements = 1

// replaceFirst sends another unit first after the first one has failed, so that
// the loss of one replica is not followed by that of the next of the same unit.
func (q *Query[P]) replaceFirst(now time.Time) bool {
	if len(q.deferred) == 0 || q.firstReplacements >= maxFirstReplacements {
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

// FirstUnit returns one more than the unit that is, or was, sent alone first. Zero
// means that all were sent at once.
func (q *Query[P]) FirstUnit() int { return q.options.FirstUnit }

// OnlyFirstSent reports whether only the first unit was sent so far.
func (q *Query[P]) OnlyFirstSent() bool { return len(q.deferred) > 0 }

// sendDeferred sends the other units once the first has been answered, or cannot be.
// A quarantined request goes no further.
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
	if first.reason != peer.Reason_REASON_QUARANTINED {
		q.send(deferred, now, false)
		return
	}
	for _, u := range deferred {
		q.closeIfIdle(u, first.reason)
	}
}
