package claimer

import (
	"plantaincleat/tier/gen/peer"
	"plantaincleat/tier/gen/target"
)

// keyStatus is the state of a key.
type keyStatus uint8

const (
	// statusFree: no dispatcher holds the key and it was never run.
	statusFree keyStatus = iota
	// statusHeld: one dispatcher may run the request or may have run it.
	statusHeld
	// statusRecorded: the request was run and its outcome is known.
	statusRecorded
)

// keyRecord is the folded state of one key.
type keyRecord struct {
	// key is shared with the spans.
	key         string
	status      keyStatus
	holder      string
	fingerprint uint64
	outcome     *target.Outcome
	// closedBelow is one above the highest attempt number released; 0 if none.
	closedBelow uint32
}

// entryKeys tells which keys an entry of the log names.
type entryKeys struct {
	sequence uint64
	// newestKeyTime is the latest time of a key, in Unix milliseconds.
	newestKeyTime int64
	keys          []string
}

// Ledger is the fold of a bucket's log. The zero value is the fold of a log
// that was never written.
type Ledger struct {
	records map[string]*keyRecord
	entries []entryKeys
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
	for n < len(l.entries) && l.entries[n].sequence <= l.base {
		for _, key := range l.entries[n].keys {
			delete(l.records, key)
		}
		n++
	}
	l.entries = l.entries[n:]
}

// LastDroppable returns the last sequence of at most limit entries at the start of
// the log that name only keys older than floor, or the base if there is none.
func (l *Ledger) LastDroppable(floor int64, limit int) uint64 {
	last := l.base
	for i := 0; i < len(l.entries) && i < limit && l.entries[i].newestKeyTime < floor; i++ {
		last = l.entries[i].sequence
	}
	return last
}

// Apply folds the next entry of the log. Claims that do not hold change nothing.
func (l *Ledger) Apply(e *peer.Entry) {
	if l.records == nil {
		l.records = make(map[string]*keyRecord)
	}
	s := entryKeys{
		sequence: e.GetSequence(),
		keys:     make([]string, 0, len(e.GetClaims())),
	}
	for _, c := range e.GetClaims() {
		key, err := ParseKey(c.GetKey())
		if err != nil {
			continue
		}
		s.newestKeyTime = max(s.newestKeyTime, key.Time())
		if key.Time() >= l.floor {
			s.keys = append(s.keys, l.applyClaim(c))
		}
	}
	l.entries = append(l.entries, s)
	l.head = e.GetSequence()
}

// applyClaim applies one claim to the state of its key and returns the key.
func (l *Ledger) applyClaim(c *peer.Claim) string {
	r := l.records[c.GetKey()]
	if r == nil {
		r = &keyRecord{
			key:         c.GetKey(),
			fingerprint: c.GetFingerprint(),
		}
		l.records[r.key] = r
	}
	if r.fingerprint == c.GetFingerprint() {
		r.apply(c)
	}
	return r.key
}

func (r *keyRecord) apply(c *peer.Claim) {
	switch c.GetKind() {
	case peer.ClaimKind_CLAIM_KIND_TAKE:
		if r.status == statusFree && c.GetAttempt() >= r.closedBelow {
			r.status = statusHeld
			r.holder = c.GetDispatcher()
		}
	case peer.ClaimKind_CLAIM_KIND_RELEASE:
		r.release(c)
	case peer.ClaimKind_CLAIM_KIND_RECORD:
		if r.status == statusHeld && r.holder == c.GetDispatcher() {
			r.status = statusRecorded
			r.holder = ""
			r.outcome = c.GetOutcome()
		}
	}
}

// release frees the key if the dispatcher holds it, and closes it for the
// attempt and all lower ones even if it does not.
func (r *keyRecord) release(c *peer.Claim) {
	if r.status == statusHeld && r.holder == c.GetDispatcher() {
		r.status = statusFree
		r.holder = ""
	}
	r.closedBelow = max(r.closedBelow, c.GetAttempt()+1)
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
		r = &keyRecord{fingerprint: c.GetFingerprint()}
	}
	if r.fingerprint != c.GetFingerprint() {
		return peer.Verdict_VERDICT_MISMATCH, nil
	}
	if r.status == statusRecorded {
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

func (r *keyRecord) decideTake(c *peer.Claim) peer.Verdict {
	switch {
	case r.status == statusHeld && r.holder == c.GetDispatcher():
		return peer.Verdict_VERDICT_GRANTED
	case r.status == statusHeld:
		return peer.Verdict_VERDICT_HELD
	case c.GetAttempt() < r.closedBelow:
		return peer.Verdict_VERDICT_CLOSED
	}
	return peer.Verdict_VERDICT_UNSPECIFIED
}

func (r *keyRecord) decideRelease(c *peer.Claim) peer.Verdict {
	switch {
	case r.status == statusHeld && r.holder == c.GetDispatcher():
		return peer.Verdict_VERDICT_UNSPECIFIED
	case c.GetAttempt() >= r.closedBelow:
		return peer.Verdict_VERDICT_UNSPECIFIED
	case r.status == statusHeld:
		return peer.Verdict_VERDICT_HELD
	}
	return peer.Verdict_VERDICT_CLOSED
}

// DecideAppended returns the verdict on a claim that was just appended. A record that
// did not hold is refused: its dispatcher does not hold the key.
func (l *Ledger) DecideAppended(c *peer.Claim) (peer.Verdict, *target.Outcome) {
	v, outcome := l.Decide(c)
	if v == peer.Verdict_VERDICT_UNSPECIFIED {
		return peer.Verdict_VERDICT_REFUSED, nil
	}
	return v, outcome
}
