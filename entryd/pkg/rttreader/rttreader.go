// Package rttreader estimates the network time of a caller's request from the round
// trip time that the kernel measures on its connection. No request header carries it.
package rttreader

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// maxRTT bounds the round trip time of a connection. Higher measurements are reduced
// to it.
const maxRTT = 100 * time.Millisecond

// connKey is the context key of a connection's state.
type connKey struct{}

// conn is the state of a caller's connection.
type conn struct {
	rtt time.Duration
	// used is true once a request has arrived on the connection.
	used atomic.Bool
}

// ConnContext is a function for http.Server.ConnContext. It stores in the context the
// round trip time that the kernel measured when the connection was established.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, &conn{
		rtt: min(readRTT(c), maxRTT),
	})
}

// NetworkTime returns the time that a request and its answer spend in the network. It
// is one round trip time, or two for the first request on a connection, whose caller
// also waits for the connection to be established. It is zero if the round trip time
// is unknown. Call it exactly once for each request.
func NetworkTime(ctx context.Context) time.Duration {
	c, ok := ctx.Value(connKey{}).(*conn)
	if !ok {
		return 0
	}
	if c.used.Swap(true) {
		return c.rtt
	}
	return 2 * c.rtt
}

// readRTT returns the round trip time that the kernel measured on a TCP connection,
// or zero if it is not available.
func readRTT(c net.Conn) time.Duration {
	sysConn, ok := c.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := sysConn.SyscallConn()
	if err != nil {
		return 0
	}
	var rtt time.Duration
	err = raw.Control(func(fd uintptr) {
		if info, e := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); e == nil {
			rtt = time.Duration(info.Rtt) * time.Microsecond
		}
	})
	if err != nil {
		return 0
	}
	return rtt
}
