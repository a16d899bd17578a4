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

// heads is the number of reads of the service after which every daemon that
// reads it has done so.
const heads = 30

// variant returns a configuration that differs from the first one.
func variant(d *deployer.Deployment, i int) *config.Config {
	cfg := proto.CloneOf(d.Config())
	cfg.Policy = &config.Policy{
		Hedge: 0.01 * float64(i+1),
	}
	return cfg
}

// newest returns the highest revision that a daemon has in force.
func newest(d *deployer.Deployment) uint64 {
	var n uint64
	for _, m := range d.Daemons() {
		n = max(n, m.Revision())
	}
	return n
}

// sample is what one daemon said at one time.
type sample struct {
	revision uint64
	ready    bool
}

// watcher polls the status of all daemons.
type watcher struct {
	d       *deployer.Deployment
	stop    chan struct{}
	wg      sync.WaitGroup
	samples [][]sample
}

// watch starts to poll.
func watch(d *deployer.Deployment) *watcher {
	w := &watcher{
		d:       d,
		stop:    make(chan struct{}),
		samples: make([][]sample, len(d.Daemons())),
	}
	for i, m := range d.Daemons() {
		w.wg.Go(func() {
			for {
				if s, err := m.Status(); err == nil {
					w.samples[i] = append(w.samples[i], sample{
						revision: s.Revision,
						ready:    s.Ready,
					})
				}
				select {
				case <-w.stop:
					return
				case <-time.After(calm / 20):
				}
			}
		})
	}
	return w
}

// lowered ends the polls and returns the daemons that ever went back to a lower
// revision within the life of a process, by what they said and by their logs.
func (w *watcher) lowered() []string {
	close(w.stop)
	w.wg.Wait()
	var out []string
	for i, m := range w.d.Daemons() {
		said := make([]uint64, 0, len(w.samples[i]))
		for _, s := range w.samples[i] {
			said = append(said, s.revision)
		}
		if falls(said) || falls(m.Revisions()) {
			out = append(out, m.Settings.GetId())
		}
	}
	return out
}

// falls reports whether a number follows a higher one. A zero begins the life
// of a new process.
func falls(revisions []uint64) bool {
	var last uint64
	for _, r := range revisions {
		if r != 0 && r < last {
			return true
		}
		last = r
	}
	return false
}

// check fails the test if a revision became lower, or if a daemon was ready
// without a configuration.
func (w *watcher) check(t *testing.T) {
	t.Helper()
	if low := w.lowered(); len(low) > 0 {
		t.Errorf("the revision of daemons %v became lower", low)
	}
	for i, samples := range w.samples {
		if len(samples) == 0 {
			t.Errorf("daemon %d was never seen", i)
		}
		if slices.ContainsFunc(samples, func(s sample) bool { return s.ready && s.revision == 0 }) {
			t.Errorf("daemon %d was ready without a configuration", i)
		}
	}
}

// TestConfigurationUnderOutage changes the configuration while a data centre is
// cut off and daemons are paused, then restarts daemons while the key-value
// service is out. They must adopt the configuration from the others, and every
// daemon must reach each accepted revision in the end.
func TestConfigurationUnderOutage(t *testing.T) {
	o := options(t, programs)
	o.Unconfigured = true
	d := deployer.New(t, o)
	w := watch(d)
	d.Until("the daemons serve operators", func() bool {
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
	d.Whole()
	for range rounds() {
		cutAndPause(t, d)
		restartInOutage(d)
	}
	w.check(t)
}

// cutAndPause has a change accepted that a data centre and a paused daemon
// learn of later.
func cutAndPause(t *testing.T, d *deployer.Deployment) {
	t.Helper()
	d.Cut(3, true)
	d.Daemons()[1].Freeze()
	d.Pause(calm)
	revision := d.Apply(variant(d, 1))
	others := []int{0, 3, 4}
	d.Until("the other daemons have the revision", func() bool {
		return !slices.ContainsFunc(others, func(i int) bool { return d.Daemons()[i].Revision() < revision })
	})
	for _, i := range []int{2, 5} {
		if d.Daemons()[i].Revision() >= revision {
			t.Errorf("daemon %d is cut off, but has revision %d", i, revision)
		}
	}
	d.Heal()
	d.Daemons()[1].Resume()
	d.Until("the revision is in force everywhere", func() bool { return inForce(d, revision) })
}

// restartInOutage restarts a daemon of each data centre while the key-value
// service is out.
func restartInOutage(d *deployer.Deployment) {
	revision := newest(d)
	d.FaultKV(kvserver.Faults{Outage: true})
	for _, m := range d.Daemons()[:3] {
		m.Kill()
		m.Start()
	}
	d.Whole()
	d.Until("the restarted daemons have the revision", func() bool { return inForce(d, revision) })
	d.FaultKV(kvserver.Faults{})
}

// refill has the key-value service lose its content and filled anew with a
// lower revision than that in force, and returns the daemons whose revision
// became lower.
func refill(t *testing.T, d *deployer.Deployment) []string {
	t.Helper()
	d.Apply(variant(d, 1))
	high := d.Apply(variant(d, 2))
	d.Until("the revision is in force everywhere", func() bool { return inForce(d, high) })
	w := watch(d)
	d.KillKV()
	d.StartKV()
	var low uint64
	d.Until("the empty service accepts a change", func() bool {
		out := d.Ctl("config", "apply", d.Write(variant(d, 3)), "--kv", d.KV(), "--author", "prover")
		return out.Code == codeDone
	})
	if rows := accepted(t, d); len(rows) == 1 {
		for low = range rows {
		}
	}
	if low == 0 || low >= high {
		t.Fatalf("revision %d after the loss, want one below %d", low, high)
	}
	heard := d.KVCounts().Reads + heads
	d.Until("the daemons have read the lower revision", func() bool { return d.KVCounts().Reads >= heard })
	d.Pause(calm)
	return w.lowered()
}

// TestRevisionNeverFalls has the key-value service lose its content. No daemon
// may go back to a lower revision, and a change above all others must then
// come into force everywhere.
func TestRevisionNeverFalls(t *testing.T) {
	d := deployer.New(t, options(t, programs))
	if low := refill(t, d); len(low) > 0 {
		t.Errorf("the revision of daemons %v became lower", low)
	}
	high := newest(d)
	out := d.Ctl("config", "apply", d.Write(variant(d, 2)), "--kv", d.KV(), "--author", "prover",
		"--above", strconv.FormatUint(high, 10))
	if out.Code != codeDone {
		t.Fatalf("config apply --above: code %d: %s", out.Code, out.Stderr)
	}
	d.Until("the revision above is in force everywhere", func() bool { return inForce(d, high+1) })
}

// TestRevisionMutantIsFound shows that a lower revision is seen: the daemon
// adopts whatever the service holds.
func TestRevisionMutantIsFound(t *testing.T) {
	const adopter = "entryd/pkg/adopter/"
	p := mutate(t, deployer.Mutant{
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
	if low := refill(t, deployer.New(t, options(t, p))); len(low) == 0 {
		t.Error("no revision became lower")
	}
}
