package coordinator

import (
	"slices"
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"

	"plantaincleat/entryd/pkg/assigner"
	"plantaincleat/tier/pkg/indexer"
)

// Path leads to the targets of one data centre through one daemon.
type Path struct {
	Daemon     assigner.Daemon
	DataCentre string
	// Probe paths are taken by one unit, to learn whether a target is still
	// slow, and beside another path.
	Probe bool
}

// way is a path to one shard with the targets that it leads to.
type way struct {
	path    Path
	targets []string
}

// plan holds, for each shard of a snapshot, its ways in order of preference.
// It is immutable.
type plan struct {
	ways [][]way
}

// targets returns the replicas of a shard in a data centre. They must not be
// modified.
func (p *plan) targets(unit int, dataCentre string) []string {
	for i := range p.ways[unit] {
		if w := &p.ways[unit][i]; w.path.DataCentre == dataCentre {
			return w.targets
		}
	}
	return nil
}

// planCache holds the plans made under one placement.
type planCache struct {
	version uint64
	// plans maps a *indexer.Snapshot to a func() *plan that makes the plan once.
	plans sync.Map
}

// plan returns the plan of a snapshot under the placement now in force.
// Queries that ask at the same time wait for one of them to make it.
func (c *Coordinator) plan(s *indexer.Snapshot) *plan {
	cache := c.planCache()
	once, ok := cache.plans.Load(s)
	if !ok {
		once, _ = cache.plans.LoadOrStore(s, sync.OnceValue(func() *plan { return c.makePlan(s) }))
	}
	return once.(func() *plan)()
}

// planCache returns the plans of the placement now in force.
func (c *Coordinator) planCache() *planCache {
	version := c.Placement.Version()
	cache := c.plans.Load()
	if cache != nil && cache.version == version {
		return cache
	}
	next := &planCache{
		version: version,
	}
	if c.plans.CompareAndSwap(cache, next) {
		return next
	}
	return c.plans.Load()
}

func (c *Coordinator) makePlan(s *indexer.Snapshot) *plan {
	p := &plan{
		ways: make([][]way, s.ShardCount()),
	}
	for i := range s.ShardCount() {
		p.ways[i] = c.ways(s.Shard(i))
	}
	return p
}

// ways orders the ways to a shard: the first gatherer of each data centre
// that has a replica, nearest first, then the second gatherers, and so on.
func (c *Coordinator) ways(shard *indexer.Shard) []way {
	targets := shard.ReplicasByDataCentre()
	centres := make([]string, 0, len(targets))
	for dc := range targets {
		centres = append(centres, dc)
	}
	slices.SortFunc(centres, func(a, b string) int { return c.nearer(a, b, shard.ID()) })
	ranked := make([][]assigner.Daemon, len(centres))
	longest := 0
	for i, dc := range centres {
		ranked[i] = c.Placement.Gatherers(dc, assigner.GroupName(targets[dc]))
		longest = max(longest, len(ranked[i]))
	}
	var out []way
	for rank := range longest {
		for i, dc := range centres {
			if rank < len(ranked[i]) {
				out = append(out, way{
					path: Path{
						Daemon:     ranked[i][rank],
						DataCentre: dc,
					},
					targets: targets[dc],
				})
			}
		}
	}
	return out
}

// nearer puts the root's own data centre first and spreads the others over
// roots and shards.
func (c *Coordinator) nearer(a, b, shard string) int {
	if (a == c.DataCentre) != (b == c.DataCentre) {
		if a == c.DataCentre {
			return -1
		}
		return 1
	}
	ha, hb := xxhash.Sum64String(c.ID+"/"+shard+"/"+a), xxhash.Sum64String(c.ID+"/"+shard+"/"+b)
	switch {
	case ha < hb:
		return -1
	case ha > hb:
		return 1
	}
	return strings.Compare(a, b)
}
