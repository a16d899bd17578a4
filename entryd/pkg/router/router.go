// Package router decides which path every unit of a query takes: where it is
// sent first, when it is sent again, and when the query ends. It is a
// deterministic state machine: events and the time go in, actions come out.
//
// The same machine serves both tiers. At the root a unit is a shard and a path
// leads to a gatherer; at the gatherer a unit is a shard and a path is a
// target.
package router

import (
	"cmp"
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
	// Hedge reports whether n more sub-requests may be sent as hedges.
	Hedge(n int, now time.Time) bool
	// Retry reports whether n more sub-requests may be sent as retries of
	// attempts that may have used capacity. Other retries are free.
	Retry(n int, now time.Time) bool
}

// Terms are what the query's class asks for.
type Terms struct {
	// Deadline ends the query.
	Deadline time.Time
	// Goal is the time from which an answer at or above the floor ends the
	// query. Zero waits for every unit.
	Goal time.Time
	// Floor is the least fraction of units, in [0,1], for an early answer.
	Floor float64
	// Hedging is false for requests of which no second copy may run beside
	// the first while that may still be running.
	Hedging bool
	// Separate sends each unit in an attempt of its own.
	Separate bool
	// First is one more than the unit to send alone and unhedged until it is
	// covered or closed. Zero sends all units at once.
	First int
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

// Lack is a unit that an attempt could not answer.
type Lack struct {
	Unit   int
	Reason peer.Reason
}

type unitState struct {
	covered bool
	closed  bool
	reason  peer.Reason
	pending int
	rounds  int
}

type attempt[P comparable] struct {
	nonce   uint64
	path    P
	units   []int
	open    map[int]bool
	start   time.Time
	hedgeAt time.Time
}

// Query is the state of one query. It is not safe for concurrent use.
type Query[P comparable] struct {
	terms    Terms
	chooser  Chooser[P]
	budget   Budget
	nonces   func() uint64
	units    []unitState
	tried    [][]P
	attempts map[uint64]*attempt[P]
	covered  int
	closed   int
	sent     int
	hedges   int
	retries  int
	done     bool
	late     int
	held     []int
	moves    int
	out      []Action[P]
}

// New returns a query over n units. nonces returns values that are unique
// among the live attempts of the caller.
func New[P comparable](n int, terms Terms, chooser Chooser[P], budget Budget, nonces func() uint64) *Query[P] {
	return &Query[P]{
		terms:    terms,
		chooser:  chooser,
		budget:   budget,
		nonces:   nonces,
		units:    make([]unitState, n),
		tried:    make([][]P, n),
		attempts: map[uint64]*attempt[P]{},
	}
}

// Start sends every unit on its first path.
func (q *Query[P]) Start(now time.Time) []Action[P] {
	q.out = nil
	all := make([]int, 0, len(q.units))
	for i := range q.units {
		if i != q.terms.First-1 {
			all = append(all, i)
		}
	}
	q.budget.Sent(len(q.units))
	if q.terms.First > 0 {
		q.held = all
		all = []int{q.terms.First - 1}
	}
	q.send(all, now, false)
	q.settle(now)
	return q.out
}

// Answer records what an attempt returned. last ends the attempt: units of it
// that were never reported are treated as unreachable. Otherwise the units that
// are still open are late, and are hedged. Answers to unknown nonces are counted
// and otherwise ignored.
func (q *Query[P]) Answer(nonce uint64, covered []int, lacks []Lack, last bool, now time.Time) []Action[P] {
	q.out = nil
	a, ok := q.attempts[nonce]
	if !ok || q.done {
		q.late++
		return nil
	}
	for _, u := range covered {
		if a.open[u] {
			q.cover(a, u)
		}
	}
	var again []int
	for _, l := range lacks {
		if a.open[l.Unit] && q.lack(a, l) {
			again = append(again, l.Unit)
		}
	}
	if last {
		again = append(again, q.finish(a, peer.Reason_REASON_UNREACHABLE)...)
	}
	q.drop(a)
	q.retry(again, now)
	if !last {
		a.hedgeAt = now
		q.hedge(now)
	}
	q.settle(now)
	return q.out
}

// Lost records that an attempt's connection or path failed.
func (q *Query[P]) Lost(nonce uint64, reason peer.Reason, now time.Time) []Action[P] {
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

// Wake returns the next time at which Tick has something to do.
func (q *Query[P]) Wake() time.Time {
	next := q.terms.Deadline
	if g := q.terms.Goal; !g.IsZero() && g.Before(next) && !q.done {
		next = g
	}
	for _, a := range q.attempts {
		if a.hedgeAt.Before(next) {
			next = a.hedgeAt
		}
	}
	return next
}

// Done reports whether the query has ended.
func (q *Query[P]) Done() bool { return q.done }

// Covered reports whether a unit was answered.
func (q *Query[P]) Covered(unit int) bool { return q.units[unit].covered }

// Closed reports whether a unit has no path left to try.
func (q *Query[P]) Closed(unit int) bool { return q.units[unit].closed }

// Reason returns why a unit is missing.
func (q *Query[P]) Reason(unit int) peer.Reason { return q.units[unit].reason }

// Sent returns the number of units sent on any path, extra ones included.
func (q *Query[P]) Sent() int { return q.sent }

// Hedges returns the number of units sent as hedges.
func (q *Query[P]) Hedges() int { return q.hedges }

// Retries returns the number of units sent again after a failure.
func (q *Query[P]) Retries() int { return q.retries }

// Late returns the number of answers that came for no live attempt.
func (q *Query[P]) Late() int { return q.late }

// Live reports whether an attempt is waiting for answers.
func (q *Query[P]) Live(nonce uint64) bool {
	_, ok := q.attempts[nonce]
	return ok && !q.done
}

// send groups units by their next path and emits one attempt for each.
func (q *Query[P]) send(units []int, now time.Time, hedge bool) {
	groups := map[P][]int{}
	var order []P
	for _, u := range units {
		path, ok := q.chooser.Choose(u, q.tried[u], now)
		if !ok {
			q.closeIfIdle(u, peer.Reason_REASON_UNREACHABLE)
			continue
		}
		if _, seen := groups[path]; !seen {
			order = append(order, path)
		}
		groups[path] = append(groups[path], u)
	}
	for _, path := range order {
		if !q.terms.Separate {
			q.emit(path, groups[path], now, hedge)
			continue
		}
		for _, u := range groups[path] {
			q.emit(path, []int{u}, now, hedge)
		}
	}
}

func (q *Query[P]) emit(path P, units []int, now time.Time, hedge bool) {
	a := &attempt[P]{
		nonce:   q.nonces(),
		path:    path,
		units:   units,
		open:    make(map[int]bool, len(units)),
		start:   now,
		hedgeAt: now.Add(q.chooser.HedgeDelay(path)),
	}
	for _, u := range units {
		a.open[u] = true
		q.units[u].pending++
		q.tried[u] = append(q.tried[u], path)
	}
	if hedge {
		q.hedges += len(units)
	}
	q.sent += len(units)
	q.attempts[a.nonce] = a
	q.out = append(q.out, Action[P]{
		Nonce: a.nonce,
		Path:  path,
		Units: units,
		Hedge: hedge,
	})
}

func (q *Query[P]) cover(a *attempt[P], u int) {
	delete(a.open, u)
	s := &q.units[u]
	s.pending--
	if s.covered {
		return
	}
	if s.closed {
		q.closed--
		s.closed = false
	}
	s.covered = true
	q.covered++
	if s.pending > 0 {
		q.release(u)
	}
}

// release takes a covered unit out of the other attempts and cancels those
// that have nothing else to answer.
func (q *Query[P]) release(u int) {
	for _, a := range q.attempts {
		if !a.open[u] {
			continue
		}
		delete(a.open, u)
		q.units[u].pending--
		if len(a.open) == 0 {
			delete(q.attempts, a.nonce)
			q.out = append(q.out, Action[P]{
				Cancel: true,
				Nonce:  a.nonce,
				Path:   a.path,
			})
		}
	}
}

// lack closes a unit of an attempt and reports whether it may be sent again.
func (q *Query[P]) lack(a *attempt[P], l Lack) bool {
	delete(a.open, l.Unit)
	s := &q.units[l.Unit]
	s.pending--
	if s.covered {
		return false
	}
	s.reason = worse(s.reason, l.Reason)
	return s.pending == 0
}

// finish closes all open units of an attempt and returns those to send again.
func (q *Query[P]) finish(a *attempt[P], reason peer.Reason) []int {
	var again []int
	for _, u := range a.units {
		if !a.open[u] {
			continue
		}
		l := Lack{
			Unit:   u,
			Reason: reason,
		}
		if q.lack(a, l) {
			again = append(again, u)
		}
	}
	return again
}

func (q *Query[P]) drop(a *attempt[P]) {
	if len(a.open) == 0 {
		delete(q.attempts, a.nonce)
	}
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
		if costly[q.units[u].reason] && !q.budget.Retry(1, now) {
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
	if s.pending > 0 || s.covered || s.closed {
		return
	}
	s.closed = true
	s.reason = worse(s.reason, reason)
	q.closed++
}

// costly holds the reasons after which a retry is charged to the budget: the
// failed attempt used capacity, or the targets have none to spare.
var costly = map[peer.Reason]bool{
	peer.Reason_REASON_SHED:   true,
	peer.Reason_REASON_FAILED: true,
	peer.Reason_REASON_BUDGET: true,
	peer.Reason_REASON_LATE:   true,
}

// hedge sends the open units of overdue attempts on a second path. Hedges are
// charged to the budget. Leaving a failed path is free: it happens once for each
// path of a unit, and later units avoid the path.
func (q *Query[P]) hedge(now time.Time) {
	var hedges, retries []int
	for _, a := range q.overdue(now) {
		failed := q.chooser.Failed(a.path, now)
		if !failed && (!q.terms.Hedging || len(q.held) > 0) {
			continue
		}
		for _, u := range a.units {
			if !a.open[u] || q.backed(a, u, now) || !q.spare(u, now) {
				continue
			}
			switch {
			case failed:
				retries = append(retries, u)
			case q.prompt(u, now) && q.budget.Hedge(1, now):
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
	if q.units[u].pending < 2 {
		return false
	}
	for _, other := range q.attempts {
		if other != a && other.open[u] && !q.chooser.Failed(other.path, now) {
			return true
		}
	}
	return false
}

// recheck is the time after which an overdue attempt is looked at again.
const recheck = 10 * time.Millisecond

// overdue returns the attempts whose hedge delay has passed, oldest nonce
// first.
func (q *Query[P]) overdue(now time.Time) []*attempt[P] {
	var due []*attempt[P]
	for _, a := range q.attempts {
		if a.hedgeAt.After(now) {
			continue
		}
		a.hedgeAt = now.Add(recheck)
		due = append(due, a)
	}
	slices.SortFunc(due, func(a, b *attempt[P]) int { return cmp.Compare(a.nonce, b.nonce) })
	return due
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
	q.tried[u] = q.tried[u][:0]
	return q.spare(u, now)
}

// passing holds the reasons that may not hold for the next attempt.
var passing = map[peer.Reason]bool{
	peer.Reason_REASON_UNREACHABLE: true,
}

// prompt reports whether the next path of a unit is of use as a hedge.
func (q *Query[P]) prompt(u int, now time.Time) bool {
	path, ok := q.chooser.Choose(u, q.tried[u], now)
	return ok && q.chooser.Prompt(u, path, now)
}

// spare reports whether a unit has a path that was not tried.
func (q *Query[P]) spare(u int, now time.Time) bool {
	_, ok := q.chooser.Choose(u, q.tried[u], now)
	return ok
}

// settle ends the query when nothing is open, at the goal, or at the deadline.
func (q *Query[P]) settle(now time.Time) {
	if q.done {
		return
	}
	q.unhold(now)
	n := len(q.units)
	early := !q.terms.Goal.IsZero() && !now.Before(q.terms.Goal) && float64(q.covered) >= q.terms.Floor*float64(n)
	if q.covered+q.closed < n && !early && now.Before(q.terms.Deadline) {
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
	q.held[i] = q.terms.First - 1
	q.terms.First = next + 1
	q.retries++
	q.send([]int{next}, now, false)
	return true
}

// First returns one more than the unit that is, or was, sent alone first. Zero
// means that all were sent at once.
func (q *Query[P]) First() int { return q.terms.First }

// Holding reports whether only the first unit was sent so far.
func (q *Query[P]) Holding() bool { return len(q.held) > 0 }

// unhold sends the other units once the first has been answered, or cannot be.
// A quarantined request goes no further.
func (q *Query[P]) unhold(now time.Time) {
	if len(q.held) == 0 {
		return
	}
	first := q.units[q.terms.First-1]
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

// rank orders reasons by how much they explain: the highest one is reported.
var rank = map[peer.Reason]int{
	peer.Reason_REASON_UNSPECIFIED: 0,
	peer.Reason_REASON_UNREACHABLE: 1,
	peer.Reason_REASON_LEAVING:     2,
	peer.Reason_REASON_LATE:        3,
	peer.Reason_REASON_FAILED:      4,
	peer.Reason_REASON_SHED:        5,
	peer.Reason_REASON_BUDGET:      6,
	peer.Reason_REASON_DROPPED:     7,
	peer.Reason_REASON_QUARANTINED: 8,
}

func worse(a, b peer.Reason) peer.Reason {
	if rank[b] > rank[a] {
		return b
	}
	return a
}
