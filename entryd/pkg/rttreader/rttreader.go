// Package rttreader tells how much of a caller's time is spent on the way to the
// daemon and back, which no header tells.
package rttreader

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// maxRoundTrip bounds what is believed of a connection's round trip.
const maxRoundTrip = 100 * time.Millisecond

// connKey is the key of a connection's state in contexts.
type connKey struct{}

// conn is the state of a caller's connection.
type conn struct {
	roundTrip time.Duration
	used      atomic.Bool
}

// ConnContext is for http.Server.ConnContext: it keeps the round trip that the
// kernel has measured while the connection was made.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, &conn{
		roundTrip: min(roundTrip(c), maxRoundTrip),
	})
}

// NetworkTime returns the time that one request spends on the way: a round trip, and
// another one for the making of the connection if it is the first there. It is
// zero if the round trip is unknown. It is to be called once for each request.
func NetworkTime(ctx context.Context) time.Duration {
	c, ok := ctx.Value(connKey{}).(*conn)
	if !ok {
		return 0
	}
	if c.used.Swap(true) {
		return c.roundTrip
	}
	return 2 * c.roundTrip
}

// roundTrip returns what the kernel has measured, zero if it does not tell.
func roundTrip(c net.Conn) time.Duration {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := sc.SyscallConn()
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
