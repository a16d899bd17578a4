package httpsender

import (
	"time"

	"plantaincleat/entryd/pkg/valuer"
)

const (
	// waitersPerConnection times the maximum number of connections is the greatest number
	// of requests that wait.
	waitersPerConnection = 8
	// maxWaitingBytes is the greatest size of the requests that wait for one target. It is
	// a small part of the memory of a small host.
	maxWaitingBytes = 4 << 20
)

// offer returns what the order of the queue depends on.
func (r *Request) offer() valuer.Offer {
	return valuer.Offer{
		Rank:     r.Rank,
		Goal:     r.Goal,
		Work:     r.Work,
		Deadline: r.Deadline,
		Bytes:    len(r.Path) + len(r.Body),
	}
}

// queue holds the requests that wait for a connection. Each is known by a channel that
// receives a connection, or nil as permission to open one. The channel is closed if the
// request is turned away. The zero value is empty.
type queue struct {
	valuer.Queue[chan *conn]
	waiters map[chan *conn]*valuer.Waiter[chan *conn]
}

// add adds a request and returns its channel, or nil if there is no room for it.
func (q *queue) add(now time.Time, o valuer.Offer) chan *conn {
	w, dropped := q.Add(now, o, make(chan *conn, 1))
	q.turnAway(dropped)
	if w == nil {
		return nil
	}
	if q.waiters == nil {
		q.waiters = make(map[chan *conn]*valuer.Waiter[chan *conn])
	}
	q.waiters[w.Value] = w
	return w.Value
}

// remove removes the request that waits on a channel and reports whether it was still in
// the queue.
func (q *queue) remove(ready chan *conn) bool {
	w := q.waiters[ready]
	delete(q.waiters, ready)
	return w != nil && q.Remove(w)
}

// next removes the request to be sent next and returns its channel, or nil if none waits.
func (q *queue) next(now time.Time) chan *conn {
	w, expired := q.Next(now)
	q.turnAway(expired)
	if w == nil {
		return nil
	}
	delete(q.waiters, w.Value)
	return w.Value
}

// turnAway tells requests that they will not be sent.
func (q *queue) turnAway(list []*valuer.Waiter[chan *conn]) {
	for _, w := range list {
		delete(q.waiters, w.Value)
		close(w.Value)
	}
}
