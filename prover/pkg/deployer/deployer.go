package deployer

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"plantaincleat/loadgen/pkg/deploymentplanner"
	"plantaincleat/tier/gen/config"
	"plantaincleat/tier/gen/settings"
)

const (
	// waitCap bounds every wait for a condition. It is far above what a sound
	// deployment needs on a loaded machine.
	waitCap      = 90 * time.Second
	pollInterval = 50 * time.Millisecond
	// stopLimit bounds a graceful stop.
	stopLimit   = 60 * time.Second
	callTimeout = 5 * time.Second
	// logTail is the size in bytes of the end of a log that is shown.
	logTail = 2000

	// Offsets of the ports of the stand-ins.
	kvPort          = 3
	kvAdminPort     = 4
	targetAdminPort = 5
	relayAdminPort  = 6
	hostsPort       = 7
	hostsAdminPort  = 8
)

// Options describe a deployment.
type Options struct {
	Programs Programs
	Profile  deploymentplanner.Profile
	Daemons  int
	// Snapshots are "s1" with one shard for each replica group if nil.
	Snapshots []deploymentplanner.Snapshot
	// Restart is the time after which a crashed target is back.
	Restart time.Duration
	// Edit changes the first configuration. It may be nil.
	Edit func(*config.Config)
	// Unconfigured keeps the first configuration from being applied by New.
	Unconfigured bool
}

// Deployment is a running fleet with its stand-ins.
type Deployment struct {
	t         testing.TB
	options   Options
	directory string
	port      int
	plan      deploymentplanner.Plan
	client    *http.Client
	cfg       *config.Config
	applied   int
	kv        *Process
	targets   *Process
	relay     *Process
	hosts     *Process
	daemons   []*Daemon
}

// Daemon is one daemon of a deployment. Its process changes at a restart.
type Daemon struct {
	*Process
	Settings   *settings.Entryd
	deployment *Deployment
}

// New starts a deployment, applies its configuration and waits until every
// daemon is ready. All processes end with the test.
func New(t testing.TB, o Options) *Deployment {
	t.Helper()
	port, lock, err := ClaimPorts()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = lock.Close() })
	if o.Snapshots == nil {
		o.Snapshots = []deploymentplanner.Snapshot{{
			ID:             "s1",
			ShardsPerGroup: 1,
		}}
	}
	d := &Deployment{
		t:         t,
		options:   o,
		directory: t.TempDir(),
		port:      port,
		client: &http.Client{
			Timeout: callTimeout,
		},
	}
	d.plan = d.newPlan(o.Snapshots)
	d.cfg = d.NewConfig(o.Snapshots)
	t.Cleanup(d.end)
	d.start()
	if !o.Unconfigured {
		d.Apply(d.cfg)
		d.Until("every daemon is ready", d.ready)
	}
	return d
}

// newPlan returns the plan of the deployment with some snapshots.
func (d *Deployment) newPlan(snapshots []deploymentplanner.Snapshot) deploymentplanner.Plan {
	return deploymentplanner.Plan{
		Profile:   d.options.Profile,
		Daemons:   d.options.Daemons,
		Port:      d.port,
		Snapshots: snapshots,
		LatencyModel: deploymentplanner.LatencyModel{
			Median: 2 * time.Millisecond,
			Sigma:  0.3,
		},
		QueueLimit: 16,
		KVAddress:  d.local(kvPort),
		HostsURL:   "http://" + d.local(hostsPort) + "/hosts",
		Relay:      true,
	}
}

// NewConfig returns a configuration of the deployment's targets with other
// snapshots, the last one being current.
func (d *Deployment) NewConfig(snapshots []deploymentplanner.Snapshot) *config.Config {
	plan := d.newPlan(snapshots)
	cfg := plan.Config(true)
	if d.options.Edit != nil {
		d.options.Edit(cfg)
	}
	return cfg
}

// Config returns the first configuration.
func (d *Deployment) Config() *config.Config { return d.cfg }

// Profile returns the profile of the deployment.
func (d *Deployment) Profile() deploymentplanner.Profile { return d.options.Profile }

// Daemons returns the daemons.
func (d *Deployment) Daemons() []*Daemon { return d.daemons }

func (d *Deployment) local(offset int) string {
	return fmt.Sprintf("127.0.0.1:%d", d.port+offset)
}

// start starts all processes.
func (d *Deployment) start() {
	d.t.Helper()
	if err := d.plan.Write(d.directory, "Written for a test."); err != nil {
		d.t.Fatal(err)
	}
	d.StartKV()
	_, groups := d.plan.StandinFiles()
	args := []string{"target", "--admin", d.local(targetAdminPort), "--config", d.file(deploymentplanner.DirectConfigFile), "--journal", d.file("journal.jsonl")}
	for _, g := range groups {
		args = append(args, "--group", d.file(g))
	}
	if d.options.Restart > 0 {
		args = append(args, "--restart", d.options.Restart.String())
	}
	d.targets = d.spawn("targets", d.options.Programs.Standin, args...)
	d.relay = d.spawn("relay", d.options.Programs.Standin, "relay", "--admin", d.local(relayAdminPort), "--plan", d.file(deploymentplanner.RelayPlanFile))
	d.hosts = d.spawn("hosts", d.options.Programs.Standin, "hosts", "--listen", d.local(hostsPort), "--admin", d.local(hostsAdminPort), "--hosts", d.file(deploymentplanner.HostsFile))
	d.Until("the stand-ins serve", func() bool {
		return d.get("http://"+d.local(hostsPort)+"/hosts", nil) == nil &&
			d.get("http://"+d.local(kvAdminPort)+"/counts", nil) == nil &&
			d.get("http://"+d.local(targetAdminPort)+"/targets", nil) == nil &&
			d.get("http://"+d.local(relayAdminPort)+"/links", nil) == nil
	})
	for _, s := range d.plan.Settings() {
		daemon := &Daemon{
			Settings:   s,
			deployment: d,
		}
		daemon.Start()
		d.daemons = append(d.daemons, daemon)
	}
}

// StartKV starts the key-value service, empty.
func (d *Deployment) StartKV() {
	d.t.Helper()
	d.kv = d.spawn("kv", d.options.Programs.Standin, "kv", "--listen", d.local(kvPort), "--admin", d.local(kvAdminPort))
}

// Start starts the daemon's process.
func (m *Daemon) Start() {
	m.deployment.t.Helper()
	id := m.Settings.GetId()
	m.Process = m.deployment.spawn(id, m.deployment.options.Programs.Entryd, "--settings", m.deployment.file(id+".json"))
}

func (d *Deployment) spawn(name, program string, args ...string) *Process {
	d.t.Helper()
	p, err := Start(name, d.file(name+".log"), program, args...)
	if err != nil {
		d.t.Fatal(err)
	}
	return p
}

func (d *Deployment) file(name string) string { return filepath.Join(d.directory, name) }

// end kills every process and shows the ends of the logs of a failed test.
func (d *Deployment) end() {
	processes := []*Process{d.hosts, d.relay, d.targets, d.kv}
	for _, m := range d.daemons {
		processes = append(processes, m.Process)
	}
	for _, p := range processes {
		if p == nil {
			continue
		}
		p.Kill()
		if d.t.Failed() {
			d.t.Logf("log of %s: %s", p.name, tail(p.log))
		}
	}
}

func tail(file string) string {
	b, err := os.ReadFile(file)
	if err != nil {
		return err.Error()
	}
	return string(b[max(0, len(b)-logTail):])
}

// Until waits until a condition holds. It fails the test after a generous
// time.
func (d *Deployment) Until(what string, holds func() bool) {
	d.t.Helper()
	for end := time.Now().Add(waitCap); !holds(); time.Sleep(pollInterval) {
		if time.Now().After(end) {
			d.t.Fatalf("not so after %v: %s", waitCap, what)
		}
	}
}

// Pause lets the deployment run for a while.
func (d *Deployment) Pause(n time.Duration) {
	time.Sleep(n)
}

// write writes a message as JSON and returns the name of the file.
func (d *Deployment) write(name string, m proto.Message) string {
	d.t.Helper()
	b, err := protojson.Marshal(m)
	if err != nil {
		d.t.Fatal(err)
	}
	if err := os.WriteFile(d.file(name), b, fileMode); err != nil {
		d.t.Fatal(err)
	}
	return d.file(name)
}

// context returns a context that ends after the time for one call.
func (d *Deployment) context() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), waitCap)
}
