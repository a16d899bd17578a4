package gossiper

import (
	"time"

	"plantaincleat/tier/gen/peer"
)

// base returns a message with what every message carries.
func (m *Machine) base() *peer.Views {
	v := &peer.Views{
		Sender:   m.cfg.Self.ID,
		Revision: m.self().revision,
		Hash:     m.table.hash,
		Facts:    m.facts.hash,
		Mark:     m.mark,
	}
	if m.mark > 0 {
		v.Confirmed = m.table.confirmed(m.mark)
	}
	return v
}

// Greeting returns a message that asks for nothing, to probe a daemon with.
func (m *Machine) Greeting() *peer.Views { return m.base() }

// Heard takes the answer to a greeting.
func (m *Machine) Heard(now time.Time, reply *peer.Views) {
	m.observe(now)
	m.absorb(reply, now)
}

// request builds the message that opens an exchange.
func (m *Machine) request(to contact, full bool) *peer.Views {
	v := m.base()
	r := m.table.records[to.id]
	v.Full = full
	if full {
		for _, one := range m.table.indexed().all {
			v.Members = append(v.Members, encodeMember(one.Member))
		}
	} else {
		m.addRecords(v, r)
	}
	m.addFacts(v, r, full)
	return v
}

// addRecords adds changed records, and what the other end must know of itself
// to refute it.
func (m *Machine) addRecords(v *peer.Views, to *record) {
	for _, one := range m.table.take(recordBytes) {
		v.Members = append(v.Members, encodeMember(one))
	}
	if to == nil {
		v.Members = append(v.Members, encodeMember(m.self().Member))
	} else if to.state != peer.State_STATE_ALIVE {
		v.Members = append(v.Members, encodeMember(to.Member))
	}
}

// addFacts adds notices and demands, and verdicts within the data centre.
func (m *Machine) addFacts(v *peer.Views, to *record, all bool) {
	v.Notices = m.facts.take(noticeBytes, all)
	near := to != nil && to.datacentre == m.cfg.Self.DataCentre
	if !near {
		v.Demands = m.demands.take(sumBytes, true)
		return
	}
	v.Demands = m.demands.take(demandBytes, false)
	v.Links = m.verdicts(all)
}

// Receive takes a message from another daemon and returns the answer.
func (m *Machine) Receive(now time.Time, v *peer.Views) *peer.Views {
	m.observe(now)
	m.heard = now
	_, known := m.table.records[v.GetSender()]
	m.absorb(v, now)
	reply := m.base()
	r := m.table.records[v.GetSender()]
	if v.GetFull() {
		m.addMissing(reply, v)
	} else {
		reply.Full = !known
		m.addRecords(reply, r)
	}
	m.addFacts(reply, r, v.GetFull() || v.GetFacts() != m.facts.hash)
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

// absorb merges what another daemon has sent.
func (m *Machine) absorb(v *peer.Views, now time.Time) {
	for _, p := range v.GetMembers() {
		if one, ok := decodeMember(p); ok {
			m.learn(one, now)
		}
	}
	m.learnRevisions(v, now)
	for _, n := range v.GetNotices() {
		if m.facts.add(n, m.copies(), now) {
			m.changed |= ChangeNotices
			m.announce(now)
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
			m.learnLink(l, now)
		}
	}
}

// learn merges one record.
func (m *Machine) learn(one Member, now time.Time) {
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
			r.beat = max(r.beat, one.beat)
			m.raiseRevision(r, one.revision)
		}
		return
	}
	was := r.state
	m.put(join(one, r.Member), now)
	if r.state != was {
		m.announce(now)
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
	reached := now.Sub(m.heard) < m.cfg.Suspicion
	if later || denied && reached {
		m.raise(one.incarnation, now)
	}
}

// learnRevisions takes the revisions in a message.
func (m *Machine) learnRevisions(v *peer.Views, now time.Time) {
	if r, ok := m.table.records[v.GetSender()]; ok {
		m.raiseRevision(r, v.GetRevision())
	}
	if high := max(v.GetMark(), v.GetRevision()); high > m.mark {
		m.mark = high
		m.changed |= ChangeMembers
		m.announce(now)
	}
	if v.GetHash() == m.table.hash && v.GetMark() == m.mark {
		if m.table.confirm(m.mark, v.GetConfirmed(), m.cfg.Self.ID) {
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
	m.observe(now)
	self := m.self()
	if revision <= self.revision {
		return
	}
	self.revision = revision
	m.changed |= ChangeMembers
	if revision > m.mark {
		m.mark = revision
		m.announce(now)
	}
}

// Publish spreads a notice.
func (m *Machine) Publish(now time.Time, n *peer.Notice) {
	m.observe(now)
	if m.facts.add(n, m.copies(), now) {
		m.changed |= ChangeNotices
		m.announce(now)
	}
}

// SetDemand states this daemon's recent use of an institution's terms. rate is
// in requests per second. It may be called at any rate: small changes travel
// with a delay.
func (m *Machine) SetDemand(now time.Time, institution string, rate float64, concurrency uint32) {
	m.observe(now)
	d := &peer.Demand{
		Daemon:      m.cfg.Self.ID,
		Institution: institution,
		Rate:        rate,
		Concurrency: concurrency,
		Beat:        uint64(now.UnixMilli()),
	}
	if !m.demands.steady(d, now) {
		m.demands.add(d, now)
	}
}

// SetSeeds replaces the addresses to join through.
func (m *Machine) SetSeeds(seeds []string) { m.cfg.Seeds = seeds }

// Leave states that this daemon ends. The returned messages tell others.
func (m *Machine) Leave(now time.Time) []Action {
	m.observe(now)
	m.leaving = true
	self := m.self().Member
	self.state = peer.State_STATE_LEFT
	m.put(self, now)
	m.news = true
	m.tokens = max(m.tokens, 1)
	return m.spread(now)
}
