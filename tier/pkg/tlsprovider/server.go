package tlsprovider

import (
	"crypto/tls"
	"net"

	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
)

// ClientAuth tells whether a listener requests client certificates and verifies
// them.
type ClientAuth int

const (
	// ClientAuthNone requests no certificate.
	ClientAuthNone ClientAuth = iota
	// ClientAuthOptional verifies a certificate if the client presents one.
	ClientAuthOptional
	// ClientAuthRequired requires a certificate that the CA has issued.
	ClientAuthRequired
)

// clientAuthTypes maps ClientAuth to the values of crypto/tls.
var clientAuthTypes = map[ClientAuth]tls.ClientAuthType{
	ClientAuthNone:     tls.NoClientCert,
	ClientAuthOptional: tls.VerifyClientCertIfGiven,
	ClientAuthRequired: tls.RequireAndVerifyClientCert,
}

// ServerConfig returns the TLS configuration of a listener. Each handshake uses
// the certificate and CA loaded last, and fails with ErrNoCertificate if there
// is no certificate.
func (p *Provider) ServerConfig(auth ClientAuth) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			files := p.current()
			if files.cert == nil {
				return nil, ErrNoCertificate
			}
			return &tls.Config{
				MinVersion:   tls.VersionTLS12,
				Certificates: []tls.Certificate{*files.cert},
				NextProtos:   []string{"h2", "http/1.1"},
				ClientAuth:   clientAuthTypes[auth],
				ClientCAs:    files.caPool,
				// A resumed session skips verification, so a client of a CA
				// that was replaced could still connect.
				SessionTicketsDisabled: auth != ClientAuthNone,
			}, nil
		},
	}
}

// WrapListener wraps a listener with TLS. A nil Provider returns it unchanged.
func (p *Provider) WrapListener(l net.Listener, auth ClientAuth) net.Listener {
	if p == nil {
		return l
	}
	return tls.NewListener(l, p.ServerConfig(auth))
}

// ServerCredentials returns the gRPC transport credentials of a server that requires
// client certificates. For a nil Provider they are those of plain text.
func (p *Provider) ServerCredentials() credentials.TransportCredentials {
	if p == nil {
		return insecure.NewCredentials()
	}
	return credentials.NewTLS(p.ServerConfig(ClientAuthRequired))
}
