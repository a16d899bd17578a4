package soaker

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"plantaincleat/prover/pkg/deployer"
)

const (
	buildLimit        = 5 * time.Minute
	daemons           = usualDaemons
	meanDisruptionGap = 350 * time.Millisecond
	// shortDuration and longDuration are the times over which disruptions are
	// started, for the fixed seeds and for those that the flags ask for.
	shortDuration = 8 * time.Second
	longDuration  = 15 * time.Second
	logTail       = 1500
)

var (
	newSeeds     = flag.Int("fresh", 0, "number of runs with new seeds")
	seed         = flag.Uint64("seed", 0, "seed of one more run, as long as those with new seeds")
	kinds        = flag.Int("kinds", 0, "with -seed: number of kinds of disruption to choose from, in order; 0 means all")
	daemonCount  = flag.Int("daemons", daemons, "number of daemons")
	logDirectory = flag.String("keep", "", "directory for the logs of runs with findings")
)

func buildDaemon(t *testing.T) string {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), buildLimit)
	defer cancel()
	program, err := deployer.BuildFrontd(ctx, t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	return program
}

// runSeed does one run with a seed and reports its findings as errors.
func runSeed(t *testing.T, program string, seed uint64, kinds int, length time.Duration) {
	t.Helper()
	runOptions(t, Options{
		Program:  program,
		Seed:     seed,
		Kinds:    kinds,
		Duration: length,
	})
}

// runOptions does one run and reports its findings as errors.
func runOptions(t *testing.T, o Options) {
	t.Helper()
	o.Directory, o.Daemons, o.MeanGap = t.TempDir(), *daemonCount, meanDisruptionGap
	findings, events, err := Run(o)
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range findings {
		t.Errorf("seed %d: %s", o.Seed, f)
	}
	t.Logf("seed %d:\n%s", o.Seed, strings.Join(events, "\n"))
	if len(findings) > 0 {
		saveLogs(t, o.Directory, o.Seed)
	}
}

// saveLogs copies the logs of a run to the directory of the flag -keep, if it
// is set.
func saveLogs(t *testing.T, directory string, seed uint64) {
	t.Helper()
	if *logDirectory == "" {
		return
	}
	if err := os.CopyFS(filepath.Join(*logDirectory, fmt.Sprint(seed)), os.DirFS(directory)); err != nil {
		t.Error(err)
	}
}

// TestSoak runs the fixed seeds, which include those that once had findings,
// and the seeds that the flags ask for.
func TestSoak(t *testing.T) {
	program := buildDaemon(t)
	seeds := []struct {
		name  string
		seed  uint64
		kinds int
	}{
		{name: "first", seed: 1},
		{name: "second", seed: 2},
		// On slow links, owners hedged after the root had given them up, and
		// requests were executed three times on a shard.
		{name: "owners given up", seed: 2777629920, kinds: 17},
		// A stopping daemon aborted requests from peers that had not yet
		// learned of its stop.
		{name: "stop of an owner", seed: 3105396005, kinds: 17},
	}
	for _, test := range seeds {
		t.Run(test.name, func(t *testing.T) { runSeed(t, program, test.seed, test.kinds, shortDuration) })
	}
	if *seed > 0 {
		runSeed(t, program, *seed, *kinds, longDuration)
	}
	for range *newSeeds {
		n := uint64(rand.Uint32())
		t.Run(fmt.Sprint(n), func(t *testing.T) { runSeed(t, program, n, 0, longDuration) })
	}
}
