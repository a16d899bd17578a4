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
	errQueueFull      = errors.New("too many requests wait for the target")
	errMayCrashTarget = errors.New("the request may have crashed this target")
	errQuarantined    = errors.New("the request is quarantined")
)

// retryPause is the time after which requests that had to wait for a suspect
// are tried again.
const retryPause = 2 * time.Millisecond

// request is one search on its way to a target.
type request struct {
	nonce       uint64
	search      *target.Search
	deadline    time.Time
	fingerprint uint64
	institution string
	sink        func(reply)

	sent    time.Time
	ticket  estimator.Ticket
	permit  limiter.Permit
	attempt quarantiner.Attempt
}

// targetQueue is the one queue of this gatherer for one target.
type targetQueue struct {
	id         string
	address    string
	slots      int
	clock      clockwork.Clock
	link       *multiplexer.TargetLink
	estimator  *estimator.Estimator
	limiter    *limiter.Limiter
	quarantine *quarantiner.Target
	// onTargetLost is called after the target was lost.
	onTargetLost func()
	// onLatency is called with the latency of each completed request and the
	// service time of the target.
	onLatency func(latency, service time.Duration)

	mu            sync.Mutex
	waiting       []*request
	inFlight      map[uint64]*request
	sendScheduled bool
	// drainingIncarnation is the incarnation that has said that it is leaving, or zero.
	drainingIncarnation uint64
}

func newTargetQueue(g *Gatherer, t *config.Target) *targetQueue {
	slots := max(int(t.GetSlots()), 1)
	return &targetQueue{
		id:      t.GetId(),
		address: t.GetAddress(),
		slots:   slots,
		clock:   g.clock,
		link:    multiplexer.NewTargetLink(t.GetAddress(), g.dial, g.clock),
		estimator: g.estimators.New(estimator.Settings{
			Slots: slots,
		}),
		limiter: g.limiters.New(limiter.Settings{
			Slots: slots,
		}),
		quarantine:   g.quarantine.Target(t.GetId()),
		onTargetLost: g.onTargetLost,
		onLatency: func(latency, service time.Duration) {
			g.latencies.Add(g.clock.Since(g.startedAt), latency, service)
		},
		inFlight: map[uint64]*request{},
	}
}

// submit sends a request now or once the target has room.
func (q *targetQueue) submit(r *request) {
	q.mu.Lock()
	if len(q.waiting) >= waitingPerSlot*q.slots {
		q.mu.Unlock()
		r.sink(reply{
			nonce: r.nonce,
			err:   errQueueFull,
		})
		return
	}
	q.waiting = append(q.waiting, r)
	q.mu.Unlock()
	q.sendWaiting()
}

// cancel ends the interest in a request and cancels it at the target if it
// was sent. late tells that its deadline has passed. It returns when the
// request was sent, zero if it was not.
func (q *targetQueue) cancel(nonce uint64, late bool) time.Time {
	q.mu.Lock()
	r, inFlight := q.inFlight[nonce]
	if inFlight {
		delete(q.inFlight, nonce)
		q.quarantine.End(r.attempt, false)
		q.estimator.Drop()
		q.limiter.Release(r.permit, q.cancelResult(late), 0)
	} else {
		q.removeWaiting(nonce)
	}
	q.mu.Unlock()
	var sent time.Time
	if inFlight {
		sent = r.sent
		q.link.Forget(nonce)
		q.link.Post(&target.Call{
			Nonce: nonce,
			Body: &target.Call_Cancel{
				Cancel: true,
			},
		})
	}
	q.sendWaiting()
	return sent
}

// cancelResult returns what a request that was given up says about the limit. One
// that was late may have been sent shortly before its deadline: only a target
// that has fallen silent has timed out.
func (q *targetQueue) cancelResult(late bool) limiter.Result {
	if late && q.estimator.Suspected() {
		return limiter.Timeout
	}
	return limiter.Neutral
}

func (q *targetQueue) removeWaiting(nonce uint64) {
	for i, r := range q.waiting {
		if r.nonce == nonce {
			q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
			return
		}
	}
}

// sendWaiting sends waiting requests while the target has room.
func (q *targetQueue) sendWaiting() {
	for {
		r, err := q.nextToSend()
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
		q.link.Send(r.nonce, &target.Call{
			Nonce: r.nonce,
			Body: &target.Call_Search{
				Search: r.search,
			},
		}, func(a *target.Answer, err error) { q.receive(r, a, err) })
	}
}

// nextToSend takes the oldest waiting request that may run, if the target has room
// for it. An error refuses the request.
func (q *targetQueue) nextToSend() (*request, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.waiting) == 0 {
		return nil, nil
	}
	permit, ok := q.limiter.Acquire(q.estimator.InFlightLimit())
	if !ok {
		return nil, nil
	}
	now := q.clock.Now()
	for i, r := range q.waiting {
		attempt, decision := q.quarantine.Begin(now, r.fingerprint, r.institution, r.search.GetShard())
		if decision == quarantiner.Busy {
			continue
		}
		q.waiting = slices.Delete(q.waiting, i, i+1)
		if err := refusalErrors[decision]; err != nil {
			q.limiter.Release(permit, limiter.Neutral, 0)
			return r, err
		}
		r.search.Remaining = max(r.deadline.Sub(now), 0).Microseconds()
		r.sent = now
		r.ticket = q.estimator.Send(now)
		r.permit = permit
		r.attempt = attempt
		q.inFlight[r.nonce] = r
		return r, nil
	}
	q.limiter.Release(permit, limiter.Neutral, 0)
	q.scheduleSend()
	return nil, nil
}

// refusalErrors maps the verdicts that keep a request from a target to errors.
var refusalErrors = map[quarantiner.Decision]error{
	quarantiner.Avoid:  errMayCrashTarget,
	quarantiner.Denied: errQuarantined,
}

// scheduleSend pumps again after a pause. l.mu is held.
func (q *targetQueue) scheduleSend() {
	if q.sendScheduled {
		return
	}
	q.sendScheduled = true
	q.clock.AfterFunc(retryPause, func() {
		q.mu.Lock()
		q.sendScheduled = false
		q.mu.Unlock()
		q.sendWaiting()
	})
}

func (q *targetQueue) receive(r *request, a *target.Answer, err error) {
	q.mu.Lock()
	_, pending := q.inFlight[r.nonce]
	delete(q.inFlight, r.nonce)
	if pending {
		q.recordAnswer(r, a, err)
	}
	q.mu.Unlock()
	q.link.Forget(r.nonce)
	if pending {
		r.sink(reply{
			nonce:  r.nonce,
			answer: a,
			err:    err,
			sent:   r.sent,
		})
	}
	q.sendWaiting()
}

// recordAnswer updates the estimate of the target. l.mu is held.
func (q *targetQueue) recordAnswer(r *request, a *target.Answer, err error) {
	if err != nil {
		q.estimator.Fail(q.clock.Now())
		q.limiter.Release(r.permit, limiter.Neutral, 0)
		if errors.Is(err, multiplexer.ErrStreamLost) {
			q.quarantine.RecordLoss(q.clock.Now(), r.attempt)
			go q.onTargetLost()
		}
		q.quarantine.End(r.attempt, false)
		return
	}
	q.quarantine.End(r.attempt, a.GetStatus() == target.Status_STATUS_DONE)
	q.limiter.Release(r.permit, limitResults[a.GetStatus()], int(a.GetLoad().GetQueue()))
	q.drainingIncarnation = 0
	if a.GetLoad().GetLeaving() {
		q.drainingIncarnation = a.GetIncarnation()
	}
	report := estimator.Report{
		Incarnation: a.GetIncarnation(),
		Queue:       a.GetLoad().GetQueue(),
		Service:     time.Duration(a.GetLoad().GetService()) * time.Microsecond,
	}
	switch a.GetStatus() {
	case target.Status_STATUS_DONE:
		now := q.clock.Now()
		q.estimator.Answer(now, r.ticket, report)
		q.onLatency(now.Sub(r.sent), q.estimator.Service())
	case target.Status_STATUS_FAILED:
		q.estimator.Fail(q.clock.Now())
	default:
		q.estimator.Shed(q.clock.Now(), report)
	}
}

// limitResults maps the status of an answer to what it says about the limit. An
// expired request says nothing: it may have been sent shortly before its
// deadline.
var limitResults = map[target.Status]limiter.Result{
	target.Status_STATUS_DONE: limiter.Success,
	target.Status_STATUS_SHED: limiter.Shed,
}

// expectedLatency returns when one more request would be answered, its wait here
// included.
func (q *targetQueue) expectedLatency(now time.Time) time.Duration {
	q.mu.Lock()
	waiting := len(q.waiting)
	q.mu.Unlock()
	return q.estimator.ExpectedLatency(now) + q.estimator.Service()*time.Duration(waiting)/time.Duration(q.slots)
}

// draining returns the incarnation of the target that is draining and still
// connected.
func (q *targetQueue) draining() (incarnation uint64, draining bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.link.Connected() {
		q.drainingIncarnation = 0
	}
	return q.drainingIncarnation, q.drainingIncarnation != 0
}

// hasRequests reports whether requests wait or fly.
func (q *targetQueue) hasRequests() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.waiting) > 0 || len(q.inFlight) > 0
}

// close ends the link to the target.
func (q *targetQueue) close() {
	q.link.Close()
	q.limiter.Close()
}
