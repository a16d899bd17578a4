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

// Command is the end of a run of the operators' tool.
type Command struct {
	Code   int
	Stdout string
	Stderr string
}

// Ctl runs the operators' tool. It may be called from several goroutines.
func (d *Deployment) Ctl(args ...string) Command {
	ctx, cancel := d.context()
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
	return Command{
		Code:   code,
		Stdout: stdout.String(),
		Stderr: stderr.String(),
	}
}

// Write writes a configuration for the operators' tool.
func (d *Deployment) Write(cfg *config.Config) string {
	d.t.Helper()
	d.applied++
	return d.write(fmt.Sprintf("applied-%d.json", d.applied), cfg)
}

// KV returns the address of the key-value service.
func (d *Deployment) KV() string { return d.local(kvPort) }

// Apply has a configuration accepted and returns its revision.
func (d *Deployment) Apply(cfg *config.Config) uint64 {
	d.t.Helper()
	c := d.Ctl("config", "apply", d.Write(cfg), "--kv", d.KV(), "--author", "prover", "--output", "json")
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

// Status asks the daemon for its view.
func (m *Daemon) Status() (adminserver.Status, error) {
	var s adminserver.Status
	err := m.deployment.get("http://"+m.Settings.GetListen().GetAdmin()+"/status", &s)
	return s, err
}

// Revision returns the revision in force in the daemon, 0 if it does not
// answer.
func (m *Daemon) Revision() uint64 {
	s, err := m.Status()
	if err != nil {
		return 0
	}
	return s.Revision
}

// Revisions returns the revisions that came into force, in order, as logged by
// all processes of the daemon. Each start of a process is a zero.
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
		// A line that was cut short by a kill is left out.
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
	return m.deployment.get(m.readiness(), nil) == nil
}

func (m *Daemon) readiness() string {
	return "http://" + m.Settings.GetListen().GetAdmin() + "/readyz"
}

// Entry returns the daemon as callers know it: through its relay, with the URL
// of its readiness.
func (m *Daemon) Entry() string { return m.URL() + "=" + m.readiness() }

// URL returns the URL for callers.
func (m *Daemon) URL() string {
	for i, s := range m.deployment.plan.Settings() {
		if s.GetId() == m.Settings.GetId() {
			return m.deployment.plan.EntryURLs()[i]
		}
	}
	return ""
}

// ready reports whether every daemon is ready and knows the whole fleet.
func (d *Deployment) ready() bool {
	for _, m := range d.daemons {
		if !m.Ready() || m.Live() < len(d.daemons) {
			return false
		}
	}
	return true
}

// Live returns the number of daemons that the daemon takes for alive, itself
// included.
func (m *Daemon) Live() int {
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

// Whole waits until every daemon is ready and knows the whole fleet.
func (d *Deployment) Whole() {
	d.t.Helper()
	d.Until("every daemon is ready and knows the others", d.ready)
}

// get reads a JSON document. Into may be nil.
func (d *Deployment) get(url string, into any) error {
	resp, err := d.client.Get(url)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: %s", url, resp.Status)
	}
	if into == nil {
		return nil
	}
	return json.NewDecoder(resp.Body).Decode(into)
}

// post sends a JSON document to the switches of a stand-in.
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
		d.t.Fatalf("%s: %s", url, out.String())
	}
}
