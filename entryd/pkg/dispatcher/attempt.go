package dispatcher

import (
	"errors"
	"time"

	"plantaincleat/tier/gen/peer"
	"plantaincleat/tier/gen/target"
)

const (
	// retryBusy is the wait before a resend if a target or the deadline was
	// the cause.
	retryBusy = time.Second
	// retryStore is the wait before a resend if the key-value service failed.
	retryStore = 2 * time.Second
)

// stage is how far an attempt is.
type stage uint8

const (
	// stageClaiming: the key is not granted.
	stageClaiming stage = iota
	// stageSent: the request may have been handed over.
	stageSent
	// stageReleasing: the request was not run; the key is to be released.
	stageReleasing
	// stageRecording: the outcome is to be recorded.
	stageRecording
	// stageEnded: nothing is left to do.
	stageEnded
)

// Action is what follows from an event of an attempt.
type Action struct {
	// Dispatch asks to hand the request over, once.
	Dispatch bool
	// Follow is a claim to send until it is decided: a release or a record.
	Follow peer.ClaimKind
	// Reply answers the caller, if set.
	Reply *Result
}

// Attempt decides about one send of a request. It is deterministic. It asks for
// Dispatch at most once, and never after a release.
type Attempt struct {
	number   uint32
	deadline time.Time
	stage    stage
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

// Claimed takes the answer to the claim of the key. now is the time right
// before a dispatch.
func (a *Attempt) Claimed(now time.Time, r *peer.ClaimResult) Action {
	if a.stage == stageReleasing {
		return a.late(r)
	}
	if a.stage != stageClaiming {
		return Action{}
	}
	switch r.GetVerdict() {
	case peer.Verdict_VERDICT_GRANTED:
		return a.granted(now)
	case peer.Verdict_VERDICT_RECORDED:
		return a.end(Result{
			Kind:     KindDone,
			Outcome:  r.GetOutcome(),
			Replayed: true,
		})
	case peer.Verdict_VERDICT_HELD:
		return a.end(Result{
			RetryAfter: retryBusy,
			Reason:     "another attempt with this key has no outcome yet",
		})
	case peer.Verdict_VERDICT_CLOSED:
		return a.end(notRun("the key was closed for this attempt; send a higher number or a new key"))
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
		return a.end(a.unclaimed("the key-value service is unavailable"))
	}
	return a.abandon("whether the key was claimed is not known")
}

// granted hands the request over unless its time has passed meanwhile, as it
// has if the process was paused.
func (a *Attempt) granted(now time.Time) Action {
	if now.Before(a.deadline) {
		a.stage = stageSent
		return Action{Dispatch: true}
	}
	a.stage = stageReleasing
	return a.reply(notRun("the deadline passed before dispatch"), peer.ClaimKind_CLAIM_KIND_RELEASE)
}

// late takes the answer to a claim that was given up. A claim that was or may be
// written is released.
func (a *Attempt) late(r *peer.ClaimResult) Action {
	switch r.GetVerdict() {
	case peer.Verdict_VERDICT_GRANTED, peer.Verdict_VERDICT_UNKNOWN, peer.Verdict_VERDICT_UNSPECIFIED:
		return Action{Follow: peer.ClaimKind_CLAIM_KIND_RELEASE}
	}
	a.stage = stageEnded
	return Action{}
}

// abandon gives up a claim that may yet be written: it is released. The first
// attempt knows that no other one ran. Others are answered by Released.
func (a *Attempt) abandon(reason string) Action {
	a.stage = stageReleasing
	if a.number == 1 {
		return a.reply(a.unclaimed(reason), peer.ClaimKind_CLAIM_KIND_RELEASE)
	}
	return Action{Follow: peer.ClaimKind_CLAIM_KIND_RELEASE}
}

// Released takes the answer to a release.
func (a *Attempt) Released(r *peer.ClaimResult) Action {
	if a.stage != stageReleasing {
		return Action{}
	}
	a.stage = stageEnded
	switch r.GetVerdict() {
	case peer.Verdict_VERDICT_CLOSED:
		return a.reply(notRun("the key was released"), 0)
	case peer.Verdict_VERDICT_RECORDED:
		return a.reply(Result{
			Kind:     KindDone,
			Outcome:  r.GetOutcome(),
			Replayed: true,
		}, 0)
	}
	return a.reply(a.unclaimed("whether an earlier attempt was run is not known"), 0)
}

// Answered takes the answer of the target.
func (a *Attempt) Answered(key string, out *target.Outcome, err error) Action {
	if a.stage != stageSent {
		return Action{}
	}
	switch {
	case errors.Is(err, ErrNotSent):
		a.stage = stageReleasing
		return a.reply(notRun(err.Error()), peer.ClaimKind_CLAIM_KIND_RELEASE)
	case err != nil:
		return a.end(Result{Reason: err.Error()})
	case out.GetKey() != key:
		return a.end(Result{Reason: "the target answered another request"})
	case unrun(out.GetStatus()):
		a.stage = stageReleasing
		return a.reply(notRun("the target refused: "+out.GetStatus().String()), peer.ClaimKind_CLAIM_KIND_RELEASE)
	case out.GetStatus() == target.Status_STATUS_UNSPECIFIED:
		return a.end(Result{Reason: "the target answered without a status"})
	}
	a.stage = stageRecording
	a.outcome = out
	return a.reply(Result{
		Kind:    KindDone,
		Outcome: out,
	}, peer.ClaimKind_CLAIM_KIND_RECORD)
}

// unrun reports whether a status states that execution never began.
func unrun(s target.Status) bool {
	switch s {
	case target.Status_STATUS_SHED, target.Status_STATUS_LEAVING, target.Status_STATUS_DROPPED,
		target.Status_STATUS_ABSENT, target.Status_STATUS_CANCELLED, target.Status_STATUS_EXPIRED:
		return true
	}
	return false
}

// TimedOut answers the caller if nothing else has, and forbids a dispatch. Later
// events are still acted on.
func (a *Attempt) TimedOut() Action {
	if a.stage == stageClaiming {
		a.stage = stageReleasing
		return a.reply(a.unclaimed("the key was not claimed before the deadline"), 0)
	}
	return a.reply(Result{
		RetryAfter: retryBusy,
		Reason:     "no outcome before the deadline",
	}, 0)
}

func (a *Attempt) end(r Result) Action {
	a.stage = stageEnded
	return a.reply(r, 0)
}

// reply answers the caller once.
func (a *Attempt) reply(r Result, follow peer.ClaimKind) Action {
	act := Action{Follow: follow}
	if !a.replied {
		a.replied = true
		act.Reply = &r
	}
	return act
}

// unclaimed is the answer to an attempt that never held the key.
func (a *Attempt) unclaimed(reason string) Result {
	r := Result{
		RetryAfter: retryStore,
		Reason:     reason,
	}
	if a.number == 1 {
		r.Kind = KindNotExecuted
	}
	return r
}

func notRun(reason string) Result {
	return Result{
		Kind:       KindNotExecuted,
		RetryAfter: retryBusy,
		Reason:     reason,
	}
}
