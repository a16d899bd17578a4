package scatterer

import (
	"context"
	"errors"
	"slices"
	"strconv"
	"time"

	"go.opentelemetry.io/otel/attribute"

	"plantaincleat/entryd/pkg/estimator"
	"plantaincleat/entryd/pkg/httpsender"
	"plantaincleat/entryd/pkg/router"
	"plantaincleat/tier/gen/peer"
	"plantaincleat/tier/pkg/tracer"
)

// lingerFactor times the time to connect is the service time up to which an
// attempt that is not needed any more runs to its end: closing its connection
// would cost the target more.
const lingerFactor = 2

// attempt is one sub-request in flight.
type attempt struct {
	nonce  uint64
	units  []int
	path   path
	ticket estimator.Ticket
	cancel context.CancelFunc
	// dequeue ends the wait for a connection.
	dequeue context.CancelFunc
	// gate is entered before a target is sent anything.
	gate httpsender.Gate
	// unrun is true if the attempt has ended without having run.
	unrun bool
	// again is true if a unit was sent before.
	again bool
	// withdrawn is true once a unit was sent again before the owner accepted it.
	withdrawn bool
	// accepted is true once the owner's acknowledgement was taken in.
	accepted bool
	// acknowledged is set by the goroutine that talks to the owner.
	acknowledged bool
	// accept tells the owner that its acknowledgement was taken in.
	accept func()
	log    *Attempt
}

// lingers reports whether the attempt is to run to its end though its answer is
// not needed any more.
func (a *attempt) lingers() bool {
	if a.path.owner != nil {
		return false
	}
	return a.path.replica.Estimator().Service() <= lingerFactor*a.path.replica.Client().Connects()
}

// start sends units on a path.
func (j *job) start(action router.Action[path]) {
	now := j.Clock.Now()
	ctx, cancel := context.WithDeadline(j.ctx, j.request.Deadline)
	queue, dequeue := context.WithCancel(ctx)
	a := &attempt{
		nonce:   action.Nonce,
		units:   action.Units,
		path:    action.Path,
		cancel:  cancel,
		dequeue: dequeue,
		log: &Attempt{
			Hedge:  action.Hedge,
			Start:  now.Sub(j.request.Received),
			Result: "open",
		},
	}
	for _, u := range a.units {
		a.again = a.again || j.query.Resent(u)
	}
	j.withdraw(a)
	j.open[a.nonce] = a
	j.attempts = append(j.attempts, a)
	if o := action.Path.owner; o != nil {
		a.log.Shard = strconv.Itoa(len(a.units)) + " shards"
		a.log.Target = o.id
		a.ticket = o.acks.Send(now)
		go j.delegate(ctx, a)
		return
	}
	pool := j.pools[a.units[0]]
	a.log.Shard = pool.Name()
	a.log.Target = action.Path.replica.ID()
	a.ticket = action.Path.replica.Estimator().Send(now)
	if !a.again {
		pool.Budget().Asked()
	}
	go j.send(ctx, queue, a)
}

// withdraw cancels what was sent to owners that have not acknowledged it, if a
// unit of it is sent again: what they may still ask the targets would come on top
// of the attempts that the route allows.
func (j *job) withdraw(again *attempt) {
	if !again.again {
		return
	}
	for _, a := range j.open {
		if a.path.owner != nil && !a.accepted && slices.ContainsFunc(a.units, func(u int) bool { return slices.Contains(again.units, u) }) {
			a.withdrawn = true
			a.cancel()
		}
	}
}

// lossOf returns the reason that an error of an owner stands for. One that was
// not told that its acknowledgement was taken in has asked one target of each
// shard at most.
func (a *attempt) lossOf(err error) peer.Reason {
	if !a.accepted && !unrun(err) {
		return peer.Reason_REASON_UNACKNOWLEDGED
	}
	return reasonOf(err)
}

// send asks a target.
func (j *job) send(ctx, queue context.Context, a *attempt) {
	defer a.cancel()
	begin := j.Clock.Now()
	target := a.path.replica.Target
	answer, err := target.Client().Do(ctx, queue, &httpsender.Request{
		ID:       j.request.ID,
		Method:   j.request.Method,
		Path:     j.request.Path,
		Host:     j.request.Host,
		Header:   j.request.Header,
		Body:     j.request.Body,
		Target:   target.ID(),
		Deadline: j.request.Deadline,
		Goal:     j.goal.Add(-target.Estimator().Service()),
		Gate:     &a.gate,
	})
	now := j.Clock.Now()
	j.note(ctx, a, answer, err, begin, now)
	j.trace(a, begin, now)
	sent := j.report(event{
		attempt: a,
		answer:  answer,
		last:    true,
		err:     err,
		took:    now.Sub(begin),
	})
	if !sent && answer != nil && answer.Rest != nil {
		_ = answer.Rest.Close()
	}
}

// trace records the span of an attempt.
func (j *job) trace(a *attempt, begin, end time.Time) {
	if tracer.Sampled(j.ctx) {
		tracer.RecordSpan(j.ctx, "attempt", begin, end,
			attribute.String("target", a.log.Target), attribute.Bool("hedge", a.log.Hedge))
	}
}

// report hands an event to the job, unless that has ended.
func (j *job) report(e event) bool {
	select {
	case j.events <- e:
		return true
	default:
		return false
	}
}

// note lets the target's estimator learn from an attempt.
func (j *job) note(ctx context.Context, a *attempt, answer *httpsender.Answer, err error, begin, now time.Time) {
	target := a.path.replica.Target
	gauge := target.Estimator()
	switch {
	case err == nil && answer.Status >= 500:
		gauge.Fail(now)
	case err == nil:
		gauge.Answer(now, a.ticket, estimator.Report{Incarnation: 1})
		j.route.Pace().Add(now.Sub(origin), now.Sub(begin), gauge.Service())
	case errors.Is(err, httpsender.ErrWrongTarget):
		target.Misplaced()
		gauge.Fail(now)
	case errors.Is(err, httpsender.ErrNotExecuted):
		gauge.Shed(now, estimator.Report{Incarnation: 1})
	case errors.Is(err, httpsender.ErrBusy), errors.Is(err, context.Canceled), ctx.Err() != nil:
		gauge.Drop()
	default:
		gauge.Fail(now)
	}
}

// origin is a fixed time from which offsets are counted.
var origin = time.Now()

// reasonOf returns the reason that an error stands for.
func reasonOf(err error) peer.Reason {
	switch {
	case errors.Is(err, httpsender.ErrWrongTarget):
		return peer.Reason_REASON_LEAVING
	case errors.Is(err, httpsender.ErrNotExecuted), errors.Is(err, httpsender.ErrBusy):
		return peer.Reason_REASON_SHED
	case errors.Is(err, httpsender.ErrNotSent):
		return peer.Reason_REASON_UNREACHABLE
	}
	return peer.Reason_REASON_FAILED
}

// resultOf describes the end of an attempt in logs.
func resultOf(e event) string {
	if e.err != nil {
		return e.err.Error()
	}
	return "status " + strconv.Itoa(e.answer.Status)
}
