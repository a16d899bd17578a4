package scatterer

import (
	"context"
	"errors"
	"fmt"
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

// lingerFactor times the connect time of a target is the service time up to which an
// attempt that is no longer needed runs to its end. Cancelling it closes the
// connection, and a new connection would cost the target more than the answer.
const lingerFactor = 2

// attempt is a sub-request in flight.
type attempt struct {
	nonce  uint64
	units  []int
	dest   destination
	ticket estimator.Ticket
	cancel context.CancelFunc
	// cancelQueue ends the wait for a connection.
	cancelQueue context.CancelFunc
	// gate is entered before anything is sent to a target.
	gate httpsender.Gate
	// notExecuted is true if the attempt has ended and was certainly not executed.
	notExecuted bool
	// trial is true for the trial of a suspected request. The units that wait for the first one
	// are sent once that is answered, which ends the suspicion.
	trial bool
	// expired is true if the attempt has ended with the deadline and may have been executed.
	expired bool
	// resent is true if one of the units was sent before.
	resent bool
	// withdrawn is true once a unit was sent again before the owner was accepted.
	withdrawn bool
	// endedBefore is the number of targets of the unit that had ended when the attempt
	// was started. It is only set for attempts at targets.
	endedBefore int
	// accepted is true once the job has processed the owner's acknowledgement.
	accepted bool
	// acknowledged is true once the owner has acknowledged the request. Only the
	// goroutine that communicates with the owner uses it.
	acknowledged bool
	// sendAccepted tells the owner that its acknowledgement was processed, and sendAbandoned
	// that the caller has left. They are set once the owner has acknowledged the request.
	sendAccepted, sendAbandoned func()
	log                         *Attempt
}

// lingers reports whether the attempt should run to its end although its answer is no
// longer needed. What a trial shows is needed in any case.
func (a *attempt) lingers() bool {
	if a.dest.owner != nil {
		return false
	}
	return a.trial || a.dest.replica.Estimator().Service() <= lingerFactor*a.dest.replica.Client().ConnectTime()
}

// startAttempt sends units to the destination of an action.
func (j *job) startAttempt(action router.Action[destination]) {
	now := j.Clock.Now()
	ctx, cancel := context.WithDeadline(j.ctx, j.request.Deadline)
	queue, cancelQueue := context.WithCancel(ctx)
	a := &attempt{
		nonce:       action.Nonce,
		units:       action.Units,
		dest:        action.Path,
		cancel:      cancel,
		cancelQueue: cancelQueue,
		trial:       j.inTrial(),
		log: &Attempt{
			Hedge:  action.Hedge,
			Start:  now.Sub(j.request.Received),
			Result: "open",
		},
	}
	for _, u := range a.units {
		a.resent = a.resent || j.query.Resent(u)
	}
	j.withdraw(a)
	j.open[a.nonce] = a
	j.attempts = append(j.attempts, a)
	if o := action.Path.owner; o != nil {
		a.log.Shard = strconv.Itoa(len(a.units)) + " shards"
		a.log.Target = o.id
		a.ticket = o.ackEstimator.Send(now)
		go j.sendToOwner(ctx, a)
		return
	}
	pool := j.pools[a.units[0]]
	a.log.Shard = pool.Name()
	a.log.Target = action.Path.replica.ID()
	a.endedBefore = j.ended[a.units[0]]
	a.ticket = action.Path.replica.Estimator().Send(now)
	if !a.resent {
		pool.Budget().RecordSent()
	}
	go j.sendToTarget(ctx, queue, a)
}

// withdraw cancels the requests to owners that are not accepted yet and that share a
// unit with an attempt that sends it again. The sub-requests that such an owner may
// still send would come on top of the attempts that the route allows.
func (j *job) withdraw(next *attempt) {
	if !next.resent {
		return
	}
	for _, a := range j.open {
		if a.dest.owner != nil && !a.accepted && slices.ContainsFunc(a.units, func(u int) bool { return slices.Contains(next.units, u) }) {
			a.withdrawn = true
			a.cancel()
		}
	}
}

// ownerFailureReason returns the reason that corresponds to an error of an owner. An
// owner that was not accepted has asked at most one target of each shard.
func (a *attempt) ownerFailureReason(err error) peer.Reason {
	if !a.accepted && !notExecuted(err) {
		return peer.Reason_REASON_UNACKNOWLEDGED
	}
	return reasonOf(err)
}

// sendToTarget sends an attempt to its target and waits for the answer.
func (j *job) sendToTarget(ctx, queue context.Context, a *attempt) {
	defer a.cancel()
	begin := j.Clock.Now()
	target := a.dest.replica.Target
	admitted, quarantined := false, false
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
		Work:     target.Estimator().WaitFor(1),
		Rank:     j.request.Rank,
		Tally:    &j.tally,
		Gate:     &a.gate,
		Admit: func() bool {
			now := j.Clock.Now()
			if quarantined = j.quarantined(now); quarantined {
				return false
			}
			admitted = !target.Ended(now) && target.State().Enter(now)
			if admitted {
				j.recordSent(target)
			}
			return admitted
		},
	})
	if quarantined {
		err = fmt.Errorf("%w: %w", errQuarantined, err)
	}
	j.recordReach(ctx, target, admitted, answer, err)
	err = j.checkEnded(ctx, target, err)
	now := j.Clock.Now()
	paused := answer != nil && j.recordAnnouncement(target, answer, err, begin, now)
	if admitted {
		target.State().Exit(now, answer != nil && !paused)
	}
	if errors.Is(err, httpsender.ErrEnded) {
		j.endedAttempts.Add(1)
		j.crashes.RecordEnd(now, target.ID(), j.plan.Subject())
	}
	j.updateEstimator(ctx, a, answer, err, begin, now)
	j.recordSpan(a, begin, now)
	j.sendEvent(event{
		attempt: a,
		answer:  answer,
		last:    true,
		err:     err,
		took:    now.Sub(begin),
	})
}

// recordSpan records the trace span of an attempt.
func (j *job) recordSpan(a *attempt, begin, end time.Time) {
	if tracer.Sampled(j.ctx) {
		tracer.RecordSpan(j.ctx, "attempt", begin, end,
			attribute.String("target", a.log.Target), attribute.Bool("hedge", a.log.Hedge))
	}
}

// sendEvent sends an event to the job without blocking. The job does not read the channel
// after it has ended: the streams of answers that it does not read are closed.
func (j *job) sendEvent(e event) {
	select {
	case j.events <- e:
	default:
		if e.answer != nil && e.answer.Rest != nil {
			_ = e.answer.Rest.Close()
		}
	}
	if j.finished.Load() {
		j.closeUnread()
	}
}

// updateEstimator records the outcome of an attempt in the estimator of its target.
func (j *job) updateEstimator(ctx context.Context, a *attempt, answer *httpsender.Answer, err error, begin, now time.Time) {
	target := a.dest.replica.Target
	est := target.Estimator()
	switch {
	case err == nil && answer.Status >= 500:
		est.Fail(now)
	case err == nil:
		report, _ := j.report(target, answer, j.request.ID)
		est.Answer(now, a.ticket, report)
		j.route.Latencies().Add(now.Sub(latencyOrigin), now.Sub(begin), est.Service())
	case errors.Is(err, httpsender.ErrWrongTarget):
		target.MarkReplaced()
		est.Fail(now)
	case errors.Is(err, httpsender.ErrNotExecuted):
		report, _ := j.report(target, answer, j.request.ID)
		est.Shed(now, report)
	case errors.Is(err, httpsender.ErrBusy), errors.Is(err, httpsender.ErrNotAdmitted), errors.Is(err, context.Canceled), ctx.Err() != nil:
		est.Drop()
	default:
		est.Fail(now)
	}
}

// latencyOrigin is the fixed time from which the offsets of latency samples count.
var latencyOrigin = time.Now()

// describeResult describes the result of an attempt for logs.
func describeResult(e event) string {
	if e.err != nil {
		return e.err.Error()
	}
	return "status " + strconv.Itoa(e.answer.Status)
}
