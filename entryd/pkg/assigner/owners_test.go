package assigner

import (
	"fmt"
	"testing"
)

func fleetOf(n, large int) []Daemon {
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

func shardsOf(n int) []ShardInput {
	var out []ShardInput
	for i := range n {
		out = append(out, ShardInput{
			Name:        fmt.Sprintf("s%03d", i),
			DataCentres: []string{fmt.Sprintf("dc-%d", i%3), fmt.Sprintf("dc-%d", (i+1)%3)},
		})
	}
	return out
}

func TestOwnersBySize(t *testing.T) {
	tests := []struct {
		name           string
		daemons, large int
		shards         int
		// owners is the number of daemons that are in charge of shards.
		owners int
	}{
		{name: "alone", daemons: 1, shards: 20},
		{name: "one shard", daemons: 9, shards: 1},
		{name: "two hosts", daemons: 2, shards: 30, owners: 2},
		{name: "small", daemons: 9, shards: 30, owners: 4},
		{name: "large hosts own all", daemons: 84, large: 6, shards: 225, owners: 6},
		{name: "too few large hosts", daemons: 84, large: 2, shards: 225, owners: 29},
		{name: "in two years", daemons: 450, shards: 710, owners: 89},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			daemons, shards := fleetOf(test.daemons, test.large), shardsOf(test.shards)
			o := NewOwners("d000", daemons, shards)
			load := map[string]int{}
			for _, s := range shards {
				line := o.Ranked(s.Name)
				if len(line) == 0 {
					continue
				}
				load[line[0].ID]++
				if len(line) < 2 || line[0].ID == line[1].ID || line[0].DataCentre == line[1].DataCentre {
					t.Errorf("shard %s: the line %v does not outlive a data centre", s.Name, line)
				}
			}
			if len(load) != test.owners {
				t.Fatalf("%d owners, want %d", len(load), test.owners)
			}
			for id, n := range load {
				if limit := int(overload*float64(test.shards)/float64(test.owners)) + 1; n > limit {
					t.Errorf("%s owns %d shards, limit %d", id, n, limit)
				}
			}
		})
	}
}

// TestOwnersAgree checks that daemons with the same input choose the same owners,
// and that the loss of one moves few shards between the others.
func TestOwnersAgree(t *testing.T) {
	daemons, shards := fleetOf(9, 0), shardsOf(30)
	a, b := NewOwners("d000", daemons, shards), NewOwners("d005", daemons, shards)
	for _, s := range shards {
		if a.Ranked(s.Name)[0] != b.Ranked(s.Name)[0] {
			t.Fatalf("shard %s: owners differ", s.Name)
		}
	}
	for i, d := range daemons {
		if got := NewOwners(d.ID, daemons, shards).Rank("s000"); (got == 0) != (a.Ranked("s000")[0].ID == d.ID) {
			t.Errorf("daemon %d: place %d", i, got)
		}
	}
}
