// Package idler closes callers' connections that have been unused for longer
// than a limit that may change while the server runs.
package idler

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Idler watches connections. The zero value closes none. It is safe for
// concurrent use.
type Idler struct {
	limit atomic.Int64

	mu     sync.Mutex
	timers map[net.Conn]*time.Timer
}

// SetLimit changes the time for which a connection may stay unused, from its
// next use on. Zero is no limit.
func (i *Idler) SetLimit(d time.Duration) { i.limit.Store(int64(d)) }

// Observe is the ConnState hook of an http.Server.
func (i *Idler) Observe(c net.Conn, s http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if t := i.timers[c]; t != nil {
		t.Stop()
		delete(i.timers, c)
	}
	limit := time.Duration(i.limit.Load())
	if s != http.StateIdle || limit <= 0 {
		return
	}
	if i.timers == nil {
		i.timers = make(map[net.Conn]*time.Timer)
	}
	i.timers[c] = time.AfterFunc(limit, func() { i.expire(c) })
}

// expire closes a connection that is still unused.
func (i *Idler) expire(c net.Conn) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.timers[c] == nil {
		return
	}
	delete(i.timers, c)
	// A connection that has ended already needs no closing.
	_ = c.Close()
}
