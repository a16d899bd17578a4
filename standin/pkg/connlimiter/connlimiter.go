// Package connlimiter provides a TCP listener that limits the number of its open
// connections and delays each new connection by a set-up time.
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
	// MaxConns is the number of open connections beyond which new ones are
	// reset. Zero means no limit.
	MaxConns int
	// SetupTime is the time from the arrival of a connection until Accept returns
	// it.
	SetupTime time.Duration
	// Clock defaults to the real clock.
	Clock clockwork.Clock
}

// Listener accepts connections up to a limit. It implements net.Listener.
type Listener struct {
	net.Listener
	maxConns  int
	setupTime time.Duration
	clock     clockwork.Clock

	ready     chan net.Conn
	done      chan struct{}
	closeOnce sync.Once
	err       error
	open      atomic.Int64
	peak      atomic.Int64
	refused   atomic.Int64
}

// New returns a Listener that accepts the connections of l. Closing it closes l.
func New(l net.Listener, o Options) *Listener {
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
	limited := &Listener{
		Listener:  l,
		maxConns:  o.MaxConns,
		setupTime: o.SetupTime,
		clock:     o.Clock,
		ready:     make(chan net.Conn),
		done:      make(chan struct{}),
	}
	go limited.acceptLoop()
	return limited
}

// OpenConns returns the number of open connections.
func (l *Listener) OpenConns() int64 { return l.open.Load() }

// PeakConns returns the highest number of connections that were open at once.
func (l *Listener) PeakConns() int64 { return l.peak.Load() }

// RefusedConns returns the number of connections that were reset because of the
// limit.
func (l *Listener) RefusedConns() int64 { return l.refused.Load() }

// Accept returns the next connection whose set-up time has passed.
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

func (l *Listener) acceptLoop() {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			l.closeOnce.Do(func() {
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
	if l.maxConns > 0 && n > int64(l.maxConns) {
		l.open.Add(-1)
		l.refused.Add(1)
		closeWithReset(c)
		return
	}
	if n > l.peak.Load() {
		l.peak.Store(n)
	}
	counted := &conn{
		Conn: c,
		open: &l.open,
	}
	go l.deliverAfterSetup(counted)
}

// deliverAfterSetup passes a connection to Accept once the set-up time has passed. It
// closes the connection if the listener is closed first.
func (l *Listener) deliverAfterSetup(c *conn) {
	if l.setupTime > 0 {
		select {
		case <-l.clock.After(l.setupTime):
		case <-l.done:
		}
	}
	select {
	case l.ready <- c:
	case <-l.done:
		_ = c.Close()
	}
}

// closeWithReset closes a connection so that the remote end sees a TCP reset.
func closeWithReset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// conn decrements the number of open connections when it is first closed.
type conn struct {
	net.Conn
	once sync.Once
	open *atomic.Int64
}

// Close closes the connection. It may be called more than once.
func (c *conn) Close() error {
	c.once.Do(func() { c.open.Add(-1) })
	return c.Conn.Close()
}
