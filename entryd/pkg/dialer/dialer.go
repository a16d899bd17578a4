// Package dialer keeps one shared gRPC connection for each address.
package dialer

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/connectivity"
	"google.golang.org/grpc/credentials"

	"google.golang.org/grpc/credentials/insecure"
	"plantaincleat/entryd/pkg/bytecounter"

	"plantaincleat/tier/pkg/tlsprovider"
)

const (
	// idleTime is the time without calls or streams after which a connection
	// is closed, and no more attempts to connect are made, until the next call.
	idleTime = 5 * time.Minute
	// connectTimeout bounds one attempt to connect.
	connectTimeout = time.Second
	// minBackoff and maxBackoff bound the pause between attempts.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 2 * time.Second
	// backoffFactor multiplies the pause after each failed attempt.
	backoffFactor = 1.6
	// backoffJitter spreads the pause.
	backoffJitter = 0.2
)

// Dialer is a pool of connections. It is safe for concurrent use.
type Dialer struct {
	opts []grpc.DialOption

	mu    sync.Mutex
	conns map[string]*grpc.ClientConn
}

// New returns a dialer. Connections leave from the source IP address unless it
// is empty. With insecure credentials, addresses other than loopback are
// refused unless plain is true. The bytes of the connections are counted.
func New(creds credentials.TransportCredentials, source string, plain bool, bytes *bytecounter.Counter) (*Dialer, error) {
	nd, err := NewNetDialer(connectTimeout, source)
	if err != nil {
		return nil, err
	}
	dial := tlsprovider.DialFunc(nd.DialContext)
	if creds.Info().SecurityProtocol == insecure.NewCredentials().Info().SecurityProtocol && !plain {
		dial = tlsprovider.LoopbackOnly(dial)
	}
	return &Dialer{
		conns: map[string]*grpc.ClientConn{},
		opts: []grpc.DialOption{
			grpc.WithTransportCredentials(creds),
			grpc.WithNoProxy(),
			grpc.WithDisableServiceConfig(),
			grpc.WithIdleTimeout(idleTime),
			grpc.WithContextDialer(func(ctx context.Context, address string) (net.Conn, error) {
				c, err := dial(ctx, "tcp", address)
				if err != nil {
					return nil, err
				}
				return bytes.WrapConn(c), nil
			}),
			grpc.WithConnectParams(grpc.ConnectParams{
				MinConnectTimeout: connectTimeout,
				Backoff: backoff.Config{
					BaseDelay:  minBackoff,
					Multiplier: backoffFactor,
					Jitter:     backoffJitter,
					MaxDelay:   maxBackoff,
				},
			}),
		},
	}, nil
}

// Dial returns the connection to an address, which it makes if there is none.
func (d *Dialer) Dial(address string) (grpc.ClientConnInterface, error) {
	return d.Conn(address)
}

// Conn is Dial with the connection's own type.
func (d *Dialer) Conn(address string) (*grpc.ClientConn, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if c := d.conns[address]; c != nil {
		return c, nil
	}
	c, err := grpc.NewClient("passthrough:///"+address, d.opts...)
	if err != nil {
		return nil, eris.Wrapf(err, "dial: peer %s", address)
	}
	d.conns[address] = c
	return c, nil
}

// CloseExcept closes the connections to all other addresses.
func (d *Dialer) CloseExcept(addresses map[string]bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for address, c := range d.conns {
		if !addresses[address] {
			delete(d.conns, address)
			_ = c.Close()
		}
	}
}

// Close closes all connections.
func (d *Dialer) Close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, c := range d.conns {
		_ = c.Close()
	}
}

// Ready returns the connection to an address once it is established. A request
// that is sent on it may reach the peer; without it, none has.
func (d *Dialer) Ready(ctx context.Context, address string) (*grpc.ClientConn, error) {
	c, err := d.Conn(address)
	if err != nil {
		return nil, err
	}
	for {
		state := c.GetState()
		if state == connectivity.Ready {
			return c, nil
		}
		if state == connectivity.Idle {
			c.Connect()
		}
		if !c.WaitForStateChange(ctx, state) {
			return nil, eris.Wrapf(ctx.Err(), "connect: peer %s", address)
		}
	}
}

// DialOptions returns the options with which connections are made.
func (d *Dialer) DialOptions() []grpc.DialOption { return slices.Clone(d.opts) }
