package tlsprovider

import (
	"bytes"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"log/slog"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	"plantaincleat/tier/gen/settings"
)

// testCA issues certificates and writes them as PEM files.
type testCA struct {
	t    *testing.T
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newTestCA(t *testing.T) *testCA {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	a := &testCA{
		t:   t,
		key: key,
		cert: &x509.Certificate{
			SerialNumber:          big.NewInt(1),
			Subject:               pkix.Name{CommonName: t.Name()},
			NotAfter:              time.Now().Add(time.Hour),
			IsCA:                  true,
			BasicConstraintsValid: true,
			KeyUsage:              x509.KeyUsageCertSign,
		},
	}
	der, err := x509.CreateCertificate(rand.Reader, a.cert, a.cert, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	if a.cert, err = x509.ParseCertificate(der); err != nil {
		t.Fatal(err)
	}
	return a
}

// issue issues a certificate for an IP address and writes the files of the
// certificate, its key and the CA to dir.
func (a *testCA) issue(dir, ip string, serial int64) *settings.Security {
	a.t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		a.t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial),
		NotAfter:     time.Now().Add(time.Hour),
		IPAddresses:  []net.IP{net.ParseIP(ip)},
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	if err != nil {
		a.t.Fatal(err)
	}
	private, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		a.t.Fatal(err)
	}
	return &settings.Security{
		Certificate: a.writePEM(dir, "cert.pem", "CERTIFICATE", der),
		Key:         a.writePEM(dir, "key.pem", "PRIVATE KEY", private),
		Ca:          a.writePEM(dir, "ca.pem", "CERTIFICATE", a.cert.Raw),
	}
}

func (a *testCA) writePEM(dir, name, kind string, der []byte) string {
	a.t.Helper()
	file := filepath.Join(dir, name)
	if err := os.WriteFile(file, pem.EncodeToMemory(&pem.Block{
		Type:  kind,
		Bytes: der,
	}), 0o600); err != nil {
		a.t.Fatal(err)
	}
	return file
}

func mustNew(t *testing.T, files *settings.Security, clock clockwork.Clock) *Provider {
	t.Helper()
	s, err := New(files, clock)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// handshake makes a TLS handshake over loopback and returns the serial number of
// the server's certificate.
func handshake(t *testing.T, server, client *tls.Config) (int64, error) {
	t.Helper()
	l, err := tls.Listen("tcp", "127.0.0.1:0", server)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	go func() {
		if c, err := l.Accept(); err == nil {
			_, _ = c.Write([]byte{1})
			_ = c.Close()
		}
	}()
	c, err := tls.Dial("tcp", l.Addr().String(), client)
	if err != nil {
		return 0, err
	}
	defer func() { _ = c.Close() }()
	// With TLS 1.3, the client learns only from its first read that the server
	// refused its certificate.
	if _, err := c.Read(make([]byte, 1)); err != nil {
		return 0, err
	}
	return c.ConnectionState().PeerCertificates[0].SerialNumber.Int64(), nil
}

func TestHandshake(t *testing.T) {
	clock := clockwork.NewFakeClock()
	ca, otherCA := newTestCA(t), newTestCA(t)
	files := ca.issue(t.TempDir(), "127.0.0.1", 7)
	valid := mustNew(t, files, clock)
	ofOtherCA := mustNew(t, otherCA.issue(t.TempDir(), "127.0.0.1", 8), clock)
	ofOtherAddress := mustNew(t, ca.issue(t.TempDir(), "127.0.0.2", 9), clock)
	caOnly := mustNew(t, &settings.Security{
		Ca: files.GetCa(),
	}, clock)
	// otherCAClient trusts the server, but another CA issued its certificate.
	otherCAClient := ofOtherCA.ClientConfig("127.0.0.1")
	otherCAClient.RootCAs = valid.loaded.caPool
	cases := []struct {
		name    string
		server  *tls.Config
		client  *tls.Config
		refused bool
	}{
		{name: "mutual", server: valid.ServerConfig(ClientAuthRequired), client: valid.ClientConfig("127.0.0.1")},
		{name: "mutual without a certificate", server: valid.ServerConfig(ClientAuthRequired), client: caOnly.ClientConfig("127.0.0.1"), refused: true},
		{name: "mutual with a certificate of another CA", server: valid.ServerConfig(ClientAuthRequired), client: otherCAClient, refused: true},
		{name: "anonymous", server: valid.ServerConfig(ClientAuthNone), client: caOnly.ClientConfig("127.0.0.1")},
		{name: "optional without a certificate", server: valid.ServerConfig(ClientAuthOptional), client: caOnly.ClientConfig("127.0.0.1")},
		{name: "optional with a certificate of another CA", server: valid.ServerConfig(ClientAuthOptional), client: otherCAClient, refused: true},
		{name: "server of another CA", server: ofOtherCA.ServerConfig(ClientAuthNone), client: valid.ClientConfig("127.0.0.1"), refused: true},
		{name: "server of another address", server: ofOtherAddress.ServerConfig(ClientAuthNone), client: valid.ClientConfig("127.0.0.1"), refused: true},
		{name: "listener without a certificate", server: caOnly.ServerConfig(ClientAuthNone), client: valid.ClientConfig("127.0.0.1"), refused: true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if _, err := handshake(t, c.server, c.client); (err != nil) != c.refused {
				t.Errorf("handshake refused = %v, want %v: %v", err != nil, c.refused, err)
			}
		})
	}
}

// TestCredentials calls a method that the server does not have. The code is
// Unimplemented if the connection was made and Unavailable if it was not.
func TestCredentials(t *testing.T) {
	clock := clockwork.NewFakeClock()
	ca := newTestCA(t)
	files := ca.issue(t.TempDir(), "127.0.0.1", 1)
	valid := mustNew(t, files, clock)
	caOnly := mustNew(t, &settings.Security{
		Ca: files.GetCa(),
	}, clock)
	ofOtherAddress := mustNew(t, ca.issue(t.TempDir(), "127.0.0.2", 2), clock)
	ofOtherCA := mustNew(t, newTestCA(t).issue(t.TempDir(), "127.0.0.1", 3), clock)
	cases := []struct {
		name           string
		server, client *Provider
		want           codes.Code
	}{
		{name: "mutual", server: valid, client: valid, want: codes.Unimplemented},
		{name: "plain text", want: codes.Unimplemented},
		{name: "plain client", server: valid, want: codes.Unavailable},
		{name: "client without a certificate", server: valid, client: caOnly, want: codes.Unavailable},
		{name: "client of another CA", server: valid, client: ofOtherCA, want: codes.Unavailable},
		{name: "server of another address", server: ofOtherAddress, client: valid, want: codes.Unavailable},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			g := grpc.NewServer(grpc.Creds(c.server.ServerCredentials()))
			defer g.Stop()
			go func() { _ = g.Serve(l) }()
			conn, err := grpc.NewClient("passthrough:///"+l.Addr().String(), grpc.WithTransportCredentials(c.client.ClientCredentials()))
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			err = conn.Invoke(context.Background(), "/none/None", &settings.Log{}, &settings.Log{})
			if got := status.Code(err); got != c.want {
				t.Errorf("code %s, want %s: %v", got, c.want, err)
			}
		})
	}
}

func TestReload(t *testing.T) {
	var log bytes.Buffer
	defer slog.SetDefault(slog.Default())
	slog.SetDefault(slog.New(slog.NewTextHandler(&log, nil)))
	clock := clockwork.NewFakeClock()
	ca, nextCA := newTestCA(t), newTestCA(t)
	dir := t.TempDir()
	files := ca.issue(dir, "127.0.0.1", 1)
	s := mustNew(t, files, clock)
	server := s.ServerConfig(ClientAuthRequired)
	check := func(step string, want int64) {
		t.Helper()
		clock.Advance(checkInterval)
		got, err := handshake(t, server, s.ClientConfig("127.0.0.1"))
		if err != nil || got != want {
			t.Errorf("%s: serial %d, want %d: %v", step, got, want, err)
		}
	}
	check("first files", 1)
	ca.issue(dir, "127.0.0.1", 22)
	check("new certificate", 22)
	if err := os.WriteFile(files.GetKey(), []byte("garbled"), 0o600); err != nil {
		t.Fatal(err)
	}
	check("broken key", 22)
	check("broken key, second check", 22)
	if n := strings.Count(log.String(), "TLS files could not be reloaded"); n != 1 {
		t.Errorf("the failed reload was logged %d times, want 1", n)
	}
	nextCA.issue(dir, "127.0.0.1", 333)
	check("new CA", 333)
	if _, err := handshake(t, server, mustNew(t, ca.issue(t.TempDir(), "127.0.0.1", 4), clock).ClientConfig("127.0.0.1")); err == nil {
		t.Error("a client of the replaced CA was accepted")
	}
}

// TestTransportPlainText makes no connection: a fake dial function reports
// whether the transport refused the address before dialing.
func TestTransportPlainText(t *testing.T) {
	errDialed := errors.New("dialled")
	dial := func(context.Context, string, string) (net.Conn, error) { return nil, errDialed }
	var none *Provider
	cases := []struct {
		url   string
		plain bool
		want  error
	}{
		{url: "http://127.0.0.1:1", want: errDialed},
		{url: "http://[::1]:1", want: errDialed},
		{url: "http://192.0.2.1:1", want: ErrPlainText},
		{url: "http://192.0.2.1:1", plain: true, want: errDialed},
		{url: "https://192.0.2.1:1", want: errDialed},
	}
	for _, c := range cases {
		client := http.Client{
			Transport: none.Transport(dial, c.plain),
		}
		resp, err := client.Get(c.url)
		if err == nil {
			_ = resp.Body.Close()
		}
		if !errors.Is(err, c.want) {
			t.Errorf("%s with plain %v: %v, want %v", c.url, c.plain, err, c.want)
		}
	}
}

func TestNewWithoutFiles(t *testing.T) {
	s := mustNew(t, nil, clockwork.NewFakeClock())
	if s != nil {
		t.Fatal("New without files returned a Provider, want nil")
	}
	if got := s.ClientCredentials().Info().SecurityProtocol; got != insecure.NewCredentials().Info().SecurityProtocol {
		t.Errorf("security protocol of a nil Provider is %q", got)
	}
}
