package claimer

import (
	"errors"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"plantaincleat/tier/gen/peer"
	"plantaincleat/tier/gen/target"
	"plantaincleat/tier/pkg/storer"
)

// CallKind is the kind of operation that a Bucket requests from the store.
type CallKind int

const (
	// CallNone requests no operation.
	CallNone CallKind = iota
	// CallLoad reads the whole log. The answer goes to Bucket.HandleLoad.
	CallLoad
	// CallTail reads the entries from sequence Call.From on, then the base. The
	// answer goes to Bucket.HandleTail.
	CallTail
	// CallCommit runs the transaction Call.Txn. The answer goes to
	// Bucket.HandleCommit.
	CallCommit
)

// Call is one operation on the store. A Bucket has at most one in flight.
type Call struct {
	Kind CallKind
	From uint64
	Txn  storer.Txn
}

// Answer is the verdict on the claim that Add received with the same ID. Outcome
// is set only for VERDICT_RECORDED.
type Answer struct {
	ID      uint64
	Verdict peer.Verdict
	Outcome *target.Outcome
}

// Step is the result of one event: the answers to deliver and the store call to
// make.
type Step struct {
	Answers []Answer
	Call    Call
	// Wake is when Tick must be called if no other event occurs before. The zero
	// time means that no call is needed.
	Wake time.Time
}

// Tail is the part of a log that follows the entries already known.
type Tail struct {
	Entries []storer.Item
	// Complete is true if no entry exists after the last one in Entries.
	Complete bool
	// BaseRevision is the store revision of the base, read after the entries. It
	// is 0 if there is no base.
	BaseRevision int64
}

// pendingClaim is a claim that has not been answered yet.
type pendingClaim struct {
	id      uint64
	claim   *peer.Claim
	arrived time.Time
	// callStarted is true once a store call started after the claim arrived. The
	// ledger that results from the call is then recent enough for VERDICT_HELD.
	callStarted bool
}

// Bucket is the deterministic state machine that decides and writes the claims
// of one bucket. The caller passes in events by Add, Cancel and Tick, makes the
// calls in the returned steps, and passes the answers to HandleLoad, HandleTail
// and HandleCommit. It is not safe for concurrent use.
type Bucket struct {
	cfg    Config
	id     uint32
	ledger Ledger
	// loaded is true once the whole log was read.
	loaded bool
	// baseRevision is the store revision of the base, or 0 if there is none.
	baseRevision int64
	queue        []*pendingClaim
	writing      *pendingWrite
	callInFlight bool
	// stale is true if the log may have entries that are not in the ledger, so that
	// they must be read before the next write.
	stale bool
	// storeDown is true after a failed store call until one succeeds. Until
	// nextCallAt, new claims that need the store then get VERDICT_UNAVAILABLE. The
	// first failure of a commit with an unknown outcome does not set it.
	storeDown bool
	// nextCallAt is the earliest time of the next store call. tat is the
	// theoretical arrival time of the generic cell rate algorithm in pace.
	nextCallAt time.Time
	tat        time.Time
	writeCount uint64
	answers    []Answer
}

// NewBucket returns the state machine of a bucket whose log has not been read.
func NewBucket(id uint32, cfg Config) *Bucket {
	return &Bucket{
		cfg: cfg.withDefaults(),
		id:  id,
	}
}

// Idle reports whether no claim is queued and no write or store call is pending.
func (b *Bucket) Idle() bool {
	return len(b.queue) == 0 && b.writing == nil && !b.callInFlight
}

// Keys returns the number of keys whose state is retained.
func (b *Bucket) Keys() int { return b.ledger.Len() }

// Add submits a claim. The id must be unique in the bucket; the Answer has the
// same ID.
func (b *Bucket) Add(now time.Time, id uint64, c *peer.Claim) Step {
	p := &pendingClaim{
		id:      id,
		claim:   c,
		arrived: now,
	}
	if v := b.validate(now, c); v != peer.Verdict_VERDICT_UNSPECIFIED {
		b.answer(p, v, nil)
		return b.step(now)
	}
	if b.loaded {
		if v, outcome := b.ledger.Decide(c); isFinal(v) {
			b.answer(p, v, outcome)
			return b.step(now)
		}
	}
	if len(b.queue) >= b.cfg.MaxQueue || b.storeDown && now.Before(b.nextCallAt) {
		b.answer(p, peer.Verdict_VERDICT_UNAVAILABLE, nil)
		return b.step(now)
	}
	b.queue = append(b.queue, p)
	return b.step(now)
}

// validate checks a claim without looking at the log. It returns
// VERDICT_UNSPECIFIED if the claim is valid.
func (b *Bucket) validate(now time.Time, c *peer.Claim) peer.Verdict {
	key, err := ParseKey(c.GetKey())
	switch {
	case err != nil || key.String() != c.GetKey() || key.Bucket() != b.id || c.GetDispatcher() == "" || proto.Size(c) > MaxClaimBytes:
		return peer.Verdict_VERDICT_REFUSED
	case c.GetKind() != peer.ClaimKind_CLAIM_KIND_TAKE:
		return peer.Verdict_VERDICT_UNSPECIFIED
	case key.Time() > now.Add(b.cfg.MaxClockSkew).UnixMilli():
		return peer.Verdict_VERDICT_REFUSED
	case key.Time() < now.Add(-b.cfg.retention()).UnixMilli():
		return peer.Verdict_VERDICT_EXPIRED
	}
	return peer.Verdict_VERDICT_UNSPECIFIED
}

// isFinal reports whether a verdict can be answered without a further store call.
func isFinal(v peer.Verdict) bool {
	return v != peer.Verdict_VERDICT_UNSPECIFIED && v != peer.Verdict_VERDICT_HELD
}

// Cancel withdraws a claim whose caller no longer waits. It returns true if the
// claim was certainly not written.
func (b *Bucket) Cancel(id uint64) bool {
	n := len(b.queue)
	b.queue = slices.DeleteFunc(b.queue, func(p *pendingClaim) bool { return p.id == id })
	if len(b.queue) < n {
		return true
	}
	if b.writing != nil {
		b.writing.claims = slices.DeleteFunc(b.writing.claims, func(p *pendingClaim) bool { return p.id == id })
	}
	return false
}

// Tick tells the bucket the current time, so that it can expire claims and start
// the next call.
func (b *Bucket) Tick(now time.Time) Step { return b.step(now) }

// step returns the answers collected so far and the next call, if one is due.
func (b *Bucket) step(now time.Time) Step {
	b.answerExpired(now)
	s := Step{Call: b.next(now)}
	s.Answers, b.answers = b.answers, nil
	s.Wake = b.wake(now)
	return s
}

// wake returns when Tick must be called, or the zero time.
func (b *Bucket) wake(now time.Time) time.Time {
	if b.callInFlight || b.writing == nil && len(b.queue) == 0 {
		return time.Time{}
	}
	if !b.nextCallAt.After(now) || b.mustRead() {
		return now
	}
	return b.nextCallAt
}

// mustRead reports whether the log must be read without waiting for nextCallAt:
// the log was not loaded or another daemon has written, the store answers and no
// write is pending.
func (b *Bucket) mustRead() bool {
	return (b.stale || !b.loaded) && !b.storeDown && b.writing == nil
}

// answerExpired answers claims that have waited longer than WaitLimit. Queued
// claims were certainly not written; claims in a pending write may have been.
func (b *Bucket) answerExpired(now time.Time) {
	limit := now.Add(-b.cfg.WaitLimit)
	b.queue = slices.DeleteFunc(b.queue, func(p *pendingClaim) bool {
		if p.arrived.After(limit) {
			return false
		}
		b.answer(p, peer.Verdict_VERDICT_UNAVAILABLE, nil)
		return true
	})
	if b.writing == nil || b.writing.started.After(limit) {
		return
	}
	for _, p := range b.writing.claims {
		b.answer(p, peer.Verdict_VERDICT_UNKNOWN, nil)
	}
	b.writing.claims = nil
}

func (b *Bucket) answer(p *pendingClaim, v peer.Verdict, outcome *target.Outcome) {
	b.answers = append(b.answers, Answer{
		ID:      p.id,
		Verdict: v,
		Outcome: outcome,
	})
}

// next returns the next store call, or CallNone.
func (b *Bucket) next(now time.Time) Call {
	if b.callInFlight || now.Before(b.nextCallAt) && !b.mustRead() {
		return Call{}
	}
	switch {
	case b.writing != nil:
		return b.startCommit(now)
	case len(b.queue) == 0:
		return Call{}
	case !b.loaded:
		return b.startRead(Call{Kind: CallLoad})
	case b.stale:
		return b.startTail()
	case b.startWrite(now):
		return b.startCommit(now)
	case len(b.queue) == 0:
		return Call{}
	}
	b.pace(now)
	return b.startTail()
}

// startTail starts to read the entries that follow the ledger.
func (b *Bucket) startTail() Call {
	return b.startRead(Call{
		Kind: CallTail,
		From: b.ledger.Head() + 1,
	})
}

func (b *Bucket) startRead(c Call) Call {
	b.callInFlight = true
	b.markCallStarted()
	return c
}

// startCommit starts or repeats the commit of the pending write.
func (b *Bucket) startCommit(now time.Time) Call {
	b.callInFlight = true
	b.pace(now)
	return Call{
		Kind: CallCommit,
		Txn:  b.writing.txn,
	}
}

// pace sets nextCallAt by the generic cell rate algorithm: calls start every
// Interval on average, and at most Burst of them start ahead of that.
func (b *Bucket) pace(now time.Time) {
	if b.tat.Before(now) {
		b.tat = now
	}
	b.tat = b.tat.Add(b.cfg.Interval)
	b.nextCallAt = b.tat.Add(-time.Duration(b.cfg.Burst) * b.cfg.Interval)
}

// markCallStarted marks the queued claims: the answer to the store call that is
// about to start will be newer than they are.
func (b *Bucket) markCallStarted() {
	for _, p := range b.queue {
		p.callStarted = true
	}
}

// HandleCommit processes the answer to a CallCommit.
func (b *Bucket) HandleCommit(now time.Time, r storer.Result, err error) Step {
	b.callInFlight = false
	w := b.writing
	switch {
	case errors.Is(err, storer.ErrUnavailable) && !w.outcomeUnknown:
		b.writing = nil
		b.failQueue(now)
		for _, p := range w.claims {
			b.answer(p, peer.Verdict_VERDICT_UNAVAILABLE, nil)
		}
	case err != nil:
		// The same write is repeated until its outcome is known.
		b.storeDown = w.outcomeUnknown
		w.outcomeUnknown = true
		b.nextCallAt = now.Add(b.cfg.RetryDelay)
	case !r.Applied:
		// Either another daemon wrote to the bucket, or an earlier try of this
		// write took effect.
		b.writing = nil
		b.storeDown = false
		b.stale = true
		b.queue = append(w.claims, b.queue...)
	default:
		b.finishWrite(w, r)
	}
	return b.step(now)
}

// finishWrite applies a write that took effect to the ledger and answers its
// claims.
func (b *Bucket) finishWrite(w *pendingWrite, r storer.Result) {
	b.writing = nil
	b.storeDown = false
	b.ledger.Apply(w.entry)
	if w.base != nil {
		b.baseRevision = r.Revision
		b.ledger.Rebase(w.base.GetSequence(), w.base.GetFloor())
	}
	for _, p := range w.claims {
		v, outcome := b.ledger.DecideAppended(p.claim)
		b.answer(p, v, outcome)
	}
	b.answerDecided()
}

// answerDecided answers the queued claims that the ledger decides. VERDICT_HELD
// is answered only if the ledger is newer than the claim.
func (b *Bucket) answerDecided() {
	b.queue = slices.DeleteFunc(b.queue, func(p *pendingClaim) bool {
		v, outcome := b.ledger.Decide(p.claim)
		if !isFinal(v) && (v != peer.Verdict_VERDICT_HELD || !p.callStarted) {
			return false
		}
		b.answer(p, v, outcome)
		return true
	})
}

// failQueue marks the store as down and answers all queued claims with
// VERDICT_UNAVAILABLE, since none of them was written.
func (b *Bucket) failQueue(now time.Time) {
	b.storeDown = true
	b.nextCallAt = now.Add(b.cfg.RetryDelay)
	for _, p := range b.queue {
		b.answer(p, peer.Verdict_VERDICT_UNAVAILABLE, nil)
	}
	b.queue = nil
}
