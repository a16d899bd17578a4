package scatterer

import (
	"errors"
	"net/http"

	"plantaincleat/entryd/pkg/httpsender"
	"plantaincleat/tier/gen/peer"
)

// classify reports whether the result of an attempt is an answer for the caller, and
// the reason if it is not. A 5xx response to an idempotent request, and one whose status claims
// that the request was not executed, are kept as j.failure.
func (j *job) classify(e event) (peer.Reason, bool) {
	if e.err != nil {
		return j.reasonOfTarget(e.err), false
	}
	if j.success(e.answer) {
		return peer.Reason_REASON_UNSPECIFIED, true
	}
	if j.altered(e.answer) || j.route.Scattered() {
		return peer.Reason_REASON_FAILED, false
	}
	claims := claimsNotExecuted(e.answer.Status)
	if !claims && (e.answer.Status < 500 || !j.route.GetIdempotent()) {
		return peer.Reason_REASON_UNSPECIFIED, true
	}
	j.keepFailure(e.answer)
	return peer.Reason_REASON_FAILED, false
}

// keepFailure keeps an error response, which is returned if no attempt succeeds. One that may be
// returned is not replaced by one that may not.
func (j *job) keepFailure(answer *httpsender.Answer) {
	if j.failure == nil || !claimsNotExecuted(answer.Status) {
		j.failure = answer
	}
}

// claimsNotExecuted reports whether a status tells callers that the request was not executed and
// never will be. Targets do not state that by the status (see httpsender.ErrNotExecuted): one that
// has begun the request may answer with the same. Such a response is not passed on.
func claimsNotExecuted(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// returnable returns the answer of a target on a route without shards that may be returned to the
// caller, or nil.
func (j *job) returnable() *httpsender.Answer {
	if j.single != nil {
		return j.single
	}
	if j.failure != nil && claimsNotExecuted(j.failure.Status) {
		return nil
	}
	return j.failure
}

// succeeded reports whether an event contains a successful answer.
func (j *job) succeeded(e event) bool { return e.err == nil && j.success(e.answer) }

// success reports whether an answer is an unaltered response of a target with a 2xx
// status. On a route over shards, its body must also be short enough to be in memory.
func (j *job) success(a *httpsender.Answer) bool {
	success := a.Status >= 200 && a.Status < 300
	return success && !j.altered(a) && (a.Rest == nil || !j.route.Scattered())
}

// altered reports whether an intermediary has changed the response of a target: it has
// a content encoding, or a 2xx status without the target's signature.
func (j *job) altered(a *httpsender.Answer) bool {
	if a.Header.Get("Content-Encoding") != "" {
		return true
	}
	success := a.Status >= 200 && a.Status < 300
	return success && a.Header.Get(j.Signature) == ""
}

// reasonOfTarget returns the reason that corresponds to an error of an attempt at a
// target.
func (j *job) reasonOfTarget(err error) peer.Reason {
	if j.plan.Suspected && errors.Is(err, httpsender.ErrEnded) {
		return peer.Reason_REASON_CRASHED
	}
	return reasonOf(err)
}

// reasonOf returns the reason that corresponds to an error of an attempt.
func reasonOf(err error) peer.Reason {
	switch {
	case errors.Is(err, errQuarantined):
		return peer.Reason_REASON_QUARANTINED
	case errors.Is(err, httpsender.ErrWrongTarget):
		return peer.Reason_REASON_LEAVING
	case errors.Is(err, httpsender.ErrNotExecuted), errors.Is(err, httpsender.ErrBusy):
		return peer.Reason_REASON_SHED
	case errors.Is(err, httpsender.ErrNotSent):
		return peer.Reason_REASON_UNREACHABLE
	}
	return peer.Reason_REASON_FAILED
}
