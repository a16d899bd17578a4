package prover

import (
	"context"
	"crypto/tls"
	"math/big"
	"net/http"
	"strings"
	"testing"
	"time"

	"plantaincleat/loadgen/pkg/balancer"
	"plantaincleat/loadgen/pkg/caller"
	"plantaincleat/loadgen/pkg/deploymentplanner"
	"plantaincleat/loadgen/pkg/driver"
	"plantaincleat/loadgen/pkg/resultcollector"
	"plantaincleat/loadgen/pkg/scheduler"
	"plantaincleat/loadgen/pkg/verifier"
	"plantaincleat/prover/pkg/deployer"
	"plantaincleat/tier/gen/settings"
	"plantaincleat/tier/pkg/tlsprovider"
)

// TestDeploymentUnderTLS runs searches, mutations and operators' commands with
// TLS on every listener and link.
func TestDeploymentUnderTLS(t *testing.T) {
	s, applied := deployer.NewSecureDeployment(t, newOptions(t, programs))
	if applied.Code != 0 {
		t.Fatalf("config apply --wait: code %d: %s", applied.Code, applied.Stderr)
	}
	for _, m := range s.Daemons() {
		if !strings.Contains(applied.Stdout, m.Settings.GetId()) {
			t.Errorf("config apply --wait does not name %s: %s", m.Settings.GetId(), applied.Stdout)
		}
	}
	for _, args := range [][]string{{"status"}, {"quarantine", "list"}} {
		if c := s.SecureCtl(args...); c.Code != 0 {
			t.Errorf("%v: code %d: %s", args, c.Code, c.Stderr)
		}
	}
	r := runLoadOverTLS(t, s)
	checkReport(t, r)
	for _, c := range r.Steps[0].Classes {
		if c.Answered == 0 || c.Lost > 0 {
			t.Errorf("class %s: %d answered, %d lost", c.Name, c.Answered, c.Lost)
		}
	}
	checkListenerAccess(t, s)
	checkPeerListener(t, s)
	checkCertificateRotation(t, s)
	target := s.Config().GetTargets()[0].GetId()
	s.MarkTargetDraining(target)
	s.WaitUntil("the daemons list the draining target of the host list", func() bool {
		return strings.Contains(s.SecureCtl("status").Stdout, "leaving targets: "+target)
	})
}

// runLoadOverTLS runs a verified load of all classes on the daemons for 2 s.
// The balancer and the callers have no certificate.
func runLoadOverTLS(t *testing.T, s *deployer.SecureDeployment) *resultcollector.Report {
	t.Helper()
	b, err := balancer.New(s.BalancerEntries(), nil)
	if err != nil {
		t.Fatal(err)
	}
	b.SetTLS(s.CallerTLS())
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go b.Run(ctx)
	c := caller.New(b)
	defer c.Close()
	c.SetTLS(s.CallerTLS())
	return driver.New(c, driver.Options{
		Load: scheduler.Options{
			Classes: s.Profile().Classes,
			Steps: []scheduler.Step{{
				Factor:   1,
				Rate:     50,
				Duration: 2 * time.Second,
			}},
			Seed: 1,
		},
		Institution: s.Profile().Name,
		Version:     deploymentplanner.SchemaVersion,
		LostAfter:   3 * time.Second,
		MaxInFlight: 1000,
		Verifier:    verifier.New(s.Config()),
	}).Run(ctx)
}

// checkListenerAccess checks what the listeners of one daemon answer to clients
// with and without a certificate, and to plain text.
func checkListenerAccess(t *testing.T, s *deployer.SecureDeployment) {
	t.Helper()
	l := s.Daemons()[0].Settings.GetListen()
	anonymous := s.HTTPClient(&settings.Security{
		Ca: s.OperatorFiles().GetCa(),
	})
	cases := []struct {
		name        string
		client      *http.Client
		method, url string
		// want is the expected status, 0 for no answer.
		want int
	}{
		{name: "readiness", client: anonymous, method: http.MethodGet, url: "https://" + l.GetAdmin() + "/readyz", want: http.StatusOK},
		{name: "liveness", client: anonymous, method: http.MethodGet, url: "https://" + l.GetAdmin() + "/livez", want: http.StatusOK},
		{name: "status", client: anonymous, method: http.MethodGet, url: "https://" + l.GetAdmin() + "/status", want: http.StatusForbidden},
		{name: "metrics", client: anonymous, method: http.MethodGet, url: "https://" + l.GetAdmin() + "/debug/vars", want: http.StatusForbidden},
		{name: "quarantine", client: anonymous, method: http.MethodDelete, url: "https://" + l.GetAdmin() + "/quarantine/1", want: http.StatusForbidden},
		{name: "operator", client: s.HTTPClient(s.OperatorFiles()), method: http.MethodGet, url: "https://" + l.GetAdmin() + "/status", want: http.StatusOK},
		{name: "plain text to callers' listener", client: anonymous, method: http.MethodGet, url: "http://" + l.GetHttp(), want: http.StatusBadRequest},
		{name: "plain text to peer listener", client: anonymous, method: http.MethodGet, url: "http://" + l.GetPeer()},
	}
	for _, c := range cases {
		got := 0
		r, err := http.NewRequest(c.method, c.url, nil)
		if err != nil {
			t.Fatal(err)
		}
		if resp, err := c.client.Do(r); err == nil {
			got = resp.StatusCode
			_ = resp.Body.Close()
		}
		if got != c.want {
			t.Errorf("%s: status %d, want %d", c.name, got, c.want)
		}
	}
}

// checkPeerListener connects to the peer listener as gRPC does, with and
// without a certificate. Only the first may succeed.
func checkPeerListener(t *testing.T, s *deployer.SecureDeployment) {
	t.Helper()
	address := s.Daemons()[0].Settings.GetListen().GetPeer()
	if err := connectHTTP2(s.OperatorTLS(), address); err != nil {
		t.Errorf("peer listener with a certificate: %v", err)
	}
	if connectHTTP2(s.CallerTLS(), address) == nil {
		t.Error("peer listener accepted a client without a certificate")
	}
}

// connectHTTP2 does a TLS handshake and reads the first byte of the HTTP/2
// settings, which the server sends only after it has accepted the client.
func connectHTTP2(provider *tlsprovider.Provider, address string) error {
	host, _, _ := strings.Cut(address, ":")
	cfg := provider.ClientConfig(host)
	cfg.NextProtos = []string{"h2"}
	c, err := tls.Dial("tcp", address, cfg)
	if err != nil {
		return err
	}
	defer func() { _ = c.Close() }()
	_, err = c.Read(make([]byte, 1))
	return err
}

// checkCertificateRotation replaces the certificate file of a daemon and waits
// until the daemon serves the new certificate. The daemon must go on running.
func checkCertificateRotation(t *testing.T, s *deployer.SecureDeployment) {
	t.Helper()
	m := s.Daemons()[0]
	address := m.Settings.GetListen().GetHttp()
	before := certificateSerial(t, s, address)
	s.IssueCertificate(m.Settings.GetId(), address)
	s.WaitUntil("the new certificate is served", func() bool { return certificateSerial(t, s, address).Cmp(before) != 0 })
	if m.Ended() {
		t.Error("the daemon ended during the rotation")
	}
	if c := s.SecureCtl("status"); c.Code != 0 {
		t.Errorf("status after the rotation: code %d: %s", c.Code, c.Stderr)
	}
}

// certificateSerial returns the serial number of the certificate that is served
// at an address.
func certificateSerial(t *testing.T, s *deployer.SecureDeployment, address string) *big.Int {
	t.Helper()
	host, _, _ := strings.Cut(address, ":")
	c, err := tls.Dial("tcp", address, s.CallerTLS().ClientConfig(host))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	return c.ConnectionState().PeerCertificates[0].SerialNumber
}
