package httpsender

import (
	"slices"
	"time"
)

// queue holds the requests that wait for a connection. The zero value is empty.
type queue []waiter

// waiter is one request in the queue.
type waiter struct {
	// ready receives a connection, or nil as permission to open one.
	ready chan *conn
	// goal is the latest useful time to send the request.
	goal time.Time
}

// add appends a request that should be sent before goal. The returned channel
// receives a connection, or nil as permission to open one.
func (q *queue) add(goal time.Time) chan *conn {
	w := waiter{
		ready: make(chan *conn, 1),
		goal:  goal,
	}
	*q = append(*q, w)
	return w.ready
}

// remove removes the request that waits on a channel and reports whether it was
// still in the queue.
func (q *queue) remove(ready chan *conn) bool {
	i := slices.IndexFunc(*q, func(w waiter) bool { return w.ready == ready })
	if i < 0 {
		return false
	}
	*q = slices.Delete(*q, i, i+1)
	return true
}

// next removes a request from the queue and returns its channel. It selects the
// request with the earliest goal that has not passed. If all goals have passed, it
// selects the request that has waited longest. Requests that will be late anyway
// thus get only the capacity that the others leave.
func (q *queue) next(now time.Time) chan *conn {
	best := 0
	for i, w := range *q {
		if !w.goal.After(now) {
			continue
		}
		if b := (*q)[best]; !b.goal.After(now) || w.goal.Before(b.goal) {
			best = i
		}
	}
	ready := (*q)[best].ready
	*q = slices.Delete(*q, best, best+1)
	return ready
}
