package scatterer

import "slices"

// partial is the merged answer of one or more units. Its records cannot be assigned to
// single units.
type partial struct {
	units []int
	// signatures are the signatures of the targets, in the order of units.
	signatures []string
	records    []byte
}

// partials holds the partials of a request. Each unit belongs to one of them at most.
type partials struct {
	list []*partial
}

// add adds a partial and reports whether it is used. It replaces the partials whose
// units it contains completely. A partial that shares only some units with another
// one is not used.
func (ps *partials) add(p *partial) bool {
	var kept []*partial
	for _, old := range ps.list {
		shared := 0
		for _, u := range old.units {
			if slices.Contains(p.units, u) {
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
	ps.list = append(kept, p)
	return true
}

// signatures returns the signatures of all partials, and whether one of them appears
// more than once.
func (ps *partials) signatures() (all []string, duplicate bool) {
	for _, p := range ps.list {
		all = append(all, p.signatures...)
	}
	sorted := slices.Sorted(slices.Values(all))
	return all, len(slices.Compact(sorted)) < len(all)
}

// records returns the records of each partial.
func (ps *partials) records() [][]byte {
	out := make([][]byte, 0, len(ps.list))
	for _, p := range ps.list {
		out = append(out, p.records)
	}
	return out
}
