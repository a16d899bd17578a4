// Package router decides which path every unit of a query takes: where it is
// sent first, when it is sent again, and when the query ends. It is a
// deterministic state machine: events and the time go in, actions come out.
//
// The same machine serves both tiers. At the root a unit is a shard and a path
// leads to a gatherer; at the gatherer a unit is a shard and a path is a
// target.
package router

import (
	"slices"
	"time"

	"plantaincleat/tier/gen/peer"
)

// Chooser picks paths. P identifies a path.
type Chooser[P comparable] interface {
	// Choose returns the best path for a unit that is not in tried. ok is
	// false if there is none.
	Choose(unit int, tried []P, now time.Time) (path P, ok bool)
	// HedgeDelay returns how long to wait for an answer on a path before the
	// unit is sent on another one as well.
	HedgeDelay(path P) time.Duration
	// Prompt reports whether a unit sent on a path now is expected to be
	// answered without delay. Others are no use as hedges.
	Prompt(unit int, path P, now time.Time) bool
	// Failed reports whether a path is taken to be out of service. Sending
	// its open units elsewhere then counts as a retry instead of a hedge.
	// Choose avoids failed paths while there are others.
	Failed(path P, now time.Time) bool
}

// Budget bounds extra sub-requests. Implementations may share one budget
// between queries.
type Budget interface {
	// Sent counts n first attempts.
	Sent(n int)
	// Hedge reports whether one more sub-request for a unit may be sent as a
	// hedge.
	Hedge(unit int, now time.Time) bool
	// Retry reports whether one more sub-request for a unit may be sent as the
	// retry of an attempt that may have used capacity.
	Retry(unit int, now time.Time) bool
	// Failover reports whether a unit that waits on a failed path may be sent on
	// another one as well. Retries of attempts that never reached a target are
	// free.
	Failover(unit int, now time.Time) bool
}

// Options are what the query's class asks for.
type Options struct {
	// Deadline ends the query.
	Deadline time.Time
	// Goal is the time from which an answer at or above the floor ends the
	// query. Zero waits for every unit.
	Goal time.Time
	// Floor is the least fraction of units, in [0,1], for an early answer.
	Floor float64
	// MinCoverage is the fraction of units, in [0,1], below which an answer is of no
	// use: the query ends once it cannot be reached. Zero ends no query.
	MinCoverage float64
	// Hedging is false for requests of which no second copy may run beside
	// the first while that may still be running.
	Hedging bool
	// SeparateUnits sends each unit in an attempt of its own.
	SeparateUnits bool
	// MaxExecutions is the number of paths on which one unit may run. Attempts that
	// certainly did not run it don't count. Zero is no limit.
	MaxExecutions int
	// FirstUnit is one more than the unit to send alone and unhedged until it is
	// covered or closed. Zero sends all units at once.
	FirstUnit int
}

// Action is something for the caller to do.
type Action[P comparable] struct {
	// Cancel is true to cancel the attempt with this nonce. Otherwise the
	// units are to be sent on the path.
	Cancel bool
	Nonce  uint64
	Path   P
	Units  []int
	Hedge  bool
}

// MissingUnit is a unit that an attempt could not answer.
type MissingUnit struct {
	Unit   int
	Reason peer.Reason
}

type unitState[P comparable] struct {
	covered bool
	closed  bool
	reason  peer.Reason
	rounds  int
	// executions counts the attempts that run the unit, or may have run it.
	executions int
	tried      []P
	// attempts are the attempts that may still answer the unit.
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
	// nextHedge is a time before which no attempt is to be hedged.
	nextHedge         time.Time
	covered           int
	closed            int
	sent              int
	hedges            int
	retries           int
	done              bool
	goalPassed        bool
	lateAnswers       int
	deferred          []int
	firstReplacements int
	actions           []Action[P]
}

// New returns a query over n units. nonces returns values that are unique
// among the live attempts of the caller.
func New[P comparable](n int, options Options, chooser Chooser[P], budget Budget, nonces func() uint64) *Query[P] {
	q := &Query[P]{
		options:  options,
		chooser:  chooser,
		budget:   budget,
		nonces:   nonces,
		units:    make([]unitState[P], n),
		attempts: map[uint64]*attempt[P]{},
	}
	// Most units have one attempt: there is room for it without an allocation.
	tried, attempts := make([]P, n), make([]*attempt[P], n)
	for i := range q.units {
		q.units[i].tried = tried[i : i : i+1]
		q.units[i].attempts = attempts[i : i : i+1]
	}
	return q
}

// Start sends every unit on its first path.
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

// Answer records what an attempt returned. last ends the attempt: units of it
// that were never reported are treated as unreachable. Otherwise the units that
// are still open are late, and are hedged. Answers to unknown nonces are counted
// and otherwise ignored.
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
		again = append(again, q.failOpenUnits(a, peer.Reason_REASON_UNREACHABLE)...)
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

// FailAttempt records that an attempt's connection or path failed.
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

// Tick hedges what is due and ends the query at its goal or deadline.
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

// NextTick returns the time before which Tick has nothing to do.
func (q *Query[P]) NextTick() time.Time {
	next := q.options.Deadline
	if g := q.options.Goal; !g.IsZero() && g.Before(next) && !q.goalPassed && !q.done {
		next = g
	}
	if len(q.attempts) > 0 && q.nextHedge.Before(next) {
		next = q.nextHedge
	}
	return next
}

// Done reports whether the query has ended.
func (q *Query[P]) Done() bool { return q.done }

// Covered reports whether a unit was answered.
func (q *Query[P]) Covered(unit int) bool { return q.units[unit].covered }

// Closed reports whether a unit has no path left to try.
func (q *Query[P]) Closed(unit int) bool { return q.units[unit].closed }

// Resent reports whether a unit was sent more than once.
func (q *Query[P]) Resent(unit int) bool {
	return len(q.units[unit].tried) > 1 || q.units[unit].rounds > 0
}

// Reason returns why a unit is missing.
func (q *Query[P]) Reason(unit int) peer.Reason { return q.units[unit].reason }

// Sent returns the number of units sent on any path, extra ones included.
func (q *Query[P]) Sent() int { return q.sent }

// Hedges returns the number of units sent as hedges.
func (q *Query[P]) Hedges() int { return q.hedges }

// Retries returns the number of units sent again after a failure.
func (q *Query[P]) Retries() int { return q.retries }

// LateAnswers returns the number of answers that came for no live attempt.
func (q *Query[P]) LateAnswers() int { return q.lateAnswers }

// Pending reports whether an attempt is waiting for answers.
func (q *Query[P]) Pending(nonce uint64) bool {
	_, ok := q.attempts[nonce]
	return ok && !q.done
}

// send emits one attempt for each unit, or for the units of each path.
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

func (q *Query[P]) sendSeparate(units []int, now time.Time, hedge bool) {
	q.actions = slices.Grow(q.actions, len(units))
	for i, u := range units {
		if path, ok := q.choose(u, now); ok {
			q.startAttempt(path, units[i:i+1:i+1], now, hedge)
		}
	}
}

// choose returns the next path of a unit, and closes the unit if there is none.
func (q *Query[P]) choose(u int, now time.Time) (P, bool) {
	path, ok := q.chooser.Choose(u, q.units[u].tried, now)
	if !ok {
		q.closeIfIdle(u, peer.Reason_REASON_UNREACHABLE)
	}
	return path, ok
}

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

func (q *Query[P]) closeIfIdle(u int, reason peer.Reason) {
	s := &q.units[u]
	if len(s.attempts) > 0 || s.covered || s.closed {
		return
	}
	s.closed = true
	s.reason = moreInformative(s.reason, reason)
	q.closed++
}

// maxRounds is how often the paths of a unit are tried, while the attempts used
// no capacity.
const maxRounds = 2

// canRetry reports whether a unit has a path to be retried on. Once all paths were
// tried, they are tried once more if the failures may pass.
func (q *Query[P]) canRetry(u int, now time.Time) bool {
	s := &q.units[u]
	if s.reason == peer.Reason_REASON_QUARANTINED {
		return false
	}
	if q.hasUntriedPath(u, now) {
		return true
	}
	if s.rounds+1 >= maxRounds || !transientReasons[s.reason] {
		return false
	}
	s.rounds++
	s.tried = s.tried[:0]
	return q.hasUntriedPath(u, now)
}

// usefulAsHedge reports whether the next path of a unit is of use as a hedge.
func (q *Query[P]) usefulAsHedge(u int, now time.Time) bool {
	path, ok := q.chooser.Choose(u, q.units[u].tried, now)
	return ok && q.chooser.Prompt(u, path, now)
}

// hasUntriedPath reports whether a unit has a path that was not tried.
func (q *Query[P]) hasUntriedPath(u int, now time.Time) bool {
	if q.options.MaxExecutions > 0 && q.units[u].executions >= q.options.MaxExecutions {
		return false
	}
	_, ok := q.chooser.Choose(u, q.units[u].tried, now)
	return ok
}

// endIfDone ends the query when nothing is open, at the goal, at the deadline, or
// when too many units are closed.
func (q *Query[P]) endIfDone(now time.Time) {
	if q.done {
		return
	}
	q.sendDeferred(now)
	n := len(q.units)
	q.goalPassed = !q.options.Goal.IsZero() && !now.Before(q.options.Goal)
	early := q.goalPassed && float64(q.covered) >= q.options.Floor*float64(n)
	unreachable := float64(n-q.closed) < q.options.MinCoverage*float64(n)
	if q.covered+q.closed < n && !early && !unreachable && now.Before(q.options.Deadline) {
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
