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
	// linger is how long after the deadline an outcome is still awaited, so
	// that it can be recorded for a resend.
	linger = 30 * time.Second
	// maxDetail bounds the detail of a recorded outcome in bytes.
	maxDetail = 8 << 10
	// followTimeout bounds one try of a release or record.
	followTimeout = 5 * time.Second
	// firstPause and lastPause bound the growing pause between such tries.
	firstPause = 200 * time.Millisecond
	lastPause  = 5 * time.Second
	// followLimit bounds how long a release or record is tried.
	followLimit = 10 * time.Minute
	// followers bounds the releases and records under way. Beyond it requests
	// are answered "not run" or "unknown" without a claim.
	followers = 4096
)

// Counts are the numbers of a Dispatcher since its start.
type Counts struct {
	Done     expvar.Int
	Replayed expvar.Int
	NotRun   expvar.Int
	Unknown  expvar.Int
	Other    expvar.Int
	// Dispatched counts the requests handed over.
	Dispatched expvar.Int
	// Dropped counts the releases and records given up.
	Dropped expvar.Int
}

// String returns the numbers as JSON. It implements expvar.Var.
func (c *Counts) String() string {
	return fmt.Sprintf(`{"done":%v,"replayed":%v,"notrun":%v,"unknown":%v,"other":%v,"dispatched":%v,"dropped":%v}`,
		&c.Done, &c.Replayed, &c.NotRun, &c.Unknown, &c.Other, &c.Dispatched, &c.Dropped)
}

// Dispatcher runs attempts. It is safe for concurrent use.
type Dispatcher struct {
	claims  Claims
	mutator Mutator
	clock   clockwork.Clock
	counts  Counts

	mu     sync.Mutex
	active int
	closed bool
	idle   chan struct{}
	stop   context.Context
	end    context.CancelFunc
}

// New returns a dispatcher.
func New(claims Claims, mutator Mutator, clock clockwork.Clock) *Dispatcher {
	d := &Dispatcher{
		claims:  claims,
		mutator: mutator,
		clock:   clock,
		idle:    make(chan struct{}),
	}
	d.stop, d.end = context.WithCancel(context.Background())
	return d
}

// Counts returns the dispatcher's counters.
func (d *Dispatcher) Counts() *Counts { return &d.counts }

// Active returns the number of attempts that are running, with the releases and
// records that are not decided.
func (d *Dispatcher) Active() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.active
}

// Drain refuses new attempts and waits for the running ones, their releases and
// records, until ctx ends. It returns the number that was cut.
func (d *Dispatcher) Drain(ctx context.Context) int {
	d.mu.Lock()
	d.closed = true
	if d.active == 0 {
		d.mu.Unlock()
		d.end()
		return 0
	}
	d.mu.Unlock()
	select {
	case <-d.idle:
	case <-ctx.Done():
	}
	d.end()
	return d.Active()
}

// enter counts a running attempt, if it may run.
func (d *Dispatcher) enter() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed || d.active >= followers {
		return false
	}
	d.active++
	return true
}

func (d *Dispatcher) leave() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.active--
	if d.active == 0 && d.closed {
		close(d.idle)
	}
}

// run is one attempt under way.
type run struct {
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

// newID returns the name of a dispatcher.
func newID() string {
	id := uuid.New()
	return base64.RawURLEncoding.EncodeToString(id[:])
}

// Do runs one attempt and returns when its answer is known, or at its deadline.
// The end of ctx counts as the deadline.
func (d *Dispatcher) Do(ctx context.Context, req Request) Result {
	r := d.decide(ctx, req)
	switch {
	case r.Kind == KindDone && r.Replayed:
		d.counts.Replayed.Add(1)
	case r.Kind == KindDone:
		d.counts.Done.Add(1)
	case r.Kind == KindNotExecuted:
		d.counts.NotRun.Add(1)
	case r.Kind == KindUnknown:
		d.counts.Unknown.Add(1)
	default:
		d.counts.Other.Add(1)
	}
	return r
}

func (d *Dispatcher) decide(ctx context.Context, req Request) Result {
	key, err := claimer.ParseKey(req.Key)
	if err != nil {
		return Result{
			Kind:   KindRefused,
			Reason: err.Error(),
		}
	}
	a := NewAttempt(req.Attempt, req.Deadline)
	if !d.enter() {
		return a.unclaimed("the daemon takes no more mutations")
	}
	r := &run{
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
	go r.main(ctx)
	select {
	case result := <-r.reply:
		return result
	case <-ctx.Done():
	}
	r.expire()
	return <-r.reply
}

// main takes the attempt through all its actions.
func (r *run) main(ctx context.Context) {
	defer r.d.leave()
	result := r.d.claims.Claim(ctx, r.claim(peer.ClaimKind_CLAIM_KIND_TAKE))
	act := r.act(func(a *Attempt) Action { return a.Claimed(r.now(), result) })
	if act.Dispatch {
		out, err := r.send()
		act = r.act(func(a *Attempt) Action { return a.Answered(r.key, out, err) })
	}
	if act.Follow != peer.ClaimKind_CLAIM_KIND_UNSPECIFIED {
		r.follow(act.Follow)
	}
}

// expire answers the caller at the deadline. A claim that is under way stays
// with main, which releases it.
func (r *run) expire() {
	r.act(func(a *Attempt) Action { return a.TimedOut() })
}

// act applies an event to the attempt and answers the caller if that is due.
func (r *run) act(event func(a *Attempt) Action) Action {
	r.mu.Lock()
	defer r.mu.Unlock()
	act := event(r.attempt)
	if act.Reply != nil {
		r.reply <- *act.Reply
	}
	return act
}

// now returns the time by the clock that has advanced more since the start, the
// wall clock or the monotonic one: a suspended host stops the latter.
func (r *run) now() time.Time {
	now := r.d.clock.Now()
	wall := now.Round(0).Sub(r.start.Round(0))
	return r.start.Add(max(now.Sub(r.start), wall))
}

func (r *run) claim(kind peer.ClaimKind) *peer.Claim {
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

// recordable is the part of an outcome that is kept for resends: a longer detail
// is cut.
func recordable(out *target.Outcome) *target.Outcome {
	c := proto.CloneOf(out)
	c.Load = nil
	if len(c.GetDetail()) > maxDetail {
		c.Detail = strings.ToValidUTF8(c.GetDetail()[:maxDetail], "")
	}
	return c
}

// send hands the request over. It waits beyond the deadline, since a late
// outcome is still recorded.
func (r *run) send() (*target.Outcome, error) {
	d := r.d
	m := proto.CloneOf(r.req.Mutation)
	if m == nil {
		m = &target.Mutation{}
	}
	m.Key = r.key
	m.Remaining = r.deadline.Sub(r.now()).Microseconds()
	ctx, cancel := clockwork.WithDeadline(d.stop, d.clock, r.deadline.Add(linger))
	defer cancel()
	d.counts.Dispatched.Add(1)
	return d.mutator.Mutate(ctx, m)
}

// follow sends a release or record until it is decided.
func (r *run) follow(kind peer.ClaimKind) {
	d := r.d
	limit := d.clock.Now().Add(followLimit)
	for pause := firstPause; ; pause = min(2*pause, lastPause) {
		ctx, cancel := clockwork.WithTimeout(d.stop, d.clock, followTimeout)
		result := d.claims.Claim(ctx, r.claim(kind))
		cancel()
		switch result.GetVerdict() {
		case peer.Verdict_VERDICT_UNAVAILABLE, peer.Verdict_VERDICT_UNKNOWN:
		default:
			if kind == peer.ClaimKind_CLAIM_KIND_RELEASE {
				r.act(func(a *Attempt) Action { return a.Released(result) })
			}
			return
		}
		if !d.clock.Now().Before(limit) || !d.sleep(pause) {
			d.counts.Dropped.Add(1)
			return
		}
	}
}

// sleep returns false if the dispatcher ends.
func (d *Dispatcher) sleep(pause time.Duration) bool {
	timer := d.clock.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.Chan():
		return true
	case <-d.stop.Done():
		return false
	}
}
