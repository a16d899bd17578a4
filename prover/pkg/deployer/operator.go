package deployer

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"strings"

	"plantaincleat/entryd/pkg/adminserver"
	"plantaincleat/tier/gen/config"
)

// CommandResult is the exit code and the output of a run of plantainctl. The
// code is -1 if the program did not start.
type CommandResult struct {
	Code   int
	Stdout string
	Stderr string
}

// Ctl runs plantainctl, the operators' tool, and waits until it ends. It may be
// called from several goroutines.
func (d *Deployment) Ctl(args ...string) CommandResult {
	ctx, cancel := d.callContext()
	defer cancel()
	cmd := exec.CommandContext(ctx, d.options.Programs.Plantainctl, args...)
	var stdout, stderr bytes.Buffer
	cmd.Stdout, cmd.Stderr = &stdout, &stderr
	err := cmd.Run()
	code := 0
	var exit *exec.ExitError
	switch {
	case errors.As(err, &exit):
		code = exit.ExitCode()
	case err != nil:
		code = -1
	}
	return CommandResult{
		Code:   code,
		Stdout: stdout.String(),
		Stderr: stderr.String(),
	}
}

// WriteConfig writes a configuration to a new file for plantainctl and returns
// the path. It must not be called from several goroutines.
func (d *Deployment) WriteConfig(cfg *config.Config) string {
	d.t.Helper()
	d.configFiles++
	return d.writeJSON(fmt.Sprintf("applied-%d.json", d.configFiles), cfg)
}

// KV returns the address of the key-value service.
func (d *Deployment) KV() string { return d.localAddress(kvPort) }

// Apply has plantainctl apply a configuration, fails the test if it is not
// accepted, and returns its revision.
func (d *Deployment) Apply(cfg *config.Config) uint64 {
	d.t.Helper()
	c := d.Ctl("config", "apply", d.WriteConfig(cfg), "--kv", d.KV(), "--author", "prover", "--output", "json")
	if c.Code != 0 {
		d.t.Fatalf("config apply: code %d: %s", c.Code, c.Stderr)
	}
	var out struct {
		Revision uint64 `json:"revision"`
	}
	if err := json.Unmarshal([]byte(c.Stdout), &out); err != nil || out.Revision == 0 {
		d.t.Fatalf("config apply: no revision in %q", c.Stdout)
	}
	return out.Revision
}

// Admins returns the addresses of the daemons' admin listeners.
func (d *Deployment) Admins() []string {
	var out []string
	for _, m := range d.daemons {
		out = append(out, m.Settings.GetListen().GetAdmin())
	}
	return out
}

// Status reads the daemon's status from its admin listener.
func (m *Daemon) Status() (adminserver.Status, error) {
	var s adminserver.Status
	err := m.deployment.get("http://"+m.Settings.GetListen().GetAdmin()+"/status", &s)
	return s, err
}

// Revision returns the revision of the configuration that is in force in the
// daemon, 0 if the daemon does not answer.
func (m *Daemon) Revision() uint64 {
	s, err := m.Status()
	if err != nil {
		return 0
	}
	return s.Revision
}

// Revisions reads the daemon's log and returns, in order, the revisions that
// came into force in all its processes. A zero marks each start of a process.
func (m *Daemon) Revisions() []uint64 {
	m.deployment.t.Helper()
	b, err := os.ReadFile(m.log)
	if err != nil {
		m.deployment.t.Fatal(err)
	}
	var out []uint64
	for line := range bytes.Lines(b) {
		var l struct {
			Msg      string `json:"msg"`
			Revision uint64 `json:"revision"`
		}
		// Skip a line that is incomplete because the process was killed.
		if json.Unmarshal(line, &l) != nil {
			continue
		}
		switch l.Msg {
		case "started":
			out = append(out, 0)
		case "configuration in force":
			out = append(out, l.Revision)
		}
	}
	return out
}

// Ready reports whether the daemon is ready for callers.
func (m *Daemon) Ready() bool {
	return m.deployment.get(m.readinessURL(), nil) == nil
}

func (m *Daemon) readinessURL() string {
	return "http://" + m.Settings.GetListen().GetAdmin() + "/readyz"
}

// BalancerEntry returns the daemon's entry for a balancer: the URL for callers,
// which leads through the relay, and the URL of the readiness check, separated
// by "=".
func (m *Daemon) BalancerEntry() string { return m.URL() + "=" + m.readinessURL() }

// URL returns the daemon's URL for callers, which leads through the relay.
func (m *Daemon) URL() string {
	for i, s := range m.deployment.plan.Settings() {
		if s.GetId() == m.Settings.GetId() {
			return m.deployment.plan.EntryURLs()[i]
		}
	}
	return ""
}

// allReady reports whether every daemon is ready and sees all daemons as alive.
func (d *Deployment) allReady() bool {
	for _, m := range d.daemons {
		if !m.Ready() || m.LiveMembers() < len(d.daemons) {
			return false
		}
	}
	return true
}

// LiveMembers returns the number of daemons that this daemon sees as alive,
// itself included, or 0 if it does not answer.
func (m *Daemon) LiveMembers() int {
	s, err := m.Status()
	if err != nil {
		return 0
	}
	n := 0
	for _, member := range s.Members {
		if member.State == "alive" {
			n++
		}
	}
	return n
}

// WaitUntilReady waits until every daemon is ready and sees all daemons as
// alive.
func (d *Deployment) WaitUntilReady() {
	d.t.Helper()
	d.WaitUntil("every daemon is ready and sees all daemons as alive", d.allReady)
}

// get reads a JSON document. A nil into only checks that the status is 200.
func (d *Deployment) get(url string, into any) error {
	resp, err := d.client.Get(url)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("get %s: status %s", url, resp.Status)
	}
	if into == nil {
		return nil
	}
	return json.NewDecoder(resp.Body).Decode(into)
}

// post sends a JSON document to the admin listener of a stand-in and fails the
// test if the status is not 2xx.
func (d *Deployment) post(url string, body any) {
	d.t.Helper()
	b, err := json.Marshal(body)
	if err != nil {
		d.t.Fatal(err)
	}
	d.postBytes(url, b)
}

func (d *Deployment) postBytes(url string, b []byte) {
	d.t.Helper()
	resp, err := d.client.Post(url, "application/json", bytes.NewReader(b))
	if err != nil {
		d.t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode/100 != 2 {
		var out strings.Builder
		_ = resp.Write(&out)
		d.t.Fatalf("post to %s: %s", url, out.String())
	}
}
