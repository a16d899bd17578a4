package claimer

import (
	"plantaincleat/tier/gen/peer"
	"plantaincleat/tier/gen/target"
)

// stage is the state of a key.
type stage uint8

const (
	// stageFree: no dispatcher holds the key and it was never run.
	stageFree stage = iota
	// stageHeld: one dispatcher may run the request or may have run it.
	stageHeld
	// stageRecorded: the request was run and its outcome is known.
	stageRecorded
)

// record is the folded state of one key.
type record struct {
	// key is shared with the spans.
	key         string
	stage       stage
	holder      string
	fingerprint uint64
	outcome     *target.Outcome
	// closed is one above the highest attempt number released; 0 if none.
	closed uint32
}

// span tells which keys an entry of the log names.
type span struct {
	sequence uint64
	// newest is the latest time of a key, in Unix milliseconds.
	newest int64
	keys   []string
}

// Ledger is the fold of a bucket's log. The zero value is the fold of a log
// that was never written.
type Ledger struct {
	records map[string]*record
	spans   []span
	// head is the sequence of the last entry.
	head uint64
	// base is the sequence up to which entries were dropped.
	base uint64
	// floor is the time below which keys are refused, in Unix milliseconds.
	floor int64
}

// Head returns the sequence of the last entry.
func (l *Ledger) Head() uint64 { return l.head }

// Floor returns the time in Unix milliseconds below which keys are refused.
func (l *Ledger) Floor() int64 { return l.floor }

// Len returns the number of keys retained.
func (l *Ledger) Len() int { return len(l.records) }

// Rebase drops the entries up to a sequence, all of whose keys are older than
// the floor.
func (l *Ledger) Rebase(base uint64, floor int64) {
	l.base = max(l.base, base)
	l.head = max(l.head, base)
	l.floor = max(l.floor, floor)
	n := 0
	for n < len(l.spans) && l.spans[n].sequence <= l.base {
		for _, key := range l.spans[n].keys {
			delete(l.records, key)
		}
		n++
	}
	l.spans = l.spans[n:]
}

// Droppable returns the last sequence of at most limit entries at the start of
// the log that name only keys older than floor, or the base if there is none.
func (l *Ledger) Droppable(floor int64, limit int) uint64 {
	last := l.base
	for i := 0; i < len(l.spans) && i < limit && l.spans[i].newest < floor; i++ {
		last = l.spans[i].sequence
	}
	return last
}

// Apply folds the next entry of the log. Claims that do not hold change nothing.
func (l *Ledger) Apply(e *peer.Entry) {
	if l.records == nil {
		l.records = make(map[string]*record)
	}
	s := span{
		sequence: e.GetSequence(),
		keys:     make([]string, 0, len(e.GetClaims())),
	}
	for _, c := range e.GetClaims() {
		key, err := ParseKey(c.GetKey())
		if err != nil {
			continue
		}
		s.newest = max(s.newest, key.Time())
		if key.Time() >= l.floor {
			s.keys = append(s.keys, l.fold(c))
		}
	}
	l.spans = append(l.spans, s)
	l.head = e.GetSequence()
}

// fold applies one claim to the state of its key and returns the key.
func (l *Ledger) fold(c *peer.Claim) string {
	r := l.records[c.GetKey()]
	if r == nil {
		r = &record{
			key:         c.GetKey(),
			fingerprint: c.GetFingerprint(),
		}
		l.records[r.key] = r
	}
	if r.fingerprint == c.GetFingerprint() {
		r.fold(c)
	}
	return r.key
}

func (r *record) fold(c *peer.Claim) {
	switch c.GetKind() {
	case peer.ClaimKind_CLAIM_KIND_TAKE:
		if r.stage == stageFree && c.GetAttempt() >= r.closed {
			r.stage = stageHeld
			r.holder = c.GetDispatcher()
		}
	case peer.ClaimKind_CLAIM_KIND_RELEASE:
		r.release(c)
	case peer.ClaimKind_CLAIM_KIND_RECORD:
		if r.stage == stageHeld && r.holder == c.GetDispatcher() {
			r.stage = stageRecorded
			r.holder = ""
			r.outcome = c.GetOutcome()
		}
	}
}

// release frees the key if the dispatcher holds it, and closes it for the
// attempt and all lower ones even if it does not.
func (r *record) release(c *peer.Claim) {
	if r.stage == stageHeld && r.holder == c.GetDispatcher() {
		r.stage = stageFree
		r.holder = ""
	}
	r.closed = max(r.closed, c.GetAttempt()+1)
}

// Decide returns the verdict on a claim by the state of its key. It returns
// VERDICT_UNSPECIFIED if the claim would change the state and so must be
// appended first. All other verdicts but VERDICT_HELD remain true for ever.
func (l *Ledger) Decide(c *peer.Claim) (peer.Verdict, *target.Outcome) {
	key, err := ParseKey(c.GetKey())
	if err != nil || key.String() != c.GetKey() || c.GetDispatcher() == "" {
		return peer.Verdict_VERDICT_REFUSED, nil
	}
	if key.Time() < l.floor {
		return peer.Verdict_VERDICT_EXPIRED, nil
	}
	r := l.records[c.GetKey()]
	if r == nil {
		r = &record{fingerprint: c.GetFingerprint()}
	}
	if r.fingerprint != c.GetFingerprint() {
		return peer.Verdict_VERDICT_MISMATCH, nil
	}
	if r.stage == stageRecorded {
		return peer.Verdict_VERDICT_RECORDED, r.outcome
	}
	switch c.GetKind() {
	case peer.ClaimKind_CLAIM_KIND_TAKE:
		return r.decideTake(c), nil
	case peer.ClaimKind_CLAIM_KIND_RELEASE:
		return r.decideRelease(c), nil
	case peer.ClaimKind_CLAIM_KIND_RECORD:
		// Also if another dispatcher seems to hold the key: the state may be
		// older than the grant.
		return peer.Verdict_VERDICT_UNSPECIFIED, nil
	}
	return peer.Verdict_VERDICT_REFUSED, nil
}

func (r *record) decideTake(c *peer.Claim) peer.Verdict {
	switch {
	case r.stage == stageHeld && r.holder == c.GetDispatcher():
		return peer.Verdict_VERDICT_GRANTED
	case r.stage == stageHeld:
		return peer.Verdict_VERDICT_HELD
	case c.GetAttempt() < r.closed:
		return peer.Verdict_VERDICT_CLOSED
	}
	return peer.Verdict_VERDICT_UNSPECIFIED
}

func (r *record) decideRelease(c *peer.Claim) peer.Verdict {
	switch {
	case r.stage == stageHeld && r.holder == c.GetDispatcher():
		return peer.Verdict_VERDICT_UNSPECIFIED
	case c.GetAttempt() >= r.closed:
		return peer.Verdict_VERDICT_UNSPECIFIED
	case r.stage == stageHeld:
		return peer.Verdict_VERDICT_HELD
	}
	return peer.Verdict_VERDICT_CLOSED
}

// Conclude returns the verdict on a claim that was just appended. A record that
// did not hold is refused: its dispatcher does not hold the key.
func (l *Ledger) Conclude(c *peer.Claim) (peer.Verdict, *target.Outcome) {
	v, outcome := l.Decide(c)
	if v == peer.Verdict_VERDICT_UNSPECIFIED {
		return peer.Verdict_VERDICT_REFUSED, nil
	}
	return v, outcome
}
