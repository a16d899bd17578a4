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

// snapshotsBefore and snapshotsAfter return the snapshots before and after a
// switch that splits every shard in two.
func snapshotsBefore() []deploymentplanner.Snapshot {
	return []deploymentplanner.Snapshot{{
		ID:             "s1",
		ShardsPerGroup: 1,
	}}
}

func snapshotsAfter() []deploymentplanner.Snapshot {
	return append(snapshotsBefore(), deploymentplanner.Snapshot{
		ID:             "s2",
		ShardsPerGroup: 2,
	})
}

// mixedUpAnswers returns the faults of targets that give the answer of another
// request, or answer twice, late, or on the connection of another caller.
func mixedUpAnswers() searcher.Faults {
	return searcher.Faults{
		SwapNonces:  0.1,
		WrongStream: 0.1,
		Duplicate:   0.1,
		Late:        0.1,
		LagMillis:   60,
	}
}

// wrongSnapshot returns the faults of mixedUpAnswers for targets that, in
// addition, search the snapshot "s1" whatever snapshot is requested.
func wrongSnapshot() searcher.Faults {
	f := mixedUpAnswers()
	f.SnapshotOverride = "s1"
	return f
}

// wrongShard returns the faults of mixedUpAnswers for targets that, in
// addition, give some answers with the records of another shard.
func wrongShard() searcher.Faults {
	f := mixedUpAnswers()
	f.WrongShard = 0.3
	return f
}

// wrongSnapshotTargets and wrongShardTargets return targets of different
// instances, so that each of their shards has a replica without these faults.
func wrongSnapshotTargets() []string { return []string{"entrants-00a", "courses-00a", "cards-00a"} }

func wrongShardTargets() []string { return []string{"entrants-01a", "courses-01a", "results-00a"} }

// TestAnswersUnderFaults reads from all daemons while one is killed, one is
// frozen, a data centre is partitioned, targets mix up their answers, and the
// snapshot changes to one with other shards. Every answer must come from a
// single snapshot, state the coverage of exactly its records, and be the
// complete answer to its own request.
func TestAnswersUnderFaults(t *testing.T) {
	d := deployer.New(t, newOptions(t, programs))
	next := d.NewConfig(snapshotsAfter())
	load := d.StartLoad(deployer.LoadOptions{
		Classes: readClasses(),
		Rate:    100,
		Seed:    1,
		Configs: []*config.Config{d.Config(), next},
	})
	d.SetTargetFaults(mixedUpAnswers())
	d.SetTargetFaults(wrongShard(), wrongShardTargets()...)
	for range rounds() {
		disturbDaemons(d)
	}
	partitionDuringSwitch(d, next)
	d.SetTargetFaults(wrongSnapshot(), wrongSnapshotTargets()...)
	disturbDaemons(d)
	d.SetTargetFaults(searcher.Faults{})
	d.Sleep(quietPeriod)
	checkReport(t, load.Stop())
}

// disturbDaemons freezes one daemon and kills another for a while.
func disturbDaemons(d *deployer.Deployment) {
	paused, killed := d.Daemons()[1], d.Daemons()[3]
	d.Sleep(quietPeriod)
	paused.Freeze()
	d.Sleep(quietPeriod)
	killed.Kill()
	d.Sleep(quietPeriod)
	paused.Resume()
	killed.Start()
	d.Sleep(quietPeriod)
}

// partitionDuringSwitch changes the snapshot while a data centre is
// partitioned, then heals the partition and waits until the new snapshot is in
// force in every daemon.
func partitionDuringSwitch(d *deployer.Deployment, next *config.Config) {
	d.SetTargetSnapshots(snapshotsAfter())
	d.Partition(3, true)
	revision := d.Apply(next)
	d.Sleep(quietPeriod)
	d.Sleep(quietPeriod)
	d.HealPartitions()
	d.WaitUntil("the new snapshot is in force everywhere", func() bool { return revisionInForce(d, revision) })
}

// revisionInForce reports whether every daemon has this or a higher revision in
// force.
func revisionInForce(d *deployer.Deployment, revision uint64) bool {
	for _, m := range d.Daemons() {
		if m.Revision() < revision {
			return false
		}
	}
	return true
}

// checkReport fails the test if an answer broke a rule of the verifier, or if
// fewer than half of the requests were answered: such a run would show nothing.
func checkReport(t *testing.T, r *resultcollector.Report) {
	t.Helper()
	logReport(t, r)
	if n := violationCount(r); n > 0 {
		t.Errorf("%d answers are wrong: %v", n, r.Violations())
	}
	if c := r.Steps[0].Total; 2*c.Answered < c.Sent {
		t.Errorf("only %d of %d requests were answered", c.Answered, c.Sent)
	}
}

// searchMutant is a daemon without one of the checks of answers.
type searchMutant struct {
	name    string
	mutants []deployer.Mutant
	// kinds are the violations of which at least one must be found; nil means
	// that none may be found.
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

// TestSearchMutants shows that the verifier detects wrong answers: each daemon
// without one of the checks must give some, and the unchanged daemon none.
func TestSearchMutants(t *testing.T) {
	for _, m := range searchMutants() {
		t.Run(m.name, func(t *testing.T) {
			p := programs
			if m.mutants != nil {
				p = buildMutant(t, m.mutants...)
			}
			found := readFaultyAnswers(t, p)
			if m.kinds == nil && len(found) > 0 {
				t.Errorf("the unchanged daemon gave wrong answers: %v", found)
			}
			if m.kinds != nil && !slices.ContainsFunc(m.kinds, func(k verifier.Kind) bool { return found[string(k)] > 0 }) {
				t.Errorf("the mutant was not detected: no violation of the kinds %v", m.kinds)
			}
		})
	}
}

// readFaultyAnswers reads from targets that mix up their answers and returns
// the number of violations by kind.
func readFaultyAnswers(t *testing.T, p deployer.Programs) map[string]int64 {
	t.Helper()
	o := newOptions(t, p)
	o.Daemons = 3
	o.Snapshots = snapshotsAfter()
	d := deployer.New(t, o)
	load := d.StartLoad(deployer.LoadOptions{
		Classes: readClasses(),
		Rate:    60,
		Seed:    1,
	})
	d.SetTargetFaults(mixedUpAnswers())
	d.SetTargetFaults(wrongShard(), wrongShardTargets()...)
	d.SetTargetFaults(wrongSnapshot(), wrongSnapshotTargets()...)
	d.SetTargetFaults(searcher.Faults{Shed: 0.9}, "entrants-02a", "entrants-02b")
	d.Sleep(3 * quietPeriod)
	r := load.Stop()
	logReport(t, r)
	return r.Violations()
}
