package assigner

import (
	"cmp"
	"math"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"plantaincleat/tier/gen/config"
)

// maxCellSizeRatio bounds the size of a cell, as a multiple of the mean size. With a
// larger ratio fewer daemons change cells when hosts join or leave, but cell sizes
// differ more.
const maxCellSizeRatio = 1.5

// fleetConfig holds the part of a configuration from which a placement is computed.
type fleetConfig struct {
	// cellSize is the intended number of daemons per cell.
	cellSize int
	// groups maps a data centre to its shard groups by name.
	groups map[string]map[string]*group
	// limits maps a target to the number of connections that it accepts, 0 if it
	// states none.
	limits map[string]int
}

func newFleetConfig(c *config.Config) *fleetConfig {
	f := &fleetConfig{
		cellSize: int(c.GetPolicy().GetCell()),
		groups:   make(map[string]map[string]*group),
		limits:   make(map[string]int),
	}
	if f.cellSize == 0 {
		f.cellSize = DefaultCellSize
	}
	datacentres := make(map[string]string)
	for _, t := range c.GetTargets() {
		datacentres[t.GetId()] = t.GetDatacentre()
		f.limits[t.GetId()] = int(t.GetConnections())
	}
	for _, collection := range c.GetCollections() {
		for _, version := range collection.GetVersions() {
			for _, snapshot := range version.GetSnapshots() {
				for _, shard := range snapshot.GetShards() {
					f.addShard(shard.GetReplicas(), datacentres)
				}
			}
		}
	}
	return f
}

// addShard adds the shard group that the replicas of a shard form in each data
// centre. datacentres maps a target to its data centre.
func (f *fleetConfig) addShard(replicas []string, datacentres map[string]string) {
	byDC := make(map[string][]string)
	for _, r := range replicas {
		if dc, ok := datacentres[r]; ok {
			byDC[dc] = append(byDC[dc], r)
		}
	}
	for dc, targets := range byDC {
		configuredName := GroupName(targets)
		slices.Sort(targets)
		name := GroupName(targets)
		if f.groups[dc] == nil {
			f.groups[dc] = make(map[string]*group)
		}
		g := f.groups[dc][name]
		if g == nil {
			g = &group{
				hash:    xxhash.Sum64String(name),
				targets: targets,
			}
			f.groups[dc][name] = g
		}
		if !slices.Contains(g.names, configuredName) {
			g.names = append(g.names, configuredName)
		}
	}
}

// minLimit returns the lowest connection limit of the targets of a data centre. If no
// target states a limit, the result exceeds the number of daemons of any fleet.
func (f *fleetConfig) minLimit(dc string) int {
	const unlimited = 1 << 20
	least := unlimited
	for _, g := range f.groups[dc] {
		for _, t := range g.targets {
			if n := f.limits[t]; n > 0 {
				least = min(least, n)
			}
		}
	}
	return least
}

// formCells divides the daemons of a data centre into cells. It forms as many cells
// as the intended cell size gives, or fewer if the connection limits of the targets
// require it.
func (f *fleetConfig) formCells(dc string, daemons []hashedDaemon) []cell {
	count := max(1, min((len(daemons)+f.cellSize/2)/f.cellSize, f.minLimit(dc)/connectionMargin))
	for ; count > 1; count-- {
		cells := divide(dc, daemons, count)
		if f.withinLimits(dc, cells) {
			return cells
		}
	}
	return f.trimCells(dc, divide(dc, daemons, 1))
}

// trimCells returns the longest prefix of cells that the connection limits of the
// targets allow. If one cell exceeds the limits, it keeps only some of its daemons.
func (f *fleetConfig) trimCells(dc string, cells []cell) []cell {
	for len(cells) > 1 && !f.withinLimits(dc, cells) {
		cells = cells[:len(cells)-1]
	}
	if len(cells) == 0 || f.withinLimits(dc, cells) {
		return cells
	}
	only := cells[0]
	only.daemons = slices.Clone(only.daemons)
	slices.SortFunc(only.daemons, func(a, b hashedDaemon) int {
		return cmp.Or(
			cmp.Compare(mix(only.hash, b.hash), mix(only.hash, a.hash)),
			cmp.Compare(a.ID, b.ID),
		)
	})
	only.daemons = only.daemons[:max(1, min(len(only.daemons), f.minLimit(dc)/connectionMargin))]
	return []cell{only}
}

// withinLimits reports whether the connection limit of each target is at least
// connectionMargin times its number of gatherers.
func (f *fleetConfig) withinLimits(dc string, cells []cell) bool {
	for target, n := range f.countGatherers(dc, cells) {
		if limit := f.limits[target]; limit > 0 && connectionMargin*n > limit {
			return false
		}
	}
	return true
}

// countGatherers returns, for each target of a data centre, the number of daemons
// that are the first gatherer of one of its groups in one of the cells.
func (f *fleetConfig) countGatherers(dc string, cells []cell) map[string]int {
	type pair struct {
		target string
		daemon string
	}
	seen := make(map[pair]bool)
	out := make(map[string]int)
	for _, g := range f.groups[dc] {
		for _, c := range cells {
			first, _ := g.topTwo(c)
			for _, t := range g.targets {
				key := pair{
					target: t,
					daemon: first.ID,
				}
				if !seen[key] {
					seen[key] = true
					out[t]++
				}
			}
		}
	}
	return out
}

// divide assigns daemons to at most count cells by rendezvous hashing with bounded
// loads: it assigns daemons to cells in descending order of the weight of the pair,
// and a cell accepts at most maxCellSizeRatio times the mean size. Daemons in cells of
// different sizes have the same load: in a larger cell, more roots send sub-plans, but
// they are divided among as many more gatherers.
func divide(dc string, daemons []hashedDaemon, count int) []cell {
	if count >= len(daemons) {
		return singleDaemonCells(daemons)
	}
	cells := make([]cell, count)
	for i := range cells {
		name := dc + "/" + strconv.Itoa(i)
		cells[i] = cell{
			name: name,
			hash: xxhash.Sum64String(name),
		}
	}
	type pair struct {
		daemon int
		cell   int
		weight uint64
	}
	pairs := make([]pair, 0, len(daemons)*count)
	for i, d := range daemons {
		for j, c := range cells {
			pairs = append(pairs, pair{
				daemon: i,
				cell:   j,
				weight: mix(c.hash, d.hash),
			})
		}
	}
	slices.SortFunc(pairs, func(a, b pair) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.daemon, b.daemon))
	})
	room := int(math.Ceil(maxCellSizeRatio * float64(len(daemons)) / float64(count)))
	taken := make([]bool, len(daemons))
	for _, p := range pairs {
		c := &cells[p.cell]
		if !taken[p.daemon] && len(c.daemons) < room {
			taken[p.daemon] = true
			c.daemons = append(c.daemons, daemons[p.daemon])
		}
	}
	return slices.DeleteFunc(cells, func(c cell) bool { return len(c.daemons) == 0 })
}

// singleDaemonCells returns one cell for each daemon.
func singleDaemonCells(daemons []hashedDaemon) []cell {
	cells := make([]cell, 0, len(daemons))
	for _, d := range daemons {
		cells = append(cells, cell{
			name:    d.ID,
			hash:    d.hash,
			daemons: []hashedDaemon{d},
		})
	}
	return cells
}
