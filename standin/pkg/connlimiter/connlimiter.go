// Package connlimiter is a TCP listener with a limit on its open connections and
// a cost for each new one.
package connlimiter

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
)

// Options describe a Listener.
type Options struct {
	// Limit is the number of open connections beyond which new ones are
	// reset. Zero means no limit.
	Limit int
	// Setup is the time from a connection's arrival to its first service.
	Setup time.Duration
	// Clock is the real clock if nil.
	Clock clockwork.Clock
}

// Listener accepts connections within a limit. It implements net.Listener.
type Listener struct {
	net.Listener
	limit int
	setup time.Duration
	clock clockwork.Clock

	ready   chan net.Conn
	done    chan struct{}
	close   sync.Once
	err     error
	open    atomic.Int64
	peak    atomic.Int64
	refused atomic.Int64
}

// New takes over a listener.
func New(l net.Listener, o Options) *Listener {
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
	a := &Listener{
		Listener: l,
		limit:    o.Limit,
		setup:    o.Setup,
		clock:    o.Clock,
		ready:    make(chan net.Conn),
		done:     make(chan struct{}),
	}
	go a.run()
	return a
}

// Open returns the number of open connections.
func (l *Listener) Open() int64 { return l.open.Load() }

// Peak returns the highest number of connections that were open at once.
func (l *Listener) Peak() int64 { return l.peak.Load() }

// Refused returns the number of connections reset for the limit.
func (l *Listener) Refused() int64 { return l.refused.Load() }

// Accept returns the next connection whose set-up is complete.
func (l *Listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.ready:
		return c, nil
	case <-l.done:
		return nil, l.err
	}
}

// Close closes the listener. Accepted connections stay open.
func (l *Listener) Close() error {
	return l.Listener.Close()
}

func (l *Listener) run() {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			l.close.Do(func() {
				l.err = err
				close(l.done)
			})
			return
		}
		l.admit(c)
	}
}

func (l *Listener) admit(c net.Conn) {
	n := l.open.Add(1)
	if l.limit > 0 && n > int64(l.limit) {
		l.open.Add(-1)
		l.refused.Add(1)
		reset(c)
		return
	}
	if n > l.peak.Load() {
		l.peak.Store(n)
	}
	counted := &conn{
		Conn: c,
		open: &l.open,
	}
	go l.prepare(counted)
}

// prepare hands a connection over once the set-up time has passed.
func (l *Listener) prepare(c *conn) {
	if l.setup > 0 {
		select {
		case <-l.clock.After(l.setup):
		case <-l.done:
		}
	}
	select {
	case l.ready <- c:
	case <-l.done:
		_ = c.Close()
	}
}

// reset closes a connection so that its peer sees a reset.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// conn lowers the number of open connections when it is closed.
type conn struct {
	net.Conn
	once sync.Once
	open *atomic.Int64
}

// Close closes the connection.
func (c *conn) Close() error {
	c.once.Do(func() { c.open.Add(-1) })
	return c.Conn.Close()
}
