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

// ClientConfig returns the TLS configuration for one connection to the server
// with a name or IP address. It uses the certificate and CA loaded last.
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

// DialFunc connects to an address, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Dialer returns a function that connects with dial and makes a TLS handshake. Each
// connection uses the certificate and CA loaded last.
func (p *Provider) Dialer(dial DialFunc) DialFunc { return dialTLS(dial, p.ClientConfig) }

// dialTLS returns a function that connects with dial and makes a TLS handshake
// with the configuration that configure returns for the server.
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
			return nil, eris.Wrapf(err, "TLS handshake: peer %s", address)
		}
		return conn, nil
	}
}

// LoopbackOnly returns a function that connects with dial to loopback addresses
// and returns ErrPlainText for all others.
func LoopbackOnly(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		a, err := netip.ParseAddrPort(address)
		if err != nil || !a.Addr().IsLoopback() {
			return nil, eris.Wrapf(ErrPlainText, "dial: peer %s", address)
		}
		return dial(ctx, network, address)
	}
}

// Transport returns an HTTP transport that connects with dial, or with a default
// net.Dialer if dial is nil. The servers of https URLs are verified against the
// CA loaded last; a nil Provider verifies them against the system's CAs. http
// URLs off loopback are refused with ErrPlainText unless allowPlainText is true.
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

// systemTLS returns a function that connects with dial and makes a TLS handshake,
// verifying the server against the system's CAs.
func systemTLS(dial DialFunc) DialFunc {
	return dialTLS(dial, func(host string) *tls.Config {
		return &tls.Config{
			MinVersion: tls.VersionTLS12,
			ServerName: host,
		}
	})
}

// ClientCredentials returns the gRPC transport credentials of a client. For a nil
// Provider they are those of plain text.
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

// clientCredentials are TLS credentials that use, at each handshake, the
// certificate and CA loaded last.
type clientCredentials struct {
	credentials.TransportCredentials
	provider *Provider
}

// ClientHandshake implements credentials.TransportCredentials. The server's
// certificate must match authority.
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
