package gatekeeper

import (
	"net"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
)

const (
	// socketBuffer is the size of the buffers of a connection in the kernel, in bytes. They would
	// grow to megabytes for a caller that does not read its answers.
	socketBuffer = 64 << 10
	// userTimeout is the time that gRPC gives the bytes that it sends to be acknowledged. It sets it
	// only on connections that it accepts itself.
	userTimeout = 20 * time.Second
)

// Listen opens a listener at address whose connections are counted. It closes others, or the new one,
// if there are too many. field is the setting with the address, for errors.
func (k *Keeper) Listen(field, address string) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, eris.Wrap(err, field)
	}
	return &listener{
		Listener: l,
		keeper:   k,
	}, nil
}

type listener struct {
	net.Listener
	keeper *Keeper
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.keeper.open(raw); c != nil {
			l.keeper.prepare(raw)
			return c, nil
		}
		_ = raw.Close()
	}
}

// prepare sets the options of a new connection. Without success it has the usual ones.
func (k *Keeper) prepare(nc net.Conn) {
	c, ok := nc.(*net.TCPConn)
	if !ok {
		return
	}
	if k.Opaque {
		setUserTimeout(c, userTimeout)
		return
	}
	_ = c.SetReadBuffer(socketBuffer)
	_ = c.SetWriteBuffer(socketBuffer)
}

// setUserTimeout sets the time after which a connection breaks on which sent bytes are not
// acknowledged.
func setUserTimeout(c *net.TCPConn, d time.Duration) {
	raw, err := c.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
	})
}

// open records a new connection and closes the one that makes way for it. It returns nil if there is
// no room.
func (k *Keeper) open(raw net.Conn) *conn {
	k.mu.Lock()
	id, victim, ok := k.account.Open(k.Clock.Now())
	if !ok {
		k.counts.Turned++
		k.mu.Unlock()
		k.tell()
		return nil
	}
	closed := k.conns[victim]
	delete(k.conns, victim)
	if closed != nil {
		k.counts.Closed++
	}
	c := &conn{
		Conn:    raw,
		keeper:  k,
		id:      id,
		evicted: make(chan struct{}),
	}
	k.conns[id] = c
	k.mu.Unlock()
	if closed != nil {
		closed.evict()
		_ = closed.Conn.Close()
		k.tell()
	}
	return c
}
