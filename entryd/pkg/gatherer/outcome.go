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

// receive handles what became of one sub-request.
func (j *job) receive(r reply) {
	now := j.gatherer.clock.Now()
	f := j.flights[r.nonce]
	if f == nil {
		j.apply(j.query.FailAttempt(r.nonce, peer.Reason_REASON_UNREACHABLE, now))
		return
	}
	delete(j.flights, r.nonce)
	reason := j.judge(f, r)
	if reason == peer.Reason_REASON_UNSPECIFIED {
		j.apply(j.query.Answer(r.nonce, []int{f.unit}, nil, true, now))
		return
	}
	j.apply(j.query.Answer(r.nonce, nil, []router.MissingUnit{{
		Unit:   f.unit,
		Reason: reason,
	}}, true, now))
}

// judge verifies and merges an answer. It returns why the answer does not
// count, or REASON_UNSPECIFIED if it does.
func (j *job) judge(f *flight, r reply) peer.Reason {
	counts := &j.gatherer.counts
	if r.err != nil {
		j.conclude(f, target.Status_STATUS_UNSPECIFIED, r)
		switch {
		case errors.Is(r.err, errWaiting):
			counts.Sheds.Add(1)
			return peer.Reason_REASON_SHED
		case errors.Is(r.err, errQuarantined):
			return peer.Reason_REASON_QUARANTINED
		}
		if errors.Is(r.err, multiplexer.ErrStreamLost) {
			counts.LostAttempts.Add(1)
			j.crashed = append(j.crashed, f.lane.id)
		}
		return peer.Reason_REASON_UNREACHABLE
	}
	a := r.answer
	j.conclude(f, a.GetStatus(), r)
	if a.GetLoad().GetLeaving() {
		j.gatherer.drainTracker.Announce(f.lane.id, a.GetIncarnation())
	}
	if a.GetStatus() != target.Status_STATUS_DONE {
		if a.GetStatus() == target.Status_STATUS_SHED {
			counts.Sheds.Add(1)
		}
		if reason, ok := reasons[a.GetStatus()]; ok {
			return reason
		}
		return peer.Reason_REASON_FAILED
	}
	shard := j.wanted[f.unit].GetShard()
	if a.GetTarget() != f.lane.id || a.GetShard() != shard || (a.GetQuery() != 0 && a.GetQuery() != j.digest) {
		counts.Mismatched.Add(1)
		return peer.Reason_REASON_UNREACHABLE
	}
	if err := j.merged.Merge(a.GetSnapshot(), []string{shard}, a.GetRecords()); err != nil {
		counts.Mismatched.Add(1)
		f.attempt.Error = err.Error()
		return peer.Reason_REASON_UNREACHABLE
	}
	j.fresh = append(j.fresh, shard)
	return peer.Reason_REASON_UNSPECIFIED
}

var reasons = map[target.Status]peer.Reason{
	target.Status_STATUS_UNSPECIFIED: peer.Reason_REASON_FAILED,
	target.Status_STATUS_SHED:        peer.Reason_REASON_SHED,
	target.Status_STATUS_LEAVING:     peer.Reason_REASON_LEAVING,
	target.Status_STATUS_DROPPED:     peer.Reason_REASON_DROPPED,
	target.Status_STATUS_ABSENT:      peer.Reason_REASON_UNREACHABLE,
	target.Status_STATUS_CANCELLED:   peer.Reason_REASON_FAILED,
	target.Status_STATUS_FAILED:      peer.Reason_REASON_FAILED,
	target.Status_STATUS_EXPIRED:     peer.Reason_REASON_LATE,
}

func (j *job) conclude(f *flight, status target.Status, r reply) {
	f.attempt.Status = status
	f.attempt.End = j.gatherer.clock.Since(j.start).Microseconds()
	if !r.sent.IsZero() && !errors.Is(r.err, multiplexer.ErrNotSent) {
		f.attempt.Sent = max(r.sent.Sub(j.start).Microseconds(), 1)
		j.sent++
	}
	if r.err != nil {
		f.attempt.Error = r.err.Error()
	}
	j.span(f)
}

// span records a concluded sub-request as a hop of the trace.
func (j *job) span(f *flight) {
	if !tracer.Sampled(j.ctx) {
		return
	}
	start := j.start.Add(time.Duration(f.attempt.GetStart()) * time.Microsecond)
	end := j.start.Add(time.Duration(f.attempt.GetEnd()) * time.Microsecond)
	tracer.RecordSpan(j.ctx, "subrequest", start, end,
		attribute.String("target", f.attempt.GetTarget()),
		attribute.String("shard", f.attempt.GetShard()),
		attribute.String("status", f.attempt.GetStatus().String()))
}
