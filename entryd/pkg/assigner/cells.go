package assigner

import (
	"cmp"
	"math"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"plantaincleat/tier/gen/config"
)

// slack is the size of the largest cell by that of the mean one. More of it
// moves fewer daemons when hosts come and go, and lets cells differ more.
const slack = 1.5

// fleet is the part of a configuration that placement depends on.
type fleet struct {
	// size is the wanted number of daemons per cell.
	size int
	// groups holds the shard groups of each data centre.
	groups map[string]map[string]*group
	// limits holds the connections that each target accepts.
	limits map[string]int
}

func newFleet(c *config.Config) *fleet {
	f := &fleet{
		size:   int(c.GetPolicy().GetCell()),
		groups: make(map[string]map[string]*group),
		limits: make(map[string]int),
	}
	if f.size == 0 {
		f.size = DefaultCell
	}
	homes := make(map[string]string)
	for _, t := range c.GetTargets() {
		homes[t.GetId()] = t.GetDatacentre()
		f.limits[t.GetId()] = int(t.GetConnections())
	}
	for _, collection := range c.GetCollections() {
		for _, version := range collection.GetVersions() {
			for _, snapshot := range version.GetSnapshots() {
				for _, shard := range snapshot.GetShards() {
					f.add(shard.GetReplicas(), homes)
				}
			}
		}
	}
	return f
}

// add registers the groups that a shard's replicas form in each data centre.
func (f *fleet) add(replicas []string, homes map[string]string) {
	byDC := make(map[string][]string)
	for _, r := range replicas {
		if dc, ok := homes[r]; ok {
			byDC[dc] = append(byDC[dc], r)
		}
	}
	for dc, targets := range byDC {
		spelling := GroupName(targets)
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
		if !slices.Contains(g.spellings, spelling) {
			g.spellings = append(g.spellings, spelling)
		}
	}
}

// limit returns the least number of connections that a target of a data centre
// accepts, or a number beyond any fleet if none states one.
func (f *fleet) limit(dc string) int {
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

// form divides the daemons of a data centre into cells: as many as the size
// asks for, or as the targets' connections allow.
func (f *fleet) form(dc string, daemons []hashed) []cell {
	count := max(1, min((len(daemons)+f.size/2)/f.size, f.limit(dc)/margin))
	for ; count > 1; count-- {
		cells := divide(dc, daemons, count)
		if f.fits(dc, cells) {
			return cells
		}
	}
	return f.fit(dc, divide(dc, daemons, 1))
}

// fit returns the longest start of cells that the targets' connections allow.
// If even one cell is too much, only some of its daemons gather.
func (f *fleet) fit(dc string, cells []cell) []cell {
	for len(cells) > 1 && !f.fits(dc, cells) {
		cells = cells[:len(cells)-1]
	}
	if len(cells) == 0 || f.fits(dc, cells) {
		return cells
	}
	only := cells[0]
	only.daemons = slices.Clone(only.daemons)
	slices.SortFunc(only.daemons, func(a, b hashed) int {
		return cmp.Or(
			cmp.Compare(mix(only.hash, b.hash), mix(only.hash, a.hash)),
			cmp.Compare(a.ID, b.ID),
		)
	})
	only.daemons = only.daemons[:max(1, min(len(only.daemons), f.limit(dc)/margin))]
	return []cell{only}
}

// fits reports whether each target accepts margin times its gatherers.
func (f *fleet) fits(dc string, cells []cell) bool {
	for target, n := range f.gatherers(dc, cells) {
		if limit := f.limits[target]; limit > 0 && margin*n > limit {
			return false
		}
	}
	return true
}

// gatherers counts for each target of a data centre the daemons that are the
// first gatherer of one of its groups in one of the cells.
func (f *fleet) gatherers(dc string, cells []cell) map[string]int {
	type pair struct {
		target string
		daemon string
	}
	seen := make(map[pair]bool)
	out := make(map[string]int)
	for _, g := range f.groups[dc] {
		for _, c := range cells {
			first, _ := g.best(c)
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

// divide puts daemons into at most count cells by rendezvous with bounded
// loads: pairs of daemon and cell are taken by falling weight, and a cell that
// has slack times its fair share takes no more. The load of a daemon does not
// depend on the size of its cell, which brings as many roots as gatherers.
func divide(dc string, daemons []hashed, count int) []cell {
	if count >= len(daemons) {
		return singles(daemons)
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
	room := int(math.Ceil(slack * float64(len(daemons)) / float64(count)))
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

// singles makes each daemon a cell of its own.
func singles(daemons []hashed) []cell {
	cells := make([]cell, 0, len(daemons))
	for _, d := range daemons {
		cells = append(cells, cell{
			name:    d.ID,
			hash:    d.hash,
			daemons: []hashed{d},
		})
	}
	return cells
}
