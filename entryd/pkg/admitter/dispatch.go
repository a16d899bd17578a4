package admitter

import (
	"container/heap"
	"time"
)

// enqueue adds a request to its institution's queue. It returns false, and adds
// nothing, if the queues are full or the request is not expected to be admitted
// within its longest wait.
func (a *Admitter) enqueue(now time.Time, t *Ticket) bool {
	wait := min(a.maxWait, t.deadline.Sub(now)-t.class.expected(now))
	if a.queued >= a.maxQueued || a.expectedWait(now, t.institution) > wait {
		return false
	}
	t.expires = now.Add(wait)
	t.waiting = true
	heap.Push(&t.institution.queue, t)
	a.queued++
	return true
}

// expectedWait estimates the time until a new request of an institution would be
// admitted. It assumes that requests are admitted at the rate at which requests
// end, and that the institutions with waiting requests take turns.
func (a *Admitter) expectedWait(now time.Time, inst *institutionState) time.Duration {
	waiting := 1
	for _, other := range a.sorted {
		if other != inst && len(other.queue) > 0 {
			waiting++
		}
	}
	rate := max(a.ended.Value(now), 1)
	ahead := float64((len(inst.queue) + 1) * waiting)
	return time.Duration(ahead / rate * float64(time.Second))
}

// dequeue removes a waiting request from its institution's queue.
func (a *Admitter) dequeue(t *Ticket) {
	t.institution.queue.remove(t)
	t.waiting = false
	a.queued--
}

// dispatch refuses the requests whose wait has expired, then admits waiting
// requests until the concurrency limit is reached.
func (a *Admitter) dispatch(now time.Time) []Decision {
	if a.queued == 0 {
		return nil
	}
	var out []Decision
	for _, inst := range a.sorted {
		for _, ticket := range inst.queue.expired(now) {
			a.dequeue(ticket)
			inst.bucket.refund()
			out = append(out, Decision{
				Ticket:  ticket,
				Refusal: a.refuse(now, KindOverload, 0),
			})
		}
	}
	for a.queued > 0 && a.limiter.inFlight < a.limiter.allowed() {
		ticket := a.next()
		a.dequeue(ticket)
		a.admit(now, ticket)
		out = append(out, Decision{
			Ticket: ticket,
		})
	}
	return out
}

// next returns the waiting request to be admitted next: the one with the earliest
// deadline of the institution with the fewest requests in flight in proportion
// to its concurrency limit. At least one request must be waiting.
func (a *Admitter) next() *Ticket {
	var best *institutionState
	for _, inst := range a.sorted {
		if len(inst.queue) > 0 && (best == nil || inst.usesLess(best)) {
			best = inst
		}
	}
	return best.queue[0]
}
