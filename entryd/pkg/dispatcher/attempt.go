package dispatcher

import (
	"errors"
	"time"

	"plantaincleat/tier/gen/peer"
	"plantaincleat/tier/gen/target"
)

const (
	// busyRetryAfter is the suggested wait before a retry if a target refused the
	// request, the deadline passed, or another attempt holds the key.
	busyRetryAfter = time.Second
	// storeRetryAfter is the suggested wait before a retry if the key could not be
	// claimed, for example because the key-value service failed.
	storeRetryAfter = 2 * time.Second
)

// phase is the progress of an attempt.
type phase uint8

const (
	// phaseClaiming means that the key has not been granted yet.
	phaseClaiming phase = iota
	// phaseSent means that the request may have been sent to the target.
	phaseSent
	// phaseReleasing means that the request was not and will not be executed by
	// this attempt, and that the key must be released.
	phaseReleasing
	// phaseRecording means that the outcome must be recorded.
	phaseRecording
	// phaseEnded means that nothing is left to do.
	phaseEnded
)

// Action tells the caller of an Attempt what to do after an event.
type Action struct {
	// Dispatch requests that the request is sent to the target once.
	Dispatch bool
	// FollowUp is the kind of a claim to send until it is decided: a release or a
	// record. Zero means none.
	FollowUp peer.ClaimKind
	// Reply is the answer to the caller, or nil if none is due.
	Reply *Result
}

// Attempt is the deterministic state machine for one send of a request. It
// returns Dispatch at most once, and never after a release. It is not safe for
// concurrent use.
type Attempt struct {
	number   uint32
	deadline time.Time
	phase    phase
	replied  bool
	outcome  *target.Outcome
}

// NewAttempt returns an attempt whose key has not been claimed yet.
func NewAttempt(number uint32, deadline time.Time) *Attempt {
	return &Attempt{
		number:   number,
		deadline: deadline,
	}
}

// Outcome returns the outcome to record, or nil before there is one.
func (a *Attempt) Outcome() *target.Outcome { return a.outcome }

// HandleClaim processes the answer to the claim of the key. now must be read
// after the answer arrived, since the attempt dispatches only before its deadline.
func (a *Attempt) HandleClaim(now time.Time, r *peer.ClaimResult) Action {
	if a.phase == phaseReleasing {
		return a.handleLateClaim(r)
	}
	if a.phase != phaseClaiming {
		return Action{}
	}
	switch r.GetVerdict() {
	case peer.Verdict_VERDICT_GRANTED:
		return a.dispatchOrRelease(now)
	case peer.Verdict_VERDICT_RECORDED:
		return a.end(Result{
			Kind:     KindDone,
			Outcome:  r.GetOutcome(),
			Replayed: true,
		})
	case peer.Verdict_VERDICT_HELD:
		return a.end(Result{
			RetryAfter: busyRetryAfter,
			Reason:     "another attempt holds the request key and has no outcome yet",
		})
	case peer.Verdict_VERDICT_CLOSED:
		return a.end(notExecutedResult("the request key was closed for this attempt number; send a higher number or a new key"))
	case peer.Verdict_VERDICT_MISMATCH:
		return a.end(Result{
			Kind:   KindMismatch,
			Reason: "the request key was used with other content",
		})
	case peer.Verdict_VERDICT_EXPIRED:
		return a.end(Result{
			Kind:   KindExpired,
			Reason: "the request key is older than the retention window",
		})
	case peer.Verdict_VERDICT_REFUSED:
		return a.end(Result{
			Kind:   KindRefused,
			Reason: "the request key is not a UUIDv7 of about the present time",
		})
	case peer.Verdict_VERDICT_UNAVAILABLE:
		return a.end(a.unclaimedResult("the key-value service is unavailable"))
	}
	return a.releaseUnknown("the claim of the request key was not answered; the key may have been claimed")
}

// dispatchOrRelease dispatches the request, or releases the key if the deadline
// has passed meanwhile, for example because the process was paused.
func (a *Attempt) dispatchOrRelease(now time.Time) Action {
	if now.Before(a.deadline) {
		a.phase = phaseSent
		return Action{Dispatch: true}
	}
	a.phase = phaseReleasing
	return a.reply(notExecutedResult("the deadline passed before the request was sent to the target"), peer.ClaimKind_CLAIM_KIND_RELEASE)
}

// handleLateClaim processes the answer to a claim that arrives after the caller
// was answered. The key is released if the claim was or may be written.
func (a *Attempt) handleLateClaim(r *peer.ClaimResult) Action {
	switch r.GetVerdict() {
	case peer.Verdict_VERDICT_GRANTED, peer.Verdict_VERDICT_UNKNOWN, peer.Verdict_VERDICT_UNSPECIFIED:
		return Action{FollowUp: peer.ClaimKind_CLAIM_KIND_RELEASE}
	}
	a.phase = phaseEnded
	return Action{}
}

// releaseUnknown releases the key of a claim that may still be written. The
// caller of attempt 1 is answered at once, because no earlier attempt exists.
// The callers of other attempts are answered by HandleRelease.
func (a *Attempt) releaseUnknown(reason string) Action {
	a.phase = phaseReleasing
	if a.number == 1 {
		return a.reply(a.unclaimedResult(reason), peer.ClaimKind_CLAIM_KIND_RELEASE)
	}
	return Action{FollowUp: peer.ClaimKind_CLAIM_KIND_RELEASE}
}

// HandleRelease processes the answer to a release.
func (a *Attempt) HandleRelease(r *peer.ClaimResult) Action {
	if a.phase != phaseReleasing {
		return Action{}
	}
	a.phase = phaseEnded
	switch r.GetVerdict() {
	case peer.Verdict_VERDICT_CLOSED:
		return a.reply(notExecutedResult("the claim was not answered; the request key was released"), 0)
	case peer.Verdict_VERDICT_RECORDED:
		return a.reply(Result{
			Kind:     KindDone,
			Outcome:  r.GetOutcome(),
			Replayed: true,
		}, 0)
	}
	return a.reply(a.unclaimedResult("an earlier attempt may have been executed"), 0)
}

// HandleOutcome processes the answer of the target, or the error of sending to it.
func (a *Attempt) HandleOutcome(key string, out *target.Outcome, err error) Action {
	if a.phase != phaseSent {
		return Action{}
	}
	switch {
	case errors.Is(err, ErrNotSent):
		a.phase = phaseReleasing
		return a.reply(notExecutedResult(err.Error()), peer.ClaimKind_CLAIM_KIND_RELEASE)
	case err != nil:
		return a.end(Result{Reason: err.Error()})
	case out.GetKey() != key:
		return a.end(Result{Reason: "the target answered with the key of another request"})
	case refusedBeforeExecution(out.GetStatus()):
		a.phase = phaseReleasing
		return a.reply(notExecutedResult("the target refused the request: "+out.GetStatus().String()), peer.ClaimKind_CLAIM_KIND_RELEASE)
	case out.GetStatus() == target.Status_STATUS_UNSPECIFIED:
		return a.end(Result{Reason: "the target answered without a status"})
	}
	a.phase = phaseRecording
	a.outcome = out
	return a.reply(Result{
		Kind:    KindDone,
		Outcome: out,
	}, peer.ClaimKind_CLAIM_KIND_RECORD)
}

// refusedBeforeExecution reports whether a status means that the target did not
// start to execute the request.
func refusedBeforeExecution(s target.Status) bool {
	switch s {
	case target.Status_STATUS_SHED, target.Status_STATUS_LEAVING, target.Status_STATUS_DROPPED,
		target.Status_STATUS_ABSENT, target.Status_STATUS_CANCELLED, target.Status_STATUS_EXPIRED:
		return true
	}
	return false
}

// HandleDeadline answers the caller if that has not happened yet, and prevents a
// later dispatch. Events that follow are still processed.
func (a *Attempt) HandleDeadline() Action {
	if a.phase == phaseClaiming {
		a.phase = phaseReleasing
		return a.reply(a.unclaimedResult("the request key was not claimed before the deadline"), 0)
	}
	return a.reply(Result{
		RetryAfter: busyRetryAfter,
		Reason:     "the target returned no outcome before the deadline",
	}, 0)
}

// end finishes the attempt and answers the caller.
func (a *Attempt) end(r Result) Action {
	a.phase = phaseEnded
	return a.reply(r, 0)
}

// reply returns an action with the follow-up claim, and with the result unless
// the caller was answered before.
func (a *Attempt) reply(r Result, followUp peer.ClaimKind) Action {
	act := Action{FollowUp: followUp}
	if !a.replied {
		a.replied = true
		act.Reply = &r
	}
	return act
}

// unclaimedResult returns the result of an attempt that never held the key. Only
// attempt 1 knows that no other attempt was executed.
func (a *Attempt) unclaimedResult(reason string) Result {
	r := Result{
		RetryAfter: storeRetryAfter,
		Reason:     reason,
	}
	if a.number == 1 {
		r.Kind = KindNotExecuted
	}
	return r
}

// notExecutedResult returns a result of kind KindNotExecuted.
func notExecutedResult(reason string) Result {
	return Result{
		Kind:       KindNotExecuted,
		RetryAfter: busyRetryAfter,
		Reason:     reason,
	}
}
