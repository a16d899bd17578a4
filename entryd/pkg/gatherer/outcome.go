package gatherer

import (
	"errors"
	"time"

	"go.opentelemetry.io/otel/attribute"

	"plantaincleat/entryd/pkg/multiplexer"
	"plantaincleat/entryd/pkg/router"
	"plantaincleat/tier/gen/peer"
	"plantaincleat/tier/gen/target"
	"plantaincleat/tier/pkg/tracer"
)

// receive handles the reply to one sub-request.
func (j *job) receive(r reply) {
	now := j.gatherer.clock.Now()
	sub := j.pending[r.nonce]
	if sub == nil {
		j.apply(j.query.FailAttempt(r.nonce, peer.Reason_REASON_UNREACHABLE, now))
		return
	}
	delete(j.pending, r.nonce)
	reason := j.evaluate(sub, r)
	if reason == peer.Reason_REASON_UNSPECIFIED {
		j.apply(j.query.Answer(r.nonce, []int{sub.unit}, nil, true, now))
		return
	}
	j.apply(j.query.Answer(r.nonce, nil, []router.MissingUnit{{
		Unit:   sub.unit,
		Reason: reason,
	}}, true, now))
}

// evaluate verifies and merges the answer to a sub-request. It returns
// REASON_UNSPECIFIED if the answer covers the unit, and otherwise the reason why it does
// not.
func (j *job) evaluate(sub *subRequest, r reply) peer.Reason {
	counts := &j.gatherer.counts
	if r.err != nil {
		j.recordAttempt(sub, target.Status_STATUS_UNSPECIFIED, r)
		switch {
		case errors.Is(r.err, errQueueFull):
			counts.Sheds.Add(1)
			return peer.Reason_REASON_SHED
		case errors.Is(r.err, errQuarantined):
			return peer.Reason_REASON_QUARANTINED
		}
		if errors.Is(r.err, multiplexer.ErrStreamLost) {
			counts.LostAttempts.Add(1)
			j.crashed = append(j.crashed, sub.queue.id)
		}
		return peer.Reason_REASON_UNREACHABLE
	}
	a := r.answer
	j.recordAttempt(sub, a.GetStatus(), r)
	if a.GetLoad().GetLeaving() {
		j.gatherer.drainTracker.Announce(sub.queue.id, a.GetIncarnation())
	}
	if a.GetStatus() != target.Status_STATUS_DONE {
		if a.GetStatus() == target.Status_STATUS_SHED {
			counts.Sheds.Add(1)
		}
		if reason, ok := reasonByStatus[a.GetStatus()]; ok {
			return reason
		}
		return peer.Reason_REASON_FAILED
	}
	shard := j.wanted[sub.unit].GetShard()
	if a.GetTarget() != sub.queue.id || a.GetShard() != shard || (a.GetQuery() != 0 && a.GetQuery() != j.queryHash) {
		counts.Mismatched.Add(1)
		return peer.Reason_REASON_UNREACHABLE
	}
	if err := j.merged.Merge(a.GetSnapshot(), []string{shard}, a.GetRecords()); err != nil {
		counts.Mismatched.Add(1)
		sub.attempt.Error = err.Error()
		return peer.Reason_REASON_UNREACHABLE
	}
	j.newlyCovered = append(j.newlyCovered, shard)
	return peer.Reason_REASON_UNSPECIFIED
}

// reasonByStatus maps the status of an answer to the reason why its unit is missing.
var reasonByStatus = map[target.Status]peer.Reason{
	target.Status_STATUS_UNSPECIFIED: peer.Reason_REASON_FAILED,
	target.Status_STATUS_SHED:        peer.Reason_REASON_SHED,
	target.Status_STATUS_LEAVING:     peer.Reason_REASON_LEAVING,
	target.Status_STATUS_DROPPED:     peer.Reason_REASON_DROPPED,
	target.Status_STATUS_ABSENT:      peer.Reason_REASON_UNREACHABLE,
	target.Status_STATUS_CANCELLED:   peer.Reason_REASON_FAILED,
	target.Status_STATUS_FAILED:      peer.Reason_REASON_FAILED,
	target.Status_STATUS_EXPIRED:     peer.Reason_REASON_LATE,
}

// recordAttempt completes the record of a sub-request that has ended.
func (j *job) recordAttempt(sub *subRequest, status target.Status, r reply) {
	sub.attempt.Status = status
	sub.attempt.End = j.gatherer.clock.Since(j.start).Microseconds()
	if !r.sent.IsZero() && !errors.Is(r.err, multiplexer.ErrNotSent) {
		sub.attempt.Sent = max(r.sent.Sub(j.start).Microseconds(), 1)
		j.sent++
	}
	if r.err != nil {
		sub.attempt.Error = r.err.Error()
	}
	j.recordSpan(sub)
}

// recordSpan records a sub-request that has ended as a span of the trace, if the trace is
// sampled.
func (j *job) recordSpan(sub *subRequest) {
	if !tracer.Sampled(j.ctx) {
		return
	}
	start := j.start.Add(time.Duration(sub.attempt.GetStart()) * time.Microsecond)
	end := j.start.Add(time.Duration(sub.attempt.GetEnd()) * time.Microsecond)
	tracer.RecordSpan(j.ctx, "subrequest", start, end,
		attribute.String("target", sub.attempt.GetTarget()),
		attribute.String("shard", sub.attempt.GetShard()),
		attribute.String("status", sub.attempt.GetStatus().String()))
}
