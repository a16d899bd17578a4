package gossiper

import (
	"maps"
	"slices"
	"time"

	"plantaincleat/tier/gen/peer"
)

// link is a representative's report on whether a remote data centre is
// reachable, with the number of messages in which it is still to be sent.
type link struct {
	*peer.Link
	copiesLeft int
}

// linkKey identifies a link by the reporting daemon and the remote data centre.
type linkKey struct {
	daemon     string
	datacentre string
}

// remoteState is the state of a remote data centre as this daemon has observed
// it.
type remoteState struct {
	// lastReply is when a daemon of the data centre last answered.
	lastReply time.Time
	// failures counts the unanswered exchanges since lastReply.
	failures int
	down     bool
}

// representatives returns the representatives of a data centre.
func (m *Machine) representatives(datacentre string) []*record {
	return m.table.indexed().representatives[datacentre]
}

func (m *Machine) isRepresentative() bool {
	return slices.Contains(m.representatives(m.cfg.Self.DataCentre), m.self())
}

// remoteDataCentres returns the names of the remote data centres in order. It
// adds a remoteState for each that has none.
func (m *Machine) remoteDataCentres() []string {
	var out []string
	for _, dc := range m.table.indexed().datacentres {
		if dc == m.cfg.Self.DataCentre {
			continue
		}
		out = append(out, dc)
		if m.remotes[dc] == nil {
			m.remotes[dc] = &remoteState{
				lastReply: m.lastInput,
				down:      !m.reaches(dc),
			}
		}
	}
	return out
}

// reaches reports whether a data centre is reachable according to the links of
// this data centre's representatives. One representative that reaches it is
// enough. Without any link it counts as reachable.
func (m *Machine) reaches(datacentre string) bool {
	if datacentre == m.cfg.Self.DataCentre {
		return true
	}
	downLinks := 0
	for _, r := range m.representatives(m.cfg.Self.DataCentre) {
		l, ok := m.links[linkKey{
			daemon:     r.id,
			datacentre: datacentre,
		}]
		if !ok {
			continue
		}
		if !l.GetDown() {
			return true
		}
		downLinks++
	}
	return downLinks == 0
}

// chooseRemotePeer returns a random representative of a remote data centre, or
// any of its members that has not left if the last exchange failed. It returns
// nil if there is none.
func (m *Machine) chooseRemotePeer(datacentre string) *record {
	if m.remotes[datacentre].failures == 0 {
		if best := m.representatives(datacentre); len(best) > 0 {
			return best[m.rng.IntN(len(best))]
		}
	}
	var all []*record
	for _, r := range m.table.indexed().all {
		if r.datacentre == datacentre && r.state != peer.State_STATE_LEFT {
			all = append(all, r)
		}
	}
	if len(all) == 0 {
		return nil
	}
	return all[m.rng.IntN(len(all))]
}

// exchangeRemote starts an exchange with the next remote data centre if this
// daemon is a representative. Unreachable data centres are tried in turn as
// well, so that the end of a network partition is noticed.
func (m *Machine) exchangeRemote(now time.Time) []Action {
	if !m.isRepresentative() {
		m.remotes = make(map[string]*remoteState)
		return nil
	}
	datacentres := m.remoteDataCentres()
	if len(datacentres) == 0 {
		return nil
	}
	m.renewLinks(now, datacentres)
	m.remoteIndex = (m.remoteIndex + 1) % len(datacentres)
	r := m.chooseRemotePeer(datacentres[m.remoteIndex])
	if r == nil {
		return nil
	}
	return []Action{m.exchange(contactOf(r), m.repairDue(r.datacentre, now))}
}

// renewLinks updates the links of this representative that are new or changed,
// and every linkRenewal all of them. It also removes the links of forgotten
// daemons.
func (m *Machine) renewLinks(now time.Time, datacentres []string) {
	for _, dc := range datacentres {
		key := linkKey{
			daemon:     m.cfg.Self.ID,
			datacentre: dc,
		}
		l, ok := m.links[key]
		if !ok || l.GetDown() != m.remotes[dc].down || !now.Before(m.nextLinkRenewal) {
			m.updateLink(dc, now)
		}
	}
	m.renewTotals(now)
	if now.Before(m.nextLinkRenewal) {
		return
	}
	m.nextLinkRenewal = now.Add(linkRenewal)
	maps.DeleteFunc(m.links, func(k linkKey, _ *link) bool {
		return m.table.records[k.daemon] == nil
	})
}

// renewTotals publishes the total demand of this data centre every
// demandRenewal.
func (m *Machine) renewTotals(now time.Time) {
	if now.Before(m.nextTotals) {
		return
	}
	m.nextTotals = now.Add(demandRenewal)
	for _, d := range m.demands.totals(m.cfg.Self.DataCentre, uint64(now.UnixMilli())) {
		m.demands.add(d, now)
	}
}

// recordRemoteReply records that a daemon of a remote data centre has answered,
// and marks the data centre as reachable.
func (m *Machine) recordRemoteReply(reply *peer.Views, now time.Time) {
	r, ok := m.table.records[reply.GetSender()]
	if !ok || r.datacentre == m.cfg.Self.DataCentre || !m.isRepresentative() {
		return
	}
	m.remoteDataCentres()
	state := m.remotes[r.datacentre]
	state.lastReply = now
	state.failures = 0
	if state.down {
		state.down = false
		m.updateLink(r.datacentre, now)
	}
}

// recordRemoteFailure records that an exchange with a remote data centre has
// failed. After OutageTimeout and at least two failures the data centre is
// marked as unreachable.
func (m *Machine) recordRemoteFailure(datacentre string, now time.Time) {
	state := m.remotes[datacentre]
	if state == nil {
		return
	}
	state.failures++
	if !state.down && state.failures > 1 && now.Sub(state.lastReply) >= m.cfg.OutageTimeout {
		state.down = true
		m.updateLink(datacentre, now)
	}
}

// updateLink publishes this representative's link to a remote data centre.
func (m *Machine) updateLink(datacentre string, now time.Time) {
	beat := uint64(now.UnixMilli())
	if old, ok := m.links[linkKey{
		daemon:     m.cfg.Self.ID,
		datacentre: datacentre,
	}]; ok {
		beat = max(beat, old.GetBeat()+1)
	}
	m.mergeLink(&peer.Link{
		Daemon:     m.cfg.Self.ID,
		Datacentre: datacentre,
		Down:       m.remotes[datacentre].down,
		Beat:       beat,
	}, now)
}

// mergeLink stores a link if it is newer than the known one.
func (m *Machine) mergeLink(l *peer.Link, now time.Time) {
	key := linkKey{
		daemon:     l.GetDaemon(),
		datacentre: l.GetDatacentre(),
	}
	old, ok := m.links[key]
	if ok && old.GetBeat() >= l.GetBeat() {
		return
	}
	m.links[key] = &link{
		Link:       l,
		copiesLeft: m.copiesPerChange(),
	}
	if !ok || old.GetDown() != l.GetDown() {
		m.changed |= ChangeMembers
		m.scheduleBurst(now)
	}
}

// linksToSend returns the links of this data centre's representatives: all of
// them, or those with copies left to send.
func (m *Machine) linksToSend(all bool) []*peer.Link {
	var out []*peer.Link
	for _, r := range m.representatives(m.cfg.Self.DataCentre) {
		for _, dc := range m.remoteDataCentres() {
			if l, ok := m.links[linkKey{
				daemon:     r.id,
				datacentre: dc,
			}]; ok && (all || l.copiesLeft > 0) {
				out = append(out, l.Link)
				l.copiesLeft = max(0, l.copiesLeft-1)
			}
		}
	}
	return out
}
