package securer

import (
	"crypto/tls"
	"net"

	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
)

// Clients tells which client certificates a listener asks for.
type Clients int

const (
	// ClientsAnonymous asks for none.
	ClientsAnonymous Clients = iota
	// ClientsOptional verifies a certificate if the client presents one.
	ClientsOptional
	// ClientsVerified requires a certificate of the CA.
	ClientsVerified
)

// types maps Clients to the values of crypto/tls.
var types = map[Clients]tls.ClientAuthType{
	ClientsAnonymous: tls.NoClientCert,
	ClientsOptional:  tls.VerifyClientCertIfGiven,
	ClientsVerified:  tls.RequireAndVerifyClientCert,
}

// Server returns the TLS configuration of a listener. Each handshake uses the
// files then in force.
func (s *Securer) Server(clients Clients) *tls.Config {
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
				SessionTicketsDisabled: clients != ClientsAnonymous,
			}, nil
		},
	}
}

// Listen wraps a listener with TLS. A nil Securer returns it unchanged.
func (s *Securer) Listen(l net.Listener, clients Clients) net.Listener {
	if s == nil {
		return l
	}
	return tls.NewListener(l, s.Server(clients))
}

// ServerCredentials returns the gRPC credentials of a server that requires
// client certificates. A nil Securer returns plain text.
func (s *Securer) ServerCredentials() credentials.TransportCredentials {
	if s == nil {
		return insecure.NewCredentials()
	}
	return credentials.NewTLS(s.Server(ClientsVerified))
}
