package tlsprovider

import (
	"crypto/tls"
	"net"

	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
)

// ClientAuth tells which client certificates a listener asks for.
type ClientAuth int

const (
	// ClientAuthNone asks for none.
	ClientAuthNone ClientAuth = iota
	// ClientAuthOptional verifies a certificate if the client presents one.
	ClientAuthOptional
	// ClientAuthRequired requires a certificate of the CA.
	ClientAuthRequired
)

// clientAuthTypes maps Clients to the values of crypto/tls.
var clientAuthTypes = map[ClientAuth]tls.ClientAuthType{
	ClientAuthNone:     tls.NoClientCert,
	ClientAuthOptional: tls.VerifyClientCertIfGiven,
	ClientAuthRequired: tls.RequireAndVerifyClientCert,
}

// ServerConfig returns the TLS configuration of a listener. Each handshake uses the
// files then in force.
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
				// A resumed session would outlive a CA that was replaced.
				SessionTicketsDisabled: auth != ClientAuthNone,
			}, nil
		},
	}
}

// WrapListener wraps a listener with TLS. A nil Securer returns it unchanged.
func (p *Provider) WrapListener(l net.Listener, auth ClientAuth) net.Listener {
	if p == nil {
		return l
	}
	return tls.NewListener(l, p.ServerConfig(auth))
}

// ServerCredentials returns the gRPC credentials of a server that requires
// client certificates. A nil Securer returns plain text.
func (p *Provider) ServerCredentials() credentials.TransportCredentials {
	if p == nil {
		return insecure.NewCredentials()
	}
	return credentials.NewTLS(p.ServerConfig(ClientAuthRequired))
}
