package router

import (
	"time"

	"plantaincleat/tier/gen/peer"
)

// retryUnits sends units again after failed attempts, or closes those that have no
// path left or no budget. While only the first unit was sent, it replaces that unit
// instead. After the deadline it does nothing.
func (q *Query[P]) retryUnits(units []int, now time.Time) {
	if len(units) == 0 {
		return
	}
	if !now.Before(q.options.Deadline) {
		return
	}
	if q.replaceFirst(now) {
		return
	}
	var granted []int
	for _, u := range units {
		if !q.canRetry(u, now) {
			q.closeIfIdle(u, q.units[u].reason)
			continue
		}
		if chargedReasons[q.units[u].reason] && !q.budget.Retry(u, now) {
			q.closeIfIdle(u, peer.Reason_REASON_BUDGET)
			continue
		}
		granted = append(granted, u)
	}
	q.retries += len(granted)
	q.send(granted, now, false)
}

// closeIfIdle closes a unit that is not covered and that no attempt may still answer.
func (q *Query[P]) closeIfIdle(u int, reason peer.Reason) {
	s := &q.units[u]
	if len(s.attempts) > 0 || s.covered || s.closed {
		return
	}
	s.closed = true
	s.reason = moreInformative(s.reason, reason)
	q.closed++
}

// MaxRounds bounds how often all paths of a unit are tried. Only failures that used no
// capacity start another round.
const MaxRounds = 2

// canRetry reports whether a unit can be sent again. Once all paths were tried, it
// starts another round if the failures may be transient.
func (q *Query[P]) canRetry(u int, now time.Time) bool {
	s := &q.units[u]
	if finalReasons[s.reason] {
		return false
	}
	if q.hasUntriedPath(u, now) {
		return true
	}
	if s.rounds+1 >= MaxRounds || !transientReasons[s.reason] {
		return false
	}
	s.rounds++
	s.tried = s.tried[:0]
	return q.hasUntriedPath(u, now)
}

// hasUntriedPath reports whether a unit may be executed once more and has a path that
// was not tried in this round.
func (q *Query[P]) hasUntriedPath(u int, now time.Time) bool {
	if q.options.MaxExecutions > 0 && q.units[u].executions >= q.options.MaxExecutions {
		return false
	}
	_, ok := q.chooser.Choose(u, q.units[u].tried, now)
	return ok
}
