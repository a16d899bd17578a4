package gossiper

import (
	"time"

	"plantaincleat/tier/gen/peer"
)

// newMessage returns a message with what every message carries.
func (m *Machine) newMessage() *peer.Views {
	v := &peer.Views{
		Sender:   m.cfg.Self.ID,
		Revision: m.self().revision,
		Hash:     m.table.hash,
		Facts:    m.notices.hash,
		Mark:     m.highestRevision,
	}
	if m.highestRevision > 0 {
		v.Confirmed = m.table.confirmationBitmap(m.highestRevision)
	}
	return v
}

// ProbeMessage returns a message that asks for nothing, to probe a daemon with.
func (m *Machine) ProbeMessage() *peer.Views { return m.newMessage() }

// HandleProbeReply takes the answer to a greeting.
func (m *Machine) HandleProbeReply(now time.Time, reply *peer.Views) {
	m.detectFreeze(now)
	m.mergeMessage(reply, now)
}

// newRequest builds the message that opens an exchange.
func (m *Machine) newRequest(to contact, full bool) *peer.Views {
	v := m.newMessage()
	r := m.table.records[to.id]
	v.Full = full
	if full {
		for _, one := range m.table.indexed().all {
			v.Members = append(v.Members, encodeMember(one.Member))
		}
	} else {
		m.addRecords(v, r)
	}
	m.addUpdates(v, r, full)
	return v
}

// addRecords adds changed records, and what the other end must know of itself
// to refute it.
func (m *Machine) addRecords(v *peer.Views, to *record) {
	for _, one := range m.table.take(maxRecordBytes) {
		v.Members = append(v.Members, encodeMember(one))
	}
	if to == nil {
		v.Members = append(v.Members, encodeMember(m.self().Member))
	} else if to.state != peer.State_STATE_ALIVE {
		v.Members = append(v.Members, encodeMember(to.Member))
	}
}

// addUpdates adds notices and demands, and verdicts within the data centre.
func (m *Machine) addUpdates(v *peer.Views, to *record, all bool) {
	v.Notices = m.notices.take(maxNoticeBytes, all)
	near := to != nil && to.datacentre == m.cfg.Self.DataCentre
	if !near {
		v.Demands = m.demands.take(maxTotalBytes, true)
		return
	}
	v.Demands = m.demands.take(maxDemandBytes, false)
	v.Links = m.linksToSend(all)
}

// HandleRequest takes a message from another daemon and returns the answer.
func (m *Machine) HandleRequest(now time.Time, v *peer.Views) *peer.Views {
	m.detectFreeze(now)
	m.lastRequest = now
	_, known := m.table.records[v.GetSender()]
	m.mergeMessage(v, now)
	reply := m.newMessage()
	r := m.table.records[v.GetSender()]
	if v.GetFull() {
		m.addMissing(reply, v)
	} else {
		reply.Full = !known
		m.addRecords(reply, r)
	}
	m.addUpdates(reply, r, v.GetFull() || v.GetFacts() != m.notices.hash)
	return reply
}

// addMissing adds the records that tell more than those in a full table.
func (m *Machine) addMissing(reply, v *peer.Views) {
	theirs := make(map[string]Member, len(v.GetMembers()))
	for _, p := range v.GetMembers() {
		if one, ok := decodeMember(p); ok {
			theirs[one.id] = one
		}
	}
	for _, r := range m.table.indexed().all {
		one, ok := theirs[r.id]
		if !ok || supersedes(r.Member, one) || r.revision > one.revision {
			reply.Members = append(reply.Members, encodeMember(r.Member))
		}
	}
}

// mergeMessage merges what another daemon has sent.
func (m *Machine) mergeMessage(v *peer.Views, now time.Time) {
	for _, p := range v.GetMembers() {
		if one, ok := decodeMember(p); ok {
			m.mergeMember(one, now)
		}
	}
	m.mergeRevisions(v, now)
	for _, n := range v.GetNotices() {
		if m.notices.add(n, m.copiesPerChange(), now) {
			m.changed |= ChangeNotices
			m.scheduleBurst(now)
		}
	}
	for _, d := range v.GetDemands() {
		m.demands.add(d, now)
	}
	r, ok := m.table.records[v.GetSender()]
	if !ok || r.datacentre != m.cfg.Self.DataCentre {
		return
	}
	for _, l := range v.GetLinks() {
		if l.GetDaemon() != m.cfg.Self.ID {
			m.mergeLink(l, now)
		}
	}
}

// mergeMember merges one record.
func (m *Machine) mergeMember(one Member, now time.Time) {
	if one.id == m.cfg.Self.ID {
		m.refute(one, now)
		return
	}
	r, ok := m.table.records[one.id]
	if !ok {
		if !dead(one.state) {
			m.put(one, now)
		}
		return
	}
	if !supersedes(one, r.Member) {
		if one.incarnation == r.incarnation {
			r.heartbeat = max(r.heartbeat, one.heartbeat)
			m.raiseRevision(r, one.revision)
		}
		return
	}
	was := r.state
	m.put(mergeMembers(one, r.Member), now)
	if r.state != was {
		m.scheduleBurst(now)
	}
}

// refute answers a record that says that this daemon does not run, or that is
// of a later incarnation than its own, as after a restart with a clock behind.
// A daemon that can send but that nobody reaches does not refute: it is of no
// use to the others.
func (m *Machine) refute(one Member, now time.Time) {
	self := m.self()
	later := one.incarnation > self.incarnation
	denied := one.incarnation == self.incarnation && one.state != peer.State_STATE_ALIVE
	reached := now.Sub(m.lastRequest) < m.cfg.SuspicionTimeout
	if later || denied && reached {
		m.raiseIncarnation(one.incarnation, now)
	}
}

// mergeRevisions takes the revisions in a message.
func (m *Machine) mergeRevisions(v *peer.Views, now time.Time) {
	if r, ok := m.table.records[v.GetSender()]; ok {
		m.raiseRevision(r, v.GetRevision())
	}
	if high := max(v.GetMark(), v.GetRevision()); high > m.highestRevision {
		m.highestRevision = high
		m.changed |= ChangeMembers
		m.scheduleBurst(now)
	}
	if v.GetHash() == m.table.hash && v.GetMark() == m.highestRevision {
		if m.table.applyConfirmations(m.highestRevision, v.GetConfirmed(), m.cfg.Self.ID) {
			m.changed |= ChangeMembers
		}
	}
}

func (m *Machine) raiseRevision(r *record, revision uint64) {
	if revision > r.revision && r.id != m.cfg.Self.ID {
		r.revision = revision
		m.changed |= ChangeMembers
	}
}

// SetRevision states the configuration revision that this daemon has adopted.
// A lower one than before is ignored.
func (m *Machine) SetRevision(now time.Time, revision uint64) {
	m.detectFreeze(now)
	self := m.self()
	if revision <= self.revision {
		return
	}
	self.revision = revision
	m.changed |= ChangeMembers
	if revision > m.highestRevision {
		m.highestRevision = revision
		m.scheduleBurst(now)
	}
}

// Publish spreads a notice.
func (m *Machine) Publish(now time.Time, n *peer.Notice) {
	m.detectFreeze(now)
	if m.notices.add(n, m.copiesPerChange(), now) {
		m.changed |= ChangeNotices
		m.scheduleBurst(now)
	}
}

// SetDemand states this daemon's recent use of an institution's terms. rate is
// in requests per second. It may be called at any rate: small changes travel
// with a delay.
func (m *Machine) SetDemand(now time.Time, institution string, rate float64, concurrency uint32) {
	m.detectFreeze(now)
	d := &peer.Demand{
		Daemon:      m.cfg.Self.ID,
		Institution: institution,
		Rate:        rate,
		Concurrency: concurrency,
		Beat:        uint64(now.UnixMilli()),
	}
	if !m.demands.recentlySent(d, now) {
		m.demands.add(d, now)
	}
}

// SetSeeds replaces the addresses to join through.
func (m *Machine) SetSeeds(seeds []string) { m.cfg.Seeds = seeds }

// Leave states that this daemon ends. The returned messages tell others.
func (m *Machine) Leave(now time.Time) []Action {
	m.detectFreeze(now)
	m.leaving = true
	self := m.self().Member
	self.state = peer.State_STATE_LEFT
	m.put(self, now)
	m.burstPending = true
	m.burstTokens = max(m.burstTokens, 1)
	return m.sendBurst(now)
}
