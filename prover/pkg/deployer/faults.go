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

// SetKVFaults replaces the faults that the key-value service injects.
func (d *Deployment) SetKVFaults(f kvserver.Faults) {
	d.t.Helper()
	d.post("http://"+d.localAddress(kvAdminPort)+"/faults", f)
}

// KVCounts returns the numbers of calls that the key-value service has received
// since its start.
func (d *Deployment) KVCounts() kvserver.Counts {
	d.t.Helper()
	var c kvserver.Counts
	if err := d.get("http://"+d.localAddress(kvAdminPort)+"/counts", &c); err != nil {
		d.t.Fatal(err)
	}
	return c
}

// KillKV kills the key-value service, which loses its content.
func (d *Deployment) KillKV() { d.kv.Kill() }

// SetTargetFaults replaces the faults that the given targets inject, or those
// of all targets if none is given.
func (d *Deployment) SetTargetFaults(f searcher.Faults, ids ...string) {
	d.t.Helper()
	d.post("http://"+d.localAddress(targetAdminPort)+"/faults"+targetQuery(ids), f)
}

// targetQuery returns the URL query that selects targets, which is empty for
// all.
func targetQuery(ids []string) string {
	if len(ids) == 0 {
		return ""
	}
	return "?" + url.Values{"target": ids}.Encode()
}

// SetTargetSnapshots replaces the snapshots that the targets serve.
func (d *Deployment) SetTargetSnapshots(snapshots []deploymentplanner.Snapshot) {
	d.t.Helper()
	plan := d.newPlan(snapshots)
	b, err := protojson.Marshal(plan.Config(false))
	if err != nil {
		d.t.Fatal(err)
	}
	d.postBytes("http://"+d.localAddress(targetAdminPort)+"/config", b)
}

// TargetStatus is the state of one target as its stand-in reports it.
type TargetStatus struct {
	ID          string          `json:"id"`
	Incarnation uint64          `json:"incarnation"`
	Crashes     int64           `json:"crashes"`
	Counts      searcher.Counts `json:"counts"`
}

// Targets returns the status of the given targets, or of all if none is given.
func (d *Deployment) Targets(ids ...string) []TargetStatus {
	d.t.Helper()
	var out []TargetStatus
	if err := d.get("http://"+d.localAddress(targetAdminPort)+"/targets"+targetQuery(ids), &out); err != nil {
		d.t.Fatal(err)
	}
	return out
}

// hostState is the state of one host in the platform's host list.
type hostState struct {
	ID    string `json:"id"`
	State string `json:"state"`
}

// MarkDrainingInHostList sets the state of a target to "leaving" in the
// platform's host list.
func (d *Deployment) MarkDrainingInHostList(id string) {
	d.t.Helper()
	d.post("http://"+d.localAddress(hostsAdminPort)+"/state", hostState{
		ID:    id,
		State: "leaving",
	})
}

// Executions returns the mutations that all targets have executed, one entry
// for each execution.
func (d *Deployment) Executions() []searcher.Execution {
	d.t.Helper()
	var out []searcher.Execution
	if err := d.get("http://"+d.localAddress(targetAdminPort)+"/executions", &out); err != nil {
		d.t.Fatal(err)
	}
	return out
}

// Partition cuts the links between one data centre, counted from 1, and all
// others until HealPartitions. With withKV it also cuts the data centre's link
// to the key-value service. It replaces an earlier partition.
func (d *Deployment) Partition(dc int, withKV bool) {
	d.t.Helper()
	var rules []relayer.Rule
	for other := 1; other <= d.plan.Profile.DataCentres; other++ {
		if other != dc {
			rules = append(rules, partitionRules(dc, other)...)
			rules = append(rules, partitionRules(other, dc)...)
		}
	}
	if withKV {
		rules = append(rules, relayer.Rule{
			Link:   fmt.Sprintf("dc%d/kv", dc),
			From:   loopback,
			Action: relayer.Cut,
		})
	}
	d.setRules(rules)
}

// loopback holds the addresses of all processes of a deployment.
var loopback = netip.MustParsePrefix("127.0.0.0/8")

// partitionRules returns the relay rules that cut the connections from the
// daemons of one data centre to the daemons and targets of another.
func partitionRules(from, to int) []relayer.Rule {
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

// Isolate cuts the links from some daemons to all targets until HealPartitions. It replaces
// an earlier partition.
func (d *Deployment) Isolate(daemons ...*Daemon) {
	d.t.Helper()
	var rules []relayer.Rule
	for _, m := range daemons {
		address := netip.MustParseAddr(m.Settings.GetSource())
		rules = append(rules, relayer.Rule{
			Link:   "*/target-*",
			From:   netip.PrefixFrom(address, address.BitLen()),
			Action: relayer.Cut,
		})
	}
	d.setRules(rules)
}

// HealPartitions restores all links that Partition or Isolate has cut.
func (d *Deployment) HealPartitions() {
	d.t.Helper()
	d.setRules([]relayer.Rule{})
}

func (d *Deployment) setRules(rules []relayer.Rule) {
	d.t.Helper()
	d.post("http://"+d.localAddress(relayAdminPort)+"/faults", map[string]any{"rules": rules})
}
