package scatterer

import "time"

const (
	// abandonedTime is how long attempts at targets go on after the caller has left, if no target
	// has answered the request: it may crash them. Callers may expect that targets stop work within
	// half a second.
	abandonedTime = 250 * time.Millisecond
	// abandonedReplyTime is the additional time in which owners reply what became of theirs.
	abandonedReplyTime = 50 * time.Millisecond
)

// abandon ends the request of a caller that has left. Nothing more is sent. The attempts that
// targets may execute go on for a while, until one is answered, so that a request that crashes
// targets is recognised although its callers never wait.
func (j *job) abandon() {
	j.abandoned, j.closed = true, true
	if j.plan.Suspected || j.hasAnswer() {
		return
	}
	for _, a := range j.open {
		if a.accepted {
			a.sendAbandoned()
		}
	}
	limit := abandonedTime
	if j.root {
		limit += abandonedReplyTime
	}
	j.awaitEvents(limit, j.awaitsEnd)
}

// awaitsEnd reports whether an attempt may still show whether the request crashes targets. It
// withdraws the attempts that have not been sent yet, here and to owners.
func (j *job) awaitsEnd() bool {
	sent := false
	for _, a := range j.open {
		switch {
		case a.dest.owner != nil && !a.accepted:
			a.cancel()
		case a.dest.owner == nil && a.gate.Close():
			a.cancelQueue()
		default:
			sent = true
		}
	}
	return sent && !j.hasAnswer()
}

// hasAnswer reports whether a target has answered the request, which does not crash it then.
func (j *job) hasAnswer() bool {
	return len(j.answers.list) > 0 || j.single != nil || j.failure != nil
}

// awaitEvents handles the events of attempts while a condition holds, until a time has passed or
// EndRequests is called.
func (j *job) awaitEvents(limit time.Duration, condition func() bool) {
	timer := j.Clock.NewTimer(limit)
	defer timer.Stop()
	for condition() {
		select {
		case e := <-j.events:
			j.handle(e)
		case <-timer.Chan():
			return
		case <-j.stopping.requestsEnded:
			return
		}
	}
}
