package admitter

import (
	"container/heap"
	"time"
)

// enqueue lets a request wait if it is expected to be admitted in time.
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

// expectedWait returns the time until a new request of an institution would be
// admitted: its own queue, served in turn with those of the other institutions
// at the rate at which requests end.
func (a *Admitter) expectedWait(now time.Time, t *institutionState) time.Duration {
	waiting := 1
	for _, other := range a.sorted {
		if other != t && len(other.queue) > 0 {
			waiting++
		}
	}
	rate := max(a.ended.value(now), 1)
	ahead := float64((len(t.queue) + 1) * waiting)
	return time.Duration(ahead / rate * float64(time.Second))
}

// dequeue removes a waiting request.
func (a *Admitter) dequeue(t *Ticket) {
	t.institution.queue.remove(t)
	t.waiting = false
	a.queued--
}

// dispatch refuses the requests whose wait is over and admits others while
// there is room.
func (a *Admitter) dispatch(now time.Time) []Decision {
	if a.queued == 0 {
		return nil
	}
	var out []Decision
	for _, t := range a.sorted {
		for _, ticket := range t.queue.expired(now) {
			a.dequeue(ticket)
			t.bucket.refund()
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

// next returns the most urgent request of the institution that uses the least
// in proportion to its terms.
func (a *Admitter) next() *Ticket {
	var best *institutionState
	for _, t := range a.sorted {
		if len(t.queue) > 0 && (best == nil || t.usesLess(best)) {
			best = t
		}
	}
	return best.queue[0]
}
