// Package securer provides TLS for listeners and connections from PEM files,
// which are read again when they change.
package securer

import (
	"crypto/tls"
	"crypto/x509"
	"net"
	"os"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"

	"plantaincleat/tier/gen/settings"
)

// checkInterval is the time between two looks at the files' modification
// times.
const checkInterval = 5 * time.Second

// Securer holds the certificate and the CA now in force. It is safe for
// concurrent use.
type Securer struct {
	files *settings.Security
	clock clockwork.Clock

	mu      sync.Mutex
	checked time.Time
	stamp   time.Time
	cert    *tls.Certificate
	pool    *x509.CertPool
}

// New reads the files. It returns nil if no certificate is configured, which
// stands for plain text.
func New(files *settings.Security, clock clockwork.Clock) (*Securer, error) {
	if files.GetCertificate() == "" {
		return nil, nil
	}
	s := &Securer{
		files: files,
		clock: clock,
	}
	if err := s.load(); err != nil {
		return nil, err
	}
	return s, nil
}

func (s *Securer) load() error {
	cert, err := tls.LoadX509KeyPair(s.files.GetCertificate(), s.files.GetKey())
	if err != nil {
		return eris.Wrap(err, "security.certificate")
	}
	pem, err := os.ReadFile(s.files.GetCa())
	if err != nil {
		return eris.Wrap(err, "security.ca")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return eris.Errorf("security.ca: no certificate in %s", s.files.GetCa())
	}
	s.cert, s.pool, s.stamp = &cert, pool, s.modified()
	return nil
}

// modified returns the latest modification time of the files.
func (s *Securer) modified() time.Time {
	var last time.Time
	for _, f := range []string{s.files.GetCertificate(), s.files.GetKey(), s.files.GetCa()} {
		if info, err := os.Stat(f); err == nil && info.ModTime().After(last) {
			last = info.ModTime()
		}
	}
	return last
}

// current returns the certificate and the CA. Files that cannot be read leave
// the earlier ones in force.
func (s *Securer) current() (*tls.Certificate, *x509.CertPool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := s.clock.Now(); now.Sub(s.checked) >= checkInterval {
		s.checked = now
		if s.modified().After(s.stamp) {
			_ = s.load()
		}
	}
	return s.cert, s.pool
}

// Server returns the TLS configuration of a listener. mutual requires client
// certificates of the CA.
func (s *Securer) Server(mutual bool) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			cert, pool := s.current()
			cfg := &tls.Config{
				MinVersion:   tls.VersionTLS12,
				Certificates: []tls.Certificate{*cert},
				NextProtos:   []string{"h2", "http/1.1"},
			}
			if mutual {
				cfg.ClientAuth = tls.RequireAndVerifyClientCert
				cfg.ClientCAs = pool
			}
			return cfg, nil
		},
	}
}

// Client returns the TLS configuration of connections.
func (s *Securer) Client() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			cert, _ := s.current()
			return cert, nil
		},
		// The chain is verified below against the CA in force, which RootCAs
		// could not follow.
		InsecureSkipVerify: true,
		VerifyConnection:   s.verify,
	}
}

func (s *Securer) verify(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return eris.New("peer sent no certificate")
	}
	_, pool := s.current()
	opts := x509.VerifyOptions{
		DNSName:       state.ServerName,
		Roots:         pool,
		Intermediates: x509.NewCertPool(),
	}
	for _, c := range state.PeerCertificates[1:] {
		opts.Intermediates.AddCert(c)
	}
	_, err := state.PeerCertificates[0].Verify(opts)
	return err
}

// Listen wraps a listener with TLS. A nil Securer returns it unchanged.
func (s *Securer) Listen(l net.Listener, mutual bool) net.Listener {
	if s == nil {
		return l
	}
	return tls.NewListener(l, s.Server(mutual))
}

// ServerCredentials returns the gRPC credentials of a server that requires
// client certificates. A nil Securer returns plain text.
func (s *Securer) ServerCredentials() credentials.TransportCredentials {
	if s == nil {
		return insecure.NewCredentials()
	}
	return credentials.NewTLS(s.Server(true))
}

// ClientCredentials returns the gRPC credentials of a client. A nil Securer
// returns plain text.
func (s *Securer) ClientCredentials() credentials.TransportCredentials {
	if s == nil {
		return insecure.NewCredentials()
	}
	return credentials.NewTLS(s.Client())
}
