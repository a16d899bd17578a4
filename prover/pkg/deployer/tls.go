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
	// certificateValidity is the validity of the certificates of a test.
	certificateValidity = 24 * time.Hour
	// serialBits is the length in bits of a certificate's serial number.
	serialBits = 64
)

// SecureDeployment is a deployment that uses TLS on every listener and link
// except the admin listeners of the stand-ins. It has no relay, so its links
// can not be cut.
type SecureDeployment struct {
	*Deployment
	ca            *x509.Certificate
	caKey         *ecdsa.PrivateKey
	operatorFiles *settings.Security
	hostList      *Process
}

// NewSecureDeployment starts a deployment under TLS, applies its configuration
// with plantainctl, which waits until it is in force, and returns the result of
// that run.
func NewSecureDeployment(t testing.TB, o Options) (*SecureDeployment, CommandResult) {
	t.Helper()
	port, lock, err := ReservePorts()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = lock.Close() })
	s := &SecureDeployment{
		Deployment: &Deployment{
			t:         t,
			options:   o,
			directory: t.TempDir(),
			basePort:  port,
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
	s.plan.HostsURL = "https://" + s.localAddress(hostsPort) + "/hosts"
	s.cfg = s.plan.Config(false)
	s.newCA()
	s.operatorFiles = s.IssueCertificate("tool")
	t.Cleanup(s.killAll)
	s.startStandIns()
	s.startDaemons()
	return s, s.applyConfig()
}

// newCA creates the CA that signs the certificates of all processes.
func (s *SecureDeployment) newCA() {
	s.t.Helper()
	var err error
	if s.caKey, err = ecdsa.GenerateKey(elliptic.P256(), rand.Reader); err != nil {
		s.t.Fatal(err)
	}
	s.ca = &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: "prover"},
		NotAfter:              time.Now().Add(certificateValidity),
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

// IssueCertificate writes a new certificate and key for a process that listens
// on the given addresses, replacing earlier files of the same name, and returns
// the paths of the files.
func (s *SecureDeployment) IssueCertificate(name string, addresses ...string) *settings.Security {
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
		NotAfter:     time.Now().Add(certificateValidity),
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
		Ca:          s.filePath("ca.pem"),
	}
}

func (s *SecureDeployment) writePEM(name, kind string, der []byte) string {
	s.t.Helper()
	b := pem.EncodeToMemory(&pem.Block{
		Type:  kind,
		Bytes: der,
	})
	if err := os.WriteFile(s.filePath(name), b, fileMode); err != nil {
		s.t.Fatal(err)
	}
	return s.filePath(name)
}

// tlsFlags returns the command-line flags that pass TLS files to a stand-in or
// to plantainctl.
func tlsFlags(files *settings.Security) []string {
	return []string{"--certificate", files.GetCertificate(), "--key", files.GetKey(), "--ca", files.GetCa()}
}

func (s *SecureDeployment) startStandIns() {
	s.t.Helper()
	if err := s.plan.Write(s.directory, "Written for a test."); err != nil {
		s.t.Fatal(err)
	}
	program := s.options.Programs.Standin
	platformFlags := tlsFlags(s.IssueCertificate("platform", s.KV()))
	s.kv = s.spawn("kv", program, append([]string{"kv", "--listen", s.KV(), "--admin", s.localAddress(kvAdminPort)}, platformFlags...)...)
	s.hostList = s.spawn("hosts", program, append([]string{"hosts", "--listen", s.localAddress(hostsPort), "--admin", s.localAddress(hostsAdminPort), "--hosts", s.filePath(deploymentplanner.HostsFile)}, platformFlags...)...)
	s.t.Cleanup(s.hostList.Kill)
	var addresses []string
	for _, t := range s.cfg.GetTargets() {
		addresses = append(addresses, t.GetAddress())
	}
	file, groups := s.plan.StandinFiles()
	args := append([]string{"target", "--admin", s.localAddress(targetAdminPort), "--config", s.filePath(file)}, tlsFlags(s.IssueCertificate("targets", addresses...))...)
	for _, g := range groups {
		args = append(args, "--group", s.filePath(g))
	}
	s.targets = s.spawn("targets", program, args...)
	s.WaitUntil("the stand-ins serve", func() bool {
		return s.get("http://"+s.localAddress(kvAdminPort)+"/counts", nil) == nil &&
			s.get("http://"+s.localAddress(targetAdminPort)+"/targets", nil) == nil &&
			s.get("http://"+s.localAddress(hostsAdminPort)+"/hosts", nil) == nil
	})
}

func (s *SecureDeployment) startDaemons() {
	s.t.Helper()
	for _, daemonSettings := range s.plan.Settings() {
		daemonSettings.Security = s.IssueCertificate(daemonSettings.GetId(), daemonSettings.GetListen().GetHttp())
		s.writeJSON(daemonSettings.GetId()+".json", daemonSettings)
		m := &Daemon{
			Settings:   daemonSettings,
			deployment: s.Deployment,
		}
		m.Start()
		s.daemons = append(s.daemons, m)
	}
}

// applyConfig waits until the daemons see each other, applies the first
// configuration and waits until it is in force in every daemon.
func (s *SecureDeployment) applyConfig() CommandResult {
	s.t.Helper()
	operator := s.HTTPClient(s.operatorFiles)
	s.WaitUntil("the daemons see each other as alive", func() bool {
		for _, m := range s.daemons {
			if s.liveMembers(operator, m) < len(s.daemons) {
				return false
			}
		}
		return true
	})
	return s.SecureCtl("config", "apply", s.WriteConfig(s.cfg), "--wait", "--kv", s.KV(), "--author", "prover")
}

// liveMembers returns the number of daemons that a daemon sees as alive, 0 if
// it does not answer.
func (s *SecureDeployment) liveMembers(operator *http.Client, m *Daemon) int {
	d := &Deployment{
		t:      s.t,
		client: operator,
	}
	var status struct {
		Members []struct {
			State string `json:"state"`
		} `json:"members"`
	}
	if err := d.get("https://"+m.Settings.GetListen().GetAdmin()+"/status", &status); err != nil {
		return 0
	}
	n := 0
	for _, member := range status.Members {
		if member.State == "alive" {
			n++
		}
	}
	return n
}

// SecureCtl runs plantainctl with the operators' certificate and the admin
// addresses of all daemons.
func (s *SecureDeployment) SecureCtl(args ...string) CommandResult {
	s.t.Helper()
	args = append(args, tlsFlags(s.operatorFiles)...)
	for _, a := range s.Admins() {
		args = append(args, "--entry", a)
	}
	return s.Ctl(args...)
}

// CallerTLS returns the TLS configuration of a caller, which has the CA but no
// certificate.
func (s *SecureDeployment) CallerTLS() *tlsprovider.Provider {
	s.t.Helper()
	return s.newTLSProvider(&settings.Security{
		Ca: s.filePath("ca.pem"),
	})
}

// OperatorTLS returns the TLS configuration of the operators' tool.
func (s *SecureDeployment) OperatorTLS() *tlsprovider.Provider {
	s.t.Helper()
	return s.newTLSProvider(s.operatorFiles)
}

// OperatorFiles returns the TLS files of the operators' tool.
func (s *SecureDeployment) OperatorFiles() *settings.Security { return s.operatorFiles }

// HTTPClient returns an HTTP client that uses the given TLS files.
func (s *SecureDeployment) HTTPClient(files *settings.Security) *http.Client {
	s.t.Helper()
	return &http.Client{
		Timeout:   callTimeout,
		Transport: s.newTLSProvider(files).Transport(nil, true),
	}
}

func (s *SecureDeployment) newTLSProvider(files *settings.Security) *tlsprovider.Provider {
	s.t.Helper()
	provider, err := tlsprovider.New(files, clockwork.NewRealClock())
	if err != nil {
		s.t.Fatal(err)
	}
	return provider
}

// MarkTargetDraining sets the state of a target to "leaving" in the platform's
// host list, as MarkDrainingInHostList does without TLS.
func (s *SecureDeployment) MarkTargetDraining(target string) {
	s.t.Helper()
	body := fmt.Sprintf(`{"id":%q,"state":"leaving"}`, target)
	resp, err := s.client.Post("http://"+s.localAddress(hostsAdminPort)+"/state", "application/json", strings.NewReader(body))
	if err != nil {
		s.t.Fatal(err)
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusNoContent {
		s.t.Fatalf("set state of %s in host list: status %s", target, resp.Status)
	}
}

// BalancerEntries returns the entries of all daemons for a balancer.
func (s *SecureDeployment) BalancerEntries() []string {
	var out []string
	for _, m := range s.daemons {
		l := m.Settings.GetListen()
		out = append(out, fmt.Sprintf("https://%s=https://%s/readyz", l.GetHttp(), l.GetAdmin()))
	}
	return out
}
