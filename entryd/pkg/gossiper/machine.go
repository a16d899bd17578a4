// Package gossiper keeps track of the daemons of the fleet and spreads small
// facts among them.
//
// Machine decides; it is deterministic and does no I/O. Within a data centre
// every daemon exchanges views with the others in a shuffled order, and each
// exchange is also a probe. A member that does not answer is probed through
// others, then suspected, then declared dead, unless it refutes the suspicion
// with a higher incarnation (SWIM: Das, Gupta, Motivala, 2002). Only the
// daemons of its own data centre judge a member. A few representatives of each
// data centre, chosen by rendezvous hashing, exchange views with those of the
// others and judge whether a data centre as a whole can be reached.
//
// Runner runs a Machine on a clock and a Transport and publishes immutable
// views for readers.
package gossiper

import (
	"math/bits"
	"math/rand/v2"
	"time"

	"plantaincleat/tier/gen/peer"
)

// Machine is the state of one daemon's membership. It is not safe for
// concurrent use.
type Machine struct {
	cfg     Config
	rng     *rand.Rand
	table   table
	notices noticeSet
	demands demandSet
	links   map[linkKey]*link
	remotes map[string]*remoteState

	// highestRevision is the highest revision that any daemon is known to have.
	highestRevision uint64
	leaving         bool

	// lastInput is the time of the last input.
	lastInput time.Time
	// lastRequest is when another daemon last opened an exchange with this one.
	lastRequest     time.Time
	nextRound       time.Time
	nextRetry       time.Time
	nextFull        time.Time
	nextLinkRenewal time.Time
	nextTotals      time.Time

	// refreshing is true from start or wake until the table is fresh.
	refreshing      bool
	refreshDeadline time.Time

	pending map[uint64]*pendingExchange
	lastID  uint64

	// probeOrder holds the ids of the members of this data centre in the order
	// in which they are probed.
	probeOrder []string
	// remoteIndex is the place of the next data centre to exchange with.
	remoteIndex int
	// mismatches counts by data centre the exchanges in a row after which the
	// tables differed.
	mismatches map[string]int

	burstPending  bool
	nextBurst     time.Time
	burstTokens   float64
	burstRefilled time.Time

	changed Change
}

// Change tells which parts of the state have changed.
type Change uint8

// Parts of the state.
const (
	ChangeMembers Change = 1 << iota
	ChangeNotices
)

// New returns a Machine that starts at now. The incarnation is now in Unix
// milliseconds.
func New(cfg Config, now time.Time) *Machine {
	cfg = cfg.withDefaults()
	m := &Machine{
		cfg:             cfg,
		rng:             rand.New(cfg.Source),
		table:           newTable(),
		notices:         newNoticeSet(),
		demands:         newDemandSet(),
		links:           make(map[linkKey]*link),
		mismatches:      make(map[string]int),
		remotes:         make(map[string]*remoteState),
		lastInput:       now,
		lastRequest:     now,
		nextRound:       now,
		nextRetry:       now.Add(cfg.RetryInterval),
		nextLinkRenewal: now.Add(linkRenewal),
		refreshing:      true,
		refreshDeadline: now.Add(cfg.SuspicionTimeout),
		pending:         make(map[uint64]*pendingExchange),
		burstTokens:     maxBursts,
		burstRefilled:   now,
		changed:         ChangeMembers | ChangeNotices,
	}
	m.put(Member{
		id:          cfg.Self.ID,
		address:     cfg.Self.Address,
		datacentre:  cfg.Self.DataCentre,
		admin:       cfg.Self.AdminAddress,
		capacity:    cfg.Self.Capacity,
		incarnation: uint64(now.UnixMilli()),
		state:       peer.State_STATE_ALIVE,
		reachable:   true,
	}, now)
	m.nextRound = now.Add(time.Duration(m.rng.Int64N(int64(cfg.RoundInterval))))
	return m
}

// Next is when Tick should be called next.
func (m *Machine) Next() time.Time {
	if m.burstPending && m.nextBurst.Before(m.nextRound) {
		return m.nextBurst
	}
	return m.nextRound
}

// Synced reports whether the table is fresh. It is false after a start and
// after a freeze, until another daemon has answered with its table or none has
// within the suspicion time.
func (m *Machine) Synced() bool { return !m.refreshing }

// Tick runs what is due at now.
func (m *Machine) Tick(now time.Time) []Action {
	m.detectFreeze(now)
	var out []Action
	if !now.Before(m.nextRound) {
		m.nextRound = now.Add(m.cfg.RoundInterval)
		out = m.runRound(now)
	}
	if m.burstPending && !now.Before(m.nextBurst) {
		out = append(out, m.sendBurst(now)...)
	}
	return out
}

// detectFreeze notices a freeze by the gap since the last input. The wall clock
// counts too, since a suspended machine's monotonic clock stands still.
func (m *Machine) detectFreeze(now time.Time) {
	gap := max(now.Sub(m.lastInput), now.Round(0).Sub(m.lastInput.Round(0)))
	m.lastInput = now
	if gap < m.cfg.SuspicionTimeout {
		return
	}
	m.refreshing = true
	// Failures of calls from before the freeze prove nothing.
	m.pending = make(map[uint64]*pendingExchange)
	m.refreshDeadline = now.Add(m.cfg.SuspicionTimeout)
	m.nextRound = now
	m.raiseIncarnation(0, now)
	for _, r := range m.table.records {
		if r.state == peer.State_STATE_SUSPECT {
			r.changedAt = now
		}
	}
	for _, r := range m.remotes {
		r.lastReply = now
	}
}

// raiseIncarnation states this daemon again with an incarnation above the known ones.
func (m *Machine) raiseIncarnation(above uint64, now time.Time) {
	self := m.self().Member
	if m.leaving {
		return
	}
	self.incarnation = max(self.incarnation, above) + 1
	self.state = peer.State_STATE_ALIVE
	m.put(self, now)
	m.scheduleBurst(now)
}

func (m *Machine) self() *record { return m.table.records[m.cfg.Self.ID] }

// copiesPerChange is the number of messages that carry a change, about 2 log2 n. A member
// misses a rumour that each of the others tells c times with probability exp(-c).
func (m *Machine) copiesPerChange() int {
	return 2 * bits.Len(uint(len(m.table.records)))
}

// put stores a member and passes it on. What a daemon learns of others while it
// refreshes its table is known to them.
func (m *Machine) put(member Member, now time.Time) {
	copies := m.copiesPerChange()
	if m.refreshing && member.id != m.cfg.Self.ID {
		copies = 0
	}
	m.table.put(member, copies, now)
	m.changed |= ChangeMembers
}

// runRound is the periodic work: it expires what is over and starts exchanges.
func (m *Machine) runRound(now time.Time) []Action {
	m.self().heartbeat++
	if m.leaving {
		return nil
	}
	if m.refreshing {
		return m.refresh(now)
	}
	m.expire(now)
	out := m.probeNext(now)
	out = append(out, m.exchangeRemote(now)...)
	out = append(out, m.retryUnreachable(now)...)
	return out
}

// refresh asks others for their tables. With nobody to ask, or no answer in
// time, the daemon goes on with what it knows.
func (m *Machine) refresh(now time.Time) []Action {
	if len(m.pending) > 0 && now.Before(m.refreshDeadline) {
		return nil
	}
	addresses := m.refreshContacts()
	if len(addresses) == 0 || !now.Before(m.refreshDeadline) {
		m.refreshing = false
		m.changed |= ChangeMembers
		return nil
	}
	var out []Action
	for _, a := range addresses {
		out = append(out, m.exchange(a, true))
	}
	return out
}

// refreshContacts returns up to Fanout addresses, those of this data centre first.
func (m *Machine) refreshContacts() []contact {
	var near, far []contact
	for _, r := range m.table.indexed().present {
		switch {
		case r.id == m.cfg.Self.ID:
		case r.datacentre == m.cfg.Self.DataCentre:
			near = append(near, contactOf(r))
		default:
			far = append(far, contactOf(r))
		}
	}
	for _, s := range m.cfg.Seeds {
		if s != m.cfg.Self.Address {
			far = append(far, contact{
				address: s,
			})
		}
	}
	shuffle(m.rng, near)
	shuffle(m.rng, far)
	near = append(near, far...)
	return near[:min(len(near), m.cfg.Fanout)]
}

func shuffle[T any](rng *rand.Rand, s []T) {
	rng.Shuffle(len(s), func(i, j int) { s[i], s[j] = s[j], s[i] })
}

// expire ends suspicions, forgets the dead and drops stale facts.
func (m *Machine) expire(now time.Time) {
	for _, r := range m.table.indexed().all {
		age := now.Sub(r.changedAt)
		switch {
		case dead(r.state) && age >= m.cfg.DeadRetention:
			m.table.forget(r.id)
			m.changed |= ChangeMembers
		case r.state == peer.State_STATE_SUSPECT && age >= m.cfg.SuspicionTimeout &&
			r.datacentre == m.cfg.Self.DataCentre:
			member := r.Member
			member.state = peer.State_STATE_DEAD
			m.put(member, now)
			m.scheduleBurst(now)
		}
	}
	if m.notices.expire(now) {
		m.changed |= ChangeNotices
	}
	m.demands.expire(now, m.cfg.DemandTTL)
}

// scheduleBurst asks for an immediate exchange with a few others.
func (m *Machine) scheduleBurst(now time.Time) {
	if !m.burstPending {
		m.burstPending = true
		m.nextBurst = now
		if earliest := m.burstRefilled.Add(burstPause); m.nextBurst.Before(earliest) {
			m.nextBurst = earliest
		}
	}
}

// sendBurst sends news at once, as far as the rate of bursts allows.
func (m *Machine) sendBurst(now time.Time) []Action {
	m.burstTokens = min(maxBursts, m.burstTokens+float64(now.Sub(m.burstRefilled))/float64(burstRefill))
	m.burstRefilled = now
	if m.burstTokens < 1 {
		m.nextBurst = now.Add(burstRefill)
		return nil
	}
	m.burstTokens--
	m.burstPending = false
	var out []Action
	peers := m.localPeers()
	shuffle(m.rng, peers)
	for _, r := range peers[:min(len(peers), m.cfg.Fanout)] {
		out = append(out, m.exchange(contactOf(r), false))
	}
	if !m.isRepresentative() {
		return out
	}
	for _, dc := range m.remoteDataCentres() {
		if r := m.chooseRemotePeer(dc); r != nil && !m.remotes[dc].down {
			out = append(out, m.exchange(contactOf(r), false))
		}
	}
	return out
}

// localPeers returns the present members of this data centre but this one.
func (m *Machine) localPeers() []*record {
	var out []*record
	for _, r := range m.table.indexed().presentIn[m.cfg.Self.DataCentre] {
		if r.id != m.cfg.Self.ID {
			out = append(out, r)
		}
	}
	return out
}
