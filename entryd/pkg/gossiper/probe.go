package gossiper

import (
	"time"

	"plantaincleat/tier/gen/peer"
)

// Kind is the kind of message that an Action sends.
type Kind uint8

// Kinds of actions.
const (
	// KindExchange sends Views to Address. The answer goes to HandleReply.
	KindExchange Kind = iota + 1
	// KindProbe asks the daemon at Address to probe ProbeAddress. The answer
	// goes to HandleIndirectProbe.
	KindProbe
)

// Action is a message to send.
type Action struct {
	id           uint64
	kind         Kind
	address      string
	probeAddress string
	views        *peer.Views
}

// ID returns the number that identifies the action in HandleReply and
// HandleIndirectProbe.
func (a Action) ID() uint64 { return a.id }

// Kind returns the kind of message to send.
func (a Action) Kind() Kind { return a.kind }

// Address returns the peer address to send to.
func (a Action) Address() string { return a.address }

// ProbeAddress returns the peer address to be probed, for KindProbe.
func (a Action) ProbeAddress() string { return a.probeAddress }

// Views returns the message to send, for KindExchange.
func (a Action) Views() *peer.Views { return a.views }

// contact is a destination for messages. The id is empty if it is not known
// which daemon has the address.
type contact struct {
	id          string
	address     string
	incarnation uint64
}

func contactOf(r *record) contact {
	return contact{
		id:          r.id,
		address:     r.address,
		incarnation: r.incarnation,
	}
}

// pendingExchange is an exchange that has not been answered, or the indirect
// probes that follow its failure.
type pendingExchange struct {
	contact
	full bool
	// pendingProbes counts the indirect probes that have not been answered.
	pendingProbes int
}

func (m *Machine) addPending(c contact, full bool) uint64 {
	m.lastID++
	m.pending[m.lastID] = &pendingExchange{
		contact: c,
		full:    full,
	}
	return m.lastID
}

// exchange starts an exchange with c. If full is true, the request carries the
// whole table.
func (m *Machine) exchange(c contact, full bool) Action {
	return Action{
		id:      m.addPending(c, full),
		kind:    KindExchange,
		address: c.address,
		views:   m.newRequest(c, full),
	}
}

// probeNext starts an exchange with the next member of this data centre. Every
// member is probed once before any is probed again.
func (m *Machine) probeNext(now time.Time) []Action {
	for range 2 {
		for len(m.probeOrder) > 0 {
			r, ok := m.table.records[m.probeOrder[0]]
			m.probeOrder = m.probeOrder[1:]
			if ok && r.present() && r.datacentre == m.cfg.Self.DataCentre {
				return []Action{m.exchange(contactOf(r), m.repairDue(r.datacentre, now))}
			}
		}
		for _, r := range m.localPeers() {
			m.probeOrder = append(m.probeOrder, r.id)
		}
		shuffle(m.rng, m.probeOrder)
	}
	return nil
}

// repairDue reports whether the next exchange with a data centre carries the
// whole table.
func (m *Machine) repairDue(datacentre string, now time.Time) bool {
	if m.mismatches[datacentre] < repairThreshold || now.Before(m.nextRepair) {
		return false
	}
	m.mismatches[datacentre] = 0
	m.nextRepair = now.Add(m.cfg.RepairInterval + time.Duration(m.rng.Int64N(int64(m.cfg.RepairInterval))))
	return true
}

// retryUnreachable tries one dead member of this data centre, or one seed that
// is not the address of a live member, so that the end of a network partition
// is noticed.
func (m *Machine) retryUnreachable(now time.Time) []Action {
	if now.Before(m.nextRetry) {
		return nil
	}
	m.nextRetry = now.Add(m.cfg.RetryInterval)
	var candidates []contact
	known := make(map[string]bool)
	for _, r := range m.table.indexed().all {
		known[r.address] = known[r.address] || r.present() && m.reaches(r.datacentre)
		if r.state == peer.State_STATE_DEAD && r.datacentre == m.cfg.Self.DataCentre {
			candidates = append(candidates, contactOf(r))
		}
	}
	for _, s := range m.cfg.Seeds {
		if !known[s] {
			candidates = append(candidates, contact{
				address: s,
			})
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	return []Action{m.exchange(candidates[m.rng.IntN(len(candidates))], false)}
}

// HandleReply handles the answer to an exchange, or the error if there is none.
// It returns further messages to send.
func (m *Machine) HandleReply(now time.Time, id uint64, reply *peer.Views, err error) []Action {
	m.detectFreeze(now)
	if err == nil {
		m.lastContact = now
	}
	c, ok := m.pending[id]
	if !ok {
		if err == nil {
			m.mergeMessage(reply, now)
		}
		return nil
	}
	if err != nil {
		return m.handleFailure(now, id, c)
	}
	delete(m.pending, id)
	m.mergeMessage(reply, now)
	m.recordRemoteReply(reply, now)
	var out []Action
	if c.id != "" && reply.GetSender() != c.id {
		m.suspect(c.contact, now)
	}
	if reply.GetFull() && !c.full {
		out = append(out, m.exchange(c.contact, true))
	}
	if c.full && m.refreshing {
		m.refreshing = false
		m.changed |= ChangeMembers
	}
	m.countMismatches(reply)
	return out
}

// countMismatches counts the consecutive exchanges after which the tables
// differ.
func (m *Machine) countMismatches(reply *peer.Views) {
	r, ok := m.table.records[reply.GetSender()]
	switch {
	case !ok:
	case reply.GetHash() == m.table.hash:
		m.mismatches[r.datacentre] = 0
	default:
		m.mismatches[r.datacentre]++
	}
}

// handleFailure handles an exchange without an answer. For a member of this
// data centre that is alive it returns the requests for indirect probes.
func (m *Machine) handleFailure(now time.Time, id uint64, c *pendingExchange) []Action {
	r, known := m.table.records[c.id]
	if !known {
		delete(m.pending, id)
		return nil
	}
	if r.datacentre != m.cfg.Self.DataCentre {
		delete(m.pending, id)
		m.recordRemoteFailure(r.datacentre, now)
		return nil
	}
	if r.state != peer.State_STATE_ALIVE {
		delete(m.pending, id)
		return nil
	}
	proxies := m.chooseProxies(c.id)
	if len(proxies) == 0 {
		delete(m.pending, id)
		m.suspect(c.contact, now)
		return nil
	}
	c.pendingProbes = len(proxies)
	var out []Action
	for _, p := range proxies {
		out = append(out, Action{
			id:           id,
			kind:         KindProbe,
			address:      p.address,
			probeAddress: c.address,
		})
	}
	return out
}

// chooseProxies returns the daemons that are asked to probe a member. One of
// them is in a remote data centre, so that a daemon that cannot reach any
// member of its own data centre does not declare all of them dead.
func (m *Machine) chooseProxies(id string) []*record {
	if m.cfg.IndirectProbes < 0 {
		return nil
	}
	var local, remote []*record
	for _, r := range m.table.indexed().present {
		switch {
		case r.id == id || r.id == m.cfg.Self.ID || r.state != peer.State_STATE_ALIVE:
		case r.datacentre == m.cfg.Self.DataCentre:
			local = append(local, r)
		case m.reaches(r.datacentre):
			remote = append(remote, r)
		}
	}
	shuffle(m.rng, local)
	shuffle(m.rng, remote)
	remote = remote[:min(len(remote), 1)]
	local = local[:min(len(local), m.cfg.IndirectProbes-len(remote))]
	return append(local, remote...)
}

// HandleIndirectProbe handles the result of an indirect probe. The member is
// suspected once all of its indirect probes have failed.
func (m *Machine) HandleIndirectProbe(now time.Time, id uint64, alive bool) []Action {
	m.detectFreeze(now)
	c, ok := m.pending[id]
	if !ok {
		return nil
	}
	c.pendingProbes--
	switch {
	case alive:
		delete(m.pending, id)
	case c.pendingProbes == 0:
		delete(m.pending, id)
		m.suspect(c.contact, now)
	}
	return nil
}

// suspect marks a member as suspected if it is alive with the incarnation of c.
func (m *Machine) suspect(c contact, now time.Time) {
	r, ok := m.table.records[c.id]
	if !ok || r.incarnation != c.incarnation || r.state != peer.State_STATE_ALIVE {
		return
	}
	member := r.Member
	member.state = peer.State_STATE_SUSPECT
	m.put(member, now)
	m.scheduleBurst(now)
}
