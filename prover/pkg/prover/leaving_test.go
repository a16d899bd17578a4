package prover

import (
	"slices"
	"testing"
	"time"

	"plantaincleat/prover/pkg/deployer"
	"plantaincleat/standin/pkg/searcher"
)

const (
	// settling is the time after which a leaving target gets no new work, with
	// much to spare for a loaded machine.
	settling = 5 * time.Second
	leaver   = "entrants-00a"
)

// lateCalls tells a target to leave, by what leave does, and returns the number
// of calls that it received after the settling time.
func lateCalls(t *testing.T, p deployer.Programs, leave func(d *deployer.Deployment)) int64 {
	t.Helper()
	d := deployer.New(t, options(t, p))
	load := d.StartLoad(deployer.LoadOptions{
		Classes: []string{"lookup", "entry"},
		Rate:    60,
		Seed:    3,
	})
	d.Until("the target gets work", func() bool { return d.Targets(leaver)[0].Counts.Calls > 10 })
	leave(d)
	d.Pause(settling)
	settled := d.Targets(leaver)[0].Counts.Calls
	d.Pause(3 * calm)
	late := d.Targets(leaver)[0].Counts.Calls - settled
	r := load.Stop()
	show(t, r)
	if answered(r) == 0 {
		t.Fatal("no request was answered")
	}
	return late
}

// drain has the target refuse new work, as at its own SIGTERM.
func drain(d *deployer.Deployment) {
	d.FaultTargets(searcher.Faults{Drain: true}, leaver)
}

// knownLeaving reports whether every daemon takes the target for leaving.
func knownLeaving(d *deployer.Deployment) bool {
	for _, m := range d.Daemons() {
		s, err := m.Status()
		if err != nil || !slices.Contains(s.Draining, leaver) {
			return false
		}
	}
	return true
}

// TestLeavingTargetGetsNoWork has a target leave by each way in which a daemon
// can learn of it.
func TestLeavingTargetGetsNoWork(t *testing.T) {
	tests := []struct {
		name  string
		leave func(d *deployer.Deployment)
	}{
		{
			name:  "signal in answers",
			leave: drain,
		},
		{
			name: "host list",
			leave: func(d *deployer.Deployment) {
				d.ListLeaving(leaver)
				d.Until("every daemon has seen the list", func() bool { return knownLeaving(d) })
			},
		},
		{
			name: "operator",
			leave: func(d *deployer.Deployment) {
				if c := d.Ctl("target", "drain", leaver, "--kv", d.KV()); c.Code != 0 {
					t.Fatalf("target drain: code %d: %s", c.Code, c.Stderr)
				}
			},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if n := lateCalls(t, programs, test.leave); n > 0 {
				t.Errorf("the target received %d calls after %v", n, settling)
			}
		})
	}
}

// TestLeavingMutantIsFound shows that late calls are seen: the daemon ignores
// the signal in answers.
func TestLeavingMutantIsFound(t *testing.T) {
	p := mutate(t, deployer.Mutant{
		File: "entryd/pkg/draintracker/draintracker.go",
		Old:  "return ok && t.clock.Now().Before(expiry)",
		New:  "return false && ok && t.clock.Now().Before(expiry)",
	}, deployer.Mutant{
		File: "entryd/pkg/gatherer/selector.go",
		Old:  "q.draining(); draining {",
		New:  "q.draining(); false && draining {",
	})
	if n := lateCalls(t, p, drain); n == 0 {
		t.Error("the target received no call after it left")
	}
}
