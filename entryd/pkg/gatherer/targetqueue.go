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

// waitingPerSlot bounds the number of waiting requests per slot of the target. Requests
// above the limit of the target wait in this daemon, where cancelling them costs
// nothing.
const waitingPerSlot = 32

// reply is the outcome of one request to a target: an answer or an error.
type reply struct {
	nonce  uint64
	answer *target.Answer
	err    error
	// sent is the time at which the request was sent to the target, zero if it was
	// not sent.
	sent time.Time
}

// Errors of requests that were not sent.
var (
	errQueueFull      = errors.New("not sent: too many requests are waiting for the target")
	errMayCrashTarget = errors.New("not sent: the request may have crashed this target before")
	errQuarantined    = errors.New("not sent: the request is quarantined")
)

// retryPause is the time after which waiting requests are tried again when the
// quarantine permits none of them to be sent yet, for example while a suspected request
// runs alone on the target.
const retryPause = 2 * time.Millisecond

// request is one search request to a target, waiting or in flight.
type request struct {
	nonce       uint64
	search      *target.Search
	deadline    time.Time
	fingerprint uint64
	institution string
	// sink receives the reply. It is not called after the request was cancelled.
	sink func(reply)

	// The fields below are set when the request is sent.
	sent    time.Time
	ticket  estimator.Ticket
	permit  limiter.Permit
	attempt quarantiner.Attempt
}

// targetQueue is the queue of this gatherer for one target. It is safe for concurrent
// use.
type targetQueue struct {
	id         string
	address    string
	slots      int
	clock      clockwork.Clock
	link       *multiplexer.TargetLink
	estimator  *estimator.Estimator
	limiter    *limiter.Limiter
	quarantine *quarantiner.Target
	// onTargetLost is called after the connection to the target was lost while a
	// request was in flight.
	onTargetLost func()
	// onLatency is called with the latency of each completed request and the
	// service time of the target.
	onLatency func(latency, service time.Duration)

	mu sync.Mutex
	// waiting holds the requests that were not sent yet, oldest first.
	waiting  []*request
	inFlight map[uint64]*request
	// sendScheduled is true while a call of sendWaiting is scheduled.
	sendScheduled bool
	// drainingIncarnation is the incarnation of the target that has reported that it is
	// draining, or zero.
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

// submit sends a request now or once the target has capacity. If too many requests are
// waiting, it refuses the request with errQueueFull.
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

// cancel removes a request, and cancels it at the target if it was sent. late reports
// that the deadline of the request has passed. It returns the time at which the request
// was sent, zero if it was not sent.
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

// cancelResult returns the result that a cancelled request in flight has for the limiter.
// A late request may have been sent shortly before its deadline, so it counts as a
// time-out only if the target is suspected.
func (q *targetQueue) cancelResult(late bool) limiter.Result {
	if late && q.estimator.Suspected() {
		return limiter.Timeout
	}
	return limiter.Neutral
}

// removeWaiting removes a request from the waiting ones. The caller holds q.mu.
func (q *targetQueue) removeWaiting(nonce uint64) {
	for i, r := range q.waiting {
		if r.nonce == nonce {
			q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
			return
		}
	}
}

// sendWaiting sends waiting requests as long as the target has capacity.
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

// nextToSend removes and returns the oldest waiting request that the quarantine permits,
// or nil if there is none or the target has no capacity. If the error is not nil, the
// returned request is refused with it.
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

// refusalErrors maps the quarantine decisions that refuse a request to errors.
var refusalErrors = map[quarantiner.Decision]error{
	quarantiner.Avoid:  errMayCrashTarget,
	quarantiner.Denied: errQuarantined,
}

// scheduleSend schedules a call of sendWaiting after retryPause, unless one is scheduled
// already. The caller holds q.mu.
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

// receive handles the outcome of a request in flight. Outcomes of cancelled requests are
// ignored.
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

// recordAnswer updates the estimator, the limiter and the quarantine with the outcome of a
// request. The caller holds q.mu.
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

// limitResults maps the status of an answer to its result for the limiter. All other
// statuses are neutral. This includes expired requests, which may have been sent shortly
// before their deadline.
var limitResults = map[target.Status]limiter.Result{
	target.Status_STATUS_DONE: limiter.Success,
	target.Status_STATUS_SHED: limiter.Shed,
}

// expectedLatency returns the expected latency of one more request, including its wait in
// this queue.
func (q *targetQueue) expectedLatency(now time.Time) time.Duration {
	q.mu.Lock()
	waiting := len(q.waiting)
	q.mu.Unlock()
	return q.estimator.ExpectedLatency(now) + q.estimator.Service()*time.Duration(waiting)/time.Duration(q.slots)
}

// draining reports whether the target is draining and still connected, and returns its
// incarnation.
func (q *targetQueue) draining() (incarnation uint64, draining bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.link.Connected() {
		q.drainingIncarnation = 0
	}
	return q.drainingIncarnation, q.drainingIncarnation != 0
}

// hasRequests reports whether requests are waiting or in flight.
func (q *targetQueue) hasRequests() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.waiting) > 0 || len(q.inFlight) > 0
}

// close closes the link to the target and its limiter.
func (q *targetQueue) close() {
	q.link.Close()
	q.limiter.Close()
}
