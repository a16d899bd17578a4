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
	// buildLimit bounds each build of the programs.
	buildLimit = 5 * time.Minute
	// profileScale is the fraction of the profile's instances that a deployment
	// has.
	profileScale = 0.1
	daemonCount  = 6
	// quietPeriod is the time between two faults, in which only the load runs.
	quietPeriod = time.Second
	// longRounds is the number of rounds of faults with the flag -long.
	longRounds = 20
)

var (
	long = flag.Bool("long", false, "repeat the faults of each test 20 times")
	// programs are built once, by TestMain.
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

// rounds returns how many times a test repeats its faults.
func rounds() int {
	if *long {
		return longRounds
	}
	return 1
}

// buildMutant returns the programs with an entryd that contains the faults.
func buildMutant(t *testing.T, mutants ...deployer.Mutant) deployer.Programs {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), buildLimit)
	defer cancel()
	p, err := programs.Mutate(ctx, t.TempDir(), mutants...)
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// newOptions returns the options of most tests: six daemons in three data
// centres.
func newOptions(t *testing.T, p deployer.Programs) deployer.Options {
	t.Helper()
	profile, err := deploymentplanner.FindProfile("kahikatea")
	if err != nil {
		t.Fatal(err)
	}
	if profile, err = profile.Scale(profileScale); err != nil {
		t.Fatal(err)
	}
	return deployer.Options{
		Programs: p,
		Profile:  profile,
		Daemons:  daemonCount,
	}
}

// readClasses returns the classes of the profile that do not mutate.
func readClasses() []string { return []string{"lookup", "board", "card", "feed"} }

// answeredCount returns the number of answered requests of a report.
func answeredCount(r *resultcollector.Report) int64 { return r.Steps[0].Total.Answered }

// violationCount returns the number of answers of a report that broke a rule of
// the verifier.
func violationCount(r *resultcollector.Report) int {
	n := 0
	for _, k := range r.Violations() {
		n += int(k)
	}
	return n
}

// logReport logs the totals of a report and its examples of violations.
func logReport(t *testing.T, r *resultcollector.Report) {
	t.Helper()
	c := r.Steps[0].Total
	t.Logf("sent %d, answered %d, lost %d, refused %v, full %.3f, missing %v, violations %v",
		c.Sent, c.Answered, c.Lost, c.Refused, c.Coverage.Full, c.Coverage.Missing, c.Violations)
	for _, e := range r.Examples {
		t.Logf("%s: class %s, request %s: %s", e.Kind, e.Class, e.Request, e.Detail)
	}
}
