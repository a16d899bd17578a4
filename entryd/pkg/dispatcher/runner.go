package dispatcher

import (
	"context"
	"encoding/base64"
	"expvar"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	"google.golang.org/protobuf/proto"

	"plantaincleat/entryd/pkg/claimer"
	"plantaincleat/tier/gen/peer"
	"plantaincleat/tier/gen/target"
)

const (
	// outcomeGrace is how long after the deadline the dispatcher still waits for an
	// outcome, so that it can be recorded and answered to a retry.
	outcomeGrace = 30 * time.Second
	// maxDetailBytes bounds the detail text of a recorded outcome.
	maxDetailBytes = 8 << 10
	// followUpTimeout bounds one try to send a release or record.
	followUpTimeout = 5 * time.Second
	// minFollowUpPause and maxFollowUpPause bound the pause between two such tries,
	// which doubles after each try.
	minFollowUpPause = 200 * time.Millisecond
	maxFollowUpPause = 5 * time.Second
	// followUpLimit bounds the total time of the tries of one release or record.
	followUpLimit = 10 * time.Minute
	// maxActive bounds the attempts in progress, including their releases and
	// records. Further requests are answered without a claim: "not executed" for
	// attempt 1, otherwise "unknown".
	maxActive = 4096
)

// Counts are the counters of a Dispatcher since its start. They are published
// under their JSON names.
type Counts struct {
	// Done to Rejected count the results of Do. Done excludes replayed outcomes,
	// which Replayed counts. Rejected counts KindMismatch, KindExpired and
	// KindRefused.
	Done        expvar.Int
	Replayed    expvar.Int
	NotExecuted expvar.Int
	Unknown     expvar.Int
	Rejected    expvar.Int
	// Dispatched counts the requests passed to the Mutator.
	Dispatched expvar.Int
	// AbandonedClaims counts the releases and records that were given up
	// undecided.
	AbandonedClaims expvar.Int
}

// String returns the counters as JSON. It implements expvar.Var.
func (c *Counts) String() string {
	return fmt.Sprintf(`{"done":%v,"replayed":%v,"notrun":%v,"unknown":%v,"other":%v,"dispatched":%v,"dropped":%v}`,
		&c.Done, &c.Replayed, &c.NotExecuted, &c.Unknown, &c.Rejected, &c.Dispatched, &c.AbandonedClaims)
}

// Dispatcher executes non-idempotent requests, one attempt per call of Do. It is
// safe for concurrent use.
type Dispatcher struct {
	claims  Claimer
	mutator Mutator
	clock   clockwork.Clock
	counts  Counts

	mu       sync.Mutex
	active   int
	draining bool
	idle     chan struct{}
	baseCtx  context.Context
	cancel   context.CancelFunc
}

// New returns a Dispatcher that claims keys through claims and sends requests
// through mutator.
func New(claims Claimer, mutator Mutator, clock clockwork.Clock) *Dispatcher {
	d := &Dispatcher{
		claims:  claims,
		mutator: mutator,
		clock:   clock,
		idle:    make(chan struct{}),
	}
	d.baseCtx, d.cancel = context.WithCancel(context.Background())
	return d
}

// Counts returns the dispatcher's counters.
func (d *Dispatcher) Counts() *Counts { return &d.counts }

// Active returns the number of attempts in progress, including those whose
// release or record is not decided yet.
func (d *Dispatcher) Active() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.active
}

// Drain refuses new attempts and waits until the attempts in progress, with their
// releases and records, end or ctx ends. It then cancels the remaining ones and
// returns their number.
func (d *Dispatcher) Drain(ctx context.Context) int {
	d.mu.Lock()
	d.draining = true
	if d.active == 0 {
		d.mu.Unlock()
		d.cancel()
		return 0
	}
	d.mu.Unlock()
	select {
	case <-d.idle:
	case <-ctx.Done():
	}
	d.cancel()
	return d.Active()
}

// admit counts a new attempt and returns true, unless the dispatcher drains or
// has maxActive attempts.
func (d *Dispatcher) admit() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.draining || d.active >= maxActive {
		return false
	}
	d.active++
	return true
}

// finish removes an ended attempt from the count of active ones.
func (d *Dispatcher) finish() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.active--
	if d.active == 0 && d.draining {
		close(d.idle)
	}
}

// attemptRun is one attempt in progress.
type attemptRun struct {
	d        *Dispatcher
	req      Request
	key      string
	id       string
	start    time.Time
	deadline time.Time
	// mu guards attempt.
	mu      sync.Mutex
	attempt *Attempt
	reply   chan Result
}

// newID returns a random dispatcher ID.
func newID() string {
	id := uuid.New()
	return base64.RawURLEncoding.EncodeToString(id[:])
}

// Do makes one attempt and returns its result, at the latest at the deadline of
// the request or at the end of ctx.
func (d *Dispatcher) Do(ctx context.Context, req Request) Result {
	r := d.runAttempt(ctx, req)
	switch {
	case r.Kind == KindDone && r.Replayed:
		d.counts.Replayed.Add(1)
	case r.Kind == KindDone:
		d.counts.Done.Add(1)
	case r.Kind == KindNotExecuted:
		d.counts.NotExecuted.Add(1)
	case r.Kind == KindUnknown:
		d.counts.Unknown.Add(1)
	default:
		d.counts.Rejected.Add(1)
	}
	return r
}

// runAttempt starts an attempt and waits for its result or the deadline.
func (d *Dispatcher) runAttempt(ctx context.Context, req Request) Result {
	key, err := claimer.ParseKey(req.Key)
	if err != nil {
		return Result{
			Kind:   KindRefused,
			Reason: err.Error(),
		}
	}
	a := NewAttempt(req.Attempt, req.Deadline)
	if !d.admit() {
		return a.unclaimedResult("the daemon is draining or has too many mutations in progress")
	}
	r := &attemptRun{
		d:        d,
		req:      req,
		key:      key.String(),
		id:       newID(),
		start:    d.clock.Now(),
		deadline: req.Deadline,
		attempt:  a,
		reply:    make(chan Result, 1),
	}
	ctx, cancel := clockwork.WithDeadline(ctx, d.clock, req.Deadline)
	defer cancel()
	go r.process(ctx)
	select {
	case result := <-r.reply:
		return result
	case <-ctx.Done():
	}
	r.handleDeadline()
	return <-r.reply
}

// process claims the key and carries out the actions of the attempt until it ends.
func (r *attemptRun) process(ctx context.Context) {
	defer r.d.finish()
	result := r.d.claims.Claim(ctx, r.claim(peer.ClaimKind_CLAIM_KIND_TAKE))
	act := r.apply(func(a *Attempt) Action { return a.HandleClaim(r.now(), result) })
	if act.Dispatch {
		out, err := r.dispatch()
		act = r.apply(func(a *Attempt) Action { return a.HandleOutcome(r.key, out, err) })
	}
	if act.FollowUp != peer.ClaimKind_CLAIM_KIND_UNSPECIFIED {
		r.followUp(act.FollowUp)
	}
}

// handleDeadline answers the caller at the deadline. If a claim is in flight,
// process releases it when its answer arrives.
func (r *attemptRun) handleDeadline() {
	r.apply(func(a *Attempt) Action { return a.HandleDeadline() })
}

// apply passes an event to the attempt and answers the caller if the resulting
// action has a reply.
func (r *attemptRun) apply(event func(a *Attempt) Action) Action {
	r.mu.Lock()
	defer r.mu.Unlock()
	act := event(r.attempt)
	if act.Reply != nil {
		r.reply <- *act.Reply
	}
	return act
}

// now returns the start time plus the time elapsed since then by the wall clock
// or the monotonic clock, whichever is greater. The monotonic clock stops while
// the host is suspended.
func (r *attemptRun) now() time.Time {
	now := r.d.clock.Now()
	wall := now.Round(0).Sub(r.start.Round(0))
	return r.start.Add(max(now.Sub(r.start), wall))
}

// claim returns a claim of the given kind for the request key.
func (r *attemptRun) claim(kind peer.ClaimKind) *peer.Claim {
	c := &peer.Claim{
		Key:         r.key,
		Dispatcher:  r.id,
		Kind:        kind,
		Fingerprint: r.req.Fingerprint,
		Attempt:     r.req.Attempt,
	}
	if kind == peer.ClaimKind_CLAIM_KIND_RECORD {
		c.Outcome = recordable(r.attempt.Outcome())
	}
	return c
}

// recordable returns a copy of an outcome for recording: without the load, and
// with the detail truncated to maxDetailBytes.
func recordable(out *target.Outcome) *target.Outcome {
	c := proto.CloneOf(out)
	c.Load = nil
	if len(c.GetDetail()) > maxDetailBytes {
		c.Detail = strings.ToValidUTF8(c.GetDetail()[:maxDetailBytes], "")
	}
	return c
}

// dispatch sends the request to its target and returns the outcome. It waits up
// to outcomeGrace beyond the deadline, since a late outcome is still recorded.
func (r *attemptRun) dispatch() (*target.Outcome, error) {
	d := r.d
	m := proto.CloneOf(r.req.Mutation)
	if m == nil {
		m = &target.Mutation{}
	}
	m.Key = r.key
	m.Remaining = r.deadline.Sub(r.now()).Microseconds()
	ctx, cancel := clockwork.WithDeadline(d.baseCtx, d.clock, r.deadline.Add(outcomeGrace))
	defer cancel()
	d.counts.Dispatched.Add(1)
	return d.mutator.Mutate(ctx, m)
}

// followUp sends a release or record repeatedly until it is decided, followUpLimit
// has passed or the dispatcher is cancelled.
func (r *attemptRun) followUp(kind peer.ClaimKind) {
	d := r.d
	giveUpAt := d.clock.Now().Add(followUpLimit)
	for pause := minFollowUpPause; ; pause = min(2*pause, maxFollowUpPause) {
		ctx, cancel := clockwork.WithTimeout(d.baseCtx, d.clock, followUpTimeout)
		result := d.claims.Claim(ctx, r.claim(kind))
		cancel()
		switch result.GetVerdict() {
		case peer.Verdict_VERDICT_UNAVAILABLE, peer.Verdict_VERDICT_UNKNOWN:
		default:
			if kind == peer.ClaimKind_CLAIM_KIND_RELEASE {
				r.apply(func(a *Attempt) Action { return a.HandleRelease(result) })
			}
			return
		}
		if !d.clock.Now().Before(giveUpAt) || !d.sleep(pause) {
			d.counts.AbandonedClaims.Add(1)
			return
		}
	}
}

// sleep waits for the pause. It returns false if the dispatcher is cancelled
// before.
func (d *Dispatcher) sleep(pause time.Duration) bool {
	timer := d.clock.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.Chan():
		return true
	case <-d.baseCtx.Done():
		return false
	}
}
