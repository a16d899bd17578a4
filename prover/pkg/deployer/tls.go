package deployer

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"plantaincleat/loadgen/pkg/deploymentplanner"
	"plantaincleat/tier/gen/settings"
	"plantaincleat/tier/pkg/tlsprovider"
)

const (
	// certificateTime is the validity of the certificates of a test.
	certificateTime = 24 * time.Hour
	// serialBits is the length of a certificate's serial number.
	serialBits = 64
)

// Secure is a deployment in which every listener and link but the switches of
// the stand-ins uses TLS. No relays stand between its processes.
type Secure struct {
	*Deployment
	ca    *x509.Certificate
	caKey *ecdsa.PrivateKey
	tool  *settings.Security
	hosts *Process
}

// NewSecure starts a deployment under TLS, applies its configuration, waits
// until it is in force, and returns what the operators' tool printed.
func NewSecure(t testing.TB, o Options) (*Secure, Command) {
	t.Helper()
	port, lock, err := ClaimPorts()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = lock.Close() })
	s := &Secure{
		Deployment: &Deployment{
			t:         t,
			options:   o,
			directory: t.TempDir(),
			port:      port,
			client: &http.Client{
				Timeout: callTimeout,
			},
		},
	}
	s.plan = s.newPlan([]deploymentplanner.Snapshot{{
		ID:             "s1",
		ShardsPerGroup: 1,
	}})
	s.plan.Relay = false
	s.plan.HostsURL = "https://" + s.local(hostsPort) + "/hosts"
	s.cfg = s.plan.Config(false)
	s.newCA()
	s.tool = s.Issue("tool")
	t.Cleanup(s.end)
	s.startStandIns()
	s.startDaemons()
	return s, s.apply()
}

// newCA makes the CA of all processes.
func (s *Secure) newCA() {
	s.t.Helper()
	var err error
	if s.caKey, err = ecdsa.GenerateKey(elliptic.P256(), rand.Reader); err != nil {
		s.t.Fatal(err)
	}
	s.ca = &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: "prover"},
		NotAfter:              time.Now().Add(certificateTime),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, s.ca, s.ca, &s.caKey.PublicKey, s.caKey)
	if err != nil {
		s.t.Fatal(err)
	}
	s.writePEM("ca.pem", "CERTIFICATE", der)
}

// Issue writes a new certificate with its key for the IP addresses of a
// process and returns the names of the files.
func (s *Secure) Issue(name string, addresses ...string) *settings.Security {
	s.t.Helper()
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		s.t.Fatal(err)
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		s.t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotAfter:     time.Now().Add(certificateTime),
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	for _, a := range addresses {
		template.IPAddresses = append(template.IPAddresses, net.IP(netip.MustParseAddrPort(a).Addr().AsSlice()))
	}
	der, err := x509.CreateCertificate(rand.Reader, template, s.ca, &key.PublicKey, s.caKey)
	if err != nil {
		s.t.Fatal(err)
	}
	private, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		s.t.Fatal(err)
	}
	return &settings.Security{
		Certificate: s.writePEM(name+".pem", "CERTIFICATE", der),
		Key:         s.writePEM(name+".key.pem", "PRIVATE KEY", private),
		Ca:          s.file("ca.pem"),
	}
}

func (s *Secure) writePEM(name, kind string, der []byte) string {
	s.t.Helper()
	b := pem.EncodeToMemory(&pem.Block{
		Type:  kind,
		Bytes: der,
	})
	if err := os.WriteFile(s.file(name), b, fileMode); err != nil {
		s.t.Fatal(err)
	}
	return s.file(name)
}

// flags are the flags of the stand-ins and of the operators' tool.
func flags(files *settings.Security) []string {
	return []string{"--certificate", files.GetCertificate(), "--key", files.GetKey(), "--ca", files.GetCa()}
}

func (s *Secure) startStandIns() {
	s.t.Helper()
	if err := s.plan.Write(s.directory, "Written for a test."); err != nil {
		s.t.Fatal(err)
	}
	program := s.options.Programs.Standin
	local := flags(s.Issue("platform", s.KV()))
	s.kv = s.spawn("kv", program, append([]string{"kv", "--listen", s.KV(), "--admin", s.local(kvAdminPort)}, local...)...)
	s.hosts = s.spawn("hosts", program, append([]string{"hosts", "--listen", s.local(hostsPort), "--admin", s.local(hostsAdminPort), "--hosts", s.file(deploymentplanner.HostsFile)}, local...)...)
	s.t.Cleanup(s.hosts.Kill)
	var addresses []string
	for _, t := range s.cfg.GetTargets() {
		addresses = append(addresses, t.GetAddress())
	}
	file, groups := s.plan.StandinFiles()
	args := append([]string{"target", "--admin", s.local(targetAdminPort), "--config", s.file(file)}, flags(s.Issue("targets", addresses...))...)
	for _, g := range groups {
		args = append(args, "--group", s.file(g))
	}
	s.targets = s.spawn("targets", program, args...)
	s.Until("the stand-ins serve", func() bool {
		return s.get("http://"+s.local(kvAdminPort)+"/counts", nil) == nil &&
			s.get("http://"+s.local(targetAdminPort)+"/targets", nil) == nil &&
			s.get("http://"+s.local(hostsAdminPort)+"/hosts", nil) == nil
	})
}

func (s *Secure) startDaemons() {
	s.t.Helper()
	for _, one := range s.plan.Settings() {
		one.Security = s.Issue(one.GetId(), one.GetListen().GetHttp())
		s.write(one.GetId()+".json", one)
		m := &Daemon{
			Settings:   one,
			deployment: s.Deployment,
		}
		m.Start()
		s.daemons = append(s.daemons, m)
	}
}

// apply applies the first configuration and waits until it is in force on
// every daemon.
func (s *Secure) apply() Command {
	s.t.Helper()
	operator := s.Client(s.tool)
	s.Until("the daemons know each other", func() bool {
		for _, m := range s.daemons {
			if s.live(operator, m) < len(s.daemons) {
				return false
			}
		}
		return true
	})
	return s.Tool("config", "apply", s.Write(s.cfg), "--wait", "--kv", s.KV(), "--author", "prover")
}

// live returns the number of daemons that a daemon takes for alive.
func (s *Secure) live(operator *http.Client, m *Daemon) int {
	secured := &Deployment{
		t:      s.t,
		client: operator,
	}
	var status struct {
		Members []struct {
			State string `json:"state"`
		} `json:"members"`
	}
	if err := secured.get("https://"+m.Settings.GetListen().GetAdmin()+"/status", &status); err != nil {
		return 0
	}
	n := 0
	for _, one := range status.Members {
		if one.State == "alive" {
			n++
		}
	}
	return n
}

// Tool runs the operators' tool with its certificate.
func (s *Secure) Tool(args ...string) Command {
	s.t.Helper()
	args = append(args, flags(s.tool)...)
	for _, a := range s.Admins() {
		args = append(args, "--entry", a)
	}
	return s.Ctl(args...)
}

// Security returns the TLS of a caller that has only the CA.
func (s *Secure) Security() *tlsprovider.Provider {
	s.t.Helper()
	return s.open(&settings.Security{
		Ca: s.file("ca.pem"),
	})
}

// Operating returns the TLS of the operators' tool.
func (s *Secure) Operating() *tlsprovider.Provider {
	s.t.Helper()
	return s.open(s.tool)
}

// Operator returns the files of the operators' tool.
func (s *Secure) Operator() *settings.Security { return s.tool }

// Client returns an HTTP client with the files.
func (s *Secure) Client(files *settings.Security) *http.Client {
	s.t.Helper()
	return &http.Client{
		Timeout:   callTimeout,
		Transport: s.open(files).Transport(nil, true),
	}
}

func (s *Secure) open(files *settings.Security) *tlsprovider.Provider {
	s.t.Helper()
	secure, err := tlsprovider.New(files, clockwork.NewRealClock())
	if err != nil {
		s.t.Fatal(err)
	}
	return secure
}

// Leave marks a target as leaving in the host list.
func (s *Secure) Leave(target string) {
	s.t.Helper()
	body := fmt.Sprintf(`{"id":%q,"state":"leaving"}`, target)
	resp, err := s.client.Post("http://"+s.local(hostsAdminPort)+"/state", "application/json", strings.NewReader(body))
	if err != nil {
		s.t.Fatal(err)
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusNoContent {
		s.t.Fatalf("host list: %s", resp.Status)
	}
}

// Entries returns the daemons as a balancer knows them.
func (s *Secure) Entries() []string {
	var out []string
	for _, m := range s.daemons {
		l := m.Settings.GetListen()
		out = append(out, fmt.Sprintf("https://%s=https://%s/readyz", l.GetHttp(), l.GetAdmin()))
	}
	return out
}
