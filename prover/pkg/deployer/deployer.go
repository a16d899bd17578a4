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
	// waitTimeout bounds every wait for a condition, and every run of
	// plantainctl. It is far above what a working deployment needs on a loaded
	// machine.
	waitTimeout  = 90 * time.Second
	pollInterval = 50 * time.Millisecond
	// stopLimit bounds a graceful stop.
	stopLimit   = 60 * time.Second
	callTimeout = 5 * time.Second
	// logTail is the number of bytes at the end of a log that a failed test
	// prints.
	logTail = 2000

	// Offsets of the stand-ins' ports from the first port of the deployment.
	kvPort          = 3
	kvAdminPort     = 4
	targetAdminPort = 5
	relayAdminPort  = 6
	hostsPort       = 7
	hostsAdminPort  = 8
)

// Options configures a deployment.
type Options struct {
	Programs Programs
	Profile  deploymentplanner.Profile
	Daemons  int
	// Snapshots defaults to "s1" with one shard for each replica group if nil.
	Snapshots []deploymentplanner.Snapshot
	// RestartAfter is the time after which a crashed target is started again.
	// With 0 the stand-in of the targets ends at the first crash.
	RestartAfter time.Duration
	// EditConfig changes a generated configuration before it is used. It may be
	// nil.
	EditConfig func(*config.Config)
	// EditSettings changes the settings of each daemon before it starts. It may be nil.
	EditSettings func(*settings.Entryd)
	// WithoutConfig keeps New from applying the first configuration and from
	// waiting until the daemons are ready.
	WithoutConfig bool
}

// Deployment is a running fleet of daemons with its stand-ins.
type Deployment struct {
	t           testing.TB
	options     Options
	directory   string
	basePort    int
	plan        deploymentplanner.Plan
	client      *http.Client
	cfg         *config.Config
	configFiles int
	kv          *Process
	targets     *Process
	relay       *Process
	hosts       *Process
	daemons     []*Daemon
}

// Daemon is one daemon of a deployment. Start gives it a new process.
type Daemon struct {
	*Process
	Settings   *settings.Entryd
	deployment *Deployment
}

// New starts a deployment, applies its configuration and waits until every
// daemon is ready. All processes are killed when the test ends.
func New(t testing.TB, o Options) *Deployment {
	t.Helper()
	port, lock, err := ReservePorts()
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
		basePort:  port,
		client: &http.Client{
			Timeout: callTimeout,
		},
	}
	d.plan = d.newPlan(o.Snapshots)
	d.cfg = d.NewConfig(o.Snapshots)
	t.Cleanup(d.killAll)
	d.start()
	if !o.WithoutConfig {
		d.Apply(d.cfg)
		d.WaitUntil("every daemon is ready", d.allReady)
	}
	return d
}

// newPlan returns the plan of the deployment with the given snapshots.
func (d *Deployment) newPlan(snapshots []deploymentplanner.Snapshot) deploymentplanner.Plan {
	return deploymentplanner.Plan{
		Profile:   d.options.Profile,
		Daemons:   d.options.Daemons,
		Port:      d.basePort,
		Snapshots: snapshots,
		LatencyModel: deploymentplanner.LatencyModel{
			Median: 2 * time.Millisecond,
			Sigma:  0.3,
		},
		QueueLimit: 16,
		KVAddress:  d.localAddress(kvPort),
		HostsURL:   "http://" + d.localAddress(hostsPort) + "/hosts",
		Relay:      true,
	}
}

// NewConfig returns a configuration of the deployment's targets with the given
// snapshots, the last of which is current.
func (d *Deployment) NewConfig(snapshots []deploymentplanner.Snapshot) *config.Config {
	plan := d.newPlan(snapshots)
	cfg := plan.Config(true)
	if d.options.EditConfig != nil {
		d.options.EditConfig(cfg)
	}
	return cfg
}

// Config returns the first configuration of the deployment.
func (d *Deployment) Config() *config.Config { return d.cfg }

// Profile returns the profile that the deployment was generated from.
func (d *Deployment) Profile() deploymentplanner.Profile { return d.options.Profile }

// Daemons returns the daemons in the order of the plan; daemon i is in data
// centre 1 + i modulo the number of data centres.
func (d *Deployment) Daemons() []*Daemon { return d.daemons }

// localAddress returns the loopback address of a stand-in by the offset of its
// port.
func (d *Deployment) localAddress(offset int) string {
	return fmt.Sprintf("127.0.0.1:%d", d.basePort+offset)
}

// start writes the files of the plan and starts the stand-ins, then the
// daemons.
func (d *Deployment) start() {
	d.t.Helper()
	if err := d.plan.Write(d.directory, "Written for a test."); err != nil {
		d.t.Fatal(err)
	}
	d.StartKV()
	_, groups := d.plan.StandinFiles()
	args := []string{"target", "--admin", d.localAddress(targetAdminPort), "--config", d.filePath(deploymentplanner.DirectConfigFile), "--journal", d.filePath("journal.jsonl")}
	for _, g := range groups {
		args = append(args, "--group", d.filePath(g))
	}
	if d.options.RestartAfter > 0 {
		args = append(args, "--restart", d.options.RestartAfter.String())
	}
	d.targets = d.spawn("targets", d.options.Programs.Standin, args...)
	d.relay = d.spawn("relay", d.options.Programs.Standin, "relay", "--admin", d.localAddress(relayAdminPort), "--plan", d.filePath(deploymentplanner.RelayPlanFile))
	d.hosts = d.spawn("hosts", d.options.Programs.Standin, "hosts", "--listen", d.localAddress(hostsPort), "--admin", d.localAddress(hostsAdminPort), "--hosts", d.filePath(deploymentplanner.HostsFile))
	d.WaitUntil("the stand-ins serve", func() bool {
		return d.get("http://"+d.localAddress(hostsPort)+"/hosts", nil) == nil &&
			d.get("http://"+d.localAddress(kvAdminPort)+"/counts", nil) == nil &&
			d.get("http://"+d.localAddress(targetAdminPort)+"/targets", nil) == nil &&
			d.get("http://"+d.localAddress(relayAdminPort)+"/links", nil) == nil
	})
	for _, s := range d.plan.Settings() {
		if d.options.EditSettings != nil {
			d.options.EditSettings(s)
			d.writeJSON(s.GetId()+".json", s)
		}
		daemon := &Daemon{
			Settings:   s,
			deployment: d,
		}
		daemon.Start()
		d.daemons = append(d.daemons, daemon)
	}
}

// StartKV starts the key-value service without any content.
func (d *Deployment) StartKV() {
	d.t.Helper()
	d.kv = d.spawn("kv", d.options.Programs.Standin, "kv", "--listen", d.localAddress(kvPort), "--admin", d.localAddress(kvAdminPort))
}

// Start starts the daemon's process with its settings file.
func (m *Daemon) Start() {
	m.deployment.t.Helper()
	id := m.Settings.GetId()
	m.Process = m.deployment.spawn(id, m.deployment.options.Programs.Entryd, "--settings", m.deployment.filePath(id+".json"))
}

func (d *Deployment) spawn(name, program string, args ...string) *Process {
	d.t.Helper()
	p, err := Start(name, d.filePath(name+".log"), program, args...)
	if err != nil {
		d.t.Fatal(err)
	}
	return p
}

// filePath returns the path of a file in the deployment's directory.
func (d *Deployment) filePath(name string) string { return filepath.Join(d.directory, name) }

// killAll kills every process. If the test has failed, it also prints the end
// of each log.
func (d *Deployment) killAll() {
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
			d.t.Logf("end of the log of %s: %s", p.name, readLogTail(p.log))
		}
	}
}

// readLogTail returns the last logTail bytes of a file, or the text of the
// error.
func readLogTail(file string) string {
	b, err := os.ReadFile(file)
	if err != nil {
		return err.Error()
	}
	return string(b[max(0, len(b)-logTail):])
}

// WaitUntil polls a condition until it holds and fails the test after
// waitTimeout. The description says what is waited for.
func (d *Deployment) WaitUntil(what string, condition func() bool) {
	d.t.Helper()
	for end := time.Now().Add(waitTimeout); !condition(); time.Sleep(pollInterval) {
		if time.Now().After(end) {
			d.t.Fatalf("condition does not hold after %v: %s", waitTimeout, what)
		}
	}
}

// Sleep lets the deployment run for a while.
func (d *Deployment) Sleep(n time.Duration) {
	time.Sleep(n)
}

// writeJSON writes a message as JSON to the deployment's directory and returns
// the path of the file.
func (d *Deployment) writeJSON(name string, m proto.Message) string {
	d.t.Helper()
	b, err := protojson.Marshal(m)
	if err != nil {
		d.t.Fatal(err)
	}
	if err := os.WriteFile(d.filePath(name), b, fileMode); err != nil {
		d.t.Fatal(err)
	}
	return d.filePath(name)
}

// callContext returns a context that ends after waitTimeout, for one run of a
// program.
func (d *Deployment) callContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), waitTimeout)
}
