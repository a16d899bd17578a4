package router

import (
	"time"

	"plantaincleat/tier/gen/peer"
)

// maxMoves is how often another unit takes the place of a first one that failed.
const maxMoves = 1

// moveFirst sends another unit first after the first one has failed, so that
// the loss of one replica is not followed by that of the next of the same unit.
func (q *Query[P]) moveFirst(now time.Time) bool {
	if len(q.held) == 0 || q.moves >= maxMoves {
		return false
	}
	q.moves++
	i := len(q.held) / 2
	next := q.held[i]
	q.held[i] = q.terms.FirstUnit - 1
	q.terms.FirstUnit = next + 1
	q.retries++
	q.send([]int{next}, now, false)
	return true
}

// FirstUnit returns one more than the unit that is, or was, sent alone first. Zero
// means that all were sent at once.
func (q *Query[P]) FirstUnit() int { return q.terms.FirstUnit }

// Holding reports whether only the first unit was sent so far.
func (q *Query[P]) Holding() bool { return len(q.held) > 0 }

// unhold sends the other units once the first has been answered, or cannot be.
// A quarantined request goes no further.
func (q *Query[P]) unhold(now time.Time) {
	if len(q.held) == 0 {
		return
	}
	first := q.units[q.terms.FirstUnit-1]
	if !first.covered && !first.closed {
		return
	}
	held := q.held
	q.held = nil
	if first.reason != peer.Reason_REASON_QUARANTINED {
		q.send(held, now, false)
		return
	}
	for _, u := range held {
		q.closeIfIdle(u, first.reason)
	}
}
