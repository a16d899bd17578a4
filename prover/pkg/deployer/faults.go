package deployer

import (
	"fmt"
	"net/netip"
	"net/url"

	"google.golang.org/protobuf/encoding/protojson"

	"plantaincleat/loadgen/pkg/deploymentplanner"
	"plantaincleat/standin/pkg/kvserver"
	"plantaincleat/standin/pkg/relayer"
	"plantaincleat/standin/pkg/searcher"
)

// FaultKV replaces the faults of the key-value service.
func (d *Deployment) FaultKV(f kvserver.Faults) {
	d.t.Helper()
	d.post("http://"+d.local(kvAdminPort)+"/faults", f)
}

// KVCounts returns the calls of the key-value service since its start.
func (d *Deployment) KVCounts() kvserver.Counts {
	d.t.Helper()
	var c kvserver.Counts
	if err := d.get("http://"+d.local(kvAdminPort)+"/counts", &c); err != nil {
		d.t.Fatal(err)
	}
	return c
}

// KillKV ends the key-value service, which loses its content.
func (d *Deployment) KillKV() { d.kv.Kill() }

// FaultTargets replaces the faults of some targets, of all if none is named.
func (d *Deployment) FaultTargets(f searcher.Faults, ids ...string) {
	d.t.Helper()
	d.post("http://"+d.local(targetAdminPort)+"/faults"+query(ids), f)
}

func query(ids []string) string {
	if len(ids) == 0 {
		return ""
	}
	return "?" + url.Values{"target": ids}.Encode()
}

// HoldTargets tells the targets what they hold: the snapshots of a
// configuration.
func (d *Deployment) HoldTargets(snapshots []deploymentplanner.Snapshot) {
	d.t.Helper()
	plan := d.newPlan(snapshots)
	b, err := protojson.Marshal(plan.Config(false))
	if err != nil {
		d.t.Fatal(err)
	}
	d.postBytes("http://"+d.local(targetAdminPort)+"/config", b)
}

// Target is what one target saw.
type Target struct {
	ID          string          `json:"id"`
	Incarnation uint64          `json:"incarnation"`
	Crashes     int64           `json:"crashes"`
	Counts      searcher.Counts `json:"counts"`
}

// Targets returns what some targets saw, all if none is named.
func (d *Deployment) Targets(ids ...string) []Target {
	d.t.Helper()
	var out []Target
	if err := d.get("http://"+d.local(targetAdminPort)+"/targets"+query(ids), &out); err != nil {
		d.t.Fatal(err)
	}
	return out
}

// hostState is the state of one host in the platform's list.
type hostState struct {
	ID    string `json:"id"`
	State string `json:"state"`
}

// ListLeaving has the platform's list of hosts show a target as leaving.
func (d *Deployment) ListLeaving(id string) {
	d.t.Helper()
	d.post("http://"+d.local(hostsAdminPort)+"/state", hostState{
		ID:    id,
		State: "leaving",
	})
}

// Executions returns the runs of mutations at all targets.
func (d *Deployment) Executions() []searcher.Execution {
	d.t.Helper()
	var out []searcher.Execution
	if err := d.get("http://"+d.local(targetAdminPort)+"/executions", &out); err != nil {
		d.t.Fatal(err)
	}
	return out
}

// Cut cuts the links between a data centre, which counts from 1, and the
// others, and those to the key-value service if the platform is cut as well.
func (d *Deployment) Cut(dc int, platform bool) {
	d.t.Helper()
	var rules []relayer.Rule
	for other := 1; other <= d.plan.Profile.DataCentres; other++ {
		if other != dc {
			rules = append(rules, cut(dc, other)...)
			rules = append(rules, cut(other, dc)...)
		}
	}
	if platform {
		rules = append(rules, relayer.Rule{
			Link:   fmt.Sprintf("dc%d/kv", dc),
			From:   all,
			Action: relayer.Cut,
		})
	}
	d.setRules(rules)
}

var all = netip.MustParsePrefix("127.0.0.0/8")

// cut returns the rules that hold back what a data centre dials in another.
func cut(from, to int) []relayer.Rule {
	var rules []relayer.Rule
	for _, kind := range []string{"peer", "target"} {
		rules = append(rules, relayer.Rule{
			Link:   fmt.Sprintf("dc%d/%s-*", to, kind),
			From:   netip.MustParsePrefix(fmt.Sprintf("127.0.%d.0/24", from)),
			Action: relayer.Cut,
		})
	}
	return rules
}

// Heal ends all cuts.
func (d *Deployment) Heal() {
	d.t.Helper()
	d.setRules([]relayer.Rule{})
}

func (d *Deployment) setRules(rules []relayer.Rule) {
	d.t.Helper()
	d.post("http://"+d.local(relayAdminPort)+"/faults", map[string]any{"rules": rules})
}
