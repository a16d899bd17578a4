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

// loadedFiles is what the files held when they were read.
type loadedFiles struct {
	cert   *tls.Certificate
	caPool *x509.CertPool
}

// Provider holds the certificate and the CA now in force. A nil Securer stands
// for plain text. It is safe for concurrent use.
type Provider struct {
	files *settings.Security
	clock clockwork.Clock

	mu          sync.Mutex
	checkedAt   time.Time
	fingerprint string
	lastError   string
	loaded      loadedFiles
}

// New reads the files. It returns nil if neither a certificate nor a CA is
// configured. With a CA alone, connections present no certificate and
// listeners are refused.
func New(files *settings.Security, clock clockwork.Clock) (*Provider, error) {
	if files.GetCertificate() == "" && files.GetCa() == "" {
		return nil, nil
	}
	p := &Provider{
		files:     files,
		clock:     clock,
		checkedAt: clock.Now(),
	}
	p.fingerprint = p.fileFingerprint()
	var err error
	if p.loaded, err = p.read(); err != nil {
		return nil, err
	}
	return p, nil
}

// read reads all files.
func (p *Provider) read() (loadedFiles, error) {
	m := loadedFiles{
		caPool: x509.NewCertPool(),
	}
	if p.files.GetCertificate() != "" {
		cert, err := tls.LoadX509KeyPair(p.files.GetCertificate(), p.files.GetKey())
		if err != nil {
			return loadedFiles{}, eris.Wrap(err, "security.certificate")
		}
		m.cert = &cert
	}
	pem, err := os.ReadFile(p.files.GetCa())
	if err != nil {
		return loadedFiles{}, eris.Wrap(err, "security.ca")
	}
	if !m.caPool.AppendCertsFromPEM(pem) {
		return loadedFiles{}, eris.Errorf("security.ca: no certificate in %s", p.files.GetCa())
	}
	return m, nil
}

// fileFingerprint returns a text that changes when one of the files does.
func (p *Provider) fileFingerprint() string {
	var b strings.Builder
	for _, f := range []string{p.files.GetCertificate(), p.files.GetKey(), p.files.GetCa()} {
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
func (p *Provider) current() loadedFiles {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now := p.clock.Now(); now.Sub(p.checkedAt) >= checkInterval {
		p.checkedAt = now
		p.reload()
	}
	return p.loaded
}

// reload reads changed files, and those that could not be read the last time.
// Files that do not go together leave the earlier ones in force; the reason is
// logged once.
func (p *Provider) reload() {
	fingerprint := p.fileFingerprint()
	if fingerprint == p.fingerprint && p.lastError == "" {
		return
	}
	m, err := p.read()
	if err != nil {
		if p.lastError != err.Error() {
			slog.Error("TLS files not taken over", "error", err.Error())
		}
		p.lastError = err.Error()
		return
	}
	p.loaded, p.fingerprint, p.lastError = m, fingerprint, ""
	slog.Info("TLS files taken over", "certificate", p.files.GetCertificate())
}
