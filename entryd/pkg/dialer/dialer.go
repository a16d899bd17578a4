// Package dialer keeps one shared gRPC connection for each address of a peer.
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
	// idleTimeout is the time without calls or streams after which a connection
	// is closed and not re-established before the next call.
	idleTimeout = 5 * time.Minute
	// connectTimeout bounds one attempt to connect.
	connectTimeout = time.Second
	// minBackoff and maxBackoff bound the delay between two attempts to connect.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 2 * time.Second
	// backoffFactor multiplies the delay after each failed attempt.
	backoffFactor = 1.6
	// backoffJitter is the fraction of the delay by which it is varied at random.
	backoffJitter = 0.2
)

// Dialer is a pool of connections. It is safe for concurrent use.
type Dialer struct {
	opts []grpc.DialOption

	mu    sync.Mutex
	conns map[string]*grpc.ClientConn
}

// New returns a dialer. Connections use source as their local IP address unless it is
// empty. With insecure credentials, only loopback addresses can be dialed unless
// allowInsecure is true. The counter counts the bytes of all connections.
func New(creds credentials.TransportCredentials, source string, allowInsecure bool, counter *bytecounter.Counter) (*Dialer, error) {
	nd, err := NewNetDialer(connectTimeout, source)
	if err != nil {
		return nil, err
	}
	dial := tlsprovider.DialFunc(nd.DialContext)
	if creds.Info().SecurityProtocol == insecure.NewCredentials().Info().SecurityProtocol && !allowInsecure {
		dial = tlsprovider.LoopbackOnly(dial)
	}
	return &Dialer{
		conns: map[string]*grpc.ClientConn{},
		opts: []grpc.DialOption{
			grpc.WithTransportCredentials(creds),
			grpc.WithNoProxy(),
			grpc.WithDisableServiceConfig(),
			grpc.WithIdleTimeout(idleTimeout),
			grpc.WithContextDialer(func(ctx context.Context, address string) (net.Conn, error) {
				c, err := dial(ctx, "tcp", address)
				if err != nil {
					return nil, err
				}
				return counter.WrapConn(c), nil
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

// Dial returns the connection to an address, which it creates if there is none. The
// connection may not be established yet.
func (d *Dialer) Dial(address string) (grpc.ClientConnInterface, error) {
	return d.Conn(address)
}

// Conn is like Dial but returns the concrete type of the connection.
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

// CloseExcept closes all connections but those to the given addresses.
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

// Ready waits until the connection to an address is established and returns it. After
// an error, no request has reached the peer; a request that is sent on the returned
// connection may have reached it.
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

// DialOptions returns the gRPC options of all connections.
func (d *Dialer) DialOptions() []grpc.DialOption { return slices.Clone(d.opts) }
