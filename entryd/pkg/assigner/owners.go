package assigner

import (
	"cmp"
	"maps"
	"slices"

	"plantaincleat/tier/pkg/hasher"
)

const (
	// shardsPerOwner is the number of shards per owner. Fewer owners exchange fewer
	// messages; more owners spread the work.
	shardsPerOwner = 8
	// maxLoadFactor bounds the number of shards of an owner, as a multiple of the
	// mean.
	maxLoadFactor = 1.25
	// largeHostFraction is the fraction of the largest host's capacity from which a
	// host counts as large.
	largeHostFraction = 0.7
	// minLargeHosts is the number of large hosts from which only daemons on large
	// hosts own shards.
	minLargeHosts = 3
	// OwnersPerShard is the number of owners of a shard: the primary owner and one
	// substitute.
	OwnersPerShard = 2
)

// Owners maps each shard to the daemons that send plain requests to its targets.
// With a single daemon in charge, that daemon knows how many requests are in flight
// to the targets, and few daemons need connections to them. In the zero value no
// shard has owners: every daemon sends its requests to the targets itself. Owners is
// immutable and safe for concurrent use.
type Owners struct {
	self    string
	byShard map[string][]Daemon
}

// ShardInput names a shard and the data centres of its replicas.
type ShardInput struct {
	Name        string
	DataCentres []string
}

// NewOwners divides shards among the live daemons. Daemons with the same input
// choose the same owners. With fewer than two daemons or two shards, no shard has
// owners.
func NewOwners(self string, daemons []Daemon, shards []ShardInput) *Owners {
	o := &Owners{
		self: self,
	}
	if len(daemons) < 2 || len(shards) < 2 {
		return o
	}
	selected := selectDaemons(daemons, ownerCount(daemons, len(shards)))
	limit := int(maxLoadFactor*float64(len(shards))/float64(len(selected))) + 1
	load := make([]int, len(selected))
	o.byShard = make(map[string][]Daemon, len(shards))
	ordered := slices.Clone(shards)
	slices.SortFunc(ordered, func(a, b ShardInput) int { return cmp.Compare(a.Name, b.Name) })
	candidates := make([]candidate, len(selected))
	for _, s := range ordered {
		for i := range selected {
			candidates[i] = candidate{
				index:  i,
				daemon: &selected[i],
				full:   load[i] >= limit,
				far:    !slices.Contains(s.DataCentres, selected[i].DataCentre),
				weight: hasher.Strings(s.Name, selected[i].ID),
			}
		}
		first, second := pickOwners(candidates)
		load[first.index]++
		o.byShard[s.Name] = []Daemon{*first.daemon}
		if second != nil {
			o.byShard[s.Name] = append(o.byShard[s.Name], *second.daemon)
		}
	}
	return o
}

// candidate is a daemon that may own a shard.
type candidate struct {
	// index is the daemon's index among the selected ones.
	index  int
	daemon *Daemon
	// full is true if the daemon owns as many shards as the limit allows.
	full bool
	// far is true if no replica is in the daemon's data centre.
	far bool
	// weight is the rendezvous hash of the shard and the daemon.
	weight uint64
}

// before reports whether c is preferred to d. d may be nil.
func (c *candidate) before(d *candidate) bool {
	switch {
	case d == nil:
		return true
	case c.full != d.full:
		return d.full
	case c.far != d.far:
		return d.far
	case c.weight != d.weight:
		return c.weight > d.weight
	}
	return c.daemon.ID < d.daemon.ID
}

// pickOwners returns the preferred daemon and the preferred one of another data centre,
// so that an owner remains when one data centre fails. Without daemons in another data
// centre, the second one is any other, or nil if there is none.
func pickOwners(candidates []candidate) (first, second *candidate) {
	for i := range candidates {
		if c := &candidates[i]; c.before(first) {
			first = c
		}
	}
	var near *candidate
	for i := range candidates {
		c := &candidates[i]
		switch {
		case c == first:
		case c.daemon.DataCentre != first.daemon.DataCentre:
			if c.before(second) {
				second = c
			}
		case c.before(near):
			near = c
		}
	}
	if second == nil {
		second = near
	}
	return first, second
}

// Ranked returns the owners of a shard, the primary owner first. It is empty if the
// shard has no owners. The slice must not be modified.
func (o *Owners) Ranked(shard string) []Daemon { return o.byShard[shard] }

// Rank returns the index of this daemon in Ranked, or -1 if it does not own the
// shard.
func (o *Owners) Rank(shard string) int {
	return slices.IndexFunc(o.byShard[shard], func(d Daemon) bool { return d.ID == o.self })
}

// HasOwners reports whether a shard has owners.
func (o *Owners) HasOwners(shard string) bool { return len(o.byShard[shard]) > 0 }

// selectDaemons returns n daemons. It takes them from the data centres in turn, and
// within a data centre those on the largest hosts first.
func selectDaemons(daemons []Daemon, n int) []Daemon {
	type ranked struct {
		daemon *Daemon
		hash   uint64
	}
	byDataCentre := make(map[string][]ranked)
	for i := range daemons {
		d := &daemons[i]
		byDataCentre[d.DataCentre] = append(byDataCentre[d.DataCentre], ranked{
			daemon: d,
			hash:   hasher.Strings("owner", d.ID),
		})
	}
	names := slices.Sorted(maps.Keys(byDataCentre))
	for _, list := range byDataCentre {
		slices.SortFunc(list, func(a, b ranked) int {
			return cmp.Or(
				cmp.Compare(b.daemon.Capacity, a.daemon.Capacity),
				cmp.Compare(a.hash, b.hash),
				cmp.Compare(a.daemon.ID, b.daemon.ID),
			)
		})
	}
	n = min(n, len(daemons))
	out := make([]Daemon, 0, n)
	for i := 0; len(out) < n; i++ {
		for _, name := range names {
			if i < len(byDataCentre[name]) && len(out) < n {
				out = append(out, *byDataCentre[name][i].daemon)
			}
		}
	}
	return out
}

// ownerCount returns the number of daemons that own shards: one for each
// shardsPerOwner shards. If there are at least minLargeHosts large hosts besides
// smaller ones, it is at most the number of large hosts.
func ownerCount(daemons []Daemon, shards int) int {
	n := (shards + shardsPerOwner - 1) / shardsPerOwner
	var largest uint32
	for _, d := range daemons {
		largest = max(largest, d.Capacity)
	}
	large, others := 0, 0
	for _, d := range daemons {
		if float64(d.Capacity) >= largeHostFraction*float64(largest) {
			large++
		} else {
			others++
		}
	}
	if others > 0 && large >= minLargeHosts {
		return min(n, large)
	}
	return n
}
