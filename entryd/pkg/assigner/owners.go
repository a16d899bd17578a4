package assigner

import (
	"cmp"
	"maps"
	"slices"

	"plantaincleat/tier/pkg/hasher"
)

const (
	// shardsPerOwner is the number of shards from which one more daemon owns
	// some: fewer owners make fewer messages, more spread the work.
	shardsPerOwner = 8
	// overload is the factor by which the shards of an owner may exceed the
	// mean.
	overload = 1.25
	// largeShare of the largest host's capacity makes a host a large one.
	largeShare = 0.7
	// minLarge is the number of large hosts from which they own all shards.
	minLarge = 3
	// line is the number of owners that a shard has, the first one in charge.
	line = 2
)

// Owners tells which daemon asks the targets of a shard. One daemon that does so
// knows what is in flight to them, and few daemons need connections. The zero
// value has no owners, which means that every daemon asks by itself.
type Owners struct {
	self  string
	shard map[string][]Daemon
}

// ShardInput is a shard with the data centres of its replicas.
type ShardInput struct {
	Name        string
	DataCentres []string
}

// NewOwners divides shards among the live daemons. Daemons that see the same
// input choose the same owners.
func NewOwners(self string, daemons []Daemon, shards []ShardInput) *Owners {
	o := &Owners{
		self: self,
	}
	if len(daemons) < 2 || len(shards) < 2 {
		return o
	}
	elected := elect(daemons, ownerCount(daemons, len(shards)))
	limit := int(overload*float64(len(shards))/float64(len(elected))) + 1
	load := make(map[string]int, len(elected))
	o.shard = make(map[string][]Daemon, len(shards))
	ordered := slices.Clone(shards)
	slices.SortFunc(ordered, func(a, b ShardInput) int { return cmp.Compare(a.Name, b.Name) })
	for _, s := range ordered {
		ranked := rank(elected, s, load, limit)
		load[ranked[0].ID]++
		o.shard[s.Name] = lineUp(ranked)
	}
	return o
}

// lineUp returns the first daemon and the first one of another data centre, so
// that the loss of one data centre leaves an owner.
func lineUp(ranked []Daemon) []Daemon {
	out := ranked[:1:1]
	for _, d := range ranked[1:] {
		if len(out) < line && d.DataCentre != out[0].DataCentre {
			out = append(out, d)
		}
	}
	if len(out) < line && len(ranked) > 1 {
		out = append(out, ranked[1])
	}
	return out
}

// Ranked returns the owners of a shard, the one in charge first. It is empty if
// every daemon asks by itself.
func (o *Owners) Ranked(shard string) []Daemon { return o.shard[shard] }

// Rank returns the place of this daemon among the owners of a shard, -1 if it
// is none of them.
func (o *Owners) Rank(shard string) int {
	return slices.IndexFunc(o.shard[shard], func(d Daemon) bool { return d.ID == o.self })
}

// HasOwners reports whether a shard has owners.
func (o *Owners) HasOwners(shard string) bool { return len(o.shard[shard]) > 0 }

// elect returns n daemons, taken in turn from the data centres, those on the
// largest hosts first.
func elect(daemons []Daemon, n int) []Daemon {
	by := make(map[string][]Daemon)
	for _, d := range daemons {
		by[d.DataCentre] = append(by[d.DataCentre], d)
	}
	names := slices.Sorted(maps.Keys(by))
	for _, list := range by {
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
			if i < len(by[name]) && len(out) < n {
				out = append(out, by[name][i])
			}
		}
	}
	return out
}

// ownerCount returns how many daemons own shards: one for each shardsPerOwner, but
// no more than there are on the largest hosts if those can carry the work.
func ownerCount(daemons []Daemon, shards int) int {
	n := (shards + shardsPerOwner - 1) / shardsPerOwner
	var largest uint32
	for _, d := range daemons {
		largest = max(largest, d.Capacity)
	}
	large, others := 0, 0
	for _, d := range daemons {
		if float64(d.Capacity) >= largeShare*float64(largest) {
			large++
		} else {
			others++
		}
	}
	if others > 0 && large >= minLarge {
		return min(n, large)
	}
	return n
}

// rank orders the elected daemons for a shard: those below the limit first, then
// those near a replica, then by rendezvous hashing.
func rank(elected []Daemon, s ShardInput, load map[string]int, limit int) []Daemon {
	out := slices.Clone(elected)
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
