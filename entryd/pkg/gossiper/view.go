package gossiper

import (
	"github.com/cespare/xxhash/v2"

	"plantaincleat/tier/gen/peer"
)

// View is an immutable snapshot of the fleet as one daemon sees it.
type View struct {
	self            string
	members         []Member
	liveIn          map[string][]Member
	index           map[string]int
	liveHash        uint64
	highestRevision uint64
	// representative tells whether this daemon is a representative.
	representative bool
}

// View returns a snapshot of the fleet.
func (m *Machine) View() *View {
	all := m.table.indexed().all
	v := &View{
		self:            m.cfg.Self.ID,
		members:         make([]Member, 0, len(all)),
		liveIn:          make(map[string][]Member),
		index:           make(map[string]int, len(all)),
		highestRevision: m.highestRevision,

		representative: m.isRepresentative(),
	}
	reachable := make(map[string]bool)
	for _, dc := range m.table.indexed().datacentres {
		reachable[dc] = m.reaches(dc)
	}
	for _, r := range all {
		member := r.Member
		member.reachable = reachable[member.datacentre]
		v.index[member.id] = len(v.members)
		v.members = append(v.members, member)
		if member.Live() {
			v.liveIn[member.datacentre] = append(v.liveIn[member.datacentre], member)
			v.liveHash ^= xxhash.Sum64String(member.id + "/" + member.address + "/" + member.datacentre)
		}
	}
	return v
}

// Members returns all known members sorted by id, including those that have
// died or left. The slice must not be modified.
func (v *View) Members() []Member { return v.members }

// LiveIn returns the live members of a data centre sorted by id. The slice must
// not be modified.
func (v *View) LiveIn(datacentre string) []Member { return v.liveIn[datacentre] }

// Lookup returns the member with the given id, and false if there is none.
func (v *View) Lookup(id string) (Member, bool) {
	i, ok := v.index[id]
	if !ok {
		return Member{}, false
	}
	return v.members[i], true
}

// Self returns the daemon that this view belongs to.
func (v *View) Self() Member {
	m, _ := v.Lookup(v.self)
	return m
}

// LiveHash returns a hash over the live members. Daemons whose views have equal
// hashes assign shards alike.
func (v *View) LiveHash() uint64 { return v.liveHash }

// Representative reports whether this daemon exchanges messages with other data
// centres on behalf of its own.
func (v *View) Representative() bool { return v.representative }

// HighestRevision returns the highest configuration revision that any daemon is
// known to have adopted.
func (v *View) HighestRevision() uint64 { return v.highestRevision }

// LiveWithRevision returns the live members that have adopted at least the
// given revision, without this daemon. Members of the same data centre come
// first.
func (v *View) LiveWithRevision(revision uint64) []Member {
	var local, remote []Member
	home := v.Self().DataCentre()
	for _, m := range v.members {
		switch {
		case !m.Live() || m.revision < revision || m.id == v.self:
		case m.datacentre == home:
			local = append(local, m)
		default:
			remote = append(remote, m)
		}
	}
	return append(local, remote...)
}

// Notices returns the notices that have not expired, in a fixed order. They
// must not be modified.
func (m *Machine) Notices() []*peer.Notice { return m.notices.list() }

// Demands returns the latest demand of each daemon. For remote data centres
// only totals are known, so each of their members appears with an even part of
// the total. The demands must not be modified.
func (m *Machine) Demands() []*peer.Demand {
	return m.demands.list(m.cfg.Self.DataCentre, m.table.indexed().presentIn)
}

// Changes returns the parts of the state that have changed since the last call.
func (m *Machine) Changes() Change {
	c := m.changed
	m.changed = 0
	return c
}
