package assigner

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"plantaincleat/tier/gen/config"
)

// sample returns a configuration of dcs data centres with pairs of targets,
// one shard each.
func sample(dcs, pairs int, connections, size uint32) *config.Config {
	c := &config.Config{
		Policy: &config.Policy{
			Cell: size,
		},
	}
	snapshot := &config.Snapshot{
		Id: "s",
	}
	for i := range pairs {
		shard := &config.Shard{
			Id: fmt.Sprint(i),
		}
		for dc := range dcs {
			for r := range 2 {
				id := fmt.Sprintf("t%d-%d-%d", dc, i, r)
				shard.Replicas = append(shard.Replicas, id)
				c.Targets = append(c.Targets, &config.Target{
					Id:          id,
					Datacentre:  fmt.Sprintf("dc%d", dc),
					Connections: connections,
				})
			}
		}
		snapshot.Shards = append(snapshot.Shards, shard)
	}
	c.Collections = []*config.Collection{{
		Versions: []*config.Version{{
			Snapshots: []*config.Snapshot{snapshot},
		}},
	}}
	return c
}

func pairName(dc, i int) string { return fmt.Sprintf("t%d-%d-0,t%d-%d-1", dc, i, dc, i) }

func daemons(dcs, hosts int) []Daemon {
	var out []Daemon
	for dc := range dcs {
		for i := range hosts {
			out = append(out, Daemon{
				ID:         fmt.Sprintf("d%d-%03d", dc, i),
				DataCentre: fmt.Sprintf("dc%d", dc),
			})
		}
	}
	return out
}

func TestPlacement(t *testing.T) {
	cases := []struct {
		name        string
		hosts       int
		connections uint32
		size        uint32
		cells       int
		budget      int
	}{
		{
			name:        "today",
			hosts:       3,
			connections: 25,
			cells:       1,
			budget:      12,
		},
		{
			name:        "target size",
			hosts:       64,
			connections: 25,
			cells:       8,
			budget:      1,
		},
		{
			name:        "bounded by connections",
			hosts:       64,
			connections: 9,
			cells:       4,
			budget:      1,
		},
		{
			name:        "cells of one",
			hosts:       10,
			connections: 25,
			size:        1,
			cells:       10,
			budget:      1,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := New(Input{
				Self:    "d0-001",
				Daemons: daemons(3, c.hosts),
				Config:  sample(3, 20, c.connections, c.size),
			})
			if got := len(p.Cells("dc1")); got != c.cells {
				t.Errorf("%d cells, want %d", got, c.cells)
			}
			if got := p.ConnectionBudget("t1-3-0"); got != c.budget {
				t.Errorf("budget %d, want %d", got, c.budget)
			}
			for i := range 20 {
				own := p.Gatherers("dc0", pairName(0, i))
				if len(own) < 2 && c.size != 1 || own[0].DataCentre != "dc0" {
					t.Errorf("gatherers of pair %d: %v", i, own)
				}
				if c.size == 1 && own[0].ID != "d0-001" {
					t.Errorf("pair %d of a cell of one is gathered by %v", i, own[0])
				}
			}
		})
	}
}

// A data centre without daemons is gathered by the root's own cell.
func TestNoDaemonInDataCentre(t *testing.T) {
	p := New(Input{
		Self:    "d1-000",
		Daemons: daemons(2, 3),
		Config:  sample(3, 5, 25, 0),
	})
	for _, d := range p.Gatherers("dc2", pairName(2, 1))[:2] {
		if d.DataCentre != "dc1" {
			t.Errorf("gathered by %v", d)
		}
	}
	if got, want := p.ConnectionBudget("t2-1-0"), 25/(2*2); got != want {
		t.Errorf("budget %d, want %d", got, want)
	}
}

// Replicas named in another order are the same group.
func TestGroupSpelling(t *testing.T) {
	c := sample(1, 1, 25, 0)
	snapshot := c.Collections[0].Versions[0].Snapshots[0]
	snapshot.Shards = append(snapshot.Shards, &config.Shard{
		Replicas: []string{"t0-0-1", "t0-0-0"},
	})
	p := New(Input{
		Self:    "d0-000",
		Daemons: daemons(1, 5),
		Config:  c,
	})
	a, b := p.Gatherers("dc0", "t0-0-0,t0-0-1"), p.Gatherers("dc0", "t0-0-1,t0-0-0")
	if len(a) == 0 || len(b) == 0 || a[0] != b[0] {
		t.Errorf("gatherers %v and %v", a, b)
	}
}

// Twice the daemons that connect to a target never exceed its limit, over all
// roots, whatever the fleet and the overlap of the groups.
func TestBudgetWithinLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		dcs := rapid.IntRange(1, 4).Draw(t, "dcs")
		alive := rapid.IntRange(1, dcs).Draw(t, "alive")
		limit := rapid.IntRange(2, 30).Draw(t, "limit")
		c := sample(dcs, 4, uint32(limit), uint32(rapid.IntRange(0, 6).Draw(t, "size")))
		ids := make([]string, 0, len(c.Targets))
		for _, target := range c.Targets {
			ids = append(ids, target.GetId())
		}
		snapshot := c.Collections[0].Versions[0].Snapshots[0]
		snapshot.Shards = append(snapshot.Shards, &config.Shard{
			Replicas: rapid.SliceOfNDistinct(rapid.SampledFrom(ids), 1, 4, rapid.ID).Draw(t, "overlap"),
		})
		fleet := daemons(alive, rapid.IntRange(1, 20).Draw(t, "hosts"))
		type pair struct{ target, daemon string }
		held := make(map[pair]bool)
		connections := make(map[string]int)
		for _, root := range fleet {
			p := New(Input{
				Self:    root.ID,
				Daemons: fleet,
				Config:  c,
			})
			f := newFleet(c)
			for dc, groups := range f.groups {
				for name, g := range groups {
					first := p.Gatherers(dc, g.spellings[0])[0]
					for _, target := range g.targets {
						if key := (pair{target, first.ID}); !held[key] {
							held[key] = true
							connections[target] += p.ConnectionBudget(target)
						}
						if 2*connections[target] > limit {
							t.Fatalf("%d connections to %s of group %s, limit %d", connections[target], target, name, limit)
						}
					}
				}
			}
		}
	})
}

// moved returns the fraction of pairs of cell and group whose first gatherer
// differs, and the fraction of daemons that changed cells.
func moved(c *config.Config, before, after []Daemon) (groups, members float64) {
	place := func(ds []Daemon) (map[string]string, map[string]string) {
		p := New(Input{
			Self:    "d0-000",
			Daemons: ds,
			Config:  c,
		})
		firsts, homes := map[string]string{}, map[string]string{}
		for _, cl := range p.cells["dc0"] {
			for _, d := range cl.daemons {
				homes[d.ID] = cl.name
			}
			for name, g := range newFleet(c).groups["dc0"] {
				first, _ := g.best(cl)
				firsts[cl.name+name] = first.ID
			}
		}
		return firsts, homes
	}
	firsts, homes := place(before)
	firsts2, homes2 := place(after)
	for k, v := range firsts {
		if firsts2[k] != v {
			groups++
		}
	}
	for k, v := range homes {
		if h, ok := homes2[k]; ok && h != v {
			members++
		}
	}
	return groups / float64(len(firsts)), members / float64(len(homes))
}

// leaveEach takes each daemon out in turn and returns the mean fractions of
// groups and daemons that moved, and the worst of groups.
func leaveEach(c *config.Config, all []Daemon) (groups, members, worst float64) {
	for i := range all {
		rest := slices.Concat(all[:i], all[i+1:])
		g, m := moved(c, all, rest)
		groups += g / float64(len(all))
		members += m / float64(len(all))
		worst = max(worst, g)
	}
	return groups, members, worst
}

// A leaving daemon moves its own groups and little else: one in 64 moves at
// most twice its own share in the mean.
func TestMovement(t *testing.T) {
	groups, members, worst := leaveEach(sample(1, 135, 25, 0), daemons(1, 64))
	if groups > 2.0/64 || members > 1.0/64 || worst > 0.1 {
		t.Errorf("moved %.4f of the groups, at worst %.4f, and %.4f of the daemons", groups, worst, members)
	}
}

func cellSizes(c *config.Config, ds []Daemon) (small, large int) {
	small = len(ds)
	for _, ids := range New(Input{
		Daemons: ds,
		Config:  c,
	}).Cells("dc0") {
		small, large = min(small, len(ids)), max(large, len(ids))
	}
	return small, large
}

// BenchmarkMovement reports how much moves when one of n hosts leaves, and
// when it comes back.
func BenchmarkMovement(b *testing.B) {
	for _, hosts := range []int{3, 9, 30, 60, 64, 65, 100} {
		b.Run(fmt.Sprint(hosts), func(b *testing.B) {
			c := sample(1, 135, 25, 0)
			all := daemons(1, hosts)
			for b.Loop() {
				groups, members, worst := leaveEach(c, all)
				b.ReportMetric(100*groups, "%groups")
				b.ReportMetric(100*worst, "%worst")
				b.ReportMetric(100*members, "%daemons")
				b.ReportMetric(100/float64(hosts), "%least")
				small, large := cellSizes(c, all)
				b.ReportMetric(float64(small), "smallest")
				b.ReportMetric(float64(large), "largest")
			}
		})
	}
}

func BenchmarkNew(b *testing.B) {
	in := Input{
		Self:    "d0-000",
		Daemons: daemons(7, 64),
		Config:  sample(7, 135, 25, 0),
	}
	for b.Loop() {
		New(in)
	}
}

func BenchmarkGatherers(b *testing.B) {
	p := New(Input{
		Self:    "d0-000",
		Daemons: daemons(7, 64),
		Config:  sample(7, 135, 25, 0),
	})
	name := pairName(3, 7)
	b.ReportAllocs()
	for b.Loop() {
		if len(p.Gatherers("dc3", name)) == 0 {
			b.Fatal("no gatherer")
		}
	}
}
