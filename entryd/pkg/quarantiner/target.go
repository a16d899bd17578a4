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
	alone       bool
}

// Target holds the requests in flight on one target from this daemon. It is
// safe for concurrent use.
type Target struct {
	id         string
	quarantine *Quarantiner

	// mu is taken after the Quarantiner's.
	mu         sync.Mutex
	generation uint64
	runs       []Attempt
	alone      bool
	reserved   uint64
	until      time.Time
}

// Target returns the state of a target, which it makes at the first call.
func (q *Quarantiner) Target(id string) *Target {
	q.mu.Lock()
	defer q.mu.Unlock()
	t := q.targets[id]
	if t == nil {
		t = &Target{
			id:         id,
			quarantine: q,
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
	q := t.quarantine
	if q.effective.Load() == 0 {
		return t.start(now, r)
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	e := q.find(now, fingerprint)
	if e == nil || !e.restrains(shard) {
		return t.start(now, r)
	}
	switch {
	case e.state >= charged:
		return Attempt{}, Denied
	case e.targets[0] == t.id:
		return Attempt{}, Avoid
	case e.running != nil, q.lost(now.Add(-settle), now) >= manyLosses:
		return Attempt{}, Busy
	}
	return t.isolate(now, e, r)
}

// start begins an ordinary run.
func (t *Target) start(now time.Time, r Attempt) (Attempt, Decision) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.alone || t.reserved != 0 && now.Before(t.until) {
		return Attempt{}, Busy
	}
	t.reserved = 0
	r.generation = t.generation
	t.runs = append(t.runs, r)
	return r, Allowed
}

// isolate begins the run of a suspect if the target is free, and otherwise
// reserves the target.
func (t *Target) isolate(now time.Time, e *entry, r Attempt) (Attempt, Decision) {
	t.mu.Lock()
	defer t.mu.Unlock()
	taken := t.reserved != 0 && t.reserved != r.fingerprint && now.Before(t.until)
	if t.alone || taken {
		return Attempt{}, Busy
	}
	if len(t.runs) > 0 {
		t.reserved = r.fingerprint
		t.until = now.Add(reservePeriod)
		return Attempt{}, Busy
	}
	t.reserved = 0
	t.alone = true
	e.running = t
	r.alone = true
	r.generation = t.generation
	t.runs = append(t.runs, r)
	return r, Allowed
}

// End ends a run. Completed tells that the target answered it.
func (t *Target) End(r Attempt, completed bool) {
	if !t.leave(r) {
		return
	}
	q := t.quarantine
	if completed {
		q.proofs.add(r.fingerprint, r.shard)
	}
	if !r.alone {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	e := q.entries[r.fingerprint]
	if e == nil || e.running != t {
		return
	}
	e.running = nil
	switch {
	case !completed || e.state != suspected:
	case e.shard == r.shard || e.shard == "":
		q.set(e, exonerated)
	default:
		e.narrow = true
	}
}

// leave removes a run and reports whether it was still in flight.
func (t *Target) leave(r Attempt) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r.generation != t.generation {
		return false
	}
	for i, other := range t.runs {
		if other == r {
			last := len(t.runs) - 1
			t.runs[i] = t.runs[last]
			t.runs[last] = Attempt{}
			t.runs = t.runs[:last]
			t.alone = t.alone && !r.alone
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
	q := t.quarantine
	q.mu.Lock()
	defer q.mu.Unlock()
	runs := t.clear(r.generation)
	if len(runs) == 0 {
		return
	}
	q.lose(now, t.id)
	if len(runs) == 1 && runs[0].alone {
		q.charge(now, runs[0], t)
		return
	}
	q.blame(now, runs, t)
}

// clear ends the runs of a generation and begins another one.
func (t *Target) clear(generation uint64) []Attempt {
	t.mu.Lock()
	defer t.mu.Unlock()
	if generation != t.generation {
		return nil
	}
	runs := t.runs
	t.runs = nil
	t.generation++
	t.alone = false
	t.reserved = 0
	return runs
}

// charge records that a suspect was alone on a target that was lost.
func (q *Quarantiner) charge(now time.Time, r Attempt, t *Target) {
	e := q.find(now, r.fingerprint)
	if e == nil {
		q.suspect(now, r, t.id)
		return
	}
	if e.running == t {
		e.running = nil
	}
	if e.state != suspected {
		q.suspect(now, r, t.id)
		return
	}
	e.targets = append(e.targets[:1:1], t.id)
	e.charged, e.judged = now, now.Add(settle)
	e.expires = now.Add(suspicionPeriod)
	q.set(e, charged)
}

// blame suspects the requests that were in flight on a lost target: those that
// have never completed on the same shard or, if there are none, all.
func (q *Quarantiner) blame(now time.Time, runs []Attempt, t *Target) {
	unproven := 0
	for _, r := range runs {
		if !q.proofs.has(r.fingerprint, r.shard) {
			unproven++
		}
	}
	for _, r := range runs {
		if e := q.entries[r.fingerprint]; e != nil && e.running == t {
			e.running = nil
		}
		proven := q.proofs.has(r.fingerprint, r.shard)
		q.proofs.remove(r.fingerprint, r.shard)
		if unproven > 0 && proven {
			continue
		}
		q.suspect(now, r, t.id)
	}
}
