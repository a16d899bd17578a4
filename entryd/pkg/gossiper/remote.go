package gossiper

import (
	"maps"
	"slices"
	"time"

	"plantaincleat/tier/gen/peer"
)

// link is a verdict with the number of messages that still carry it.
type link struct {
	*peer.Link
	copiesLeft int
}

// linkKey names a representative's verdict on a data centre.
type linkKey struct {
	daemon     string
	datacentre string
}

// remoteState is another data centre as this daemon has found it itself.
type remoteState struct {
	// lastReply is when it last answered.
	lastReply time.Time
	// failures counts the exchanges without an answer since.
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

// remoteDataCentres returns the other data centres in order and sees to their state.
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

// reaches reports whether a data centre can be reached, by the verdicts of the
// representatives of this one. One that reaches it suffices; without a verdict
// it counts as reached.
func (m *Machine) reaches(datacentre string) bool {
	if datacentre == m.cfg.Self.DataCentre {
		return true
	}
	verdicts := 0
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
		verdicts++
	}
	return verdicts == 0
}

// chooseRemotePeer chooses a daemon of another data centre: one of its
// representatives, or any after a failure.
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

// exchangeRemote exchanges views with the next other data centre, if this daemon is
// a representative. Unreachable ones keep their turn, so that a healed cut is
// found.
func (m *Machine) exchangeRemote(now time.Time) []Action {
	if !m.isRepresentative() {
		m.remotes = make(map[string]*remoteState)
		return nil
	}
	others := m.remoteDataCentres()
	if len(others) == 0 {
		return nil
	}
	m.renewLinks(now, others)
	m.remoteIndex = (m.remoteIndex + 1) % len(others)
	r := m.chooseRemotePeer(others[m.remoteIndex])
	if r == nil {
		return nil
	}
	return []Action{m.exchange(contactOf(r), m.repairDue(r.datacentre, now))}
}

// renewLinks repeats the verdicts on the other data centres.
func (m *Machine) renewLinks(now time.Time, others []string) {
	for _, dc := range others {
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

// renewTotals states the sums of demand of this data centre.
func (m *Machine) renewTotals(now time.Time) {
	if now.Before(m.nextTotals) {
		return
	}
	m.nextTotals = now.Add(demandRenewal)
	for _, d := range m.demands.totals(m.cfg.Self.DataCentre, uint64(now.UnixMilli())) {
		m.demands.add(d, now)
	}
}

// recordRemoteReply records that a daemon of another data centre has answered.
func (m *Machine) recordRemoteReply(reply *peer.Views, now time.Time) {
	r, ok := m.table.records[reply.GetSender()]
	if !ok || r.datacentre == m.cfg.Self.DataCentre || !m.isRepresentative() {
		return
	}
	m.remoteDataCentres()
	at := m.remotes[r.datacentre]
	at.lastReply = now
	at.failures = 0
	if at.down {
		at.down = false
		m.updateLink(r.datacentre, now)
	}
}

// recordRemoteFailure records that a data centre has not answered.
func (m *Machine) recordRemoteFailure(datacentre string, now time.Time) {
	at := m.remotes[datacentre]
	if at == nil {
		return
	}
	at.failures++
	if !at.down && at.failures > 1 && now.Sub(at.lastReply) >= m.cfg.OutageTimeout {
		at.down = true
		m.updateLink(datacentre, now)
	}
}

// updateLink states this representative's verdict on a data centre.
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

// mergeLink takes a later verdict.
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

// linksToSend returns the links of the present representatives, either all or
// those with copies left to send.
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
