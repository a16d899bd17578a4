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
	// ran counts the attempts that run the unit, or may have run it.
	ran   int
	tried []P
	// waits are the attempts that may still answer the unit.
	waits []*attempt[P]
}

// Query is the state of one query. It is not safe for concurrent use.
type Query[P comparable] struct {
	terms    Options
	chooser  Chooser[P]
	budget   Budget
	nonces   func() uint64
	units    []unitState[P]
	attempts map[uint64]*attempt[P]
	// due is a time before which no attempt is to be hedged.
	due     time.Time
	covered int
	closed  int
	sent    int
	hedges  int
	retries int
	done    bool
	passed  bool
	late    int
	held    []int
	moves   int
	out     []Action[P]
}

// New returns a query over n units. nonces returns values that are unique
// among the live attempts of the caller.
func New[P comparable](n int, terms Options, chooser Chooser[P], budget Budget, nonces func() uint64) *Query[P] {
	q := &Query[P]{
		terms:    terms,
		chooser:  chooser,
		budget:   budget,
		nonces:   nonces,
		units:    make([]unitState[P], n),
		attempts: map[uint64]*attempt[P]{},
	}
	// Most units have one attempt: there is room for it without an allocation.
	tried, waits := make([]P, n), make([]*attempt[P], n)
	for i := range q.units {
		q.units[i].tried = tried[i : i : i+1]
		q.units[i].waits = waits[i : i : i+1]
	}
	return q
}

// Start sends every unit on its first path.
func (q *Query[P]) Start(now time.Time) []Action[P] {
	q.out = nil
	all := make([]int, 0, len(q.units))
	for i := range q.units {
		if i != q.terms.FirstUnit-1 {
			all = append(all, i)
		}
	}
	q.budget.Sent(len(q.units))
	if q.terms.FirstUnit > 0 {
		q.held = all
		all = []int{q.terms.FirstUnit - 1}
	}
	q.send(all, now, false)
	q.settle(now)
	return q.out
}

// Answer records what an attempt returned. last ends the attempt: units of it
// that were never reported are treated as unreachable. Otherwise the units that
// are still open are late, and are hedged. Answers to unknown nonces are counted
// and otherwise ignored.
func (q *Query[P]) Answer(nonce uint64, covered []int, lacks []MissingUnit, last bool, now time.Time) []Action[P] {
	q.out = nil
	a := q.answered(nonce, covered)
	if a == nil {
		return nil
	}
	var again []int
	for _, l := range lacks {
		if q.waiting(l.Unit, a) && q.lack(a, l) {
			again = append(again, l.Unit)
		}
	}
	if last {
		again = append(again, q.finish(a, peer.Reason_REASON_UNREACHABLE)...)
	}
	q.drop(a)
	q.retry(again, now)
	if !last {
		a.hedgeAt, q.due = now, now
		q.hedge(now)
	}
	q.settle(now)
	return q.out
}

// FailAttempt records that an attempt's connection or path failed.
func (q *Query[P]) FailAttempt(nonce uint64, reason peer.Reason, now time.Time) []Action[P] {
	q.out = nil
	a, ok := q.attempts[nonce]
	if !ok || q.done {
		return nil
	}
	again := q.finish(a, reason)
	q.drop(a)
	q.retry(again, now)
	q.settle(now)
	return q.out
}

// Tick hedges what is due and ends the query at its goal or deadline.
func (q *Query[P]) Tick(now time.Time) []Action[P] {
	q.out = nil
	if q.done {
		return nil
	}
	if now.Before(q.terms.Deadline) {
		q.hedge(now)
	}
	q.settle(now)
	return q.out
}

// NextTick returns the time before which Tick has nothing to do.
func (q *Query[P]) NextTick() time.Time {
	next := q.terms.Deadline
	if g := q.terms.Goal; !g.IsZero() && g.Before(next) && !q.passed && !q.done {
		next = g
	}
	if len(q.attempts) > 0 && q.due.Before(next) {
		next = q.due
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
func (q *Query[P]) LateAnswers() int { return q.late }

// Pending reports whether an attempt is waiting for answers.
func (q *Query[P]) Pending(nonce uint64) bool {
	_, ok := q.attempts[nonce]
	return ok && !q.done
}

// send emits one attempt for each unit, or for the units of each path.
func (q *Query[P]) send(units []int, now time.Time, hedge bool) {
	if q.terms.SeparateUnits {
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
		q.emit(path, groups[path], now, hedge)
	}
}

func (q *Query[P]) sendSeparate(units []int, now time.Time, hedge bool) {
	q.out = slices.Grow(q.out, len(units))
	for i, u := range units {
		if path, ok := q.choose(u, now); ok {
			q.emit(path, units[i:i+1:i+1], now, hedge)
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

func (q *Query[P]) retry(units []int, now time.Time) {
	if len(units) == 0 {
		return
	}
	if !now.Before(q.terms.Deadline) {
		return
	}
	if q.moveFirst(now) {
		return
	}
	var granted []int
	for _, u := range units {
		if !q.again(u, now) {
			q.closeIfIdle(u, q.units[u].reason)
			continue
		}
		if costly[q.units[u].reason] && !q.budget.Retry(u, now) {
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
	if len(s.waits) > 0 || s.covered || s.closed {
		return
	}
	s.closed = true
	s.reason = worse(s.reason, reason)
	q.closed++
}

// maxRounds is how often the paths of a unit are tried, while the attempts used
// no capacity.
const maxRounds = 2

// again reports whether a unit has a path to be retried on. Once all paths were
// tried, they are tried once more if the failures may pass.
func (q *Query[P]) again(u int, now time.Time) bool {
	s := &q.units[u]
	if s.reason == peer.Reason_REASON_QUARANTINED {
		return false
	}
	if q.spare(u, now) {
		return true
	}
	if s.rounds+1 >= maxRounds || !passing[s.reason] {
		return false
	}
	s.rounds++
	s.tried = s.tried[:0]
	return q.spare(u, now)
}

// prompt reports whether the next path of a unit is of use as a hedge.
func (q *Query[P]) prompt(u int, now time.Time) bool {
	path, ok := q.chooser.Choose(u, q.units[u].tried, now)
	return ok && q.chooser.Prompt(u, path, now)
}

// spare reports whether a unit has a path that was not tried.
func (q *Query[P]) spare(u int, now time.Time) bool {
	if q.terms.MaxExecutions > 0 && q.units[u].ran >= q.terms.MaxExecutions {
		return false
	}
	_, ok := q.chooser.Choose(u, q.units[u].tried, now)
	return ok
}

// settle ends the query when nothing is open, at the goal, at the deadline, or
// when too many units are closed.
func (q *Query[P]) settle(now time.Time) {
	if q.done {
		return
	}
	q.unhold(now)
	n := len(q.units)
	q.passed = !q.terms.Goal.IsZero() && !now.Before(q.terms.Goal)
	early := q.passed && float64(q.covered) >= q.terms.Floor*float64(n)
	hopeless := float64(n-q.closed) < q.terms.MinCoverage*float64(n)
	if q.covered+q.closed < n && !early && !hopeless && now.Before(q.terms.Deadline) {
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
		q.out = append(q.out, Action[P]{
			Cancel: true,
			Nonce:  a.nonce,
			Path:   a.path,
		})
	}
	clear(q.attempts)
}
