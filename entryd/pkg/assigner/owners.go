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
	load := make(map[string]int, len(selected))
	o.byShard = make(map[string][]Daemon, len(shards))
	ordered := slices.Clone(shards)
	slices.SortFunc(ordered, func(a, b ShardInput) int { return cmp.Compare(a.Name, b.Name) })
	for _, s := range ordered {
		ranked := rankOwners(selected, s, load, limit)
		load[ranked[0].ID]++
		o.byShard[s.Name] = pickOwners(ranked)
	}
	return o
}

// pickOwners returns the first daemon and the first one of another data centre, so
// that an owner remains when one data centre fails. Without daemons in another data
// centre, it returns the first two daemons.
func pickOwners(ranked []Daemon) []Daemon {
	out := ranked[:1:1]
	for _, d := range ranked[1:] {
		if len(out) < OwnersPerShard && d.DataCentre != out[0].DataCentre {
			out = append(out, d)
		}
	}
	if len(out) < OwnersPerShard && len(ranked) > 1 {
		out = append(out, ranked[1])
	}
	return out
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
	byDataCentre := make(map[string][]Daemon)
	for _, d := range daemons {
		byDataCentre[d.DataCentre] = append(byDataCentre[d.DataCentre], d)
	}
	names := slices.Sorted(maps.Keys(byDataCentre))
	for _, list := range byDataCentre {
		slices.SortFunc(list, func(a, b Daemon) int {
			return cmp.Or(
				cmp.Compare(b.Capacity, a.Capacity),
				cmp.Compare(hasher.Strings("owner", a.ID), hasher.Strings("owner", b.ID)),
				cmp.Compare(a.ID, b.ID),
			)
		})
	}
	n = min(n, len(daemons))
	out := make([]Daemon, 0, n)
	for i := 0; len(out) < n; i++ {
		for _, name := range names {
			if i < len(byDataCentre[name]) && len(out) < n {
				out = append(out, byDataCentre[name][i])
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

// rankOwners sorts the selected daemons for a shard: daemons that own fewer shards
// than limit first, then daemons in the data centre of a replica, then by rendezvous
// hashing.
func rankOwners(selected []Daemon, s ShardInput, load map[string]int, limit int) []Daemon {
	out := slices.Clone(selected)
	full := func(d Daemon) int {
		if load[d.ID] >= limit {
			return 1
		}
		return 0
	}
	far := func(d Daemon) int {
		if slices.Contains(s.DataCentres, d.DataCentre) {
			return 0
		}
		return 1
	}
	slices.SortFunc(out, func(a, b Daemon) int {
		return cmp.Or(
			cmp.Compare(full(a), full(b)),
			cmp.Compare(far(a), far(b)),
			cmp.Compare(hasher.Strings(s.Name, b.ID), hasher.Strings(s.Name, a.ID)),
			cmp.Compare(a.ID, b.ID),
		)
	})
	return out
}
