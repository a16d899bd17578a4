package router

import (
	"time"

	"plantaincleat/entryd/pkg/valuer"
)

// RecordPartial records the units that an attempt has answered so far. Unlike Answer,
// it does not hedge the units that are still open.
func (q *Query[P]) RecordPartial(nonce uint64, covered []int, now time.Time) []Action[P] {
	q.actions = nil
	a := q.recordCovered(nonce, covered)
	if a == nil {
		return nil
	}
	q.removeIfFinished(a)
	q.endIfDone(now)
	return q.actions
}

// recordCovered marks the units that an attempt has answered as covered and returns
// the attempt. If the attempt is not pending, it counts a late answer and returns nil.
func (q *Query[P]) recordCovered(nonce uint64, covered []int) *attempt[P] {
	a, ok := q.attempts[nonce]
	if !ok || q.done {
		q.lateAnswers++
		return nil
	}
	for _, u := range covered {
		if q.awaits(u, a) {
			q.markCovered(a, u)
		}
	}
	return a
}

// RecordAccepted records that the path of an attempt has accepted its units and may
// execute each of them Options.MaxExecutions times. The attempt is not hedged any
// more, and its units are not sent again unless it reports that they were not
// executed.
func (q *Query[P]) RecordAccepted(nonce uint64) {
	a, ok := q.attempts[nonce]
	if !ok {
		return
	}
	a.hedgeAt = q.options.Deadline
	a.executions += q.options.MaxExecutions
	for _, u := range a.units {
		q.units[u].executions += q.options.MaxExecutions
	}
}

// NextTick returns the time at which Tick should be called next.
func (q *Query[P]) NextTick() time.Time {
	next := q.options.Deadline
	if !q.options.Goal.IsZero() && !q.done {
		switch {
		case !q.goalPassed:
			next = earlier(next, q.options.Goal)
		case q.reachesFloor():
			next = earlier(next, q.patience())
		}
	}
	if len(q.attempts) > 0 {
		next = earlier(next, q.nextHedge)
	}
	return next
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// leavesNow reports whether the answer leaves with the units that are covered: they reach the
// floor, and are worth more than a late answer with all units, or half of the time between the
// goal and the deadline has passed.
func (q *Query[P]) leavesNow(now time.Time) bool {
	if !q.goalPassed || !q.reachesFloor() {
		return false
	}
	covered := float64(q.covered) / float64(len(q.units))
	return valuer.AnswerNow(covered, q.options.Late) || !now.Before(q.patience())
}

// reachesFloor reports whether the covered units are enough for an answer.
func (q *Query[P]) reachesFloor() bool {
	return float64(q.covered) >= q.options.Floor*float64(len(q.units))
}

// patience returns the time from which any answer that reaches the floor leaves.
func (q *Query[P]) patience() time.Time {
	goal := q.options.Goal
	return goal.Add(q.options.Deadline.Sub(goal) / 2)
}
