// Package meterer counts the bytes of connections.
package meterer

import (
	"net"
	"sync/atomic"
)

// Bytes counts what connections carry. The zero value is ready to use. It is
// safe for concurrent use.
type Bytes struct {
	in  atomic.Int64
	out atomic.Int64
}

// In returns the number of bytes received.
func (b *Bytes) In() int64 { return b.in.Load() }

// Out returns the number of bytes sent.
func (b *Bytes) Out() int64 { return b.out.Load() }

// Conn returns a connection whose bytes are counted.
func (b *Bytes) Conn(c net.Conn) net.Conn {
	return &conn{
		Conn:  c,
		bytes: b,
	}
}

// Listener returns a listener whose connections are counted.
func (b *Bytes) Listener(l net.Listener) net.Listener {
	return &listener{
		Listener: l,
		bytes:    b,
	}
}

type conn struct {
	net.Conn
	bytes *Bytes
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
	bytes *Bytes
}

func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.bytes.Conn(c), nil
}
