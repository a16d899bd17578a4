package scatterer

import (
	"context"
	"errors"
	"strconv"
	"time"

	"plantaincleat/entryd/pkg/cataloger"
	"plantaincleat/entryd/pkg/estimator"
	"plantaincleat/entryd/pkg/requester"
	"plantaincleat/entryd/pkg/router"
	"plantaincleat/tier/gen/peer"
)

// attempt is one sub-request in flight.
type attempt struct {
	nonce  uint64
	unit   int
	target *cataloger.Target
	ticket estimator.Ticket
	cancel context.CancelFunc
	log    *Attempt
}

// lingers reports whether the attempt is to run to its end though its answer is
// not needed any more.
func (a *attempt) lingers() bool {
	return a.target.Gauge().Service() <= lingerFactor*a.target.Link().Connects()
}

// start sends a unit to a target.
func (j *job) start(action router.Action[*cataloger.Replica]) {
	now := j.Clock.Now()
	unit := action.Units[0]
	target := action.Path.Target
	ctx, cancel := context.WithDeadline(j.ctx, j.request.Deadline)
	a := &attempt{
		nonce:  action.Nonce,
		unit:   unit,
		target: target,
		ticket: target.Gauge().Send(now),
		cancel: cancel,
		log: &Attempt{
			Shard:  j.pools[unit].Name(),
			Target: target.ID(),
			Hedge:  action.Hedge,
			Start:  now.Sub(j.request.Received),
			Result: "open",
		},
	}
	j.open[a.nonce] = a
	j.attempts = append(j.attempts, a)
	go j.send(ctx, a)
}

// send runs an attempt to its end.
func (j *job) send(ctx context.Context, a *attempt) {
	defer a.cancel()
	begin := j.Clock.Now()
	answer, err := a.target.Link().Do(ctx, &requester.Request{
		ID:       j.request.ID,
		Method:   j.request.Method,
		Path:     j.request.Path,
		Host:     j.request.Host,
		Header:   j.request.Header,
		Body:     j.request.Body,
		Target:   a.target.ID(),
		Deadline: j.request.Deadline,
	})
	now := j.Clock.Now()
	j.note(ctx, a, answer, err, begin, now)
	select {
	case j.events <- event{
		attempt: a,
		answer:  answer,
		err:     err,
		took:    now.Sub(begin),
	}:
	default:
		if answer != nil && answer.Rest != nil {
			_ = answer.Rest.Close()
		}
	}
}

// note lets the target's estimator learn from an attempt.
func (j *job) note(ctx context.Context, a *attempt, answer *requester.Answer, err error, begin, now time.Time) {
	gauge := a.target.Gauge()
	switch {
	case err == nil && answer.Status >= 500:
		gauge.Fail()
	case err == nil:
		gauge.Answer(now, a.ticket, estimator.Report{Incarnation: 1})
		latency := now.Sub(begin)
		j.route.Pace().Add(now.Sub(origin), latency, gauge.Service())
	case errors.Is(err, requester.ErrMisplaced):
		a.target.Misplaced()
		gauge.Fail()
	case errors.Is(err, requester.ErrUnrun):
		gauge.Shed(now, estimator.Report{Incarnation: 1})
	case errors.Is(err, requester.ErrBusy), ctx.Err() != nil:
		gauge.Drop()
	default:
		gauge.Fail()
	}
}

// origin is a fixed time from which offsets are counted.
var origin = time.Now()

// reasonOf returns the reason that an error stands for.
func reasonOf(err error) peer.Reason {
	switch {
	case errors.Is(err, requester.ErrMisplaced):
		return peer.Reason_REASON_LEAVING
	case errors.Is(err, requester.ErrUnrun), errors.Is(err, requester.ErrBusy):
		return peer.Reason_REASON_SHED
	case errors.Is(err, requester.ErrUnsent):
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
