package soaker

import (
	"context"
	"fmt"
	"testing"

	"plantaincleat/prover/pkg/deployer"
)

const (
	// earlierCommit is the commit of the build that the fleet is replaced from, and
	// earlierKinds the number of disruptions that it is made for.
	earlierCommit = "ca41385"
	earlierKinds  = 24
)

// TestMixedBuilds guards against messages, notices and configurations that daemons of the last
// release and of this one do not understand of each other while hosts are replaced one after
// the other under disruptions.
func TestMixedBuilds(t *testing.T) {
	program := buildDaemon(t)
	ctx, cancel := context.WithTimeout(context.Background(), buildLimit)
	defer cancel()
	earlier, err := deployer.BuildEarlierFrontd(ctx, t.TempDir(), earlierCommit)
	if err != nil {
		t.Fatal(err)
	}
	for seed := range uint64(2 + *newSeeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			runOptions(t, Options{
				Program:  program,
				Earlier:  earlier,
				Seed:     seed + 1,
				Kinds:    earlierKinds,
				Duration: shortDuration,
			})
		})
	}
}
