package gossiper

import (
	"time"

	"plantaincleat/tier/gen/peer"
)

// newMessage returns a message with the fields that every message carries.
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

// ProbeMessage returns a message without records, to probe a daemon with.
func (m *Machine) ProbeMessage() *peer.Views { return m.newMessage() }

// HandleProbeReply merges the answer to a message of ProbeMessage.
func (m *Machine) HandleProbeReply(now time.Time, reply *peer.Views) {
	m.detectFreeze(now)
	m.lastContact = now
	m.mergeMessage(reply, now)
}

// newRequest returns the message that opens an exchange. If full is true it
// carries the whole table.
func (m *Machine) newRequest(to contact, full bool) *peer.Views {
	v := m.newMessage()
	r := m.table.records[to.id]
	v.Full = full
	if full {
		for _, known := range m.table.indexed().all {
			v.Members = append(v.Members, encodeMember(known.Member))
		}
	} else {
		m.addRecords(v, r)
	}
	m.addUpdates(v, r, full, full)
	return v
}

// addRecords adds the changed records. It also adds this daemon's record if the
// receiver is not in the table, and the receiver's own record if that is not
// alive, so that the receiver can refute it.
func (m *Machine) addRecords(v *peer.Views, to *record) {
	for _, member := range m.table.take(maxRecordBytes) {
		v.Members = append(v.Members, encodeMember(member))
	}
	if to == nil {
		v.Members = append(v.Members, encodeMember(m.self().Member))
	} else if to.state != peer.State_STATE_ALIVE {
		v.Members = append(v.Members, encodeMember(to.Member))
	}
}

// addUpdates adds notices and demands, and within the data centre also links.
// If all is true, it also adds notices and links that have no copies left to
// send. If full is true, the message has the whole table and room for more notices.
func (m *Machine) addUpdates(v *peer.Views, to *record, all, full bool) {
	limit := maxNoticeBytes
	if full {
		limit = maxFullNoticeBytes
	}
	v.Notices = m.notices.take(limit, all)
	local := to != nil && to.datacentre == m.cfg.Self.DataCentre
	if !local {
		v.Demands = m.demands.take(maxRemoteDemandBytes, true)
		return
	}
	v.Demands = m.demands.take(maxDemandBytes, false)
	v.Links = m.linksToSend(all)
}

// HandleRequest merges a message from another daemon and returns the answer.
func (m *Machine) HandleRequest(now time.Time, v *peer.Views) *peer.Views {
	m.detectFreeze(now)
	m.lastRequest, m.lastContact = now, now
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
	m.addUpdates(reply, r, v.GetFull() || v.GetFacts() != m.notices.hash, v.GetFull())
	return reply
}

// addMissing adds to reply the records that the full table in v lacks or has in
// an older state.
func (m *Machine) addMissing(reply, v *peer.Views) {
	theirs := make(map[string]Member, len(v.GetMembers()))
	for _, p := range v.GetMembers() {
		if member, ok := decodeMember(p); ok {
			theirs[member.id] = member
		}
	}
	for _, r := range m.table.indexed().all {
		member, ok := theirs[r.id]
		if !ok || supersedes(r.Member, member) || r.revision > member.revision {
			reply.Members = append(reply.Members, encodeMember(r.Member))
		}
	}
}

// mergeMessage merges the contents of a message. Links are merged only if they
// come from the same data centre.
func (m *Machine) mergeMessage(v *peer.Views, now time.Time) {
	for _, p := range v.GetMembers() {
		if member, ok := decodeMember(p); ok {
			m.mergeMember(member, now)
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

// mergeMember merges one member record.
func (m *Machine) mergeMember(member Member, now time.Time) {
	if member.id == m.cfg.Self.ID {
		m.refute(member, now)
		return
	}
	r, ok := m.table.records[member.id]
	if !ok {
		if !dead(member.state) {
			m.put(member, now)
		}
		return
	}
	if !supersedes(member, r.Member) {
		if member.incarnation == r.incarnation {
			r.heartbeat = max(r.heartbeat, member.heartbeat)
			m.raiseRevision(r, member.revision)
		}
		return
	}
	before := r.state
	m.put(mergeMembers(member, r.Member), now)
	if r.state != before {
		m.scheduleBurst(now)
	}
}

// refute raises this daemon's incarnation if a record claims that the daemon is
// not alive, or if the record has a later incarnation, as happens after a
// restart with a clock that is behind. A daemon that has received no request
// within SuspicionTimeout does not refute a claim that it is not alive: it can
// send but cannot be reached, so it is of no use to other daemons.
func (m *Machine) refute(member Member, now time.Time) {
	self := m.self()
	later := member.incarnation > self.incarnation
	denied := member.incarnation == self.incarnation && member.state != peer.State_STATE_ALIVE
	reached := now.Sub(m.lastRequest) < m.cfg.SuspicionTimeout
	if later || denied && reached {
		m.raiseIncarnation(member.incarnation, now)
	}
}

// mergeRevisions merges the configuration revisions in a message.
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

// SetRevision publishes the configuration revision that this daemon has
// adopted. It ignores a revision that is not higher than the previous one.
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

// Publish spreads a notice to every daemon.
func (m *Machine) Publish(now time.Time, n *peer.Notice) {
	m.detectFreeze(now)
	if m.notices.add(n, m.copiesPerChange(), now) {
		m.changed |= ChangeNotices
		m.scheduleBurst(now)
	}
}

// SetDemand publishes this daemon's recent use of an institution's quota: rate
// in requests per second and concurrency in requests. It may be called at any
// rate. Small changes are sent with a delay of up to demandRenewal.
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

// SetSeeds replaces the addresses through which this daemon joins.
func (m *Machine) SetSeeds(seeds []string) { m.cfg.Seeds = seeds }

// Leave marks this daemon as left and returns the messages that announce it.
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
