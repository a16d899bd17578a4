package dialer

import (
	"net"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
)

const (
	// unackedTimeout is how long sent data may stay unacknowledged before the
	// kernel closes the connection. The kernel's default is many minutes. It also
	// decides when keep-alive probes give up.
	unackedTimeout = 2 * time.Second
	// probeIdle is the time without received data after which the kernel sends
	// keep-alive probes, one in each probeInterval. It closes the connection
	// after unackedTimeout without an answer, before probeCount probes are sent.
	probeIdle     = time.Second
	probeInterval = time.Second
	probeCount    = 2
)

// NewNetDialer returns a dialer whose connections are closed within seconds once the
// peer no longer responds. The timeout bounds one attempt to connect. Connections use
// source as their local IP address unless it is empty.
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
			var optErr error
			err := c.Control(func(fd uintptr) {
				optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return optErr
		},
	}, nil
}
