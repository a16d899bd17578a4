package prover

import (
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"plantaincleat/prover/pkg/deployer"
	"plantaincleat/standin/pkg/kvserver"
	"plantaincleat/tier/gen/config"
)

// configReads is the number of reads of the service after which every daemon that
// reads it has done so.
const configReads = 30

// configVariant returns a configuration that differs from the first one.
func configVariant(d *deployer.Deployment, i int) *config.Config {
	cfg := proto.CloneOf(d.Config())
	cfg.Policy = &config.Policy{
		Hedge: 0.01 * float64(i+1),
	}
	return cfg
}

// highestRevision returns the highest revision that a daemon has in force.
func highestRevision(d *deployer.Deployment) uint64 {
	var n uint64
	for _, m := range d.Daemons() {
		n = max(n, m.Revision())
	}
	return n
}

// statusSample is what one daemon said at one time.
type statusSample struct {
	revision uint64
	ready    bool
}

// statusWatcher polls the status of all daemons.
type statusWatcher struct {
	d       *deployer.Deployment
	stop    chan struct{}
	wg      sync.WaitGroup
	samples [][]statusSample
}

// watchStatus starts to poll.
func watchStatus(d *deployer.Deployment) *statusWatcher {
	w := &statusWatcher{
		d:       d,
		stop:    make(chan struct{}),
		samples: make([][]statusSample, len(d.Daemons())),
	}
	for i, m := range d.Daemons() {
		w.wg.Go(func() {
			for {
				if s, err := m.Status(); err == nil {
					w.samples[i] = append(w.samples[i], statusSample{
						revision: s.Revision,
						ready:    s.Ready,
					})
				}
				select {
				case <-w.stop:
					return
				case <-time.After(quietPeriod / 20):
				}
			}
		})
	}
	return w
}

// stopAndListDecreases ends the polls and returns the daemons that ever went back to a lower
// revision within the life of a process, by what they said and by their logs.
func (w *statusWatcher) stopAndListDecreases() []string {
	close(w.stop)
	w.wg.Wait()
	var out []string
	for i, m := range w.d.Daemons() {
		polled := make([]uint64, 0, len(w.samples[i]))
		for _, s := range w.samples[i] {
			polled = append(polled, s.revision)
		}
		if decreases(polled) || decreases(m.Revisions()) {
			out = append(out, m.Settings.GetId())
		}
	}
	return out
}

// decreases reports whether a number follows a higher one. A zero begins the life
// of a new process.
func decreases(revisions []uint64) bool {
	var last uint64
	for _, r := range revisions {
		if r != 0 && r < last {
			return true
		}
		last = r
	}
	return false
}

// checkRevisions fails the test if a revision became lower, or if a daemon was ready
// without a configuration.
func (w *statusWatcher) checkRevisions(t *testing.T) {
	t.Helper()
	if low := w.stopAndListDecreases(); len(low) > 0 {
		t.Errorf("the revision of daemons %v became lower", low)
	}
	for i, samples := range w.samples {
		if len(samples) == 0 {
			t.Errorf("daemon %d was never seen", i)
		}
		if slices.ContainsFunc(samples, func(s statusSample) bool { return s.ready && s.revision == 0 }) {
			t.Errorf("daemon %d was ready without a configuration", i)
		}
	}
}

// TestConfigurationUnderOutage changes the configuration while a data centre is
// cut off and daemons are paused, then restarts daemons while the key-value
// service is out. They must adopt the configuration from the others, and every
// daemon must reach each accepted revision in the end.
func TestConfigurationUnderOutage(t *testing.T) {
	o := newOptions(t, programs)
	o.WithoutConfig = true
	d := deployer.New(t, o)
	w := watchStatus(d)
	d.WaitUntil("the daemons serve operators", func() bool {
		for _, m := range d.Daemons() {
			if _, err := m.Status(); err != nil {
				return false
			}
		}
		return true
	})
	for _, m := range d.Daemons() {
		if m.Ready() {
			t.Errorf("daemon %s is ready without a configuration", m.Settings.GetId())
		}
	}
	d.Apply(d.Config())
	d.WaitUntilReady()
	for range rounds() {
		applyDuringPartition(t, d)
		restartDuringKVOutage(d)
	}
	w.checkRevisions(t)
}

// applyDuringPartition has a change accepted that a data centre and a paused daemon
// learn of later.
func applyDuringPartition(t *testing.T, d *deployer.Deployment) {
	t.Helper()
	d.Partition(3, true)
	d.Daemons()[1].Freeze()
	d.Sleep(quietPeriod)
	revision := d.Apply(configVariant(d, 1))
	others := []int{0, 3, 4}
	d.WaitUntil("the other daemons have the revision", func() bool {
		return !slices.ContainsFunc(others, func(i int) bool { return d.Daemons()[i].Revision() < revision })
	})
	for _, i := range []int{2, 5} {
		if d.Daemons()[i].Revision() >= revision {
			t.Errorf("daemon %d is cut off, but has revision %d", i, revision)
		}
	}
	d.HealPartitions()
	d.Daemons()[1].Resume()
	d.WaitUntil("the revision is in force everywhere", func() bool { return revisionInForce(d, revision) })
}

// restartDuringKVOutage restarts a daemon of each data centre while the key-value
// service is out.
func restartDuringKVOutage(d *deployer.Deployment) {
	revision := highestRevision(d)
	d.SetKVFaults(kvserver.Faults{Outage: true})
	for _, m := range d.Daemons()[:3] {
		m.Kill()
		m.Start()
	}
	d.WaitUntilReady()
	d.WaitUntil("the restarted daemons have the revision", func() bool { return revisionInForce(d, revision) })
	d.SetKVFaults(kvserver.Faults{})
}

// loseAndRefillKV has the key-value service lose its content and filled anew with a
// lower revision than that in force, and returns the daemons whose revision
// became lower.
func loseAndRefillKV(t *testing.T, d *deployer.Deployment) []string {
	t.Helper()
	d.Apply(configVariant(d, 1))
	high := d.Apply(configVariant(d, 2))
	d.WaitUntil("the revision is in force everywhere", func() bool { return revisionInForce(d, high) })
	w := watchStatus(d)
	d.KillKV()
	d.StartKV()
	var low uint64
	d.WaitUntil("the empty service accepts a change", func() bool {
		out := d.Ctl("config", "apply", d.WriteConfig(configVariant(d, 3)), "--kv", d.KV(), "--author", "prover")
		return out.Code == codeDone
	})
	if changes := acceptedReasons(t, d); len(changes) == 1 {
		for low = range changes {
		}
	}
	if low == 0 || low >= high {
		t.Fatalf("revision %d after the loss, want one below %d", low, high)
	}
	wantReads := d.KVCounts().Reads + configReads
	d.WaitUntil("the daemons have read the lower revision", func() bool { return d.KVCounts().Reads >= wantReads })
	d.Sleep(quietPeriod)
	return w.stopAndListDecreases()
}

// TestRevisionNeverFalls has the key-value service lose its content. No daemon
// may go back to a lower revision, and a change above all others must then
// come into force everywhere.
func TestRevisionNeverFalls(t *testing.T) {
	d := deployer.New(t, newOptions(t, programs))
	if low := loseAndRefillKV(t, d); len(low) > 0 {
		t.Errorf("the revision of daemons %v became lower", low)
	}
	high := highestRevision(d)
	out := d.Ctl("config", "apply", d.WriteConfig(configVariant(d, 2)), "--kv", d.KV(), "--author", "prover",
		"--above", strconv.FormatUint(high, 10))
	if out.Code != codeDone {
		t.Fatalf("config apply --above: code %d: %s", out.Code, out.Stderr)
	}
	d.WaitUntil("the revision above is in force everywhere", func() bool { return revisionInForce(d, high+1) })
}

// TestRevisionMutantIsFound shows that a lower revision is seen: the daemon
// adopts whatever the service holds.
func TestRevisionMutantIsFound(t *testing.T) {
	const adopter = "entryd/pkg/adopter/"
	p := buildMutant(t, deployer.Mutant{
		File: adopter + "adopter.go",
		Old:  "return offered > own }",
		New:  "return offered != own }",
	}, deployer.Mutant{
		File: adopter + "adopter.go",
		Old:  "if e.Head.GetRevision() < m.Revision() {",
		New:  "if false {",
	}, deployer.Mutant{
		File: adopter + "adopter.go",
		Old:  "revision == 0 || revision < m.Revision() || revision < m.evidence.revision {",
		New:  "revision == 0 {",
	}, deployer.Mutant{
		File: adopter + "decide.go",
		Old:  "newer := m.evidence.revision > m.Revision()",
		New:  "newer := m.evidence.revision != m.Revision()",
	}, deployer.Mutant{
		File: "entryd/pkg/starter/configs.go",
		Old:  "GetRevision() <= c.Index()",
		New:  "GetRevision() == c.Index()",
	})
	if low := loseAndRefillKV(t, deployer.New(t, newOptions(t, p))); len(low) == 0 {
		t.Error("no revision became lower")
	}
}
