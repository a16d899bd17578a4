// Package assigner decides which daemons gather answers from which targets.
//
// The daemons of a data centre form cells. In each cell a shard group, the
// replicas of a shard within one data centre, has one gatherer and a second in
// line, both by rendezvous hashing (Thaler and Ravishankar, 1998). A root asks
// the gatherers of its own cell, and of one cell of each other data centre.
// The number of cells is bounded by the connections that targets accept.
//
// A Placement is computed once from the live daemons and the configuration
// and never changes. Its lookups take no lock and allocate nothing.
package assigner

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"plantaincleat/tier/gen/config"
)

// DefaultCell is the number of daemons per cell if the policy names none.
const DefaultCell = 8

// margin is the factor by which the daemons that connect to a target may
// exceed the expected gatherers, as they do while views differ.
const margin = 2

// Daemon is a live daemon.
type Daemon struct {
	ID         string
	Address    string
	DataCentre string
	// Capacity is in thousandths of a core, 0 if unknown.
	Capacity uint32
}

// Input is what a placement depends on.
type Input struct {
	// Self is the id of the daemon that will use the placement as a root.
	Self string
	// Daemons are the live daemons of all data centres, in any order.
	Daemons []Daemon
	Config  *config.Config
}

// cell is a group of daemons of one data centre, by id.
type cell struct {
	name    string
	hash    uint64
	daemons []hashed
}

// hashed is a daemon with the hash of its id.
type hashed struct {
	Daemon
	hash uint64
}

// group is a set of targets in one data centre that hold the same shards.
type group struct {
	hash      uint64
	targets   []string
	spellings []string
}

// Placement tells for one root which daemons gather for which targets.
type Placement struct {
	self              string
	home              string
	cells             map[string][]cell
	ranked            map[string]map[string][]Daemon
	connectionBudgets map[string]int
}

// New computes a placement. Equal inputs give equal placements on every
// daemon, but for the cells that the root itself chooses.
func New(in Input) *Placement {
	p := &Placement{
		self:              in.Self,
		cells:             make(map[string][]cell),
		ranked:            make(map[string]map[string][]Daemon),
		connectionBudgets: make(map[string]int),
	}
	byDC := make(map[string][]hashed)
	for _, d := range in.Daemons {
		if d.ID == in.Self {
			p.home = d.DataCentre
		}
		byDC[d.DataCentre] = append(byDC[d.DataCentre], hashed{
			Daemon: d,
			hash:   xxhash.Sum64String(d.ID),
		})
	}
	f := newFleet(in.Config)
	for dc, daemons := range byDC {
		slices.SortFunc(daemons, func(a, b hashed) int { return cmp.Compare(a.ID, b.ID) })
		p.cells[dc] = f.form(dc, daemons)
	}
	for dc := range f.groups {
		p.place(f, dc)
	}
	return p
}

// place fills in the gatherers and budgets of one data centre's targets.
func (p *Placement) place(f *fleet, dc string) {
	serving := p.cells[dc]
	if len(serving) == 0 {
		serving = f.fit(dc, p.adopters(f.limit(dc)/margin))
	}
	if len(serving) == 0 {
		return
	}
	order := p.preferred(serving, dc)
	ranked := make(map[string][]Daemon)
	for _, g := range f.groups[dc] {
		list := p.withFallback(dc, g, g.rank(order))
		for _, s := range g.spellings {
			ranked[s] = list
		}
	}
	p.ranked[dc] = ranked
	for target, n := range f.gatherers(dc, serving) {
		if limit := f.limits[target]; limit > 0 {
			p.connectionBudgets[target] = max(1, limit/(margin*n))
		}
	}
}

// withFallback appends a daemon of the root's own cell to the gatherers of
// another data centre, for when none of those can be reached. Targets refuse
// what exceeds their connections then.
func (p *Placement) withFallback(dc string, g *group, list []Daemon) []Daemon {
	own := p.cells[p.home]
	if dc == p.home || len(own) == 0 {
		return list
	}
	d, _ := g.best(p.preferred(own, p.home)[0])
	if slices.Contains(list, d.Daemon) {
		return list
	}
	return append(list, d.Daemon)
}

// adopters returns at most n cells that gather for a data centre without live
// daemons: one of each other data centre before a second of any.
func (p *Placement) adopters(n int) []cell {
	var out []cell
	dcs := make([]string, 0, len(p.cells))
	for dc := range p.cells {
		dcs = append(dcs, dc)
	}
	slices.Sort(dcs)
	for i := 0; ; i++ {
		found := false
		for _, dc := range dcs {
			if i < len(p.cells[dc]) && len(out) < max(n, 1) {
				out = append(out, p.cells[dc][i])
				found = true
			}
		}
		if !found {
			return out
		}
	}
}

// preferred orders cells for this root: its own, those of its data centre, and
// the others, each by rendezvous so that roots spread over them.
func (p *Placement) preferred(cells []cell, dc string) []cell {
	key := xxhash.Sum64String(p.self + "/" + dc)
	near := func(c cell) int {
		for _, d := range c.daemons {
			switch {
			case d.ID == p.self:
				return 2
			case d.DataCentre == p.home:
				return 1
			}
		}
		return 0
	}
	out := slices.Clone(cells)
	slices.SortFunc(out, func(a, b cell) int {
		return cmp.Or(
			cmp.Compare(near(b), near(a)),
			cmp.Compare(mix(key, b.hash), mix(key, a.hash)),
			cmp.Compare(a.name, b.name),
		)
	})
	return out
}

// rank returns the gatherers of a group in order of preference: the first and
// the second of the first cell, then the first of the second cell.
func (g *group) rank(cells []cell) []Daemon {
	first, second := g.best(cells[0])
	out := []Daemon{first.Daemon}
	if second.ID != "" {
		out = append(out, second.Daemon)
	}
	if len(cells) > 1 {
		other, _ := g.best(cells[1])
		out = append(out, other.Daemon)
	}
	return out
}

// best returns the first and the second gatherer of a group in a cell. The
// second has no id if the cell has one daemon.
func (g *group) best(c cell) (first, second hashed) {
	for _, d := range c.daemons {
		switch {
		case first.ID == "" || mix(g.hash, d.hash) > mix(g.hash, first.hash):
			first, second = d, first
		case second.ID == "" || mix(g.hash, d.hash) > mix(g.hash, second.hash):
			second = d
		}
	}
	return first, second
}

// mix combines two hashes to a weight (finaliser of MurmurHash3, 64 bits).
func mix(a, b uint64) uint64 {
	h := a ^ (b<<31 | b>>33)
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

// Gatherers returns the daemons that gather a shard group of a data centre, in
// order of preference; the last one of another data centre is of the root's own
// cell. The group is named by the ids of its targets, in the
// order of the shard's replicas and separated by commas. The slice must not be
// changed. It is empty if no daemon lives or the group is not configured.
func (p *Placement) Gatherers(dataCentre, group string) []Daemon {
	return p.ranked[dataCentre][group]
}

// ConnectionBudget is the number of connections that one daemon may hold to a target. It
// is 0 for a target that states no limit, or that holds no shard.
func (p *Placement) ConnectionBudget(target string) int { return p.connectionBudgets[target] }

// Cells returns the ids of the daemons of each cell of a data centre.
func (p *Placement) Cells(dataCentre string) [][]string {
	out := make([][]string, 0, len(p.cells[dataCentre]))
	for _, c := range p.cells[dataCentre] {
		ids := make([]string, 0, len(c.daemons))
		for _, d := range c.daemons {
			ids = append(ids, d.ID)
		}
		out = append(out, ids)
	}
	return out
}

// GroupName returns the name of the shard group that targets form.
func GroupName(targets []string) string { return strings.Join(targets, ",") }
