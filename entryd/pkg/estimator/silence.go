package estimator

import "time"

// Suspected reports whether the target is suspected of being out of service. This is
// the case if it has failed failureLimit times in a row, or has been silent for a
// multiple of its p95 latency while other targets answered.
func (e *Estimator) Suspected() bool {
	if e.consecutiveFailures.Load() >= failureLimit {
		return true
	}
	limit := max(silenceFactor*e.P95(), minSilence)
	return e.silentFor() > limit
}

// Probe reports whether a request may be sent to a suspected target now. It returns
// true for one caller in each probe interval.
func (e *Estimator) Probe(now time.Time) bool {
	at := int64(e.group.since(now))
	next := e.nextProbe.Load()
	if at < next {
		return false
	}
	wait := min(max(probeFactor*e.P95(), minProbe), maxProbe)
	return e.nextProbe.CompareAndSwap(next, at+int64(wait))
}

// silentFor returns how long the target has left requests unanswered, on the group's
// activity clock.
func (e *Estimator) silentFor() time.Duration {
	if !e.unanswered.Load() {
		return 0
	}
	return time.Duration(e.group.activity() - e.silentSince.Load())
}

// recordAnswer ends the silence of the target and advances the activity clock.
func (e *Estimator) recordAnswer(at time.Duration) {
	e.group.recordAnswer(at)
	e.silentSince.Store(e.group.activity())
	e.unanswered.Store(e.inFlight.Load() > 0)
}
