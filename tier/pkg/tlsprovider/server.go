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

// types maps Clients to the values of crypto/tls.
var types = map[ClientAuth]tls.ClientAuthType{
	ClientAuthNone:     tls.NoClientCert,
	ClientAuthOptional: tls.VerifyClientCertIfGiven,
	ClientAuthRequired: tls.RequireAndVerifyClientCert,
}

// ServerConfig returns the TLS configuration of a listener. Each handshake uses the
// files then in force.
func (s *Provider) ServerConfig(clients ClientAuth) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			now := s.current()
			if now.cert == nil {
				return nil, ErrNoCertificate
			}
			return &tls.Config{
				MinVersion:   tls.VersionTLS12,
				Certificates: []tls.Certificate{*now.cert},
				NextProtos:   []string{"h2", "http/1.1"},
				ClientAuth:   types[clients],
				ClientCAs:    now.pool,
				// A resumed session would outlive a CA that was replaced.
				SessionTicketsDisabled: clients != ClientAuthNone,
			}, nil
		},
	}
}

// WrapListener wraps a listener with TLS. A nil Securer returns it unchanged.
func (s *Provider) WrapListener(l net.Listener, clients ClientAuth) net.Listener {
	if s == nil {
		return l
	}
	return tls.NewListener(l, s.ServerConfig(clients))
}

// ServerCredentials returns the gRPC credentials of a server that requires
// client certificates. A nil Securer returns plain text.
func (s *Provider) ServerCredentials() credentials.TransportCredentials {
	if s == nil {
		return insecure.NewCredentials()
	}
	return credentials.NewTLS(s.ServerConfig(ClientAuthRequired))
}
