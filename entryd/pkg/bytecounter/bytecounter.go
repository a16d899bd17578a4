// Package bytecounter counts the bytes of connections.
package bytecounter

import (
	"net"
	"sync/atomic"
)

// Counter counts what connections carry. The zero value is ready to use. It is
// safe for concurrent use.
type Counter struct {
	in  atomic.Int64
	out atomic.Int64
}

// Received returns the number of bytes received.
func (b *Counter) Received() int64 { return b.in.Load() }

// Sent returns the number of bytes sent.
func (b *Counter) Sent() int64 { return b.out.Load() }

// WrapConn returns a connection whose bytes are counted.
func (b *Counter) WrapConn(c net.Conn) net.Conn {
	return &conn{
		Conn:  c,
		bytes: b,
	}
}

// WrapListener returns a listener whose connections are counted.
func (b *Counter) WrapListener(l net.Listener) net.Listener {
	return &listener{
		Listener: l,
		bytes:    b,
	}
}

type conn struct {
	net.Conn
	bytes *Counter
}

func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.in.Add(int64(n))
	return n, err
}

func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.out.Add(int64(n))
	return n, err
}

type listener struct {
	net.Listener
	bytes *Counter
}

func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.bytes.WrapConn(c), nil
}
