package router

import "time"

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
