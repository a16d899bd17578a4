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

// configReads is a number of reads of the key-value service after which every
// daemon that reads the configuration from it has done so.
const configReads = 30

// configVariant returns a configuration that differs from the first one, and
// from that of another i.
func configVariant(d *deployer.Deployment, i int) *config.Config {
	cfg := proto.CloneOf(d.Config())
	cfg.Policy = &config.Policy{
		Hedge: 0.01 * float64(i+1),
	}
	return cfg
}

// highestRevision returns the highest revision that is in force in any daemon.
func highestRevision(d *deployer.Deployment) uint64 {
	var n uint64
	for _, m := range d.Daemons() {
		n = max(n, m.Revision())
	}
	return n
}

// statusSample is the part of one polled status that checkRevisions needs.
type statusSample struct {
	revision uint64
	ready    bool
}

// statusWatcher polls the status of all daemons until stopAndListDecreases.
type statusWatcher struct {
	d       *deployer.Deployment
	stop    chan struct{}
	wg      sync.WaitGroup
	samples [][]statusSample
}

// watchStatus starts to poll the daemons.
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

// stopAndListDecreases stops polling and returns the ids of the daemons whose
// revision became lower without a restart, according to their statuses or their
// logs.
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

// decreases reports whether a revision is lower than the one before it. A zero
// marks the start of a process and may follow any revision.
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

// checkRevisions stops polling. It fails the test if a revision became lower, a
// daemon never answered, or a daemon was ready without a configuration.
func (w *statusWatcher) checkRevisions(t *testing.T) {
	t.Helper()
	if low := w.stopAndListDecreases(); len(low) > 0 {
		t.Errorf("the revision of daemons %v became lower", low)
	}
	for i, samples := range w.samples {
		if len(samples) == 0 {
			t.Errorf("daemon %d never answered a status request", i)
		}
		if slices.ContainsFunc(samples, func(s statusSample) bool { return s.ready && s.revision == 0 }) {
			t.Errorf("daemon %d was ready without a configuration", i)
		}
	}
}

// TestConfigurationUnderOutage changes the configuration while a data centre is
// partitioned and a daemon is frozen, then restarts daemons while the key-value
// service is out. The restarted daemons must adopt the configuration from their
// peers, and every daemon must reach each accepted revision in the end.
func TestConfigurationUnderOutage(t *testing.T) {
	o := newOptions(t, programs)
	o.WithoutConfig = true
	d := deployer.New(t, o)
	w := watchStatus(d)
	d.WaitUntil("every daemon answers status requests", func() bool {
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

// applyDuringPartition applies a change that the daemons of a partitioned data
// centre and a frozen daemon can adopt only afterwards.
func applyDuringPartition(t *testing.T, d *deployer.Deployment) {
	t.Helper()
	d.Partition(3, true)
	d.Daemons()[1].Freeze()
	d.Sleep(quietPeriod)
	revision := d.Apply(configVariant(d, 1))
	connected := []int{0, 3, 4}
	d.WaitUntil("the daemons that can read the key-value service have the revision", func() bool {
		return !slices.ContainsFunc(connected, func(i int) bool { return d.Daemons()[i].Revision() < revision })
	})
	for _, i := range []int{2, 5} {
		if d.Daemons()[i].Revision() >= revision {
			t.Errorf("daemon %d is partitioned from the key-value service, but has revision %d", i, revision)
		}
	}
	d.HealPartitions()
	d.Daemons()[1].Resume()
	d.WaitUntil("the revision is in force everywhere", func() bool { return revisionInForce(d, revision) })
}

// restartDuringKVOutage restarts a daemon of each data centre while the
// key-value service is out.
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

// loseAndRefillKV restarts the key-value service without content and applies a
// change, which gets a lower revision than the one in force. It returns the ids
// of the daemons whose revision became lower.
func loseAndRefillKV(t *testing.T, d *deployer.Deployment) []string {
	t.Helper()
	d.Apply(configVariant(d, 1))
	high := d.Apply(configVariant(d, 2))
	d.WaitUntil("the revision is in force everywhere", func() bool { return revisionInForce(d, high) })
	w := watchStatus(d)
	d.KillKV()
	d.StartKV()
	var low uint64
	d.WaitUntil("the empty key-value service accepts a change", func() bool {
		out := d.Ctl("config", "apply", d.WriteConfig(configVariant(d, 3)), "--kv", d.KV(), "--author", "prover")
		return out.Code == codeDone
	})
	if changes := acceptedReasons(t, d); len(changes) == 1 {
		for low = range changes {
		}
	}
	if low == 0 || low >= high {
		t.Fatalf("key-value service has revision %d after the loss of its content, want one above 0 and below %d", low, high)
	}
	wantReads := d.KVCounts().Reads + configReads
	d.WaitUntil("the daemons have read the lower revision", func() bool { return d.KVCounts().Reads >= wantReads })
	d.Sleep(quietPeriod)
	return w.stopAndListDecreases()
}

// TestRevisionNeverFalls makes the key-value service lose its content. No
// daemon may go back to a lower revision. A change that is then applied above
// the highest revision must come into force everywhere.
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

// TestRevisionMutantIsFound shows that a decreasing revision is detected. In
// the mutant, daemons adopt whatever revision the service stores.
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
		t.Error("the mutant was not detected: no revision became lower")
	}
}
