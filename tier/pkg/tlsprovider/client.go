package tlsprovider

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/netip"

	"github.com/rotisserie/eris"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
)

// ClientConfig returns the TLS configuration of one connection to a server with a
// name or IP address, from the files now in force.
func (s *Provider) ClientConfig(server string) *tls.Config {
	now := s.current()
	cfg := &tls.Config{
		MinVersion: tls.VersionTLS12,
		ServerName: server,
		RootCAs:    now.pool,
	}
	if now.cert != nil {
		cfg.Certificates = []tls.Certificate{*now.cert}
	}
	return cfg
}

// DialFunc is a function that connects to an address.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Dialer returns a function that makes TLS connections over those of dial.
func (s *Provider) Dialer(dial DialFunc) DialFunc { return handshaking(dial, s.ClientConfig) }

// handshaking returns a function that makes TLS connections over those of dial
// with the configuration for each server.
func handshaking(dial DialFunc, configure func(server string) *tls.Config) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		host, _, err := net.SplitHostPort(address)
		if err != nil {
			return nil, eris.Wrapf(err, "dial: peer %s", address)
		}
		raw, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		conn := tls.Client(raw, configure(host))
		if err := conn.HandshakeContext(ctx); err != nil {
			_ = raw.Close()
			return nil, eris.Wrapf(err, "handshake: peer %s", address)
		}
		return conn, nil
	}
}

// LoopbackOnly returns a function that refuses addresses other than loopback with
// ErrPlain.
func LoopbackOnly(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		a, err := netip.ParseAddrPort(address)
		if err != nil || !a.Addr().IsLoopback() {
			return nil, eris.Wrapf(ErrPlainText, "dial: peer %s", address)
		}
		return dial(ctx, network, address)
	}
}

// Transport returns an HTTP transport over the connections of dial, the
// default ones if it is nil. https URLs are verified against the files in
// force at each connection; a nil Securer verifies them against the system's
// CAs. http URLs are refused off loopback unless plain is true.
func (s *Provider) Transport(dial DialFunc, plain bool) *http.Transport {
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	t := &http.Transport{
		DialContext: dial,
	}
	if !plain {
		t.DialContext = LoopbackOnly(dial)
	}
	switch {
	case s != nil:
		t.DialTLSContext = s.Dialer(dial)
	case !plain:
		t.DialTLSContext = systemTLS(dial)
	}
	return t
}

// systemTLS returns a function that makes TLS connections verified against the
// system's CAs.
func systemTLS(dial DialFunc) DialFunc {
	return handshaking(dial, func(host string) *tls.Config {
		return &tls.Config{
			MinVersion: tls.VersionTLS12,
			ServerName: host,
		}
	})
}

// ClientCredentials returns the gRPC credentials of a client. A nil Securer
// returns plain text.
func (s *Provider) ClientCredentials() credentials.TransportCredentials {
	if s == nil {
		return insecure.NewCredentials()
	}
	return &clientCredentials{
		TransportCredentials: credentials.NewTLS(&tls.Config{
			MinVersion: tls.VersionTLS12,
		}),
		securer: s,
	}
}

// clientCredentials takes the files in force at each handshake.
type clientCredentials struct {
	credentials.TransportCredentials
	securer *Provider
}

// ClientHandshake implements credentials.TransportCredentials. The name that
// is verified comes from authority.
func (c *clientCredentials) ClientHandshake(ctx context.Context, authority string, raw net.Conn) (net.Conn, credentials.AuthInfo, error) {
	return credentials.NewTLS(c.securer.ClientConfig("")).ClientHandshake(ctx, authority, raw)
}

// Clone implements credentials.TransportCredentials.
func (c *clientCredentials) Clone() credentials.TransportCredentials {
	return &clientCredentials{
		TransportCredentials: c.TransportCredentials.Clone(),
		securer:              c.securer,
	}
}
