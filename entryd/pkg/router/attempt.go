package router

import (
	"slices"
	"time"

	"plantaincleat/tier/gen/peer"
)

// attempt is a set of units sent on one path.
type attempt[P comparable] struct {
	nonce uint64
	path  P
	units []int
	// openUnits is the number of units for which an answer is still expected.
	openUnits int
	// executions is the number of times that the attempt may execute each unit.
	executions int
	// hedgeAt is the time from which the attempt is overdue.
	hedgeAt time.Time
}

// startAttempt registers an attempt and adds the action that sends it.
func (q *Query[P]) startAttempt(path P, units []int, now time.Time, hedge bool) {
	a := &attempt[P]{
		nonce:      q.nonces(),
		path:       path,
		units:      units,
		openUnits:  len(units),
		executions: 1,
		hedgeAt:    now.Add(q.chooser.HedgeDelay(path)),
	}
	for _, u := range units {
		s := &q.units[u]
		s.attempts = append(s.attempts, a)
		s.tried = append(s.tried, path)
		s.executions++
	}
	if hedge {
		q.hedges += len(units)
	}
	q.sent += len(units)
	if len(q.attempts) == 0 || a.hedgeAt.Before(q.nextHedge) {
		q.nextHedge = a.hedgeAt
	}
	q.attempts[a.nonce] = a
	q.actions = append(q.actions, Action[P]{
		Nonce: a.nonce,
		Path:  path,
		Units: units,
		Hedge: hedge,
	})
}

// awaits reports whether an answer of an attempt for a unit is still expected.
func (q *Query[P]) awaits(u int, a *attempt[P]) bool {
	return slices.Contains(q.units[u].attempts, a)
}

// detach removes an attempt from the attempts that may still answer a unit.
func (q *Query[P]) detach(u int, a *attempt[P]) {
	s := &q.units[u]
	i := slices.Index(s.attempts, a)
	s.attempts = slices.Delete(s.attempts, i, i+1)
	a.openUnits--
}

// markCovered marks a unit as covered by an attempt and cancels its other attempts.
func (q *Query[P]) markCovered(a *attempt[P], u int) {
	q.detach(u, a)
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
	q.cancelOtherAttempts(u)
}

// cancelOtherAttempts removes a covered unit from its remaining attempts and cancels
// the attempts that have no open units left.
func (q *Query[P]) cancelOtherAttempts(u int) {
	s := &q.units[u]
	for _, a := range s.attempts {
		a.openUnits--
		if a.openUnits == 0 {
			delete(q.attempts, a.nonce)
			q.actions = append(q.actions, Action[P]{
				Cancel: true,
				Nonce:  a.nonce,
				Path:   a.path,
			})
		}
	}
	clear(s.attempts)
	s.attempts = s.attempts[:0]
}

// failUnit records that an attempt did not answer a unit. It reports whether the unit
// is uncovered and has no other attempt, so that it may be sent again.
func (q *Query[P]) failUnit(a *attempt[P], m MissingUnit) bool {
	q.detach(m.Unit, a)
	s := &q.units[m.Unit]
	if s.covered {
		return false
	}
	s.reason = moreInformative(s.reason, m.Reason)
	s.executions -= max(a.executions-m.executions(a.executions), 0)
	return len(s.attempts) == 0
}

// executions returns the number of times that the attempt may have executed the unit, of the
// allowed ones. The reason decides only if the attempt does not count them: a path that asks
// several targets reports one reason for all, so that a rejection by one of them hides that
// another has executed the unit.
func (m MissingUnit) executions(allowed int) int {
	if m.Executions == 0 && mayHaveExecuted[m.Reason] {
		return allowed
	}
	return m.Executions
}

// failOpenUnits calls failUnit for all open units of an attempt and returns the units
// that may be sent again.
func (q *Query[P]) failOpenUnits(a *attempt[P], reason peer.Reason) []int {
	var again []int
	for _, u := range a.units {
		if !q.awaits(u, a) {
			continue
		}
		m := MissingUnit{
			Unit:   u,
			Reason: reason,
		}
		if q.failUnit(a, m) {
			again = append(again, u)
		}
	}
	return again
}

// removeIfFinished removes an attempt without open units.
func (q *Query[P]) removeIfFinished(a *attempt[P]) {
	if a.openUnits == 0 {
		delete(q.attempts, a.nonce)
	}
}
