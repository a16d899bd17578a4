// Package bytecounter counts the bytes that network connections receive and send.
package bytecounter

import (
	"net"
	"sync/atomic"
)

// Counter holds the sums over all connections that were wrapped by it. The zero
// value is ready for use. It is safe for concurrent use.
type Counter struct {
	received atomic.Int64
	sent     atomic.Int64
}

// Received returns the number of bytes received.
func (b *Counter) Received() int64 { return b.received.Load() }

// Sent returns the number of bytes sent.
func (b *Counter) Sent() int64 { return b.sent.Load() }

// WrapConn returns a connection that forwards to c and counts its bytes.
func (b *Counter) WrapConn(c net.Conn) net.Conn {
	return &conn{
		Conn:    c,
		counter: b,
	}
}

// WrapListener returns a listener that wraps the connections accepted by l.
func (b *Counter) WrapListener(l net.Listener) net.Listener {
	return &listener{
		Listener: l,
		counter:  b,
	}
}

type conn struct {
	net.Conn
	counter *Counter
}

func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.counter.received.Add(int64(n))
	return n, err
}

func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.counter.sent.Add(int64(n))
	return n, err
}

type listener struct {
	net.Listener
	counter *Counter
}

func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.counter.WrapConn(c), nil
}
