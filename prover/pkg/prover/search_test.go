package prover

import (
	"slices"
	"testing"

	"plantaincleat/loadgen/pkg/deploymentplanner"
	"plantaincleat/loadgen/pkg/resultcollector"
	"plantaincleat/loadgen/pkg/verifier"
	"plantaincleat/prover/pkg/deployer"
	"plantaincleat/standin/pkg/searcher"
	"plantaincleat/tier/gen/config"
)

// before and after are the snapshots around a switch that divides every shard
// in two.
func before() []deploymentplanner.Snapshot {
	return []deploymentplanner.Snapshot{{
		ID:             "s1",
		ShardsPerGroup: 1,
	}}
}

func after() []deploymentplanner.Snapshot {
	return append(before(), deploymentplanner.Snapshot{
		ID:             "s2",
		ShardsPerGroup: 2,
	})
}

// mixUp are answers that come crossed, twice, late, and over the connections of
// other callers.
func mixUp() searcher.Faults {
	return searcher.Faults{
		SwapNonces:  0.1,
		WrongStream: 0.1,
		Duplicate:   0.1,
		Late:        0.1,
		LagMillis:   60,
	}
}

// wrongStamp are searches of the snapshot before the current one.
func wrongStamp() searcher.Faults {
	f := mixUp()
	f.SnapshotOverride = "s1"
	return f
}

// foreign are answers with the records of another shard.
func foreign() searcher.Faults {
	f := mixUp()
	f.WrongShard = 0.3
	return f
}

// stamping and crossing are targets of different instances, so that each of
// their shards has another replica.
func stamping() []string { return []string{"entrants-00a", "courses-00a", "cards-00a"} }

func crossing() []string { return []string{"entrants-01a", "courses-01a", "results-00a"} }

// TestAnswersUnderFaults reads from all daemons while one is killed, one is
// paused, a data centre is cut off, targets mix up their answers and the
// snapshot changes to one with other shards. Every answer must come from one
// snapshot, state the coverage of exactly its records, and hold the whole
// answer to its own request.
func TestAnswersUnderFaults(t *testing.T) {
	d := deployer.New(t, options(t, programs))
	next := d.NewConfig(after())
	load := d.StartLoad(deployer.LoadOptions{
		Classes: reads(),
		Rate:    100,
		Seed:    1,
		Configs: []*config.Config{d.Config(), next},
	})
	d.FaultTargets(mixUp())
	d.FaultTargets(foreign(), crossing()...)
	for range rounds() {
		disturb(d)
	}
	cutDuringSwitch(d, next)
	d.FaultTargets(wrongStamp(), stamping()...)
	disturb(d)
	d.FaultTargets(searcher.Faults{})
	d.Pause(calm)
	check(t, load.Stop())
}

// disturb pauses one daemon and kills another, which then comes back.
func disturb(d *deployer.Deployment) {
	paused, killed := d.Daemons()[1], d.Daemons()[3]
	d.Pause(calm)
	paused.Freeze()
	d.Pause(calm)
	killed.Kill()
	d.Pause(calm)
	paused.Resume()
	killed.Start()
	d.Pause(calm)
}

// cutDuringSwitch changes the snapshot while a data centre is cut off, and
// waits until it is in force everywhere.
func cutDuringSwitch(d *deployer.Deployment, next *config.Config) {
	d.HoldTargets(after())
	d.Cut(3, true)
	revision := d.Apply(next)
	d.Pause(calm)
	d.Pause(calm)
	d.Heal()
	d.Until("the new snapshot is in force everywhere", func() bool { return inForce(d, revision) })
}

// inForce reports whether a revision, or a higher one, is in force in every
// daemon.
func inForce(d *deployer.Deployment, revision uint64) bool {
	for _, m := range d.Daemons() {
		if m.Revision() < revision {
			return false
		}
	}
	return true
}

func check(t *testing.T, r *resultcollector.Report) {
	t.Helper()
	show(t, r)
	if n := violations(r); n > 0 {
		t.Errorf("%d answers are at fault: %v", n, r.Violations())
	}
	// A run in which most requests fail would show nothing.
	if c := r.Steps[0].Total; 2*c.Answered < c.Sent {
		t.Errorf("only %d of %d requests were answered", c.Answered, c.Sent)
	}
}

// searchMutant is a daemon without one of the checks.
type searchMutant struct {
	name    string
	mutants []deployer.Mutant
	// kinds are the faults of answers of which at least one must be found.
	// None means that no fault may be found.
	kinds []verifier.Kind
}

func searchMutants() []searchMutant {
	return []searchMutant{
		{
			name: "none",
		},
		{
			name: "stamp",
			mutants: []deployer.Mutant{{
				File: "entryd/pkg/merger/merger.go",
				Old:  "if snapshot != m.snapshot.ID() {",
				New:  "if false && snapshot != m.snapshot.ID() {",
			}},
			kinds: []verifier.Kind{verifier.MixedSnapshots},
		},
		{
			name: "range",
			mutants: []deployer.Mutant{{
				File: "entryd/pkg/merger/merger.go",
				Old:  "slices.BinarySearch(units, shard); !ok {",
				New:  "slices.BinarySearch(units, shard); false && !ok {",
			}},
			kinds: []verifier.Kind{verifier.WrongCoverage, verifier.Mismatched},
		},
		{
			name: "query",
			mutants: []deployer.Mutant{{
				File: "entryd/pkg/gatherer/outcome.go",
				Old:  "(a.GetQuery() != 0 && a.GetQuery() != j.queryHash)",
				New:  "(false && a.GetQuery() != j.queryHash)",
			}},
			kinds: []verifier.Kind{verifier.Mismatched},
		},
		{
			name: "coverage",
			mutants: []deployer.Mutant{{
				File: "entryd/pkg/coordinator/coordinator.go",
				Old:  "if s.merged.Covered(i) {",
				New:  "if s.merged.Covered(i) || s.query.Reason(i) != 0 {",
			}},
			kinds: []verifier.Kind{verifier.MissingRecord},
		},
	}
}

// TestSearchMutants shows that the verification finds answers at fault: each
// daemon without one of the checks must give some, the sound one none.
func TestSearchMutants(t *testing.T) {
	for _, m := range searchMutants() {
		t.Run(m.name, func(t *testing.T) {
			p := programs
			if m.mutants != nil {
				p = mutate(t, m.mutants...)
			}
			found := readMixedUp(t, p)
			if m.kinds == nil && len(found) > 0 {
				t.Errorf("the sound daemon gave answers at fault: %v", found)
			}
			if m.kinds != nil && !slices.ContainsFunc(m.kinds, func(k verifier.Kind) bool { return found[string(k)] > 0 }) {
				t.Errorf("no fault of the kinds %v was found", m.kinds)
			}
		})
	}
}

// readMixedUp reads from targets that mix up their answers and returns the
// faults that were found by kind.
func readMixedUp(t *testing.T, p deployer.Programs) map[string]int64 {
	t.Helper()
	o := options(t, p)
	o.Daemons = 3
	o.Snapshots = after()
	d := deployer.New(t, o)
	load := d.StartLoad(deployer.LoadOptions{
		Classes: reads(),
		Rate:    60,
		Seed:    1,
	})
	d.FaultTargets(mixUp())
	d.FaultTargets(foreign(), crossing()...)
	d.FaultTargets(wrongStamp(), stamping()...)
	d.FaultTargets(searcher.Faults{Shed: 0.9}, "entrants-02a", "entrants-02b")
	d.Pause(3 * calm)
	r := load.Stop()
	show(t, r)
	return r.Violations()
}
