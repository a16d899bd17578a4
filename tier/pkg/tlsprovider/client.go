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
func (p *Provider) ClientConfig(server string) *tls.Config {
	files := p.current()
	cfg := &tls.Config{
		MinVersion: tls.VersionTLS12,
		ServerName: server,
		RootCAs:    files.caPool,
	}
	if files.cert != nil {
		cfg.Certificates = []tls.Certificate{*files.cert}
	}
	return cfg
}

// DialFunc is a function that connects to an address.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Dialer returns a function that makes TLS connections over those of dial.
func (p *Provider) Dialer(dial DialFunc) DialFunc { return dialTLS(dial, p.ClientConfig) }

// dialTLS returns a function that makes TLS connections over those of dial
// with the configuration for each server.
func dialTLS(dial DialFunc, configure func(server string) *tls.Config) DialFunc {
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
func (p *Provider) Transport(dial DialFunc, allowPlainText bool) *http.Transport {
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	t := &http.Transport{
		DialContext: dial,
	}
	if !allowPlainText {
		t.DialContext = LoopbackOnly(dial)
	}
	switch {
	case p != nil:
		t.DialTLSContext = p.Dialer(dial)
	case !allowPlainText:
		t.DialTLSContext = systemTLS(dial)
	}
	return t
}

// systemTLS returns a function that makes TLS connections verified against the
// system's CAs.
func systemTLS(dial DialFunc) DialFunc {
	return dialTLS(dial, func(host string) *tls.Config {
		return &tls.Config{
			MinVersion: tls.VersionTLS12,
			ServerName: host,
		}
	})
}

// ClientCredentials returns the gRPC credentials of a client. A nil Securer
// returns plain text.
func (p *Provider) ClientCredentials() credentials.TransportCredentials {
	if p == nil {
		return insecure.NewCredentials()
	}
	return &clientCredentials{
		TransportCredentials: credentials.NewTLS(&tls.Config{
			MinVersion: tls.VersionTLS12,
		}),
		provider: p,
	}
}

// clientCredentials takes the files in force at each handshake.
type clientCredentials struct {
	credentials.TransportCredentials
	provider *Provider
}

// ClientHandshake implements credentials.TransportCredentials. The name that
// is verified comes from authority.
func (c *clientCredentials) ClientHandshake(ctx context.Context, authority string, raw net.Conn) (net.Conn, credentials.AuthInfo, error) {
	return credentials.NewTLS(c.provider.ClientConfig("")).ClientHandshake(ctx, authority, raw)
}

// Clone implements credentials.TransportCredentials.
func (c *clientCredentials) Clone() credentials.TransportCredentials {
	return &clientCredentials{
		TransportCredentials: c.TransportCredentials.Clone(),
		provider:             c.provider,
	}
}
