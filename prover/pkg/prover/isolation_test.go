package prover

import (
	"testing"
	"time"

	"plantaincleat/prover/pkg/deployer"
)

const (
	// isolationTime is the time for which daemons reach no target, and isolationDetection
	// the part of it in which answers may fail: the time for which a host has to be
	// undisturbed before its answers are judged.
	isolationTime      = 12 * time.Second
	isolationDetection = 4 * time.Second
	// minFull is the least fraction of the requests that are answered with all shards while
	// some daemons are isolated.
	minFull = 0.98
)

// TestIsolatedGatherersLoseNoCoverage guards against answers that lack shards, or fail, because
// a daemon that gathers reaches no target, while others reach all.
func TestIsolatedGatherersLoseNoCoverage(t *testing.T) {
	d := deployer.New(t, newOptions(t, programs))
	d.Isolate(d.Daemons()[0], d.Daemons()[3])
	d.Sleep(isolationDetection)
	load := d.StartLoad(deployer.LoadOptions{
		Classes: readClasses(),
		Rate:    100,
		Seed:    1,
	})
	d.Sleep(isolationTime)
	r := load.Stop()
	checkReport(t, r)
	c := r.Steps[0].Total
	if full := c.Coverage.Full * float64(c.Answered) / float64(max(c.Sent, 1)); full < minFull {
		t.Errorf("%.3f of the requests were answered in full, want %.2f", full, minFull)
	}
}
