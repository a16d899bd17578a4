package prover

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"testing"
	"time"

	"plantaincleat/loadgen/pkg/balancer"
	"plantaincleat/loadgen/pkg/caller"
	"plantaincleat/loadgen/pkg/deploymentplanner"
	"plantaincleat/prover/pkg/deployer"
	"plantaincleat/standin/pkg/searcher"
	"plantaincleat/tier/gen/config"
	"plantaincleat/tier/gen/target"
	"plantaincleat/tier/pkg/synthesizer"
)

const (
	// maxCrashes is the number of targets that one request may crash.
	maxCrashes = 2
	// resends bounds the sends of the request that crashes targets.
	resends     = 40
	resendPause = 100 * time.Millisecond
	lookupTime  = time.Second
)

// canaries has every class ask one shard first.
func canaries(cfg *config.Config) {
	for _, i := range cfg.GetInstitutions() {
		for _, c := range i.GetClasses() {
			c.Canary = true
		}
	}
}

// lookup is a read of the entrants by some terms.
func lookup(d *deployer.Deployment, id string, terms ...string) caller.Search {
	return caller.Search{
		ID:          id,
		Institution: d.Profile().Name,
		Collection:  "entrants",
		Version:     deploymentplanner.SchemaVersion,
		Class:       "lookup",
		Query: &target.Query{
			Terms: terms,
			Limit: 10,
		},
		Deadline: lookupTime,
	}
}

// newCaller returns a caller that spreads its requests over all daemons.
func newCaller(t *testing.T, d *deployer.Deployment) *caller.Caller {
	t.Helper()
	var entries []string
	for _, m := range d.Daemons() {
		entries = append(entries, m.Entry())
	}
	b, err := balancer.New(entries, nil)
	if err != nil {
		t.Fatal(err)
	}
	c := caller.New(b)
	t.Cleanup(c.Close)
	return c
}

// crashes counts the crashes of all targets.
func crashes(d *deployer.Deployment) int64 {
	var n int64
	for _, s := range d.Targets() {
		n += s.Crashes
	}
	return n
}

// resendUntilQuarantined sends one request again and again, as its caller does,
// until it is refused as quarantined.
func resendUntilQuarantined(t *testing.T, d *deployer.Deployment, c *caller.Caller) bool {
	t.Helper()
	for i := range resends {
		_, err := c.Search(context.Background(), lookup(d, fmt.Sprintf("crash-%d", i), "course", synthesizer.CrashTerm))
		var refused *caller.Refusal
		if errors.As(err, &refused) && refused.Kind == "quarantined" {
			return true
		}
		d.Pause(resendPause)
	}
	return false
}

// TestCrashingRequestIsQuarantined sends a request that crashes each target
// that runs it, beside an ordinary load. No more than two targets may crash,
// no other request may be refused as quarantined, and operators can list and
// clear the quarantine.
func TestCrashingRequestIsQuarantined(t *testing.T) {
	o := options(t, programs)
	o.Restart = 500 * time.Millisecond
	o.Edit = canaries
	d := deployer.New(t, o)
	load := d.StartLoad(deployer.LoadOptions{
		Classes: reads(),
		Rate:    60,
		Seed:    4,
	})
	d.Pause(calm)
	c := newCaller(t, d)
	if !resendUntilQuarantined(t, d, c) {
		t.Errorf("not quarantined after %d sends and %d crashes", resends, crashes(d))
	}
	d.Pause(calm)
	for i := range resends / 2 {
		_, _ = c.Search(context.Background(), lookup(d, fmt.Sprintf("again-%d", i), "course", synthesizer.CrashTerm))
	}
	if n := crashes(d); n > maxCrashes {
		t.Errorf("%d targets crashed, want at most %d", n, maxCrashes)
	}
	r := load.Stop()
	check(t, r)
	if n := r.Steps[0].Total.Refused["quarantined"]; n > 0 {
		t.Errorf("%d other requests were refused as quarantined", n)
	}
	clearQuarantine(t, d, c)
}

// TestQuarantineMutantIsFound shows that further crashes are seen: the daemon
// suspects no request when a target is lost.
func TestQuarantineMutantIsFound(t *testing.T) {
	o := options(t, mutate(t, deployer.Mutant{
		File: "entryd/pkg/gatherer/targetqueue.go",
		Old:  "q.quarantine.RecordLoss(q.clock.Now(), r.attempt)",
	}))
	o.Restart = 500 * time.Millisecond
	o.Edit = canaries
	d := deployer.New(t, o)
	if resendUntilQuarantined(t, d, newCaller(t, d)) {
		t.Error("the request was refused as quarantined")
	}
	if n := crashes(d); n <= maxCrashes {
		t.Errorf("only %d targets crashed", n)
	}
}

// clearQuarantine has the operator list and clear the one quarantine, after the
// targets have been mended.
func clearQuarantine(t *testing.T, d *deployer.Deployment, c *caller.Caller) {
	t.Helper()
	entry := d.Admins()[0]
	list := d.Ctl("quarantine", "list", "--entry", entry, "--output", "json")
	var entries []struct {
		Fingerprint string   `json:"fingerprint"`
		Targets     []string `json:"targets"`
	}
	if err := json.Unmarshal([]byte(list.Stdout), &entries); err != nil || len(entries) != 1 {
		t.Fatalf("quarantine list: code %d: %s%s, want one entry", list.Code, list.Stdout, list.Stderr)
	}
	d.FaultTargets(searcher.Faults{IgnoreCrashTerm: true})
	if out := d.Ctl("quarantine", "clear", entries[0].Fingerprint, "--entry", entry); out.Code != 0 {
		t.Fatalf("quarantine clear: code %d: %s", out.Code, out.Stderr)
	}
	d.Until("the cleared request runs at every daemon", func() bool {
		for range d.Daemons() {
			a, err := c.Search(context.Background(), lookup(d, "cleared", "course", synthesizer.CrashTerm))
			if err != nil || a.Coverage.Fraction < 1 {
				return false
			}
		}
		return true
	})
}
