package dispatcher

import (
	"errors"
	"time"

	"plantaincleat/tier/gen/peer"
	"plantaincleat/tier/gen/target"
)

const (
	// busyRetryAfter is the wait before a resend if a target or the deadline was
	// the cause.
	busyRetryAfter = time.Second
	// storeRetryAfter is the wait before a resend if the key-value service failed.
	storeRetryAfter = 2 * time.Second
)

// phase is how far an attempt is.
type phase uint8

const (
	// phaseClaiming: the key is not granted.
	phaseClaiming phase = iota
	// phaseSent: the request may have been handed over.
	phaseSent
	// phaseReleasing: the request was not run; the key is to be released.
	phaseReleasing
	// phaseRecording: the outcome is to be recorded.
	phaseRecording
	// phaseEnded: nothing is left to do.
	phaseEnded
)

// Action is what follows from an event of an attempt.
type Action struct {
	// Dispatch asks to hand the request over, once.
	Dispatch bool
	// FollowUp is a claim to send until it is decided: a release or a record.
	FollowUp peer.ClaimKind
	// Reply answers the caller, if set.
	Reply *Result
}

// Attempt decides about one send of a request. It is deterministic. It asks for
// Dispatch at most once, and never after a release.
type Attempt struct {
	number   uint32
	deadline time.Time
	phase    phase
	replied  bool
	outcome  *target.Outcome
}

// NewAttempt returns an attempt that has yet to be claimed.
func NewAttempt(number uint32, deadline time.Time) *Attempt {
	return &Attempt{
		number:   number,
		deadline: deadline,
	}
}

// Outcome returns the outcome to record.
func (a *Attempt) Outcome() *target.Outcome { return a.outcome }

// HandleClaim takes the answer to the claim of the key. now is the time right
// before a dispatch.
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
			Reason:     "another attempt with this key has no outcome yet",
		})
	case peer.Verdict_VERDICT_CLOSED:
		return a.end(notExecutedResult("the key was closed for this attempt; send a higher number or a new key"))
	case peer.Verdict_VERDICT_MISMATCH:
		return a.end(Result{
			Kind:   KindMismatch,
			Reason: "the key was used with other content",
		})
	case peer.Verdict_VERDICT_EXPIRED:
		return a.end(Result{
			Kind:   KindExpired,
			Reason: "the key is older than the retention window",
		})
	case peer.Verdict_VERDICT_REFUSED:
		return a.end(Result{
			Kind:   KindRefused,
			Reason: "the key is not a UUIDv7 of about the present time",
		})
	case peer.Verdict_VERDICT_UNAVAILABLE:
		return a.end(a.unclaimedResult("the key-value service is unavailable"))
	}
	return a.releaseUnknown("whether the key was claimed is not known")
}

// dispatchOrRelease hands the request over unless its time has passed meanwhile, as it
// has if the process was paused.
func (a *Attempt) dispatchOrRelease(now time.Time) Action {
	if now.Before(a.deadline) {
		a.phase = phaseSent
		return Action{Dispatch: true}
	}
	a.phase = phaseReleasing
	return a.reply(notExecutedResult("the deadline passed before dispatch"), peer.ClaimKind_CLAIM_KIND_RELEASE)
}

// handleLateClaim takes the answer to a claim that was given up. A claim that was or may be
// written is released.
func (a *Attempt) handleLateClaim(r *peer.ClaimResult) Action {
	switch r.GetVerdict() {
	case peer.Verdict_VERDICT_GRANTED, peer.Verdict_VERDICT_UNKNOWN, peer.Verdict_VERDICT_UNSPECIFIED:
		return Action{FollowUp: peer.ClaimKind_CLAIM_KIND_RELEASE}
	}
	a.phase = phaseEnded
	return Action{}
}

// releaseUnknown gives up a claim that may yet be written: it is released. The first
// attempt knows that no other one ran. Others are answered by Released.
func (a *Attempt) releaseUnknown(reason string) Action {
	a.phase = phaseReleasing
	if a.number == 1 {
		return a.reply(a.unclaimedResult(reason), peer.ClaimKind_CLAIM_KIND_RELEASE)
	}
	return Action{FollowUp: peer.ClaimKind_CLAIM_KIND_RELEASE}
}

// HandleRelease takes the answer to a release.
func (a *Attempt) HandleRelease(r *peer.ClaimResult) Action {
	if a.phase != phaseReleasing {
		return Action{}
	}
	a.phase = phaseEnded
	switch r.GetVerdict() {
	case peer.Verdict_VERDICT_CLOSED:
		return a.reply(notExecutedResult("the key was released"), 0)
	case peer.Verdict_VERDICT_RECORDED:
		return a.reply(Result{
			Kind:     KindDone,
			Outcome:  r.GetOutcome(),
			Replayed: true,
		}, 0)
	}
	return a.reply(a.unclaimedResult("whether an earlier attempt was run is not known"), 0)
}

// HandleOutcome takes the answer of the target.
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
		return a.end(Result{Reason: "the target answered another request"})
	case refusedBeforeExecution(out.GetStatus()):
		a.phase = phaseReleasing
		return a.reply(notExecutedResult("the target refused: "+out.GetStatus().String()), peer.ClaimKind_CLAIM_KIND_RELEASE)
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

// refusedBeforeExecution reports whether a status states that execution never began.
func refusedBeforeExecution(s target.Status) bool {
	switch s {
	case target.Status_STATUS_SHED, target.Status_STATUS_LEAVING, target.Status_STATUS_DROPPED,
		target.Status_STATUS_ABSENT, target.Status_STATUS_CANCELLED, target.Status_STATUS_EXPIRED:
		return true
	}
	return false
}

// HandleDeadline answers the caller if nothing else has, and forbids a dispatch. Later
// events are still acted on.
func (a *Attempt) HandleDeadline() Action {
	if a.phase == phaseClaiming {
		a.phase = phaseReleasing
		return a.reply(a.unclaimedResult("the key was not claimed before the deadline"), 0)
	}
	return a.reply(Result{
		RetryAfter: busyRetryAfter,
		Reason:     "no outcome before the deadline",
	}, 0)
}

func (a *Attempt) end(r Result) Action {
	a.phase = phaseEnded
	return a.reply(r, 0)
}

// reply answers the caller once.
func (a *Attempt) reply(r Result, follow peer.ClaimKind) Action {
	act := Action{FollowUp: follow}
	if !a.replied {
		a.replied = true
		act.Reply = &r
	}
	return act
}

// unclaimedResult is the answer to an attempt that never held the key.
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

func notExecutedResult(reason string) Result {
	return Result{
		Kind:       KindNotExecuted,
		RetryAfter: busyRetryAfter,
		Reason:     reason,
	}
}
