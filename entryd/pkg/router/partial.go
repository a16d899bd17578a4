package router

import "time"

// RecordPartial records units that an attempt has answered. Those still open go on
// waiting for it.
func (q *Query[P]) RecordPartial(nonce uint64, covered []int, now time.Time) []Action[P] {
	q.out = nil
	a := q.answered(nonce, covered)
	if a == nil {
		return nil
	}
	q.drop(a)
	q.settle(now)
	return q.out
}

// answered covers the units that an attempt has answered and returns the attempt,
// nil if it is not live any more.
func (q *Query[P]) answered(nonce uint64, covered []int) *attempt[P] {
	a, ok := q.attempts[nonce]
	if !ok || q.done {
		q.late++
		return nil
	}
	for _, u := range covered {
		if q.waiting(u, a) {
			q.cover(a, u)
		}
	}
	return a
}

// RecordAccepted records that the path of an attempt has taken its units over, and may
// run each of them as often as is allowed. They are not sent again unless it says
// that they were not run.
func (q *Query[P]) RecordAccepted(nonce uint64) {
	a, ok := q.attempts[nonce]
	if !ok {
		return
	}
	a.hedgeAt = q.terms.Deadline
	a.runs += q.terms.MaxExecutions
	for _, u := range a.units {
		q.units[u].ran += q.terms.MaxExecutions
	}
}
