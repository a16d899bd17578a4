package router

import (
	"slices"
	"time"

	"plantaincleat/tier/gen/peer"
)

// attempt is some units on one path.
type attempt[P comparable] struct {
	nonce uint64
	path  P
	units []int
	// open is the number of units that the attempt may still answer.
	open int
	// runs is how often the attempt may run each unit.
	runs    int
	hedgeAt time.Time
}

func (q *Query[P]) emit(path P, units []int, now time.Time, hedge bool) {
	a := &attempt[P]{
		nonce:   q.nonces(),
		path:    path,
		units:   units,
		open:    len(units),
		runs:    1,
		hedgeAt: now.Add(q.chooser.HedgeDelay(path)),
	}
	for _, u := range units {
		s := &q.units[u]
		s.waits = append(s.waits, a)
		s.tried = append(s.tried, path)
		s.ran++
	}
	if hedge {
		q.hedges += len(units)
	}
	q.sent += len(units)
	if len(q.attempts) == 0 || a.hedgeAt.Before(q.due) {
		q.due = a.hedgeAt
	}
	q.attempts[a.nonce] = a
	q.out = append(q.out, Action[P]{
		Nonce: a.nonce,
		Path:  path,
		Units: units,
		Hedge: hedge,
	})
}

// waiting reports whether an attempt may still answer a unit.
func (q *Query[P]) waiting(u int, a *attempt[P]) bool {
	return slices.Contains(q.units[u].waits, a)
}

// leave takes a unit out of an attempt that waits for it.
func (q *Query[P]) leave(u int, a *attempt[P]) {
	s := &q.units[u]
	i := slices.Index(s.waits, a)
	s.waits = slices.Delete(s.waits, i, i+1)
	a.open--
}

func (q *Query[P]) cover(a *attempt[P], u int) {
	q.leave(u, a)
	s := &q.units[u]
	if s.covered {
		return
	}
	if s.closed {
		q.closed--
		s.closed = false
	}
	s.covered = true
	q.covered++
	q.release(u)
}

// release takes a covered unit out of the other attempts and cancels those
// that have nothing else to answer.
func (q *Query[P]) release(u int) {
	s := &q.units[u]
	for _, a := range s.waits {
		a.open--
		if a.open == 0 {
			delete(q.attempts, a.nonce)
			q.out = append(q.out, Action[P]{
				Cancel: true,
				Nonce:  a.nonce,
				Path:   a.path,
			})
		}
	}
	clear(s.waits)
	s.waits = s.waits[:0]
}

// lack closes a unit of an attempt and reports whether it may be sent again.
func (q *Query[P]) lack(a *attempt[P], l MissingUnit) bool {
	q.leave(l.Unit, a)
	s := &q.units[l.Unit]
	if s.covered {
		return false
	}
	s.reason = worse(s.reason, l.Reason)
	if !mayRun[l.Reason] {
		s.ran -= a.runs
	}
	return len(s.waits) == 0
}

// finish closes all open units of an attempt and returns those to send again.
func (q *Query[P]) finish(a *attempt[P], reason peer.Reason) []int {
	var again []int
	for _, u := range a.units {
		if !q.waiting(u, a) {
			continue
		}
		l := MissingUnit{
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
	if a.open == 0 {
		delete(q.attempts, a.nonce)
	}
}
