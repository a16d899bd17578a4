package router

import (
	"cmp"
	"slices"
	"time"
)

// hedge sends the open units of overdue attempts on a second path. Hedges are
// charged to the budget. Leaving a failed path happens once for each path of a
// unit, and later units avoid the path.
func (q *Query[P]) hedge(now time.Time) {
	var hedges, retries []int
	for _, a := range q.overdue(now) {
		failed := q.chooser.Failed(a.path, now)
		if !failed && (!q.terms.Hedging || len(q.held) > 0) {
			continue
		}
		for _, u := range a.units {
			if !q.waiting(u, a) || q.backed(a, u, now) || !q.spare(u, now) {
				continue
			}
			if slices.Contains(retries, u) || slices.Contains(hedges, u) {
				continue
			}
			switch {
			case failed && q.budget.Failover(u, now):
				retries = append(retries, u)
			case !failed && q.prompt(u, now) && q.budget.Hedge(u, now):
				hedges = append(hedges, u)
			}
		}
	}
	q.retries += len(retries)
	q.send(retries, now, false)
	q.send(hedges, now, true)
}

// backed reports whether a unit waits on another path that has not failed.
func (q *Query[P]) backed(a *attempt[P], u int, now time.Time) bool {
	return slices.ContainsFunc(q.units[u].waits, func(other *attempt[P]) bool {
		return other != a && !q.chooser.Failed(other.path, now)
	})
}

// recheck is the time after which an overdue attempt is looked at again.
const recheck = 10 * time.Millisecond

// overdue returns the attempts whose hedge delay has passed, oldest nonce
// first, and sets when the next one is due.
func (q *Query[P]) overdue(now time.Time) []*attempt[P] {
	if q.due.After(now) {
		return nil
	}
	q.due = q.terms.Deadline
	var due []*attempt[P]
	for _, a := range q.attempts {
		if !a.hedgeAt.After(now) {
			a.hedgeAt = now.Add(recheck)
			due = append(due, a)
		}
		if a.hedgeAt.Before(q.due) {
			q.due = a.hedgeAt
		}
	}
	slices.SortFunc(due, func(a, b *attempt[P]) int { return cmp.Compare(a.nonce, b.nonce) })
	return due
}
