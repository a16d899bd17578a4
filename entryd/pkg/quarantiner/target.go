package quarantiner

import (
	"sync"
	"time"
)

// Decision tells whether a request may be sent to a target.
type Decision int

// Verdicts on a request and a target.
const (
	// Allowed lets the request be sent.
	Allowed Decision = iota
	// Busy asks to try again later, or on another target: a suspect runs
	// there alone, or is about to, or the request is a suspect that has to
	// wait for its turn.
	Busy
	// Avoid asks to take another target: the request is suspected of having
	// crashed this one.
	Avoid
	// Denied lets the request be sent nowhere: it is quarantined, or may be
	// shortly.
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

// Target holds the requests in flight on one target from this daemon. It is
// safe for concurrent use.
type Target struct {
	id          string
	quarantiner *Quarantiner

	// mu is taken after the Quarantiner's.
	mu            sync.Mutex
	generation    uint64
	attempts      []Attempt
	isolated      bool
	reservedFor   uint64
	reservedUntil time.Time
}

// Target returns the state of a target, which it makes at the first call.
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

// Forget drops the state of a target that is no longer configured.
func (q *Quarantiner) Forget(id string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.targets, id)
}

// Begin asks to send a request to the target. If the verdict is Go, the run
// ends in one call of End; after a loss of the target, that call does nothing.
// A caller that gives up on a Busy target need not say so.
func (t *Target) Begin(now time.Time, fingerprint uint64, institution, shard string) (Attempt, Decision) {
	r := Attempt{
		fingerprint: fingerprint,
		institution: institution,
		shard:       shard,
	}
	q := t.quarantiner
	if q.effective.Load() == 0 {
		return t.startAttempt(now, r)
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	e := q.find(now, fingerprint)
	if e == nil || !e.restrains(shard) {
		return t.startAttempt(now, r)
	}
	switch {
	case e.state >= pending:
		return Attempt{}, Denied
	case e.targets[0] == t.id:
		return Attempt{}, Avoid
	case e.isolatedOn != nil, q.countLosses(now.Add(-lossWindow), now) >= massLossThreshold:
		return Attempt{}, Busy
	}
	return t.startIsolated(now, e, r)
}

// startAttempt begins an ordinary run.
func (t *Target) startAttempt(now time.Time, r Attempt) (Attempt, Decision) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.isolated || t.reservedFor != 0 && now.Before(t.reservedUntil) {
		return Attempt{}, Busy
	}
	t.reservedFor = 0
	r.generation = t.generation
	t.attempts = append(t.attempts, r)
	return r, Allowed
}

// startIsolated begins the run of a suspect if the target is free, and otherwise
// reserves the target.
func (t *Target) startIsolated(now time.Time, e *entry, r Attempt) (Attempt, Decision) {
	t.mu.Lock()
	defer t.mu.Unlock()
	taken := t.reservedFor != 0 && t.reservedFor != r.fingerprint && now.Before(t.reservedUntil)
	if t.isolated || taken {
		return Attempt{}, Busy
	}
	if len(t.attempts) > 0 {
		t.reservedFor = r.fingerprint
		t.reservedUntil = now.Add(reservationPeriod)
		return Attempt{}, Busy
	}
	t.reservedFor = 0
	t.isolated = true
	e.isolatedOn = t
	r.isolated = true
	r.generation = t.generation
	t.attempts = append(t.attempts, r)
	return r, Allowed
}

// End ends an attempt. answered tells whether the target answered it.
func (t *Target) End(r Attempt, answered bool) {
	if !t.remove(r) {
		return
	}
	q := t.quarantiner
	if answered {
		q.completions.add(r.fingerprint, r.shard)
	}
	if !r.isolated {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	e := q.entries[r.fingerprint]
	if e == nil || e.isolatedOn != t {
		return
	}
	e.isolatedOn = nil
	switch {
	case !answered || e.state != suspected:
	case e.shard == r.shard || e.shard == "":
		q.setState(e, completed)
	default:
		e.shardOnly = true
	}
}

// remove removes a run and reports whether it was still in flight.
func (t *Target) remove(r Attempt) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r.generation != t.generation {
		return false
	}
	for i, other := range t.attempts {
		if other == r {
			last := len(t.attempts) - 1
			t.attempts[i] = t.attempts[last]
			t.attempts[last] = Attempt{}
			t.attempts = t.attempts[:last]
			t.isolated = t.isolated && !r.isolated
			return true
		}
	}
	return false
}

// RecordLoss records that the target closed its connection or came back with another
// incarnation while a run was in flight. All runs then in flight end; a second
// call for one of them does nothing. It is not to be called when a connection
// was given up here, or timed out: that says nothing about what the target ran.
// Such runs end with End.
func (t *Target) RecordLoss(now time.Time, r Attempt) {
	q := t.quarantiner
	q.mu.Lock()
	defer q.mu.Unlock()
	runs := t.endAll(r.generation)
	if len(runs) == 0 {
		return
	}
	q.addLoss(now, t.id)
	if len(runs) == 1 && runs[0].isolated {
		q.setPending(now, runs[0], t)
		return
	}
	q.suspectAttempts(now, runs, t)
}

// endAll ends the runs of a generation and begins another one.
func (t *Target) endAll(generation uint64) []Attempt {
	t.mu.Lock()
	defer t.mu.Unlock()
	if generation != t.generation {
		return nil
	}
	runs := t.attempts
	t.attempts = nil
	t.generation++
	t.isolated = false
	t.reservedFor = 0
	return runs
}

// setPending records that a suspect was alone on a target that was lost.
func (q *Quarantiner) setPending(now time.Time, r Attempt, t *Target) {
	e := q.find(now, r.fingerprint)
	if e == nil {
		q.suspect(now, r, t.id)
		return
	}
	if e.isolatedOn == t {
		e.isolatedOn = nil
	}
	if e.state != suspected {
		q.suspect(now, r, t.id)
		return
	}
	e.targets = append(e.targets[:1:1], t.id)
	e.pendingSince, e.pendingUntil = now, now.Add(lossWindow)
	e.expires = now.Add(suspicionPeriod)
	q.setState(e, pending)
}

// suspectAttempts suspects the requests that were in flight on a lost target: those that
// have never completed on the same shard or, if there are none, all.
func (q *Quarantiner) suspectAttempts(now time.Time, runs []Attempt, t *Target) {
	unproven := 0
	for _, r := range runs {
		if !q.completions.has(r.fingerprint, r.shard) {
			unproven++
		}
	}
	for _, r := range runs {
		if e := q.entries[r.fingerprint]; e != nil && e.isolatedOn == t {
			e.isolatedOn = nil
		}
		proven := q.completions.has(r.fingerprint, r.shard)
		q.completions.remove(r.fingerprint, r.shard)
		if unproven > 0 && proven {
			continue
		}
		q.suspect(now, r, t.id)
	}
}
