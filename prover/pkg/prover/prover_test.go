package prover

import (
	"context"
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"plantaincleat/loadgen/pkg/deploymentplanner"
	"plantaincleat/loadgen/pkg/resultcollector"
	"plantaincleat/prover/pkg/deployer"
)

const (
	// buildLimit bounds the build of the programs.
	buildLimit = 5 * time.Minute
	// scale is the fraction of the instances of a profile.
	scale = 0.1
	fleet = 6
	// calm is a stretch of load without a new fault.
	calm = time.Second
	// longRounds is the number of rounds of faults with -long.
	longRounds = 20
)

var (
	long = flag.Bool("long", false, "repeat the faults many times")
	// programs are built once for all tests.
	programs deployer.Programs
)

func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(runTests(m))
}

func runTests(m *testing.M) int {
	directory, err := os.MkdirTemp("", "prover")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(directory) }()
	ctx, cancel := context.WithTimeout(context.Background(), buildLimit)
	defer cancel()
	if programs, err = deployer.Build(ctx, directory); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return m.Run()
}

// rounds is the number of times that faults are repeated.
func rounds() int {
	if *long {
		return longRounds
	}
	return 1
}

// mutate returns the programs with faults put into the daemon.
func mutate(t *testing.T, mutants ...deployer.Mutant) deployer.Programs {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), buildLimit)
	defer cancel()
	p, err := programs.Mutate(ctx, t.TempDir(), mutants...)
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// options describe the fleet of most tests: six daemons in three data centres.
func options(t *testing.T, p deployer.Programs) deployer.Options {
	t.Helper()
	profile, err := deploymentplanner.FindProfile("kahikatea")
	if err != nil {
		t.Fatal(err)
	}
	if profile, err = profile.Scale(scale); err != nil {
		t.Fatal(err)
	}
	return deployer.Options{
		Programs: p,
		Profile:  profile,
		Daemons:  fleet,
	}
}

// reads are the classes of the profile that are not mutations.
func reads() []string { return []string{"lookup", "board", "card", "feed"} }

// answered returns the answers of a report.
func answered(r *resultcollector.Report) int64 { return r.Steps[0].Total.Answered }

// violations returns the number of faults of the answers of a report.
func violations(r *resultcollector.Report) int {
	n := 0
	for _, k := range r.Violations() {
		n += int(k)
	}
	return n
}

// show logs the totals and the examples of a report.
func show(t *testing.T, r *resultcollector.Report) {
	t.Helper()
	c := r.Steps[0].Total
	t.Logf("sent %d, answered %d, lost %d, refused %v, full %.3f, missing %v, violations %v",
		c.Sent, c.Answered, c.Lost, c.Refused, c.Coverage.Full, c.Coverage.Missing, c.Violations)
	for _, e := range r.Examples {
		t.Logf("%s: class %s, request %s: %s", e.Kind, e.Class, e.Request, e.Detail)
	}
}
