package prover

import (
	"testing"
	"time"

	"plantaincleat/loadgen/pkg/resultcollector"
	"plantaincleat/prover/pkg/deployer"
)

// stopLimit bounds one graceful stop of a daemon.
const stopLimit = time.Minute

// rollingRestart stops and starts each daemon in turn under load, and returns
// the report of the load and the exit codes.
func rollingRestart(t *testing.T, p deployer.Programs) (*resultcollector.Report, []int) {
	t.Helper()
	d := deployer.New(t, newOptions(t, p))
	load := d.StartLoad(deployer.LoadOptions{
		Rate: 80,
		Seed: 2,
	})
	d.Sleep(quietPeriod)
	var codes []int
	for range rounds() {
		for _, m := range d.Daemons() {
			codes = append(codes, m.Stop(stopLimit))
			m.Start()
			d.WaitUntilReady()
		}
	}
	r := load.Stop()
	logReport(t, r)
	return r, codes
}

// abortedRequests returns the number of requests without an answer, or with one
// that leaves the execution unknown.
func abortedRequests(r *resultcollector.Report) int64 {
	return r.Steps[0].Total.Lost + r.Steps[0].Total.ExecutionUnknown
}

// TestRollingRestartAbortsNoRequest restarts every daemon gracefully, one after
// the other. Callers follow the readiness of the daemons, as behind the
// platform's balancer. No request may be aborted, and each daemon must exit
// with code 0.
func TestRollingRestartAbortsNoRequest(t *testing.T) {
	r, codes := rollingRestart(t, programs)
	checkReport(t, r)
	if n := abortedRequests(r); n > 0 {
		t.Errorf("%d requests were aborted", n)
	}
	for i, code := range codes {
		if code != 0 {
			t.Errorf("stop %d: exit code %d, want 0", i, code)
		}
	}
}

// TestStopMutantIsFound shows that aborted requests are detected. In the
// mutant, a stopping daemon closes its listener for callers at once.
func TestStopMutantIsFound(t *testing.T) {
	r, _ := rollingRestart(t, buildMutant(t, deployer.Mutant{
		File: "entryd/pkg/starter/starter.go",
		Old:  "case <-d.clock.After(lameDuckTime):",
		New:  "case <-d.clock.After(0):",
	}, deployer.Mutant{
		File: "entryd/pkg/starter/starter.go",
		Old:  "err := d.callerServer.Shutdown(ctx); err != nil",
		New:  "err := d.callerServer.Close(); err != nil",
	}))
	if abortedRequests(r) == 0 {
		t.Error("the mutant was not detected: no request was aborted")
	}
}
