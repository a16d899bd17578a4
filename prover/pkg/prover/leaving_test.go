package prover

import (
	"slices"
	"testing"
	"time"

	"plantaincleat/prover/pkg/deployer"
	"plantaincleat/standin/pkg/searcher"
)

const (
	// drainTimeout is the time after which a draining target must not get new
	// work. It is far above what a daemon needs on a loaded machine.
	drainTimeout   = 5 * time.Second
	drainingTarget = "entrants-00a"
)

// callsAfterDrain calls drain, which makes a target drain, and returns the
// number of calls that the target received later than drainTimeout after that.
func callsAfterDrain(t *testing.T, p deployer.Programs, drain func(d *deployer.Deployment)) int64 {
	t.Helper()
	d := deployer.New(t, newOptions(t, p))
	load := d.StartLoad(deployer.LoadOptions{
		Classes: []string{"lookup", "entry"},
		Rate:    60,
		Seed:    3,
	})
	d.WaitUntil("the target receives calls", func() bool { return d.Targets(drainingTarget)[0].Counts.Calls > 10 })
	drain(d)
	d.Sleep(drainTimeout)
	before := d.Targets(drainingTarget)[0].Counts.Calls
	d.Sleep(3 * quietPeriod)
	late := d.Targets(drainingTarget)[0].Counts.Calls - before
	r := load.Stop()
	logReport(t, r)
	if answeredCount(r) == 0 {
		t.Fatal("no request was answered")
	}
	return late
}

// refuseNewWork makes the target refuse new work, as it does after a SIGTERM.
func refuseNewWork(d *deployer.Deployment) {
	d.SetTargetFaults(searcher.Faults{Drain: true}, drainingTarget)
}

// allKnowDraining reports whether every daemon lists the target as draining.
func allKnowDraining(d *deployer.Deployment) bool {
	for _, m := range d.Daemons() {
		s, err := m.Status()
		if err != nil || !slices.Contains(s.Draining, drainingTarget) {
			return false
		}
	}
	return true
}

// TestDrainingTargetGetsNoWork drains a target in each of the ways that a
// daemon can learn of.
func TestDrainingTargetGetsNoWork(t *testing.T) {
	tests := []struct {
		name  string
		drain func(d *deployer.Deployment)
	}{
		{
			name:  "signal in answers",
			drain: refuseNewWork,
		},
		{
			name: "host list",
			drain: func(d *deployer.Deployment) {
				d.MarkDrainingInHostList(drainingTarget)
				d.WaitUntil("every daemon has read the host list", func() bool { return allKnowDraining(d) })
			},
		},
		{
			name: "operator",
			drain: func(d *deployer.Deployment) {
				if c := d.Ctl("target", "drain", drainingTarget, "--kv", d.KV()); c.Code != 0 {
					t.Fatalf("target drain: code %d: %s", c.Code, c.Stderr)
				}
			},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if n := callsAfterDrain(t, programs, test.drain); n > 0 {
				t.Errorf("the target received %d calls later than %v after it began to drain", n, drainTimeout)
			}
		})
	}
}

// TestDrainMutantIsFound shows that calls to a draining target are detected. In
// the mutant, daemons ignore the drain signal in answers.
func TestDrainMutantIsFound(t *testing.T) {
	p := buildMutant(t, deployer.Mutant{
		File: "entryd/pkg/draintracker/draintracker.go",
		Old:  "return ok && t.clock.Now().Before(expiry)",
		New:  "return false && ok && t.clock.Now().Before(expiry)",
	}, deployer.Mutant{
		File: "entryd/pkg/gatherer/selector.go",
		Old:  "q.draining(); draining {",
		New:  "q.draining(); false && draining {",
	})
	if n := callsAfterDrain(t, p, refuseNewWork); n == 0 {
		t.Error("the mutant was not detected: the draining target received no late call")
	}
}
