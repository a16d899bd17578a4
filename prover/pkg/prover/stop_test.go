package prover

import (
	"testing"
	"time"

	"plantaincleat/prover/pkg/deployer"
)

// stopLimit bounds one graceful stop.
const stopLimit = time.Minute

// TestRollingRestartCutsNothing stops and starts each daemon in turn under
// load. Callers follow the readiness of the daemons, as behind the platform's
// balancer: none may lose a request, and each daemon must end with code 0.
func TestRollingRestartCutsNothing(t *testing.T) {
	d := deployer.New(t, options(t, programs))
	load := d.StartLoad(deployer.LoadOptions{
		Classes: reads(),
		Rate:    80,
		Seed:    2,
	})
	d.Pause(calm)
	for range rounds() {
		for _, m := range d.Daemons() {
			if code := m.Stop(stopLimit); code != 0 {
				t.Errorf("daemon %s ended with code %d", m.Settings.GetId(), code)
			}
			m.Start()
			d.Whole()
		}
	}
	r := load.Stop()
	check(t, r)
	if n := r.Steps[0].Total.Lost; n > 0 {
		t.Errorf("%d requests got no answer", n)
	}
}
