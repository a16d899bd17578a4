package dialer

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// unackedTimeout is how long sent bytes may stay unacknowledged before a
	// connection counts as broken. The kernel's own limit is many minutes.
	unackedTimeout = 2 * time.Second
	// probeIdle is the silence after which the kernel probes the peer, every
	// probeInterval. A connection ends after probeCount unanswered probes.
	probeIdle     = time.Second
	probeInterval = time.Second
	probeCount    = 2
)

// Net returns a dialer whose connections end within seconds once the peer has
// fallen silent.
func Net(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     probeIdle,
			Interval: probeInterval,
			Count:    probeCount,
		},
		Control: func(_, _ string, c syscall.RawConn) error {
			var failure error
			err := c.Control(func(fd uintptr) {
				failure = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return failure
		},
	}
}
