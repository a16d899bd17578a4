package httpsender

import (
	"slices"
	"time"
)

// queue holds the requests that wait for a connection. The zero value is empty.
type queue []waiter

type waiter struct {
	// ready gets a connection, or nil for leave to make one.
	ready chan *conn
	goal  time.Time
}

// add appends a request that is of most use before its goal.
func (q *queue) add(goal time.Time) chan *conn {
	w := waiter{
		ready: make(chan *conn, 1),
		goal:  goal,
	}
	*q = append(*q, w)
	return w.ready
}

// remove takes a request out, and reports whether it was still waiting.
func (q *queue) remove(handed chan *conn) bool {
	i := slices.IndexFunc(*q, func(w waiter) bool { return w.ready == handed })
	if i < 0 {
		return false
	}
	*q = slices.Delete(*q, i, i+1)
	return true
}

// next takes out the request with the earliest goal that has not passed, or the
// one that has waited longest if all have: answers that are late anyway use what
// the others leave.
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
	handed := (*q)[best].ready
	*q = slices.Delete(*q, best, best+1)
	return handed
}
