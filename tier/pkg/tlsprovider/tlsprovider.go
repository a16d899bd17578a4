// Package tlsprovider provides TLS configurations for listeners and connections
// from PEM files. It reloads the files when they change.
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

// checkInterval is the least time between two checks whether the files changed.
const checkInterval = 5 * time.Second

// Errors of handshakes and connections.
var (
	// ErrNoCertificate reports a handshake on a listener for which no
	// certificate is configured.
	ErrNoCertificate = errors.New("listener needs security.certificate")
	// ErrPlainText reports a refused connection in plain text to an address
	// other than loopback.
	ErrPlainText = errors.New("plain text is only allowed to loopback addresses")
)

// loadedFiles is the content of the files when they were read. cert is nil if no
// certificate is configured.
type loadedFiles struct {
	cert   *tls.Certificate
	caPool *x509.CertPool
}

// Provider holds the certificate and the CA that were loaded last. A nil Provider
// means plain text. It is safe for concurrent use.
type Provider struct {
	files *settings.Security
	clock clockwork.Clock

	mu          sync.Mutex
	checkedAt   time.Time
	fingerprint string
	lastError   string
	loaded      loadedFiles
}

// New loads the files. It returns nil, nil if neither a certificate nor a CA is
// configured. With a CA alone, clients present no certificate and handshakes on
// listeners fail with ErrNoCertificate.
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

// read reads and parses all files.
func (p *Provider) read() (loadedFiles, error) {
	loaded := loadedFiles{
		caPool: x509.NewCertPool(),
	}
	if p.files.GetCertificate() != "" {
		cert, err := tls.LoadX509KeyPair(p.files.GetCertificate(), p.files.GetKey())
		if err != nil {
			return loadedFiles{}, eris.Wrap(err, "load security.certificate and security.key")
		}
		loaded.cert = &cert
	}
	pem, err := os.ReadFile(p.files.GetCa())
	if err != nil {
		return loadedFiles{}, eris.Wrap(err, "read security.ca")
	}
	if !loaded.caPool.AppendCertsFromPEM(pem) {
		return loadedFiles{}, eris.Errorf("read security.ca: no certificate in %s", p.files.GetCa())
	}
	return loaded, nil
}

// fileFingerprint returns the modification times and sizes of the files, as a
// string that differs when one of the files has changed.
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

// current returns the loaded files. It first reloads them if they have changed,
// checking at most once every checkInterval.
func (p *Provider) current() loadedFiles {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now := p.clock.Now(); now.Sub(p.checkedAt) >= checkInterval {
		p.checkedAt = now
		p.reload()
	}
	return p.loaded
}

// reload reads the files if they have changed or if the last attempt failed. If
// they can not be read or do not match, the previous ones stay in use and the
// error is logged, once for each distinct error in a row. The caller holds mu.
func (p *Provider) reload() {
	fingerprint := p.fileFingerprint()
	if fingerprint == p.fingerprint && p.lastError == "" {
		return
	}
	loaded, err := p.read()
	if err != nil {
		if p.lastError != err.Error() {
			slog.Error("TLS files could not be reloaded; the previous certificate and CA stay in use", "err", err.Error())
		}
		p.lastError = err.Error()
		return
	}
	p.loaded, p.fingerprint, p.lastError = loaded, fingerprint, ""
	slog.Info("TLS files reloaded after a change", "certificate", p.files.GetCertificate())
}
