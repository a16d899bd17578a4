package router

import (
	"cmp"
	"slices"
	"time"
)

// hedgeOverdue sends the open units of overdue attempts on another path: as retries
// if the path of the attempt has failed, as hedges otherwise. The budget decides on
// both. Failover is bounded because each path of a unit can fail only once, and
// because Chooser.Choose avoids failed paths for later units.
func (q *Query[P]) hedgeOverdue(now time.Time) {
	var hedges, retries []int
	for _, a := range q.overdue(now) {
		failed := q.chooser.Failed(a.path, now)
		if !failed && (!q.options.Hedging || len(q.deferred) > 0) {
			continue
		}
		for _, u := range a.units {
			if !q.awaits(u, a) || q.hasOtherAttempt(a, u, now) || !q.hasUntriedPath(u, now) {
				continue
			}
			if slices.Contains(retries, u) || slices.Contains(hedges, u) {
				continue
			}
			switch {
			case failed && q.budget.Failover(u, now):
				retries = append(retries, u)
			case !failed && q.usefulAsHedge(u, now) && q.budget.Hedge(u, now):
				hedges = append(hedges, u)
			}
		}
	}
	q.retries += len(retries)
	q.send(retries, now, false)
	q.send(hedges, now, true)
}

// hasOtherAttempt reports whether a unit has another attempt on a path that has not
// failed.
func (q *Query[P]) hasOtherAttempt(a *attempt[P], u int, now time.Time) bool {
	return slices.ContainsFunc(q.units[u].attempts, func(other *attempt[P]) bool {
		return other != a && !q.chooser.Failed(other.path, now)
	})
}

// recheckInterval is the time after which an overdue attempt is checked again.
const recheckInterval = 10 * time.Millisecond

// overdue returns the attempts whose hedge delay has passed, in ascending order of
// nonce, and updates nextHedge.
func (q *Query[P]) overdue(now time.Time) []*attempt[P] {
	if q.nextHedge.After(now) {
		return nil
	}
	q.nextHedge = q.options.Deadline
	var due []*attempt[P]
	for _, a := range q.attempts {
		if !a.hedgeAt.After(now) {
			a.hedgeAt = now.Add(recheckInterval)
			due = append(due, a)
		}
		if a.hedgeAt.Before(q.nextHedge) {
			q.nextHedge = a.hedgeAt
		}
	}
	slices.SortFunc(due, func(a, b *attempt[P]) int { return cmp.Compare(a.nonce, b.nonce) })
	return due
}

// usefulAsHedge reports whether the next path of a unit is expected to answer
// promptly.
func (q *Query[P]) usefulAsHedge(u int, now time.Time) bool {
	path, ok := q.chooser.Choose(u, q.units[u].tried, now)
	return ok && q.chooser.Prompt(u, path, now)
}
