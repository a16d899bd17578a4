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
	left int
}

// linkKey names a representative's verdict on a data centre.
type linkKey struct {
	daemon     string
	datacentre string
}

// remote is another data centre as this daemon has found it itself.
type remote struct {
	// answered is when it last answered.
	answered time.Time
	// failures counts the exchanges without an answer since.
	failures int
	down     bool
}

// delegates returns the representatives of a data centre.
func (m *Machine) delegates(datacentre string) []*record {
	return m.table.indexed().delegates[datacentre]
}

func (m *Machine) isRepresentative() bool {
	return slices.Contains(m.delegates(m.cfg.Self.DataCentre), m.self())
}

// others returns the other data centres in order and sees to their state.
func (m *Machine) others() []string {
	var out []string
	for _, dc := range m.table.indexed().datacentres {
		if dc == m.cfg.Self.DataCentre {
			continue
		}
		out = append(out, dc)
		if m.remotes[dc] == nil {
			m.remotes[dc] = &remote{
				answered: m.last,
				down:     !m.reaches(dc),
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
	for _, r := range m.delegates(m.cfg.Self.DataCentre) {
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

// counterpart chooses a daemon of another data centre: one of its
// representatives, or any after a failure.
func (m *Machine) counterpart(datacentre string) *record {
	if m.remotes[datacentre].failures == 0 {
		if best := m.delegates(datacentre); len(best) > 0 {
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

// crossing exchanges views with the next other data centre, if this daemon is
// a representative. Unreachable ones keep their turn, so that a healed cut is
// found.
func (m *Machine) crossing(now time.Time) []Action {
	if !m.isRepresentative() {
		m.remotes = make(map[string]*remote)
		return nil
	}
	others := m.others()
	if len(others) == 0 {
		return nil
	}
	m.renew(now, others)
	m.turn = (m.turn + 1) % len(others)
	r := m.counterpart(others[m.turn])
	if r == nil {
		return nil
	}
	return []Action{m.exchange(contactOf(r), m.repair(r.datacentre, now))}
}

// renew repeats the verdicts on the other data centres.
func (m *Machine) renew(now time.Time, others []string) {
	for _, dc := range others {
		key := linkKey{
			daemon:     m.cfg.Self.ID,
			datacentre: dc,
		}
		l, ok := m.links[key]
		if !ok || l.GetDown() != m.remotes[dc].down || !now.Before(m.nextRenew) {
			m.judge(dc, now)
		}
	}
	m.sum(now)
	if now.Before(m.nextRenew) {
		return
	}
	m.nextRenew = now.Add(renewal)
	maps.DeleteFunc(m.links, func(k linkKey, _ *link) bool {
		return m.table.records[k.daemon] == nil
	})
}

// sum states the sums of demand of this data centre.
func (m *Machine) sum(now time.Time) {
	if now.Before(m.nextSum) {
		return
	}
	m.nextSum = now.Add(demandRenewal)
	for _, d := range m.demands.sum(m.cfg.Self.DataCentre, uint64(now.UnixMilli())) {
		m.demands.add(d, now)
	}
}

// answered records that a daemon of another data centre has answered.
func (m *Machine) answered(reply *peer.Views, now time.Time) {
	r, ok := m.table.records[reply.GetSender()]
	if !ok || r.datacentre == m.cfg.Self.DataCentre || !m.isRepresentative() {
		return
	}
	m.others()
	at := m.remotes[r.datacentre]
	at.answered = now
	at.failures = 0
	if at.down {
		at.down = false
		m.judge(r.datacentre, now)
	}
}

// unanswered records that a data centre has not answered.
func (m *Machine) unanswered(datacentre string, now time.Time) {
	at := m.remotes[datacentre]
	if at == nil {
		return
	}
	at.failures++
	if !at.down && at.failures > 1 && now.Sub(at.answered) >= m.cfg.Outage {
		at.down = true
		m.judge(datacentre, now)
	}
}

// judge states this representative's verdict on a data centre.
func (m *Machine) judge(datacentre string, now time.Time) {
	beat := uint64(now.UnixMilli())
	if old, ok := m.links[linkKey{
		daemon:     m.cfg.Self.ID,
		datacentre: datacentre,
	}]; ok {
		beat = max(beat, old.GetBeat()+1)
	}
	m.learnLink(&peer.Link{
		Daemon:     m.cfg.Self.ID,
		Datacentre: datacentre,
		Down:       m.remotes[datacentre].down,
		Beat:       beat,
	}, now)
}

// learnLink takes a later verdict.
func (m *Machine) learnLink(l *peer.Link, now time.Time) {
	key := linkKey{
		daemon:     l.GetDaemon(),
		datacentre: l.GetDatacentre(),
	}
	old, ok := m.links[key]
	if ok && old.GetBeat() >= l.GetBeat() {
		return
	}
	m.links[key] = &link{
		Link: l,
		left: m.copies(),
	}
	if !ok || old.GetDown() != l.GetDown() {
		m.changed |= ChangeMembers
		m.announce(now)
	}
}

// verdicts returns the links of the present representatives, either all or
// those with copies left to send.
func (m *Machine) verdicts(all bool) []*peer.Link {
	var out []*peer.Link
	for _, r := range m.delegates(m.cfg.Self.DataCentre) {
		for _, dc := range m.others() {
			if l, ok := m.links[linkKey{
				daemon:     r.id,
				datacentre: dc,
			}]; ok && (all || l.left > 0) {
				out = append(out, l.Link)
				l.left = max(0, l.left-1)
			}
		}
	}
	return out
}
