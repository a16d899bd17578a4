// Package idlecloser closes connections of callers that have been idle for too long,
// or on which the headers of the first request have not arrived in time. The timeouts
// may change while the server runs.
package idlecloser

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Closer closes idle connections of an http.Server. The zero value has no timeouts
// and closes none. It is safe for concurrent use.
type Closer struct {
	idleTimeout atomic.Int64
	// headerTimeout bounds the time from the start of a connection to the headers
	// of its first request.
	headerTimeout atomic.Int64

	mu     sync.Mutex
	timers map[net.Conn]*time.Timer
}

// SetIdleTimeout sets the time for which a connection may stay idle. It takes effect
// when a connection next becomes idle. Zero means that there is no limit.
func (i *Closer) SetIdleTimeout(d time.Duration) { i.idleTimeout.Store(int64(d)) }

// SetHeaderTimeout sets the time within which the headers of the first request of a
// new connection have to arrive. Zero means that there is no limit.
func (i *Closer) SetHeaderTimeout(d time.Duration) { i.headerTimeout.Store(int64(d)) }

// ObserveConnState starts and stops the timeouts of a connection. It must be set as
// the ConnState hook of the http.Server.
func (i *Closer) ObserveConnState(c net.Conn, s http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if t := i.timers[c]; t != nil {
		t.Stop()
		delete(i.timers, c)
	}
	timeout := i.timeoutIn(s)
	if timeout <= 0 {
		return
	}
	if i.timers == nil {
		i.timers = make(map[net.Conn]*time.Timer)
	}
	i.timers[c] = time.AfterFunc(timeout, func() { i.closeExpired(c) })
}

// timeoutIn returns how long a connection may stay in a state. Zero means that there
// is no limit.
func (i *Closer) timeoutIn(s http.ConnState) time.Duration {
	switch s {
	case http.StateNew:
		return time.Duration(i.headerTimeout.Load())
	case http.StateIdle:
		return time.Duration(i.idleTimeout.Load())
	}
	return 0
}

// closeExpired closes a connection whose timer has fired, unless its state has
// changed in the meantime.
func (i *Closer) closeExpired(c net.Conn) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.timers[c] == nil {
		return
	}
	delete(i.timers, c)
	// An error means that the connection is closed already.
	_ = c.Close()
}
