package assigner

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"plantaincleat/tier/pkg/hasher"
)

func ownerDaemons(n, large int) []Daemon {
	var out []Daemon
	for i := range n {
		d := Daemon{
			ID:         fmt.Sprintf("d%03d", i),
			Address:    fmt.Sprintf("10.0.0.%d:1", i),
			DataCentre: fmt.Sprintf("dc-%d", i%3),
			Capacity:   192,
		}
		if i < large {
			d.Capacity = 800
		}
		out = append(out, d)
	}
	return out
}

func ownerShards(n int) []ShardInput {
	var out []ShardInput
	for i := range n {
		out = append(out, ShardInput{
			Name:        fmt.Sprintf("s%03d", i),
			DataCentres: []string{fmt.Sprintf("dc-%d", i%3), fmt.Sprintf("dc-%d", (i+1)%3)},
		})
	}
	return out
}

func TestOwnerCount(t *testing.T) {
	tests := []struct {
		name           string
		daemons, large int
		shards         int
		// owners is the number of daemons that are the primary owner of a shard.
		owners int
	}{
		{name: "one daemon", daemons: 1, shards: 20},
		{name: "one shard", daemons: 9, shards: 1},
		{name: "two daemons", daemons: 2, shards: 30, owners: 2},
		{name: "hosts of equal size", daemons: 9, shards: 30, owners: 4},
		{name: "only large hosts own shards", daemons: 84, large: 6, shards: 225, owners: 6},
		{name: "too few large hosts", daemons: 84, large: 2, shards: 225, owners: 29},
		{name: "expected size in two years", daemons: 450, shards: 710, owners: 89},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			daemons, shards := ownerDaemons(test.daemons, test.large), ownerShards(test.shards)
			o := NewOwners("d000", daemons, shards)
			load := map[string]int{}
			for _, s := range shards {
				owners := o.Ranked(s.Name)
				if len(owners) == 0 {
					continue
				}
				load[owners[0].ID]++
				if len(owners) < 2 || owners[0].ID == owners[1].ID || owners[0].DataCentre == owners[1].DataCentre {
					t.Errorf("shard %s: owners %v are not two daemons in different data centres", s.Name, owners)
				}
			}
			if len(load) != test.owners {
				t.Fatalf("%d primary owners, want %d", len(load), test.owners)
			}
			for id, n := range load {
				if limit := int(maxLoadFactor*float64(test.shards)/float64(test.owners)) + 1; n > limit {
					t.Errorf("%s owns %d shards, limit %d", id, n, limit)
				}
			}
		})
	}
}

// TestOwnersAgree checks that daemons with the same input choose the same owners,
// and that Rank is 0 on the primary owner only.
func TestOwnersAgree(t *testing.T) {
	daemons, shards := ownerDaemons(9, 0), ownerShards(30)
	a, b := NewOwners("d000", daemons, shards), NewOwners("d005", daemons, shards)
	for _, s := range shards {
		if a.Ranked(s.Name)[0] != b.Ranked(s.Name)[0] {
			t.Fatalf("shard %s: two daemons choose different primary owners", s.Name)
		}
	}
	for i, d := range daemons {
		if got := NewOwners(d.ID, daemons, shards).Rank("s000"); (got == 0) != (a.Ranked("s000")[0].ID == d.ID) {
			t.Errorf("daemon %d: Rank(s000) = %d, want 0 only on the primary owner", i, got)
		}
	}
}

// rankBySorting returns the owners of a shard as a full sort of the daemons gives them. The
// load of each daemon is the number of shards for which it was first.
func rankBySorting(daemons []Daemon, s ShardInput, load map[string]int, limit int) []Daemon {
	ranked := slices.Clone(daemons)
	number := func(b bool) int {
		if b {
			return 1
		}
		return 0
	}
	full := func(d Daemon) int { return number(load[d.ID] >= limit) }
	far := func(d Daemon) int { return number(!slices.Contains(s.DataCentres, d.DataCentre)) }
	slices.SortFunc(ranked, func(a, b Daemon) int {
		return cmp.Or(
			cmp.Compare(full(a), full(b)),
			cmp.Compare(far(a), far(b)),
			cmp.Compare(hasher.Strings(s.Name, b.ID), hasher.Strings(s.Name, a.ID)),
			cmp.Compare(a.ID, b.ID),
		)
	})
	load[ranked[0].ID]++
	other := slices.IndexFunc(ranked, func(d Daemon) bool { return d.DataCentre != ranked[0].DataCentre })
	switch {
	case other > 0:
		return []Daemon{ranked[0], ranked[other]}
	case len(ranked) > 1:
		return ranked[:2]
	}
	return ranked
}

// TestOwnersAreThoseOfFullSort guards against owners that differ from those that daemons
// of earlier builds compute in the same fleet.
func TestOwnersAreThoseOfFullSort(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	for range 200 {
		datacentres := 1 + r.IntN(6)
		var daemons []Daemon
		for i := range 2 + r.IntN(80) {
			daemons = append(daemons, Daemon{
				ID:         fmt.Sprintf("d%03d", i),
				DataCentre: fmt.Sprintf("dc-%d", r.IntN(datacentres)),
				Capacity:   uint32(200 * (1 + r.IntN(4))),
			})
		}
		shards := ownerShards(2 + r.IntN(100))
		o := NewOwners("d000", daemons, shards)
		selected := selectDaemons(daemons, ownerCount(daemons, len(shards)))
		limit := int(maxLoadFactor*float64(len(shards))/float64(len(selected))) + 1
		load := make(map[string]int)
		for _, s := range shards {
			if want := rankBySorting(selected, s, load, limit); !slices.Equal(o.Ranked(s.Name), want) {
				t.Fatalf("%d daemons, %d shards: owners of %s are %v, want %v", len(daemons), len(shards), s.Name, o.Ranked(s.Name), want)
			}
		}
	}
}
