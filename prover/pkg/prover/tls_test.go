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

// TestWholePathUnderTLS runs queries, mutations and operators' calls with TLS on
// every listener and link.
func TestWholePathUnderTLS(t *testing.T) {
	s, applied := deployer.NewSecure(t, options(t, programs))
	if applied.Code != 0 {
		t.Fatalf("config apply --wait: code %d: %s", applied.Code, applied.Stderr)
	}
	for _, m := range s.Daemons() {
		if !strings.Contains(applied.Stdout, m.Settings.GetId()) {
			t.Errorf("config apply --wait does not name %s: %s", m.Settings.GetId(), applied.Stdout)
		}
	}
	for _, args := range [][]string{{"status"}, {"quarantine", "list"}} {
		if c := s.Tool(args...); c.Code != 0 {
			t.Errorf("%v: code %d: %s", args, c.Code, c.Stderr)
		}
	}
	r := secureLoad(t, s)
	check(t, r)
	for _, c := range r.Steps[0].Classes {
		if c.Answered == 0 || c.Lost > 0 {
			t.Errorf("class %s: %d answered, %d lost", c.Name, c.Answered, c.Lost)
		}
	}
	checkEdges(t, s)
	checkPeer(t, s)
	checkRotation(t, s)
	target := s.Config().GetTargets()[0].GetId()
	s.Leave(target)
	s.Until("the daemons learn of a leaving target from the host list", func() bool {
		return strings.Contains(s.Tool("status").Stdout, "leaving targets: "+target)
	})
}

// secureLoad puts a verified load of all classes on the daemons. The balancer
// and the callers have no certificate.
func secureLoad(t *testing.T, s *deployer.Secure) *resultcollector.Report {
	t.Helper()
	b, err := balancer.New(s.Entries(), nil)
	if err != nil {
		t.Fatal(err)
	}
	b.SetTLS(s.Security())
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go b.Run(ctx)
	c := caller.New(b)
	defer c.Close()
	c.SetTLS(s.Security())
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

// checkEdges asks the listeners of one daemon as strangers do.
func checkEdges(t *testing.T, s *deployer.Secure) {
	t.Helper()
	l := s.Daemons()[0].Settings.GetListen()
	anonymous := s.Client(&settings.Security{
		Ca: s.Operator().GetCa(),
	})
	cases := []struct {
		name        string
		client      *http.Client
		method, url string
		// want is the status, 0 for no answer.
		want int
	}{
		{name: "readiness", client: anonymous, method: http.MethodGet, url: "https://" + l.GetAdmin() + "/readyz", want: http.StatusOK},
		{name: "liveness", client: anonymous, method: http.MethodGet, url: "https://" + l.GetAdmin() + "/livez", want: http.StatusOK},
		{name: "status", client: anonymous, method: http.MethodGet, url: "https://" + l.GetAdmin() + "/status", want: http.StatusForbidden},
		{name: "metrics", client: anonymous, method: http.MethodGet, url: "https://" + l.GetAdmin() + "/debug/vars", want: http.StatusForbidden},
		{name: "quarantine", client: anonymous, method: http.MethodDelete, url: "https://" + l.GetAdmin() + "/quarantine/1", want: http.StatusForbidden},
		{name: "operator", client: s.Client(s.Operator()), method: http.MethodGet, url: "https://" + l.GetAdmin() + "/status", want: http.StatusOK},
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

// checkPeer connects to the peer listener as gRPC does, with and without a
// certificate.
func checkPeer(t *testing.T, s *deployer.Secure) {
	t.Helper()
	address := s.Daemons()[0].Settings.GetListen().GetPeer()
	if err := hail(s.Operating(), address); err != nil {
		t.Errorf("peer listener with a certificate: %v", err)
	}
	if hail(s.Security(), address) == nil {
		t.Error("peer listener: no certificate was asked for")
	}
}

// hail makes a handshake and reads the first byte of the HTTP/2 settings, which
// a server sends once it has accepted the client.
func hail(secure *tlsprovider.Provider, address string) error {
	host, _, _ := strings.Cut(address, ":")
	cfg := secure.ClientConfig(host)
	cfg.NextProtos = []string{"h2"}
	c, err := tls.Dial("tcp", address, cfg)
	if err != nil {
		return err
	}
	defer func() { _ = c.Close() }()
	_, err = c.Read(make([]byte, 1))
	return err
}

// checkRotation replaces a certificate and waits until the daemon serves it.
func checkRotation(t *testing.T, s *deployer.Secure) {
	t.Helper()
	m := s.Daemons()[0]
	address := m.Settings.GetListen().GetHttp()
	before := serial(t, s, address)
	s.Issue(m.Settings.GetId(), address)
	s.Until("the new certificate is served", func() bool { return serial(t, s, address).Cmp(before) != 0 })
	if m.Ended() {
		t.Error("the daemon ended")
	}
	if c := s.Tool("status"); c.Code != 0 {
		t.Errorf("status after the rotation: code %d: %s", c.Code, c.Stderr)
	}
}

// serial returns the serial number of the certificate at an address.
func serial(t *testing.T, s *deployer.Secure, address string) *big.Int {
	t.Helper()
	host, _, _ := strings.Cut(address, ":")
	c, err := tls.Dial("tcp", address, s.Security().ClientConfig(host))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	return c.ConnectionState().PeerCertificates[0].SerialNumber
}
