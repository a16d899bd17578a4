package scatterer

import "slices"

// partial is the merged answer of some units. Its records cannot be told apart.
type partial struct {
	units []int
	// signatures are those of the targets, in the order of units.
	signatures []string
	records    []byte
}

// partials holds the answers of a request. Each unit stands in one group at most.
type partials struct {
	list []*partial
}

// add takes in a group and reports whether it is used. It replaces groups whose
// units it holds all. One that shares units with another group is not used.
func (g *partials) add(one *partial) bool {
	var kept []*partial
	for _, old := range g.list {
		shared := 0
		for _, u := range old.units {
			if slices.Contains(one.units, u) {
				shared++
			}
		}
		switch shared {
		case 0:
			kept = append(kept, old)
		case len(old.units):
		default:
			return false
		}
	}
	g.list = append(kept, one)
	return true
}

// signatures returns those of all groups, and whether one appears twice.
func (g *partials) signatures() (all []string, twice bool) {
	for _, one := range g.list {
		all = append(all, one.signatures...)
	}
	sorted := slices.Sorted(slices.Values(all))
	return all, len(slices.Compact(sorted)) < len(all)
}

// records returns those of each group.
func (g *partials) records() [][]byte {
	out := make([][]byte, 0, len(g.list))
	for _, one := range g.list {
		out = append(out, one.records)
	}
	return out
}
