// Package tlsprovider provides TLS for listeners and connections from PEM files,
// which are read again when they change.
package tlsprovider

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"

	"plantaincleat/tier/gen/settings"
)

// checkInterval is the time between two looks at the files.
const checkInterval = 5 * time.Second

// Errors of listeners and connections.
var (
	// ErrNoCertificate reports a listener without a certificate.
	ErrNoCertificate = errors.New("security.certificate is needed by a listener")
	// ErrPlainText reports plain text to an address other than loopback.
	ErrPlainText = errors.New("plain text is refused to addresses other than loopback")
)

// material is what the files held when they were read.
type material struct {
	cert *tls.Certificate
	pool *x509.CertPool
}

// Provider holds the certificate and the CA now in force. A nil Securer stands
// for plain text. It is safe for concurrent use.
type Provider struct {
	files *settings.Security
	clock clockwork.Clock

	mu      sync.Mutex
	checked time.Time
	stamp   string
	failure string
	now     material
}

// New reads the files. It returns nil if neither a certificate nor a CA is
// configured. With a CA alone, connections present no certificate and
// listeners are refused.
func New(files *settings.Security, clock clockwork.Clock) (*Provider, error) {
	if files.GetCertificate() == "" && files.GetCa() == "" {
		return nil, nil
	}
	s := &Provider{
		files:   files,
		clock:   clock,
		checked: clock.Now(),
	}
	s.stamp = s.look()
	var err error
	if s.now, err = s.read(); err != nil {
		return nil, err
	}
	return s, nil
}

// read reads all files.
func (s *Provider) read() (material, error) {
	m := material{
		pool: x509.NewCertPool(),
	}
	if s.files.GetCertificate() != "" {
		cert, err := tls.LoadX509KeyPair(s.files.GetCertificate(), s.files.GetKey())
		if err != nil {
			return material{}, eris.Wrap(err, "security.certificate")
		}
		m.cert = &cert
	}
	pem, err := os.ReadFile(s.files.GetCa())
	if err != nil {
		return material{}, eris.Wrap(err, "security.ca")
	}
	if !m.pool.AppendCertsFromPEM(pem) {
		return material{}, eris.Errorf("security.ca: no certificate in %s", s.files.GetCa())
	}
	return m, nil
}

// look returns a text that changes when one of the files does.
func (s *Provider) look() string {
	var b strings.Builder
	for _, f := range []string{s.files.GetCertificate(), s.files.GetKey(), s.files.GetCa()} {
		if info, err := os.Stat(f); err == nil {
			_, _ = fmt.Fprintf(&b, "%d %d;", info.ModTime().UnixNano(), info.Size())
		} else {
			b.WriteString("-;")
		}
	}
	return b.String()
}

// current returns what is in force, after reading the files again if they
// changed.
func (s *Provider) current() material {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := s.clock.Now(); now.Sub(s.checked) >= checkInterval {
		s.checked = now
		s.reload()
	}
	return s.now
}

// reload reads changed files, and those that could not be read the last time.
// Files that do not go together leave the earlier ones in force; the reason is
// logged once.
func (s *Provider) reload() {
	stamp := s.look()
	if stamp == s.stamp && s.failure == "" {
		return
	}
	m, err := s.read()
	if err != nil {
		if s.failure != err.Error() {
			slog.Error("TLS files not taken over", "error", err.Error())
		}
		s.failure = err.Error()
		return
	}
	s.now, s.stamp, s.failure = m, stamp, ""
	slog.Info("TLS files taken over", "certificate", s.files.GetCertificate())
}
