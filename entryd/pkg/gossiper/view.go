package gossiper

import (
	"github.com/cespare/xxhash/v2"

	"plantaincleat/tier/gen/peer"
)

// View is an immutable state of the fleet as one daemon sees it.
type View struct {
	self    string
	members []Member
	within  map[string][]Member
	index   map[string]int
	live    uint64
	mark    uint64
	// delegate tells whether this daemon is a representative.
	delegate bool
}

// View returns the state of the fleet.
func (m *Machine) View() *View {
	all := m.table.indexed().all
	v := &View{
		self:    m.cfg.Self.ID,
		members: make([]Member, 0, len(all)),
		within:  make(map[string][]Member),
		index:   make(map[string]int, len(all)),
		mark:    m.mark,

		delegate: m.isRepresentative(),
	}
	reached := make(map[string]bool)
	for _, dc := range m.table.indexed().datacentres {
		reached[dc] = m.reaches(dc)
	}
	for _, r := range all {
		one := r.Member
		one.reachable = reached[one.datacentre]
		v.index[one.id] = len(v.members)
		v.members = append(v.members, one)
		if one.Live() {
			v.within[one.datacentre] = append(v.within[one.datacentre], one)
			v.live ^= xxhash.Sum64String(one.id + "/" + one.address + "/" + one.datacentre)
		}
	}
	return v
}

// Members returns all known members by id, the dead included. The slice must
// not be changed.
func (v *View) Members() []Member { return v.members }

// LiveIn returns the live members of a data centre by id. The slice must not
// be changed.
func (v *View) LiveIn(datacentre string) []Member { return v.within[datacentre] }

// Lookup returns the member with an id.
func (v *View) Lookup(id string) (Member, bool) {
	i, ok := v.index[id]
	if !ok {
		return Member{}, false
	}
	return v.members[i], true
}

// Self returns the daemon whose view this is.
func (v *View) Self() Member {
	m, _ := v.Lookup(v.self)
	return m
}

// LiveHash is a hash over the live members. Views with equal hashes place shards
// alike.
func (v *View) LiveHash() uint64 { return v.live }

// Representative reports whether this daemon is one of the few of its data
// centre that talk to others on behalf of all.
func (v *View) Representative() bool { return v.delegate }

// Mark is the highest configuration revision that any daemon is known to have
// adopted.
func (v *View) Mark() uint64 { return v.mark }

// Holders returns the live members that have adopted at least a revision,
// those of this daemon's data centre first, without the daemon itself.
func (v *View) Holders(revision uint64) []Member {
	var near, far []Member
	home := v.Self().DataCentre()
	for _, m := range v.members {
		switch {
		case !m.Live() || m.revision < revision || m.id == v.self:
		case m.datacentre == home:
			near = append(near, m)
		default:
			far = append(far, m)
		}
	}
	return append(near, far...)
}

// Notices returns the notices in force in a fixed order. They must not be
// changed.
func (m *Machine) Notices() []*peer.Notice { return m.facts.list() }

// Demands returns the latest demand of each daemon. Of other data centres only
// the sums are known; their members appear with even parts of them. The
// demands must not be changed.
func (m *Machine) Demands() []*peer.Demand {
	return m.demands.list(m.cfg.Self.DataCentre, m.table.indexed().within)
}

// Changes returns which parts have changed since it was last called.
func (m *Machine) Changes() Change {
	c := m.changed
	m.changed = 0
	return c
}
