// Package router decides on which path each unit of a query is sent, when it is sent
// again, and when the query ends. It is a deterministic state machine: its inputs are
// events and the current time, its outputs are actions.
//
// Roots and gatherers use the same state machine. A unit is a shard. For a root a
// path leads to a gatherer, and for a gatherer a path is a target.
package router

import (
	"slices"
	"time"

	"plantaincleat/tier/gen/peer"
)

// Chooser selects paths. P identifies a path.
type Chooser[P comparable] interface {
	// Choose returns the best path for a unit among those not in tried. ok is
	// false if there is none.
	Choose(unit int, tried []P, now time.Time) (path P, ok bool)
	// HedgeDelay returns the time to wait for an answer on a path before the unit
	// is also sent on another path.
	HedgeDelay(path P) time.Duration
	// Prompt reports whether a unit sent on a path now is expected to be answered
	// without delay. Only prompt paths are used for hedges.
	Prompt(unit int, path P, now time.Time) bool
	// Failed reports whether a path is considered out of service. Sending its
	// open units on another path then counts as a retry instead of a hedge.
	// Choose avoids failed paths as long as there are others.
	Failed(path P, now time.Time) bool
}

// Budget bounds the additional sub-requests of hedges and retries. One budget may be
// shared by several queries.
type Budget interface {
	// Sent counts n first attempts.
	Sent(n int)
	// Hedge reports whether one more sub-request for a unit may be sent as a
	// hedge.
	Hedge(unit int, now time.Time) bool
	// Retry reports whether one more sub-request for a unit may be sent to retry
	// an attempt that may have used capacity. Retries of attempts that never
	// reached a target are free.
	Retry(unit int, now time.Time) bool
	// Failover reports whether a unit with an attempt on a failed path may also be
	// sent on another path.
	Failover(unit int, now time.Time) bool
}

// Options configure a Query.
type Options struct {
	// Deadline is the time at which the query ends.
	Deadline time.Time
	// Goal is the time from which the query ends as soon as its coverage reaches
	// Floor and is worth more than a late answer with all units. Zero means that the
	// query waits for every unit.
	Goal time.Time
	// Late is the worth of a late answer, in proportion to one in time. Zero means that
	// it is worth nothing.
	Late float64
	// Floor is the least fraction of covered units, in [0,1], at which the query
	// ends between Goal and Deadline.
	Floor float64
	// MinCoverage is the fraction of covered units, in [0,1], below which an answer
	// is useless. The query ends once closed units make it unreachable. Zero
	// disables this.
	MinCoverage float64
	// Hedging allows hedges. It is false for a request that must not be executed
	// again while an earlier attempt may still be running.
	Hedging bool
	// SeparateUnits sends each unit in its own attempt instead of one attempt for
	// all units with the same path.
	SeparateUnits bool
	// MaxExecutions is the number of times that a unit may be executed. Attempts
	// that certainly did not execute it do not count. Zero means no limit.
	MaxExecutions int
	// FirstUnit is the index plus one of the unit that is sent alone and without
	// hedges until it is covered or closed. Zero sends all units at once.
	FirstUnit int
	// FirstRequired closes the other units instead of sending them if the first unit,
	// or the one that replaces it, is closed.
	FirstRequired bool
}

// Action tells the caller to send or to cancel an attempt.
type Action[P comparable] struct {
	// Cancel is true if the caller has to cancel the attempt with this nonce.
	// Otherwise the caller has to send the units on the path.
	Cancel bool
	Nonce  uint64
	Path   P
	// Units are the indices of the units to send. They are empty if Cancel is true.
	Units []int
	// Hedge is true if the attempt is a hedge.
	Hedge bool
}

// MissingUnit is a unit that an attempt could not answer, with the reason.
type MissingUnit struct {
	Unit   int
	Reason peer.Reason
	// Executions is the number of times that the attempt may have executed the unit. Zero
	// means as often as it was allowed to, if the reason allows that it has.
	Executions int
}

// unitState is the state of one unit of a query.
type unitState[P comparable] struct {
	// covered is true once the unit was answered.
	covered bool
	// closed is true while the unit is given up: no attempt is open, and no path or no
	// budget is left to send it again.
	closed bool
	reason peer.Reason
	// rounds counts how often all paths have been tried without an answer.
	rounds int
	// executions is the number of times that the unit was or may be executed.
	executions int
	// tried holds the paths that were tried in this round.
	tried []P
	// attempts holds the attempts that may still answer the unit.
	attempts []*attempt[P]
}

// Query is the state of one query. It is not safe for concurrent use.
type Query[P comparable] struct {
	options  Options
	chooser  Chooser[P]
	budget   Budget
	nonces   func() uint64
	units    []unitState[P]
	attempts map[uint64]*attempt[P]
	// nextHedge is the time before which no attempt becomes overdue.
	nextHedge   time.Time
	covered     int
	closed      int
	sent        int
	hedges      int
	retries     int
	done        bool
	goalPassed  bool
	lateAnswers int
	// deferred holds the units that wait until the first unit is covered or closed.
	deferred          []int
	firstReplacements int
	// actions collects the actions of the current event.
	actions []Action[P]
}

// New returns a query over n units. nonces must return values that are unique among
// the pending attempts of the caller.
func New[P comparable](n int, options Options, chooser Chooser[P], budget Budget, nonces func() uint64) *Query[P] {
	q := &Query[P]{
		options:  options,
		chooser:  chooser,
		budget:   budget,
		nonces:   nonces,
		units:    make([]unitState[P], n),
		attempts: map[uint64]*attempt[P]{},
	}
	// Most units have one attempt, so room for one is allocated for all units at once.
	tried, attempts := make([]P, n), make([]*attempt[P], n)
	for i := range q.units {
		q.units[i].tried = tried[i : i : i+1]
		q.units[i].attempts = attempts[i : i : i+1]
	}
	return q
}

// Start sends every unit on its first path, or only the first unit if
// Options.FirstUnit is set.
func (q *Query[P]) Start(now time.Time) []Action[P] {
	q.actions = nil
	all := make([]int, 0, len(q.units))
	for i := range q.units {
		if i != q.options.FirstUnit-1 {
			all = append(all, i)
		}
	}
	q.budget.Sent(len(q.units))
	if q.options.FirstUnit > 0 {
		q.deferred = all
		all = []int{q.options.FirstUnit - 1}
	}
	q.send(all, now, false)
	q.endIfDone(now)
	return q.actions
}

// Answer records the answer of an attempt: the units that it covers and the units
// that it could not answer. If last is true, the attempt ends, and its units that were
// never reported count as failed, since nothing tells whether they were executed. Otherwise
// its open units are late and are hedged. Answers with an unknown nonce are counted and
// otherwise ignored.
func (q *Query[P]) Answer(nonce uint64, covered []int, missing []MissingUnit, last bool, now time.Time) []Action[P] {
	q.actions = nil
	a := q.recordCovered(nonce, covered)
	if a == nil {
		return nil
	}
	var again []int
	for _, m := range missing {
		if q.awaits(m.Unit, a) && q.failUnit(a, m) {
			again = append(again, m.Unit)
		}
	}
	if last {
		again = append(again, q.failOpenUnits(a, peer.Reason_REASON_FAILED)...)
	}
	q.removeIfFinished(a)
	q.retryUnits(again, now)
	if !last {
		a.hedgeAt, q.nextHedge = now, now
		q.hedgeOverdue(now)
	}
	q.endIfDone(now)
	return q.actions
}

// FailAttempt records that the connection or path of an attempt failed, with the
// reason for its open units.
func (q *Query[P]) FailAttempt(nonce uint64, reason peer.Reason, now time.Time) []Action[P] {
	q.actions = nil
	a, ok := q.attempts[nonce]
	if !ok || q.done {
		return nil
	}
	again := q.failOpenUnits(a, reason)
	q.removeIfFinished(a)
	q.retryUnits(again, now)
	q.endIfDone(now)
	return q.actions
}

// Tick hedges overdue attempts and ends the query at its goal or deadline.
func (q *Query[P]) Tick(now time.Time) []Action[P] {
	q.actions = nil
	if q.done {
		return nil
	}
	if now.Before(q.options.Deadline) {
		q.hedgeOverdue(now)
	}
	q.endIfDone(now)
	return q.actions
}

// Done reports whether the query has ended.
func (q *Query[P]) Done() bool { return q.done }

// Covered reports whether a unit was answered.
func (q *Query[P]) Covered(unit int) bool { return q.units[unit].covered }

// Closed reports whether a unit was given up: it has no open attempt and cannot be
// sent again.
func (q *Query[P]) Closed(unit int) bool { return q.units[unit].closed }

// Resent reports whether a unit was sent more than once.
func (q *Query[P]) Resent(unit int) bool {
	return len(q.units[unit].tried) > 1 || q.units[unit].rounds > 0
}

// Reason returns the reason why a unit is not covered.
func (q *Query[P]) Reason(unit int) peer.Reason { return q.units[unit].reason }

// Executions returns the number of times that a unit was or may be executed.
func (q *Query[P]) Executions(unit int) int { return q.units[unit].executions }

// Sent returns the number of units sent on any path, including hedges and retries.
func (q *Query[P]) Sent() int { return q.sent }

// Hedges returns the number of units sent as hedges.
func (q *Query[P]) Hedges() int { return q.hedges }

// Retries returns the number of units sent again after a failure.
func (q *Query[P]) Retries() int { return q.retries }

// LateAnswers returns the number of answers that arrived for no pending attempt.
func (q *Query[P]) LateAnswers() int { return q.lateAnswers }

// Pending reports whether an attempt still waits for answers.
func (q *Query[P]) Pending(nonce uint64) bool {
	_, ok := q.attempts[nonce]
	return ok && !q.done
}

// send starts one attempt for each path with all of its units, or one attempt for each
// unit if Options.SeparateUnits is set.
func (q *Query[P]) send(units []int, now time.Time, hedge bool) {
	if q.options.SeparateUnits {
		q.sendSeparate(units, now, hedge)
		return
	}
	groups := map[P][]int{}
	var order []P
	for _, u := range units {
		path, ok := q.choose(u, now)
		if !ok {
			continue
		}
		if _, seen := groups[path]; !seen {
			order = append(order, path)
		}
		groups[path] = append(groups[path], u)
	}
	for _, path := range order {
		q.startAttempt(path, groups[path], now, hedge)
	}
}

// sendSeparate starts one attempt for each unit.
func (q *Query[P]) sendSeparate(units []int, now time.Time, hedge bool) {
	q.actions = slices.Grow(q.actions, len(units))
	for i, u := range units {
		if path, ok := q.choose(u, now); ok {
			q.startAttempt(path, units[i:i+1:i+1], now, hedge)
		}
	}
}

// choose returns the next path of a unit. If there is none, it closes the unit unless
// an attempt may still answer it.
func (q *Query[P]) choose(u int, now time.Time) (P, bool) {
	path, ok := q.chooser.Choose(u, q.units[u].tried, now)
	if !ok {
		q.closeIfIdle(u, peer.Reason_REASON_UNREACHABLE)
	}
	return path, ok
}

// endIfDone sends deferred units that are due, and ends the query in one of four
// cases: no unit is open, the goal has passed and the floor is reached, the deadline
// has passed, or too many units are closed. It cancels the remaining attempts.
func (q *Query[P]) endIfDone(now time.Time) {
	if q.done {
		return
	}
	q.sendDeferred(now)
	n := len(q.units)
	q.goalPassed = !q.options.Goal.IsZero() && !now.Before(q.options.Goal)
	unreachable := float64(n-q.closed) < q.options.MinCoverage*float64(n)
	if q.covered+q.closed < n && !q.leavesNow(now) && !unreachable && now.Before(q.options.Deadline) {
		return
	}
	q.done = true
	for i := range q.units {
		s := &q.units[i]
		if !s.covered && !s.closed {
			s.reason = peer.Reason_REASON_LATE
		}
	}
	for _, a := range q.attempts {
		q.actions = append(q.actions, Action[P]{
			Cancel: true,
			Nonce:  a.nonce,
			Path:   a.path,
		})
	}
	clear(q.attempts)
}
