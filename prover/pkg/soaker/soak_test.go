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
	daemons           = 6
	meanDisruptionGap = 350 * time.Millisecond
	// shortDuration and longLength are how long disruptions come in CI and by hand.
	shortDuration = 8 * time.Second
	longDuration  = 15 * time.Second
	logTail       = 1500
)

var (
	newSeeds     = flag.Int("fresh", 0, "number of runs with new seeds")
	seed         = flag.Uint64("seed", 0, "one run with this seed, as long as those with new seeds")
	kinds        = flag.Int("kinds", 0, "number of kinds of disruption that the seed chooses from, all by default")
	logDirectory = flag.String("keep", "", "directory for the logs of runs that find something")
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

// runSeed runs one seed and reports what it finds.
func runSeed(t *testing.T, program string, seed uint64, kinds int, length time.Duration) {
	t.Helper()
	directory := t.TempDir()
	findings, story, err := Run(Options{
		Program:   program,
		Directory: directory,
		Daemons:   daemons,
		Seed:      seed,
		Kinds:     kinds,
		Duration:  length,
		MeanGap:   meanDisruptionGap,
	})
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range findings {
		t.Errorf("seed %d: %s", seed, f)
	}
	t.Logf("seed %d:\n%s", seed, strings.Join(story, "\n"))
	if len(findings) > 0 {
		saveLogs(t, directory, seed)
	}
}

// saveLogs keeps the logs of a run.
func saveLogs(t *testing.T, directory string, seed uint64) {
	t.Helper()
	if *logDirectory == "" {
		return
	}
	if err := os.CopyFS(filepath.Join(*logDirectory, fmt.Sprint(seed)), os.DirFS(directory)); err != nil {
		t.Error(err)
	}
}

// TestSoak runs the seeds of CI, those that once found something, and those
// that the flags ask for.
func TestSoak(t *testing.T) {
	program := buildDaemon(t)
	seeds := []struct {
		name  string
		seed  uint64
		kinds int
	}{
		{name: "first", seed: 1},
		{name: "second", seed: 2},
		// Slow links: owners hedged after they had been given up, and requests ran
		// three times on a shard.
		{name: "owners given up", seed: 2777629920, kinds: 17},
		// A stop cut what other daemons, which had not heard of it, had handed over.
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
