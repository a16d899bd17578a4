// Package idlecloser closes callers' connections that have been unused, or on which no
// request has come at all, for longer than limits that may change while the
// server runs.
package idlecloser

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Closer watches connections. The zero value closes none. It is safe for
// concurrent use.
type Closer struct {
	limit atomic.Int64
	// first bounds the time to the headers of the first request.
	first atomic.Int64

	mu     sync.Mutex
	timers map[net.Conn]*time.Timer
}

// SetIdleTimeout changes the time for which a connection may stay unused, from its
// next use on. Zero is no limit.
func (i *Closer) SetIdleTimeout(d time.Duration) { i.limit.Store(int64(d)) }

// SetHeaderTimeout changes the time in which the headers of the first request of a
// connection have to come. Zero is no limit.
func (i *Closer) SetHeaderTimeout(d time.Duration) { i.first.Store(int64(d)) }

// ObserveConnState is the ConnState hook of an http.Server.
func (i *Closer) ObserveConnState(c net.Conn, s http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if t := i.timers[c]; t != nil {
		t.Stop()
		delete(i.timers, c)
	}
	limit := i.wait(s)
	if limit <= 0 {
		return
	}
	if i.timers == nil {
		i.timers = make(map[net.Conn]*time.Timer)
	}
	i.timers[c] = time.AfterFunc(limit, func() { i.expire(c) })
}

// wait returns how long a connection may stay in a state, zero if for ever.
func (i *Closer) wait(s http.ConnState) time.Duration {
	switch s {
	case http.StateNew:
		return time.Duration(i.first.Load())
	case http.StateIdle:
		return time.Duration(i.limit.Load())
	}
	return 0
}

// expire closes a connection that is still in that state.
func (i *Closer) expire(c net.Conn) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.timers[c] == nil {
		return
	}
	delete(i.timers, c)
	// A connection that has ended already needs no closing.
	_ = c.Close()
}
