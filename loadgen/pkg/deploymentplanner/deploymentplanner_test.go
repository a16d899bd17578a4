package deploymentplanner

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"plantaincleat/tier/gen/config"
	"plantaincleat/tier/pkg/loader"
)

func newPlan(t *testing.T, name string, scale float64) *Plan {
	t.Helper()
	p, err := FindProfile(name)
	if err != nil {
		t.Fatal(err)
	}
	if p, err = p.Scale(scale); err != nil {
		t.Fatal(err)
	}
	return &Plan{
		Profile: p,
		Daemons: 9,
		Port:    20000,
		Snapshots: []Snapshot{
			{
				ID:             "s1",
				ShardsPerGroup: 1,
			},
			{
				ID:             "s2",
				ShardsPerGroup: 2,
			},
		},
		LatencyModel: LatencyModel{
			Median: 2 * time.Millisecond,
		},
		KVAddress: "127.0.0.1:2379",
	}
}

// TestWriteValidFiles checks that the loaders of the daemons and of plantainctl accept
// the files of each profile.
func TestWriteValidFiles(t *testing.T) {
	for _, name := range ProfileNames() {
		for _, relay := range []bool{false, true} {
			p := newPlan(t, name, 0.2)
			p.Relay = relay
			dir := t.TempDir()
			if err := p.Write(dir, "Written by a test."); err != nil {
				t.Fatal(err)
			}
			file, groups := p.StandinFiles()
			for _, f := range []string{file, ConfigFile} {
				if _, err := loader.LoadConfig(filepath.Join(dir, f)); err != nil {
					t.Errorf("%s: %v", name, err)
				}
			}
			for _, s := range p.Settings() {
				if _, err := loader.LoadSettings(filepath.Join(dir, s.GetId()+".json")); err != nil {
					t.Errorf("%s: %v", name, err)
				}
			}
			for _, g := range groups {
				if _, err := os.Stat(filepath.Join(dir, g)); err != nil {
					t.Errorf("%s: %v", name, err)
				}
			}
		}
	}
}

// TestProfileSizes checks that the unscaled profiles have the numbers of targets and
// shards of the users' deployments.
func TestProfileSizes(t *testing.T) {
	tests := []struct {
		name    string
		targets int
		shards  map[string]int
	}{
		{name: "kahikatea", targets: 106, shards: map[string]int{"entrants": 20, "courses": 30, "cards": 3, "results": 3}},
		{name: "corrib", targets: 130, shards: map[string]int{"skills": 20, "enablements": 30, "listings": 10, "reviews": 5}},
	}
	for _, tt := range tests {
		cfg := newPlan(t, tt.name, 1).Config(false)
		if len(cfg.GetTargets()) != tt.targets {
			t.Errorf("%s: %d targets, want %d", tt.name, len(cfg.GetTargets()), tt.targets)
		}
		for _, c := range cfg.GetCollections() {
			snapshots := c.GetVersions()[0].GetSnapshots()
			if n := len(snapshots[0].GetShards()); n != tt.shards[c.GetName()] {
				t.Errorf("%s: %d shards of %s, want %d", tt.name, n, c.GetName(), tt.shards[c.GetName()])
			}
			if n := len(snapshots[1].GetShards()); n != 2*tt.shards[c.GetName()] {
				t.Errorf("%s: %d shards of %s after the split, want %d", tt.name, n, c.GetName(), 2*tt.shards[c.GetName()])
			}
		}
	}
}

// TestReplicasInDifferentDataCentres checks that the loss of a data centre leaves a
// replica of each shard.
func TestReplicasInDifferentDataCentres(t *testing.T) {
	for _, name := range ProfileNames() {
		cfg := newPlan(t, name, 1).Config(false)
		dc := make(map[string]string)
		for _, target := range cfg.GetTargets() {
			dc[target.GetId()] = target.GetDatacentre()
		}
		eachShard(cfg, func(s *config.Shard) {
			r := s.GetReplicas()
			if len(r) != 2 || dc[r[0]] == dc[r[1]] {
				t.Errorf("%s: shard %s has replicas %v in %s and %s", name, s.GetId(), r, dc[r[0]], dc[r[1]])
			}
		})
	}
}

func eachShard(cfg *config.Config, f func(*config.Shard)) {
	for _, c := range cfg.GetCollections() {
		for _, v := range c.GetVersions() {
			for _, s := range v.GetSnapshots() {
				for _, shard := range s.GetShards() {
					f(shard)
				}
			}
		}
	}
}

func TestProfileCapacity(t *testing.T) {
	p := Profile{
		Services: []Service{
			{
				Collection:         "a",
				Instances:          10,
				TargetsPerInstance: 2,
				Slots:              2,
			},
			{
				Collection:         "b",
				Instances:          10,
				TargetsPerInstance: 2,
				Slots:              2,
			},
		},
		Classes: []Class{
			{
				Collection: "a",
				Weight:     3,
				PageCount:  2,
			},
			{
				Collection: "b",
				Weight:     1,
			},
		},
	}
	// 40 slots execute 4000 calls of 10 ms per second. A request to collection a
	// makes 20 calls, and three in four requests go to a: 4000/(20*0.75) = 266.7.
	if got := p.Capacity(1, 10*time.Millisecond); got < 266 || got > 267 {
		t.Errorf("capacity %v, want 266.7", got)
	}
}

func TestPlanValidate(t *testing.T) {
	tests := []struct {
		change func(*Plan)
		want   string
	}{
		{change: func(p *Plan) { p.Daemons = 0 }, want: "field daemons"},
		{change: func(p *Plan) { p.Port = 80 }, want: "field port"},
		{change: func(p *Plan) { p.Port = 65500 }, want: "field port"},
		{change: func(p *Plan) { p.Snapshots = nil }, want: "field snapshots"},
		{change: func(p *Plan) { p.Snapshots[0].ShardsPerGroup = 0 }, want: "field snapshots"},
		{change: func(p *Plan) { p.LatencyModel.Median = 0 }, want: "field median"},
		{change: func(p *Plan) { p.LatencyModel.SlowFraction = 2 }, want: "field slow"},
	}
	for _, tt := range tests {
		p := newPlan(t, "corrib", 1)
		tt.change(p)
		if err := p.Validate(); err == nil || !strings.Contains(err.Error(), tt.want) {
			t.Errorf("Validate() = %v, want an error with %q", err, tt.want)
		}
	}
}
