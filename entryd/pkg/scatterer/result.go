package scatterer

import (
	"cmp"
	"math/rand/v2"
	"time"

	"plantaincleat/entryd/pkg/cataloger"
	"plantaincleat/entryd/pkg/merger"
	"plantaincleat/tier/gen/peer"
)

const (
	// recordWidth is the size of a record in bytes.
	recordWidth = 16
	// minRetry is the shortest time after which a refused request may be sent again. A
	// request that was refused because no target could execute it may be sent again after
	// a random time between minRetry and maxRetry, so that callers do not return at the
	// same moment.
	minRetry = 100 * time.Millisecond
	maxRetry = 300 * time.Millisecond
	// retryFraction is the fraction of the time left until its deadline that a caller
	// is assumed to wait before it sends a refused request again.
	retryFraction = 0.33
)

// longestRetry returns the longest time after which the caller can be told to send a
// refused request again.
func (r *Request) longestRetry(now time.Time) time.Duration {
	return max(time.Duration(retryFraction*float64(r.Deadline.Sub(now))), minRetry)
}

// refuse returns the refusal of a request that was not sent to any target.
func refuse(route *cataloger.Route, reason peer.Reason, retryAfter time.Duration) *Result {
	return &Result{
		Outcome:    Refused,
		Shards:     len(route.Pools()),
		Reason:     reason,
		RetryAfter: retryAfter,
	}
}

// result returns the result of the request.
func (j *job) result() *Result {
	res := &Result{
		Shards:  len(j.pools),
		Hedges:  j.query.Hedges(),
		Retries: j.query.Retries(),
	}
	for _, a := range j.attempts {
		res.Attempts = append(res.Attempts, *a.log)
	}
	switch {
	case j.abandoned:
		res.Outcome = Abandoned
	case j.route.Scattered():
		j.fillMerged(res)
	default:
		j.fillSingle(res)
	}
	return res
}

// fillSingle fills in the result of a request on a route without shards.
func (j *job) fillSingle(res *Result) {
	if answer := j.returnable(); answer != nil {
		res.Outcome = Answered
		res.Answer = answer
		return
	}
	res.Reason = j.reason(0, j.Clock.Now())
	j.fillFailure(res, res.Reason)
}

// fillMerged fills in the result of a request on a route with shards.
func (j *job) fillMerged(res *Result) {
	now := j.Clock.Now()
	for u := range j.pools {
		if !j.query.Covered(u) {
			res.Reason = max(res.Reason, j.reason(u, now))
		}
	}
	signatures, duplicate := j.answers.signatures()
	enough := float64(len(signatures)) >= j.route.GetFloor()*float64(len(j.pools))
	if len(signatures) > 0 && enough && !duplicate {
		res.Outcome = Merged
		res.Signatures = signatures
		res.Body = merger.Top(j.answers.records(), recordWidth, int(j.route.GetTop()))
		return
	}
	j.fillFailure(res, res.Reason)
}

// fillFailure fills in the result of a request without an answer.
func (j *job) fillFailure(res *Result, reason peer.Reason) {
	switch {
	case !j.mayHaveExecuted():
		res.Outcome = Refused
		res.RetryAfter = cmp.Or(j.untilServed(j.Clock.Now()), minRetry+rand.N(maxRetry-minRetry))
	case reason == peer.Reason_REASON_LATE:
		res.Outcome = Expired
	default:
		res.Outcome = Failed
	}
}

// mayHaveExecuted reports whether a target may have executed the request or may still
// do so. It closes the gates of the attempts, so that those that have not been sent yet
// never will be.
func (j *job) mayHaveExecuted() bool {
	for _, a := range j.attempts {
		sent := a.dest.owner != nil || !a.gate.Close()
		if sent && !a.notExecuted {
			return true
		}
	}
	return false
}
