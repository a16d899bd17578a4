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

// CallKind is what a Bucket wants from the store.
type CallKind int

const (
	// CallNone means nothing, until the time in Step.Wake or a new claim.
	CallNone CallKind = iota
	// CallLoad reads the whole log. The answer goes to Bucket.Loaded.
	CallLoad
	// CallTail reads the entries from Call.From on, then the base. The answer goes
	// to Bucket.Tailed.
	CallTail
	// CallCommit runs Call.Txn. The answer goes to Bucket.Committed.
	CallCommit
)

// Call is one operation on the store. A Bucket has at most one under way.
type Call struct {
	Kind CallKind
	From uint64
	Txn  storer.Txn
}

// Answer is the verdict on the claim that was added with an id.
type Answer struct {
	ID      uint64
	Verdict peer.Verdict
	Outcome *target.Outcome
}

// Step is what a Bucket wants done after an event.
type Step struct {
	Answers []Answer
	Call    Call
	// Wake is when Tick is due if no event comes before; zero means never.
	Wake time.Time
}

// Tail is the part of a log that was read after a known head.
type Tail struct {
	Entries []storer.Item
	// Complete is true if the entry after the last one was absent.
	Complete bool
	// Modified is the store revision of the base, read after the entries.
	Modified int64
}

// pending is a claim that has not been answered.
type pending struct {
	id    uint64
	claim *peer.Claim
	since time.Time
	// covered is true once a read or write began after the claim arrived.
	covered bool
}

// Bucket is the keeper of one bucket: a deterministic state machine. It is
// driven by Add, Cancel, Tick and the answers to the calls in its steps.
type Bucket struct {
	cfg    Config
	id     uint32
	ledger Ledger
	loaded bool
	// modified is the store revision of the base; 0 if there is none.
	modified int64
	queue    []*pending
	writing  *write
	busy     bool
	stale    bool
	down     bool
	// ready is the earliest time of the next call, due its time without bursts.
	ready   time.Time
	due     time.Time
	written uint64
	answers []Answer
}

// NewBucket returns the machine of a bucket that was not read yet.
func NewBucket(id uint32, cfg Config) *Bucket {
	return &Bucket{
		cfg: cfg.withDefaults(),
		id:  id,
	}
}

// Idle reports whether no claim and no write is left to deal with.
func (b *Bucket) Idle() bool {
	return len(b.queue) == 0 && b.writing == nil && !b.busy
}

// Keys returns the number of keys retained.
func (b *Bucket) Keys() int { return b.ledger.Len() }

// Add offers a claim under an id that is unique in the bucket.
func (b *Bucket) Add(now time.Time, id uint64, c *peer.Claim) Step {
	p := &pending{
		id:    id,
		claim: c,
		since: now,
	}
	if v := b.screen(now, c); v != peer.Verdict_VERDICT_UNSPECIFIED {
		b.answer(p, v, nil)
		return b.step(now)
	}
	if b.loaded {
		if v, outcome := b.ledger.Decide(c); settled(v) {
			b.answer(p, v, outcome)
			return b.step(now)
		}
	}
	if len(b.queue) >= b.cfg.Queue || b.down && now.Before(b.ready) {
		b.answer(p, peer.Verdict_VERDICT_UNAVAILABLE, nil)
		return b.step(now)
	}
	b.queue = append(b.queue, p)
	return b.step(now)
}

// screen judges a claim by itself, without the log.
func (b *Bucket) screen(now time.Time, c *peer.Claim) peer.Verdict {
	key, err := ParseKey(c.GetKey())
	switch {
	case err != nil || key.String() != c.GetKey() || key.Bucket() != b.id || c.GetDispatcher() == "" || proto.Size(c) > MaxClaim:
		return peer.Verdict_VERDICT_REFUSED
	case c.GetKind() != peer.ClaimKind_CLAIM_KIND_TAKE:
		return peer.Verdict_VERDICT_UNSPECIFIED
	case key.Time() > now.Add(b.cfg.Skew).UnixMilli():
		return peer.Verdict_VERDICT_REFUSED
	case key.Time() < now.Add(-b.cfg.retention()).UnixMilli():
		return peer.Verdict_VERDICT_EXPIRED
	}
	return peer.Verdict_VERDICT_UNSPECIFIED
}

// settled reports whether a verdict needs neither a write nor a read.
func settled(v peer.Verdict) bool {
	return v != peer.Verdict_VERDICT_UNSPECIFIED && v != peer.Verdict_VERDICT_HELD
}

// Cancel withdraws a claim whose caller waits no longer. It reports whether
// the claim was certainly not written.
func (b *Bucket) Cancel(id uint64) bool {
	n := len(b.queue)
	b.queue = slices.DeleteFunc(b.queue, func(p *pending) bool { return p.id == id })
	if len(b.queue) < n {
		return true
	}
	if b.writing != nil {
		b.writing.claims = slices.DeleteFunc(b.writing.claims, func(p *pending) bool { return p.id == id })
	}
	return false
}

// Tick lets the bucket act on the passing of time.
func (b *Bucket) Tick(now time.Time) Step { return b.step(now) }

// step returns the answers due and the next call, if one is due.
func (b *Bucket) step(now time.Time) Step {
	b.expire(now)
	s := Step{Call: b.next(now)}
	s.Answers, b.answers = b.answers, nil
	s.Wake = b.wake(now)
	return s
}

// wake returns when the next step is due.
func (b *Bucket) wake(now time.Time) time.Time {
	if b.busy || b.writing == nil && len(b.queue) == 0 {
		return time.Time{}
	}
	if !b.ready.After(now) || b.behind() {
		return now
	}
	return b.ready
}

// behind reports whether the log is to be read at once: another keeper has
// written, and the store answers.
func (b *Bucket) behind() bool {
	return (b.stale || !b.loaded) && !b.down && b.writing == nil
}

// expire answers claims that have waited too long. Those in the queue were
// certainly not written.
func (b *Bucket) expire(now time.Time) {
	limit := now.Add(-b.cfg.Patience)
	b.queue = slices.DeleteFunc(b.queue, func(p *pending) bool {
		if p.since.After(limit) {
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

func (b *Bucket) answer(p *pending, v peer.Verdict, outcome *target.Outcome) {
	b.answers = append(b.answers, Answer{
		ID:      p.id,
		Verdict: v,
		Outcome: outcome,
	})
}

// next returns the next call on the store.
func (b *Bucket) next(now time.Time) Call {
	if b.busy || now.Before(b.ready) && !b.behind() {
		return Call{}
	}
	switch {
	case b.writing != nil:
		return b.commit(now)
	case len(b.queue) == 0:
		return Call{}
	case !b.loaded:
		return b.read(Call{Kind: CallLoad})
	case b.stale:
		return b.tail()
	case b.batch(now):
		return b.commit(now)
	case len(b.queue) == 0:
		return Call{}
	}
	b.pace(now)
	return b.tail()
}

func (b *Bucket) tail() Call {
	return b.read(Call{
		Kind: CallTail,
		From: b.ledger.Head() + 1,
	})
}

func (b *Bucket) read(c Call) Call {
	b.busy = true
	b.cover()
	return c
}

func (b *Bucket) commit(now time.Time) Call {
	b.busy = true
	b.pace(now)
	return Call{
		Kind: CallCommit,
		Txn:  b.writing.txn,
	}
}

// pace delays the next call so that calls start every Interval on average, and
// at most Burst of them ahead of that: the generic cell rate algorithm.
func (b *Bucket) pace(now time.Time) {
	if b.due.Before(now) {
		b.due = now
	}
	b.due = b.due.Add(b.cfg.Interval)
	b.ready = b.due.Add(-time.Duration(b.cfg.Burst) * b.cfg.Interval)
}

// cover marks the claims that the next answer of the store will be newer than.
func (b *Bucket) cover() {
	for _, p := range b.queue {
		p.covered = true
	}
}

// Committed takes the answer to a CallCommit.
func (b *Bucket) Committed(now time.Time, r storer.Result, err error) Step {
	b.busy = false
	w := b.writing
	switch {
	case errors.Is(err, storer.ErrUnavailable) && !w.unknown:
		b.writing = nil
		b.fail(now)
		for _, p := range w.claims {
			b.answer(p, peer.Verdict_VERDICT_UNAVAILABLE, nil)
		}
	case err != nil:
		// The same write is repeated until its outcome is known.
		b.down = w.unknown
		w.unknown = true
		b.ready = now.Add(b.cfg.Pause)
	case !r.Applied:
		// Either another keeper wrote, or this write had landed before.
		b.writing = nil
		b.down = false
		b.stale = true
		b.queue = append(w.claims, b.queue...)
	default:
		b.applied(w, r)
	}
	return b.step(now)
}

// applied folds a write that took effect and answers its claims.
func (b *Bucket) applied(w *write, r storer.Result) {
	b.writing = nil
	b.down = false
	b.ledger.Apply(w.entry)
	if w.base != nil {
		b.modified = r.Revision
		b.ledger.Rebase(w.base.GetSequence(), w.base.GetFloor())
	}
	for _, p := range w.claims {
		v, outcome := b.ledger.Conclude(p.claim)
		b.answer(p, v, outcome)
	}
	b.settle()
}

// settle answers the claims that the view is fresh enough for.
func (b *Bucket) settle() {
	b.queue = slices.DeleteFunc(b.queue, func(p *pending) bool {
		v, outcome := b.ledger.Decide(p.claim)
		if !settled(v) && (v != peer.Verdict_VERDICT_HELD || !p.covered) {
			return false
		}
		b.answer(p, v, outcome)
		return true
	})
}

// fail answers all waiting claims: none of them was written.
func (b *Bucket) fail(now time.Time) {
	b.down = true
	b.ready = now.Add(b.cfg.Pause)
	for _, p := range b.queue {
		b.answer(p, peer.Verdict_VERDICT_UNAVAILABLE, nil)
	}
	b.queue = nil
}
