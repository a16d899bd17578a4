package gatherer

import (
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"plantaincleat/entryd/pkg/estimator"
	"plantaincleat/entryd/pkg/limiter"
	"plantaincleat/entryd/pkg/multiplexer"
	"plantaincleat/entryd/pkg/quarantiner"
	"plantaincleat/tier/gen/config"
	"plantaincleat/tier/gen/target"
)

// waitingPerSlot bounds the requests that wait here per slot. Requests above
// the target's limit wait here, where they can be withdrawn free of cost.
const waitingPerSlot = 32

// reply is what became of one request to a target.
type reply struct {
	nonce  uint64
	answer *target.Answer
	err    error
	// sent is when the request left for the target; zero if it did not.
	sent time.Time
}

// Errors of requests that were not sent.
var (
	errWaiting     = errors.New("too many requests wait for the target")
	errAvoided     = errors.New("the request may have crashed this target")
	errQuarantined = errors.New("the request is quarantined")
)

// busyPause is the time after which requests that had to wait for a suspect
// are tried again.
const busyPause = 2 * time.Millisecond

// request is one search on its way to a target.
type request struct {
	nonce       uint64
	search      *target.Search
	expiry      time.Time
	fingerprint uint64
	institution string
	sink        func(reply)

	sent   time.Time
	ticket estimator.Ticket
	permit limiter.Permit
	run    quarantiner.Attempt
}

// lane is the one queue of this gatherer for one target.
type lane struct {
	id      string
	address string
	slots   int
	clock   clockwork.Clock
	link    *multiplexer.TargetLink
	gauge   *estimator.Estimator
	limit   *limiter.Limiter
	watch   *quarantiner.Target
	// onLoss is called after the target was lost.
	onLoss func()
	// heard is called with the latency of each completed request and the
	// service time of the target.
	heard func(latency, service time.Duration)

	mu      sync.Mutex
	waiting []*request
	flying  map[uint64]*request
	retry   bool
	// leaving is the incarnation that has said that it is leaving, or zero.
	leaving uint64
}

func newLane(g *Gatherer, t *config.Target) *lane {
	slots := max(int(t.GetSlots()), 1)
	return &lane{
		id:      t.GetId(),
		address: t.GetAddress(),
		slots:   slots,
		clock:   g.clock,
		link:    multiplexer.NewTargetLink(t.GetAddress(), g.dial, g.clock),
		gauge: g.gauges.New(estimator.Settings{
			Slots: slots,
		}),
		limit: g.limits.New(limiter.Settings{
			Slots: slots,
		}),
		watch:  g.quarantine.Target(t.GetId()),
		onLoss: g.onLoss,
		heard: func(latency, service time.Duration) {
			g.pace.Add(g.clock.Since(g.origin), latency, service)
		},
		flying: map[uint64]*request{},
	}
}

// submit sends a request now or once the target has room.
func (l *lane) submit(r *request) {
	l.mu.Lock()
	if len(l.waiting) >= waitingPerSlot*l.slots {
		l.mu.Unlock()
		r.sink(reply{
			nonce: r.nonce,
			err:   errWaiting,
		})
		return
	}
	l.waiting = append(l.waiting, r)
	l.mu.Unlock()
	l.pump()
}

// withdraw ends the interest in a request and cancels it at the target if it
// was sent. late tells that its deadline has passed. It returns when the
// request was sent, zero if it was not.
func (l *lane) withdraw(nonce uint64, late bool) time.Time {
	l.mu.Lock()
	r, flying := l.flying[nonce]
	if flying {
		delete(l.flying, nonce)
		l.watch.End(r.run, false)
		l.gauge.Drop()
		l.limit.Release(r.permit, l.withdrawal(late), 0)
	} else {
		l.unqueue(nonce)
	}
	l.mu.Unlock()
	var sent time.Time
	if flying {
		sent = r.sent
		l.link.Forget(nonce)
		l.link.Post(&target.Call{
			Nonce: nonce,
			Body: &target.Call_Cancel{
				Cancel: true,
			},
		})
	}
	l.pump()
	return sent
}

// withdrawal returns what a request that was given up says about the limit. One
// that was late may have been sent shortly before its deadline: only a target
// that has fallen silent has timed out.
func (l *lane) withdrawal(late bool) limiter.Result {
	if late && l.gauge.Suspected() {
		return limiter.Timeout
	}
	return limiter.Neutral
}

func (l *lane) unqueue(nonce uint64) {
	for i, r := range l.waiting {
		if r.nonce == nonce {
			l.waiting = append(l.waiting[:i], l.waiting[i+1:]...)
			return
		}
	}
}

// pump sends waiting requests while the target has room.
func (l *lane) pump() {
	for {
		r, err := l.next()
		if r == nil {
			return
		}
		if err != nil {
			r.sink(reply{
				nonce: r.nonce,
				err:   err,
			})
			continue
		}
		l.link.Send(r.nonce, &target.Call{
			Nonce: r.nonce,
			Body: &target.Call_Search{
				Search: r.search,
			},
		}, func(a *target.Answer, err error) { l.receive(r, a, err) })
	}
}

// next takes the oldest waiting request that may run, if the target has room
// for it. An error refuses the request.
func (l *lane) next() (*request, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.waiting) == 0 {
		return nil, nil
	}
	permit, ok := l.limit.Acquire(l.gauge.InFlightLimit())
	if !ok {
		return nil, nil
	}
	now := l.clock.Now()
	for i, r := range l.waiting {
		run, verdict := l.watch.Begin(now, r.fingerprint, r.institution, r.search.GetShard())
		if verdict == quarantiner.Busy {
			continue
		}
		l.waiting = slices.Delete(l.waiting, i, i+1)
		if err := refusals[verdict]; err != nil {
			l.limit.Release(permit, limiter.Neutral, 0)
			return r, err
		}
		r.search.Remaining = max(r.expiry.Sub(now), 0).Microseconds()
		r.sent = now
		r.ticket = l.gauge.Send(now)
		r.permit = permit
		r.run = run
		l.flying[r.nonce] = r
		return r, nil
	}
	l.limit.Release(permit, limiter.Neutral, 0)
	l.pumpLater()
	return nil, nil
}

// refusals maps the verdicts that keep a request from a target to errors.
var refusals = map[quarantiner.Decision]error{
	quarantiner.Avoid:  errAvoided,
	quarantiner.Denied: errQuarantined,
}

// pumpLater pumps again after a pause. l.mu is held.
func (l *lane) pumpLater() {
	if l.retry {
		return
	}
	l.retry = true
	l.clock.AfterFunc(busyPause, func() {
		l.mu.Lock()
		l.retry = false
		l.mu.Unlock()
		l.pump()
	})
}

func (l *lane) receive(r *request, a *target.Answer, err error) {
	l.mu.Lock()
	_, live := l.flying[r.nonce]
	delete(l.flying, r.nonce)
	if live {
		l.record(r, a, err)
	}
	l.mu.Unlock()
	l.link.Forget(r.nonce)
	if live {
		r.sink(reply{
			nonce:  r.nonce,
			answer: a,
			err:    err,
			sent:   r.sent,
		})
	}
	l.pump()
}

// record updates the estimate of the target. l.mu is held.
func (l *lane) record(r *request, a *target.Answer, err error) {
	if err != nil {
		l.gauge.Fail(l.clock.Now())
		l.limit.Release(r.permit, limiter.Neutral, 0)
		if errors.Is(err, multiplexer.ErrStreamLost) {
			l.watch.RecordLoss(l.clock.Now(), r.run)
			go l.onLoss()
		}
		l.watch.End(r.run, false)
		return
	}
	l.watch.End(r.run, a.GetStatus() == target.Status_STATUS_DONE)
	l.limit.Release(r.permit, results[a.GetStatus()], int(a.GetLoad().GetQueue()))
	l.leaving = 0
	if a.GetLoad().GetLeaving() {
		l.leaving = a.GetIncarnation()
	}
	report := estimator.Report{
		Incarnation: a.GetIncarnation(),
		Queue:       a.GetLoad().GetQueue(),
		Service:     time.Duration(a.GetLoad().GetService()) * time.Microsecond,
	}
	switch a.GetStatus() {
	case target.Status_STATUS_DONE:
		now := l.clock.Now()
		l.gauge.Answer(now, r.ticket, report)
		l.heard(now.Sub(r.sent), l.gauge.Service())
	case target.Status_STATUS_FAILED:
		l.gauge.Fail(l.clock.Now())
	default:
		l.gauge.Shed(l.clock.Now(), report)
	}
}

// results maps the status of an answer to what it says about the limit. An
// expired request says nothing: it may have been sent shortly before its
// deadline.
var results = map[target.Status]limiter.Result{
	target.Status_STATUS_DONE: limiter.Success,
	target.Status_STATUS_SHED: limiter.Shed,
}

// expected returns when one more request would be answered, its wait here
// included.
func (l *lane) expected(now time.Time) time.Duration {
	l.mu.Lock()
	waiting := len(l.waiting)
	l.mu.Unlock()
	return l.gauge.ExpectedLatency(now) + l.gauge.Service()*time.Duration(waiting)/time.Duration(l.slots)
}

// departure returns the incarnation of the target that is draining and still
// connected.
func (l *lane) departure() (incarnation uint64, leaving bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.link.Connected() {
		l.leaving = 0
	}
	return l.leaving, l.leaving != 0
}

// busy reports whether requests wait or fly.
func (l *lane) busy() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.waiting) > 0 || len(l.flying) > 0
}

// close ends the link to the target.
func (l *lane) close() {
	l.link.Close()
	l.limit.Close()
}
