package assigner

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"plantaincleat/tier/gen/config"
)

// testConfig returns a configuration of dcs data centres. Each of the shards has two
// targets in every data centre. connections is the connection limit of each target,
// and size is the number of daemons per cell.
func testConfig(dcs, shards int, connections, size uint32) *config.Config {
	c := &config.Config{
		Policy: &config.Policy{
			Cell: size,
		},
	}
	snapshot := &config.Snapshot{
		Id: "s",
	}
	for i := range shards {
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

func groupName(dc, i int) string { return fmt.Sprintf("t%d-%d-0,t%d-%d-1", dc, i, dc, i) }

func testDaemons(dcs, hosts int) []Daemon {
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
			name:        "three hosts",
			hosts:       3,
			connections: 25,
			cells:       1,
			budget:      12,
		},
		{
			name:        "default cell size",
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
				Daemons: testDaemons(3, c.hosts),
				Config:  testConfig(3, 20, c.connections, c.size),
			})
			if got := len(p.Cells("dc1")); got != c.cells {
				t.Errorf("%d cells, want %d", got, c.cells)
			}
			if got := p.ConnectionBudget("t1-3-0"); got != c.budget {
				t.Errorf("connection budget %d, want %d", got, c.budget)
			}
			for i := range 20 {
				own := p.Gatherers("dc0", groupName(0, i))
				if len(own) < 2 && c.size != 1 || own[0].DataCentre != "dc0" {
					t.Errorf("gatherers of the targets of shard %d = %v, want two (one in cells of one), the first in dc0", i, own)
				}
				if c.size == 1 && own[0].ID != "d0-001" {
					t.Errorf("first gatherer of the targets of shard %d is %v, want the root, which is a cell of its own", i, own[0])
				}
			}
		})
	}
}

// TestDataCentreWithoutDaemons checks that the root's own cell gathers for a data
// centre without live daemons.
func TestDataCentreWithoutDaemons(t *testing.T) {
	p := New(Input{
		Self:    "d1-000",
		Daemons: testDaemons(2, 3),
		Config:  testConfig(3, 5, 25, 0),
	})
	for _, d := range p.Gatherers("dc2", groupName(2, 1))[:2] {
		if d.DataCentre != "dc1" {
			t.Errorf("gatherer %v, want a daemon of dc1", d)
		}
	}
	if got, want := p.ConnectionBudget("t2-1-0"), 25/(2*2); got != want {
		t.Errorf("connection budget %d, want %d", got, want)
	}
}

// TestGroupIgnoresTargetOrder checks that the same replicas in another order are the
// same group.
func TestGroupIgnoresTargetOrder(t *testing.T) {
	c := testConfig(1, 1, 25, 0)
	snapshot := c.Collections[0].Versions[0].Snapshots[0]
	snapshot.Shards = append(snapshot.Shards, &config.Shard{
		Replicas: []string{"t0-0-1", "t0-0-0"},
	})
	p := New(Input{
		Self:    "d0-000",
		Daemons: testDaemons(1, 5),
		Config:  c,
	})
	a, b := p.Gatherers("dc0", "t0-0-0,t0-0-1"), p.Gatherers("dc0", "t0-0-1,t0-0-0")
	if len(a) == 0 || len(b) == 0 || a[0] != b[0] {
		t.Errorf("gatherers %v and %v of the same targets, want the same first gatherer", a, b)
	}
}

// TestBudgetWithinLimit checks that the connections which all first gatherers of a
// target may open are at most half its limit, for any fleet and any overlap of the
// groups. The other half is the reserve that connectionMargin requires for the time in
// which daemons disagree on which daemons are alive.
func TestBudgetWithinLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		dcs := rapid.IntRange(1, 4).Draw(t, "dcs")
		alive := rapid.IntRange(1, dcs).Draw(t, "alive")
		limit := rapid.IntRange(2, 30).Draw(t, "limit")
		c := testConfig(dcs, 4, uint32(limit), uint32(rapid.IntRange(0, 6).Draw(t, "size")))
		ids := make([]string, 0, len(c.Targets))
		for _, target := range c.Targets {
			ids = append(ids, target.GetId())
		}
		snapshot := c.Collections[0].Versions[0].Snapshots[0]
		snapshot.Shards = append(snapshot.Shards, &config.Shard{
			Replicas: rapid.SliceOfNDistinct(rapid.SampledFrom(ids), 1, 4, rapid.ID).Draw(t, "overlap"),
		})
		fleet := testDaemons(alive, rapid.IntRange(1, 20).Draw(t, "hosts"))
		type pair struct{ target, daemon string }
		counted := make(map[pair]bool)
		connections := make(map[string]int)
		for _, root := range fleet {
			p := New(Input{
				Self:    root.ID,
				Daemons: fleet,
				Config:  c,
			})
			f := newFleetConfig(c)
			for dc, groups := range f.groups {
				for name, g := range groups {
					first := p.Gatherers(dc, g.names[0])[0]
					for _, target := range g.targets {
						if key := (pair{target, first.ID}); !counted[key] {
							counted[key] = true
							connections[target] += p.ConnectionBudget(target)
						}
						if 2*connections[target] > limit {
							t.Fatalf("%d connections to target %s of group %s, want at most half the limit %d", connections[target], target, name, limit)
						}
					}
				}
			}
		}
	})
}

// movedFractions returns the fraction of the pairs of cell and group whose first
// gatherer differs between two sets of daemons, and the fraction of the daemons that
// changed cells.
func movedFractions(c *config.Config, before, after []Daemon) (groups, members float64) {
	firstsAndCells := func(ds []Daemon) (map[string]string, map[string]string) {
		p := New(Input{
			Self:    "d0-000",
			Daemons: ds,
			Config:  c,
		})
		firsts, cellOf := map[string]string{}, map[string]string{}
		for _, cl := range p.cells["dc0"] {
			for _, d := range cl.daemons {
				cellOf[d.ID] = cl.name
			}
			for name, g := range newFleetConfig(c).groups["dc0"] {
				first, _ := g.topTwo(cl)
				firsts[cl.name+name] = first.ID
			}
		}
		return firsts, cellOf
	}
	firsts, cellOf := firstsAndCells(before)
	firsts2, cellOf2 := firstsAndCells(after)
	for k, v := range firsts {
		if firsts2[k] != v {
			groups++
		}
	}
	for k, v := range cellOf {
		if h, ok := cellOf2[k]; ok && h != v {
			members++
		}
	}
	return groups / float64(len(firsts)), members / float64(len(cellOf))
}

// removeEach removes each daemon in turn and returns the mean fractions of groups and
// daemons that moved, and the largest fraction of groups.
func removeEach(c *config.Config, all []Daemon) (groups, members, worst float64) {
	for i := range all {
		rest := slices.Concat(all[:i], all[i+1:])
		g, m := movedFractions(c, all, rest)
		groups += g / float64(len(all))
		members += m / float64(len(all))
		worst = max(worst, g)
	}
	return groups, members, worst
}

// TestMovementAfterDaemonLoss checks that the loss of one of 64 daemons moves, in the
// mean, at most twice that daemon's share of the groups and few daemons, and never
// more than a tenth of the groups.
func TestMovementAfterDaemonLoss(t *testing.T) {
	groups, members, worst := removeEach(testConfig(1, 135, 25, 0), testDaemons(1, 64))
	if groups > 2.0/64 || members > 1.0/64 || worst > 0.1 {
		t.Errorf("moved groups: mean fraction %.4f, largest %.4f; moved daemons: mean fraction %.4f", groups, worst, members)
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

// BenchmarkMovement reports the percentages of groups and daemons that move when one
// of n hosts leaves or rejoins.
func BenchmarkMovement(b *testing.B) {
	for _, hosts := range []int{3, 9, 30, 60, 64, 65, 100} {
		b.Run(fmt.Sprint(hosts), func(b *testing.B) {
			c := testConfig(1, 135, 25, 0)
			all := testDaemons(1, hosts)
			for b.Loop() {
				groups, members, worst := removeEach(c, all)
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
		Daemons: testDaemons(7, 64),
		Config:  testConfig(7, 135, 25, 0),
	}
	for b.Loop() {
		New(in)
	}
}

func BenchmarkGatherers(b *testing.B) {
	p := New(Input{
		Self:    "d0-000",
		Daemons: testDaemons(7, 64),
		Config:  testConfig(7, 135, 25, 0),
	})
	name := groupName(3, 7)
	b.ReportAllocs()
	for b.Loop() {
		if len(p.Gatherers("dc3", name)) == 0 {
			b.Fatal("no gatherer for the shard group")
		}
	}
}
