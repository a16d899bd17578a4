package claimer

import (
	"plantaincleat/tier/gen/peer"
	"plantaincleat/tier/gen/target"
)

// keyStatus tells whether a key may still be granted.
type keyStatus uint8

const (
	// statusFree means that no dispatcher holds the key and that its request was
	// never executed.
	statusFree keyStatus = iota
	// statusHeld means that one dispatcher holds the key and that its request may
	// have been executed.
	statusHeld
	// statusRecorded means that the request was executed and its outcome is known.
	statusRecorded
)

// keyRecord is the state of one key after all applied claims.
type keyRecord struct {
	// key shares its memory with the keys in Ledger.entries.
	key         string
	status      keyStatus
	holder      string
	fingerprint uint64
	outcome     *target.Outcome
	// closedBelow is one above the highest attempt number that was released, or 0.
	// Attempts with a lower number are no longer granted the key.
	closedBelow uint32
}

// entryKeys lists the keys in one entry of the log, so that they can be removed
// with the entry.
type entryKeys struct {
	sequence uint64
	// newestKeyTime is the latest Key.Time in the entry, in Unix milliseconds.
	newestKeyTime int64
	keys          []string
}

// Ledger is the state of all keys of a bucket after applying its log. The zero
// value is the state for an empty log. It is not safe for concurrent use.
type Ledger struct {
	records map[string]*keyRecord
	entries []entryKeys
	// head is the sequence of the last applied entry.
	head uint64
	// base is the highest sequence that was truncated.
	base uint64
	// floor is the time in Unix milliseconds below which keys are refused as
	// expired.
	floor int64
}

// Head returns the sequence of the last applied entry.
func (l *Ledger) Head() uint64 { return l.head }

// Floor returns the time in Unix milliseconds below which keys are refused as
// expired.
func (l *Ledger) Floor() int64 { return l.floor }

// Len returns the number of keys retained.
func (l *Ledger) Len() int { return len(l.records) }

// Rebase removes the entries up to sequence base and the state of their keys. All
// these keys must be older than floor, which is in Unix milliseconds.
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

// LastDroppable returns the highest sequence up to which the log can be
// truncated: only entries whose keys are all older than floor count, and at most
// limit of them. It returns the current base if no entry can be dropped.
func (l *Ledger) LastDroppable(floor int64, limit int) uint64 {
	last := l.base
	for i := 0; i < len(l.entries) && i < limit && l.entries[i].newestKeyTime < floor; i++ {
		last = l.entries[i].sequence
	}
	return last
}

// Apply applies the next entry of the log. Claims that are not valid in the
// current state of their key change nothing.
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

// applyClaim applies one claim to the state of its key. It returns the key
// string of the record, so that Ledger.entries shares its memory.
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

// apply changes the state by a claim with the same fingerprint.
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

// release frees the key if the dispatcher of the claim holds it. In any case it
// closes the key for attempts with the claim's number or a lower one.
func (r *keyRecord) release(c *peer.Claim) {
	if r.status == statusHeld && r.holder == c.GetDispatcher() {
		r.status = statusFree
		r.holder = ""
	}
	r.closedBelow = max(r.closedBelow, c.GetAttempt()+1)
}

// Decide returns the verdict on a claim in the current state of its key, and the
// outcome if the verdict is VERDICT_RECORDED. It returns VERDICT_UNSPECIFIED if
// the claim may change the state and must therefore be appended first. All other
// verdicts except VERDICT_HELD remain valid once they are given.
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
		// A write is needed even if another dispatcher appears to hold the key,
		// since this ledger may be older than the grant to the claim's dispatcher.
		return peer.Verdict_VERDICT_UNSPECIFIED, nil
	}
	return peer.Verdict_VERDICT_REFUSED, nil
}

// decideTake returns the verdict on a claim to take a key without an outcome.
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

// decideRelease returns the verdict on a release of a key without an outcome. The
// release must be appended if it frees the key or closes it for more attempts.
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

// DecideAppended returns the verdict on a claim that was just appended. A claim
// of kind CLAIM_KIND_RECORD that changed nothing is refused, because its
// dispatcher does not hold the key.
func (l *Ledger) DecideAppended(c *peer.Claim) (peer.Verdict, *target.Outcome) {
	v, outcome := l.Decide(c)
	if v == peer.Verdict_VERDICT_UNSPECIFIED {
		return peer.Verdict_VERDICT_REFUSED, nil
	}
	return v, outcome
}
