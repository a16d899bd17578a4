package coordinator

import (
	"slices"
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"

	"plantaincleat/entryd/pkg/assigner"
	"plantaincleat/tier/pkg/indexer"
)

// Path identifies the targets of one data centre as reached through one daemon.
type Path struct {
	Daemon     assigner.Daemon
	DataCentre string
	// Probe is true for a first attempt that finds out whether slow targets are still
	// slow. Its unit is also sent on another path at once.
	Probe bool
}

// shardPath is a path to one shard with the replicas that it leads to.
type shardPath struct {
	path    Path
	targets []string
}

// pathTable holds the paths to the shards of a snapshot. It is immutable.
type pathTable struct {
	// shards holds the paths to each shard in order of preference.
	shards [][]shardPath
}

// targets returns the ids of the replicas of a shard in a data centre. The slice must
// not be modified.
func (t *pathTable) targets(unit int, dataCentre string) []string {
	for i := range t.shards[unit] {
		if sp := &t.shards[unit][i]; sp.path.DataCentre == dataCentre {
			return sp.targets
		}
	}
	return nil
}

// pathCache holds the path tables computed under one placement.
type pathCache struct {
	// version is the version of the placement.
	version uint64
	// tables maps a *indexer.Snapshot to a func() *pathTable that computes the table
	// once.
	tables sync.Map
}

// pathTable returns the path table of a snapshot under the current placement.
// Concurrent callers wait until one of them has computed it.
func (c *Coordinator) pathTable(s *indexer.Snapshot) *pathTable {
	cache := c.currentPathCache()
	once, ok := cache.tables.Load(s)
	if !ok {
		once, _ = cache.tables.LoadOrStore(s, sync.OnceValue(func() *pathTable { return c.newPathTable(s) }))
	}
	return once.(func() *pathTable)()
}

// currentPathCache returns the path cache of the current placement.
func (c *Coordinator) currentPathCache() *pathCache {
	version := c.Placement.Version()
	cache := c.paths.Load()
	if cache != nil && cache.version == version {
		return cache
	}
	next := &pathCache{
		version: version,
	}
	if c.paths.CompareAndSwap(cache, next) {
		return next
	}
	return c.paths.Load()
}

// newPathTable computes the path table of a snapshot.
func (c *Coordinator) newPathTable(s *indexer.Snapshot) *pathTable {
	table := &pathTable{
		shards: make([][]shardPath, s.ShardCount()),
	}
	for i := range s.ShardCount() {
		table.shards[i] = c.shardPaths(s.Shard(i))
	}
	return table
}

// shardPaths returns the paths to a shard in order of preference: through the first
// gatherer of each data centre that has a replica, in the order of
// compareDataCentres, then through the second gatherers, and so on.
func (c *Coordinator) shardPaths(shard *indexer.Shard) []shardPath {
	targets := shard.ReplicasByDataCentre()
	dataCentres := make([]string, 0, len(targets))
	for dc := range targets {
		dataCentres = append(dataCentres, dc)
	}
	slices.SortFunc(dataCentres, func(a, b string) int { return c.compareDataCentres(a, b, shard.ID()) })
	ranked := make([][]assigner.Daemon, len(dataCentres))
	longest := 0
	for i, dc := range dataCentres {
		ranked[i] = c.Placement.Gatherers(dc, assigner.GroupName(targets[dc]))
		longest = max(longest, len(ranked[i]))
	}
	var out []shardPath
	for rank := range longest {
		for i, dc := range dataCentres {
			if rank < len(ranked[i]) {
				out = append(out, shardPath{
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

// compareDataCentres orders data centres: the root's own first, the others by a hash
// that differs between roots and shards and so spreads the load.
func (c *Coordinator) compareDataCentres(a, b, shard string) int {
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
