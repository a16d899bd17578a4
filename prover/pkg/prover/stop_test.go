package prover

import (
	"testing"
	"time"

	"plantaincleat/loadgen/pkg/resultcollector"
	"plantaincleat/prover/pkg/deployer"
)

// stopLimit bounds one graceful stop.
const stopLimit = time.Minute

// rollingRestart stops and starts each daemon in turn under load, and returns the
// report with the exit codes.
func rollingRestart(t *testing.T, p deployer.Programs) (*resultcollector.Report, []int) {
	t.Helper()
	d := deployer.New(t, options(t, p))
	load := d.StartLoad(deployer.LoadOptions{
		Rate: 80,
		Seed: 2,
	})
	d.Pause(calm)
	var codes []int
	for range rounds() {
		for _, m := range d.Daemons() {
			codes = append(codes, m.Stop(stopLimit))
			m.Start()
			d.Whole()
		}
	}
	r := load.Stop()
	show(t, r)
	return r, codes
}

// cut counts the requests whose callers do not know what became of them.
func cut(r *resultcollector.Report) int64 {
	return r.Steps[0].Total.Lost + r.Steps[0].Total.ExecutionUnknown
}

// TestRollingRestartCutsNothing restarts the daemons as a planned stop does.
// Callers follow the readiness of the daemons, as behind the platform's
// balancer: none may lose a request, and each daemon must end with code 0.
func TestRollingRestartCutsNothing(t *testing.T) {
	r, codes := rollingRestart(t, programs)
	check(t, r)
	if n := cut(r); n > 0 {
		t.Errorf("%d requests were cut", n)
	}
	for i, code := range codes {
		if code != 0 {
			t.Errorf("stop %d ended with code %d", i, code)
		}
	}
}

// TestStopMutantIsFound shows that cut requests are seen: the daemon closes its
// listener for callers at once.
func TestStopMutantIsFound(t *testing.T) {
	r, _ := rollingRestart(t, mutate(t, deployer.Mutant{
		File: "entryd/pkg/starter/starter.go",
		Old:  "case <-d.clock.After(lameDuckTime):",
		New:  "case <-d.clock.After(0):",
	}, deployer.Mutant{
		File: "entryd/pkg/starter/starter.go",
		Old:  "err := d.callerServer.Shutdown(ctx); err != nil",
		New:  "err := d.callerServer.Close(); err != nil",
	}))
	if cut(r) == 0 {
		t.Error("no request was cut")
	}
}
