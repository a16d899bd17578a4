package quarantiner

import (
	"sync"
	"time"
)

// Decision tells whether an attempt may be sent to a target.
type Decision int

// Decisions on an attempt.
const (
	// Allowed means that the request may be sent.
	Allowed Decision = iota
	// Busy means that the request may be sent later, or to another target: a
	// suspected request runs alone on the target or is about to, or the request
	// itself is suspected and has to wait for its turn.
	Busy
	// Avoid means that another target has to be used, because the request is
	// suspected of having crashed this one.
	Avoid
	// Denied means that the request may not be sent to any target, because it
	// is quarantined or pending.
	Denied
)

// Attempt is one request in flight on a target.
type Attempt struct {
	fingerprint uint64
	institution string
	shard       string
	generation  uint64
	isolated    bool
}

// Target holds the attempts of this daemon that are in flight on one target. It
// is safe for concurrent use.
type Target struct {
	id          string
	quarantiner *Quarantiner

	// mu is locked after the Quarantiner's mu.
	mu            sync.Mutex
	generation    uint64
	attempts      []Attempt
	isolated      bool
	reservedFor   uint64
	reservedUntil time.Time
}

// Target returns the state of a target, which is created by the first call.
func (q *Quarantiner) Target(id string) *Target {
	q.mu.Lock()
	defer q.mu.Unlock()
	t := q.targets[id]
	if t == nil {
		t = &Target{
			id:          id,
			quarantiner: q,
		}
		q.targets[id] = t
	}
	return t
}

// Forget removes the state of a target that is no longer configured.
func (q *Quarantiner) Forget(id string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.targets, id)
}

// Begin asks to send a request to the target. If the decision is Allowed, the
// attempt ends with one call of End; after RecordLoss that call does nothing. A
// caller that gives up on a Busy target need not report it.
func (t *Target) Begin(now time.Time, fingerprint uint64, institution, shard string) (Attempt, Decision) {
	a := Attempt{
		fingerprint: fingerprint,
		institution: institution,
		shard:       shard,
	}
	q := t.quarantiner
	if q.effective.Load() == 0 {
		return t.startAttempt(now, a)
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	e := q.find(now, fingerprint)
	if e == nil || !e.restrains(shard) {
		return t.startAttempt(now, a)
	}
	switch {
	case e.state >= pending:
		return Attempt{}, Denied
	case e.targets[0] == t.id:
		return Attempt{}, Avoid
	case e.isolatedOn != nil, q.countLosses(now.Add(-lossWindow), now) >= massLossThreshold:
		return Attempt{}, Busy
	}
	return t.startIsolated(now, e, a)
}

// startAttempt starts the attempt of a request that is not restrained.
func (t *Target) startAttempt(now time.Time, a Attempt) (Attempt, Decision) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.isolated || t.reservedFor != 0 && now.Before(t.reservedUntil) {
		return Attempt{}, Busy
	}
	t.reservedFor = 0
	a.generation = t.generation
	t.attempts = append(t.attempts, a)
	return a, Allowed
}

// startIsolated starts the attempt of a suspected request if the target is
// idle, and otherwise reserves the target.
func (t *Target) startIsolated(now time.Time, e *entry, a Attempt) (Attempt, Decision) {
	t.mu.Lock()
	defer t.mu.Unlock()
	reserved := t.reservedFor != 0 && t.reservedFor != a.fingerprint && now.Before(t.reservedUntil)
	if t.isolated || reserved {
		return Attempt{}, Busy
	}
	if len(t.attempts) > 0 {
		t.reservedFor = a.fingerprint
		t.reservedUntil = now.Add(reservationPeriod)
		return Attempt{}, Busy
	}
	t.reservedFor = 0
	t.isolated = true
	e.isolatedOn = t
	a.isolated = true
	a.generation = t.generation
	t.attempts = append(t.attempts, a)
	return a, Allowed
}

// End ends an attempt. answered tells whether the target has answered it.
func (t *Target) End(a Attempt, answered bool) {
	if !t.remove(a) {
		return
	}
	q := t.quarantiner
	if answered {
		q.completions.add(a.fingerprint, a.shard)
	}
	if !a.isolated {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	e := q.entries[a.fingerprint]
	if e == nil || e.isolatedOn != t {
		return
	}
	e.isolatedOn = nil
	switch {
	case !answered || e.state != suspected:
	case e.shard == a.shard || e.shard == "":
		q.setState(e, completed)
	default:
		e.shardOnly = true
	}
}

// remove removes an attempt and reports whether it was in flight.
func (t *Target) remove(a Attempt) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if a.generation != t.generation {
		return false
	}
	for i, other := range t.attempts {
		if other == a {
			last := len(t.attempts) - 1
			t.attempts[i] = t.attempts[last]
			t.attempts[last] = Attempt{}
			t.attempts = t.attempts[:last]
			t.isolated = t.isolated && !a.isolated
			return true
		}
	}
	return false
}

// RecordLoss records that the target closed its connection or came back with
// another incarnation while an attempt was in flight. It ends all attempts in
// flight on the target; a second call for one of them does nothing. It must not
// be called when this daemon has given up a connection or a request has timed
// out, because that says nothing about what the target executed. Such attempts
// end with End.
func (t *Target) RecordLoss(now time.Time, a Attempt) {
	q := t.quarantiner
	q.mu.Lock()
	defer q.mu.Unlock()
	attempts := t.endAll(a.generation)
	if len(attempts) == 0 {
		return
	}
	q.addLoss(now, t.id)
	if len(attempts) == 1 && attempts[0].isolated {
		q.setPending(now, attempts[0], t)
		return
	}
	q.suspectAttempts(now, attempts, t)
}

// endAll ends the attempts of a generation and starts the next generation.
func (t *Target) endAll(generation uint64) []Attempt {
	t.mu.Lock()
	defer t.mu.Unlock()
	if generation != t.generation {
		return nil
	}
	attempts := t.attempts
	t.attempts = nil
	t.generation++
	t.isolated = false
	t.reservedFor = 0
	return attempts
}

// setPending records that a target was lost while a suspected request ran alone
// on it.
func (q *Quarantiner) setPending(now time.Time, a Attempt, t *Target) {
	e := q.find(now, a.fingerprint)
	if e == nil {
		q.suspect(now, a, t.id)
		return
	}
	if e.isolatedOn == t {
		e.isolatedOn = nil
	}
	if e.state != suspected {
		q.suspect(now, a, t.id)
		return
	}
	e.targets = append(e.targets[:1:1], t.id)
	e.pendingSince, e.pendingUntil = now, now.Add(lossWindow)
	e.expires = now.Add(suspicionPeriod)
	q.setState(e, pending)
}

// suspectAttempts suspects the requests that were in flight on a lost target:
// those that have not completed on the same shard before or, if there are none,
// all of them.
func (q *Quarantiner) suspectAttempts(now time.Time, attempts []Attempt, t *Target) {
	notCompleted := 0
	for _, a := range attempts {
		if !q.completions.has(a.fingerprint, a.shard) {
			notCompleted++
		}
	}
	for _, a := range attempts {
		if e := q.entries[a.fingerprint]; e != nil && e.isolatedOn == t {
			e.isolatedOn = nil
		}
		completedBefore := q.completions.has(a.fingerprint, a.shard)
		q.completions.remove(a.fingerprint, a.shard)
		if notCompleted > 0 && completedBefore {
			continue
		}
		q.suspect(now, a, t.id)
	}
}
