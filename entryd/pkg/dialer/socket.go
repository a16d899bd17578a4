package dialer

import (
	"net"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
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

// NewNetDialer returns a dialer whose connections end within seconds once the peer has
// fallen silent. They leave from the source IP address unless it is empty.
func NewNetDialer(timeout time.Duration, source string) (*net.Dialer, error) {
	var local net.Addr
	if source != "" {
		ip := net.ParseIP(source)
		if ip == nil {
			return nil, eris.Errorf("source: %q is not an IP address", source)
		}
		local = &net.TCPAddr{
			IP: ip,
		}
	}
	return &net.Dialer{
		Timeout:   timeout,
		LocalAddr: local,
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
	}, nil
}
