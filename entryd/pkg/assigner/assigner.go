// Package assigner decides which daemons send requests to which targets.
//
// A Placement assigns gatherers to shard groups. A shard group consists of the
// replicas of a shard within one data centre. The daemons of a data centre are
// divided into cells. In each cell a shard group has a first and a second
// gatherer, both chosen by rendezvous hashing (Thaler and Ravishankar, 1998). A
// root uses the gatherers of its own cell and of one cell of each remote data
// centre. The connection limits of the targets bound the number of cells.
//
// A Placement is computed once from the live daemons and the configuration and
// is immutable. Its lookups take no lock and do not allocate.
//
// Owners assigns shards to the daemons that send plain requests to their
// targets.
package assigner

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"plantaincleat/tier/gen/config"
)

// DefaultCellSize is the number of daemons per cell if the policy sets none.
const DefaultCellSize = 8

// connectionMargin is the factor by which the number of daemons connected to a
// target may exceed its number of gatherers. The excess occurs while the daemons
// disagree on which daemons are alive.
const connectionMargin = 2

// Daemon describes a live daemon.
type Daemon struct {
	ID         string
	Address    string
	DataCentre string
	// Capacity is the processor capacity of the daemon's host in thousandths of a
	// core. Zero means unknown.
	Capacity uint32
}

// Input holds the values from which New computes a Placement.
type Input struct {
	// Self is the id of the daemon that will use the placement as a root.
	Self string
	// Daemons are the live daemons of all data centres, in any order.
	Daemons []Daemon
	Config  *config.Config
}

// cell is a group of daemons of one data centre.
type cell struct {
	name    string
	hash    uint64
	daemons []hashedDaemon
}

// hashedDaemon is a daemon with the hash of its id.
type hashedDaemon struct {
	Daemon
	hash uint64
}

// group is a set of targets in one data centre that hold the same shards.
type group struct {
	hash    uint64
	targets []string
	// names holds the names of the group: one for each order in which configured
	// shards list its targets.
	names []string
}

// Placement maps the shard groups to their gatherers, as one root uses them. It
// is immutable and safe for concurrent use.
type Placement struct {
	// self and dataCentre identify the root.
	self       string
	dataCentre string
	// cells maps a data centre to its cells.
	cells map[string][]cell
	// ranked maps a data centre and the name of a group to the gatherers of the
	// group in order of preference.
	ranked map[string]map[string][]Daemon
	// connectionBudgets maps a target to the number of connections per daemon.
	connectionBudgets map[string]int
}

// New computes a placement. Daemons with the same live daemons and the same
// configuration compute the same cells and budgets. The preferred cells depend on
// Input.Self.
func New(in Input) *Placement {
	p := &Placement{
		self:              in.Self,
		cells:             make(map[string][]cell),
		ranked:            make(map[string]map[string][]Daemon),
		connectionBudgets: make(map[string]int),
	}
	byDC := make(map[string][]hashedDaemon)
	for _, d := range in.Daemons {
		if d.ID == in.Self {
			p.dataCentre = d.DataCentre
		}
		byDC[d.DataCentre] = append(byDC[d.DataCentre], hashedDaemon{
			Daemon: d,
			hash:   xxhash.Sum64String(d.ID),
		})
	}
	f := newFleetConfig(in.Config)
	for dc, daemons := range byDC {
		slices.SortFunc(daemons, func(a, b hashedDaemon) int { return cmp.Compare(a.ID, b.ID) })
		p.cells[dc] = f.formCells(dc, daemons)
	}
	for dc := range f.groups {
		p.assign(f, dc)
	}
	return p
}

// assign computes the gatherers and connection budgets for the targets of one data
// centre.
func (p *Placement) assign(f *fleetConfig, dc string) {
	serving := p.cells[dc]
	if len(serving) == 0 {
		serving = f.trimCells(dc, p.substituteCells(f.minLimit(dc)/connectionMargin))
	}
	if len(serving) == 0 {
		return
	}
	order := p.orderCells(serving, dc)
	ranked := make(map[string][]Daemon)
	for _, g := range f.groups[dc] {
		list := p.withFallback(dc, g, g.rankGatherers(order))
		for _, s := range g.names {
			ranked[s] = list
		}
	}
	p.ranked[dc] = ranked
	for target, n := range f.countGatherers(dc, serving) {
		if limit := f.limits[target]; limit > 0 {
			p.connectionBudgets[target] = max(1, limit/(connectionMargin*n))
		}
	}
}

// withFallback appends a daemon of the root's own cell to the gatherers of a
// remote data centre. It is used when none of those gatherers can be reached. The
// connection budgets do not account for it: targets refuse connections above their
// limit.
func (p *Placement) withFallback(dc string, g *group, list []Daemon) []Daemon {
	own := p.cells[p.dataCentre]
	if dc == p.dataCentre || len(own) == 0 {
		return list
	}
	d, _ := g.topTwo(p.orderCells(own, p.dataCentre)[0])
	if slices.Contains(list, d.Daemon) {
		return list
	}
	return append(list, d.Daemon)
}

// substituteCells returns the cells that gather for a data centre without live
// daemons: at most n cells, but at least one if any exists. It takes one cell of each
// data centre before a second one of any.
func (p *Placement) substituteCells(n int) []cell {
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

// orderCells sorts cells by the preference of this root: its own cell, then cells
// of its data centre, then the others. Rendezvous hashing orders cells of equal
// proximity, so that roots are spread over them.
func (p *Placement) orderCells(cells []cell, dc string) []cell {
	key := xxhash.Sum64String(p.self + "/" + dc)
	proximity := func(c cell) int {
		for _, d := range c.daemons {
			switch {
			case d.ID == p.self:
				return 2
			case d.DataCentre == p.dataCentre:
				return 1
			}
		}
		return 0
	}
	out := slices.Clone(cells)
	slices.SortFunc(out, func(a, b cell) int {
		return cmp.Or(
			cmp.Compare(proximity(b), proximity(a)),
			cmp.Compare(mix(key, b.hash), mix(key, a.hash)),
			cmp.Compare(a.name, b.name),
		)
	})
	return out
}

// rankGatherers returns the gatherers of a group in order of preference: the first
// and the second gatherer of the first cell, then the first gatherer of the second
// cell.
func (g *group) rankGatherers(cells []cell) []Daemon {
	first, second := g.topTwo(cells[0])
	out := []Daemon{first.Daemon}
	if second.ID != "" {
		out = append(out, second.Daemon)
	}
	if len(cells) > 1 {
		other, _ := g.topTwo(cells[1])
		out = append(out, other.Daemon)
	}
	return out
}

// topTwo returns the first and the second gatherer of a group in a cell. The
// second has no id if the cell has one daemon.
func (g *group) topTwo(c cell) (first, second hashedDaemon) {
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

// mix combines two hashes into a weight with the 64-bit finaliser of MurmurHash3.
func mix(a, b uint64) uint64 {
	h := a ^ (b<<31 | b>>33)
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

// Gatherers returns the daemons that gather a shard group of a data centre, in
// order of preference. For a remote data centre the list includes a fallback
// daemon of the root's own cell. GroupName returns the name of a group. The slice
// must not be modified. It is empty if no daemon is alive or the group is not
// configured.
func (p *Placement) Gatherers(dataCentre, group string) []Daemon {
	return p.ranked[dataCentre][group]
}

// ConnectionBudget returns the number of connections that one daemon may open to a target.
// It is 0 for a target without a connection limit and for a target without shards.
func (p *Placement) ConnectionBudget(target string) int { return p.connectionBudgets[target] }

// Cells returns the ids of the daemons in each cell of a data centre.
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

// GroupName returns the name of the shard group of some targets: their ids in the
// order of the shard's replicas, separated by commas.
func GroupName(targets []string) string { return strings.Join(targets, ",") }
