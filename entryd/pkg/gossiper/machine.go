// Package gossiper tracks the daemons of the fleet and spreads member states,
// notices and demands among them.
//
// Machine is the protocol. It is deterministic and does no I/O. Within a data
// centre every daemon exchanges messages with the other daemons in a shuffled
// order, and each exchange is also a probe. A member that does not answer is
// probed through other daemons, then suspected, then declared dead, unless it
// refutes the suspicion with a higher incarnation (SWIM: Das, Gupta, Motivala,
// 2002). Only daemons of the same data centre suspect a member or declare it
// dead. A few representatives of each data centre, chosen by rendezvous
// hashing, exchange messages with the representatives of the other data centres
// and decide whether a data centre as a whole is reachable.
//
// Runner drives a Machine with a clock and a Transport and publishes immutable
// views for readers.
package gossiper

import (
	"math/bits"
	"math/rand/v2"
	"time"

	"plantaincleat/tier/gen/peer"
)

// Machine holds the membership state of one daemon. It is not safe for
// concurrent use.
type Machine struct {
	cfg     Config
	rng     *rand.Rand
	table   table
	notices noticeSet
	demands demandSet
	links   map[linkKey]*link
	remotes map[string]*remoteState

	// highestRevision is the highest configuration revision that any daemon is
	// known to have adopted.
	highestRevision uint64
	leaving         bool

	// lastInput is the time of the last input. A long gap since then means that
	// this daemon was frozen. since is the start or the end of the last freeze.
	lastInput, since time.Time
	// lastContact is when another daemon last opened an exchange or answered, zero if none has yet.
	lastContact time.Time
	// lastRequest is when another daemon last opened an exchange with this
	// daemon.
	lastRequest     time.Time
	nextRound       time.Time
	nextRetry       time.Time
	nextRepair      time.Time
	nextLinkRenewal time.Time
	nextTotals      time.Time

	// refreshing is true from a start or a freeze until another daemon has
	// answered with its table or refreshDeadline has passed.
	refreshing      bool
	refreshDeadline time.Time

	pending map[uint64]*pendingExchange
	lastID  uint64

	// probeOrder holds the ids of the members of this data centre that are
	// still to be probed in this pass, in order.
	probeOrder []string
	// remoteIndex is the index of the remote data centre of the last exchange.
	remoteIndex int
	// mismatches counts, per data centre, the consecutive exchanges after which
	// the tables differed.
	mismatches map[string]int

	// burstPending tells that a burst is due at nextBurst. burstTokens is the
	// number of bursts allowed as of burstRefilled, the time at which a burst
	// was last sent or postponed.
	burstPending  bool
	nextBurst     time.Time
	burstTokens   float64
	burstRefilled time.Time

	changed Change
}

// Change is a set of flags for the parts of the state that have changed.
type Change uint8

// Parts of the state.
const (
	ChangeMembers Change = 1 << iota
	ChangeNotices
)

// New returns a Machine that starts at now. Its incarnation is now in Unix
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
		since:           now,
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
		id:           cfg.Self.ID,
		address:      cfg.Self.Address,
		datacentre:   cfg.Self.DataCentre,
		adminAddress: cfg.Self.AdminAddress,
		capacity:     cfg.Self.Capacity,
		incarnation:  uint64(now.UnixMilli()),
		state:        peer.State_STATE_ALIVE,
		reachable:    true,
	}, now)
	m.nextRound = now.Add(time.Duration(m.rng.Int64N(int64(cfg.RoundInterval))))
	return m
}

// Next returns the time at which Tick is due.
func (m *Machine) Next() time.Time {
	if m.burstPending && m.nextBurst.Before(m.nextRound) {
		return m.nextBurst
	}
	return m.nextRound
}

// Synced reports whether the member table is up to date. It is false after a
// start and after a freeze, until another daemon has answered with its table or
// SuspicionTimeout has passed without an answer.
func (m *Machine) Synced() bool { return !m.refreshing }

// Since returns since when this daemon has run without a gap: its start or the end of its last
// freeze.
func (m *Machine) Since() time.Time { return m.since }

// LastContact returns when another daemon last opened an exchange or answered, the zero time if none
// has yet. Others may find this daemon dead no sooner than SuspicionTimeout after it.
func (m *Machine) LastContact() time.Time { return m.lastContact }

// Join asks other daemons for their tables at once, without waiting for the first round,
// and returns the messages to send.
func (m *Machine) Join(now time.Time) []Action {
	m.detectFreeze(now)
	if !m.refreshing {
		return nil
	}
	return m.refresh(now)
}

// Tick does the work that is due at now and returns the messages to send.
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

// detectFreeze compares now with the time of the last input. A gap of
// SuspicionTimeout or more means that this daemon was frozen, so it refreshes
// its table and raises its incarnation by InterruptionStep at least, as a start does: other
// daemons may have taken its place.
func (m *Machine) detectFreeze(now time.Time) {
	frozen := wasFrozen(m.lastInput, now, m.cfg.SuspicionTimeout)
	m.lastInput = now
	if !frozen {
		return
	}
	m.since = now
	m.refreshing = true
	// A failed exchange from before the freeze says nothing about the other
	// daemon.
	m.pending = make(map[uint64]*pendingExchange)
	m.refreshDeadline = now.Add(m.cfg.SuspicionTimeout)
	m.nextRound = now
	m.raiseIncarnation(max(m.self().incarnation+InterruptionStep, uint64(now.UnixMilli())), now)
	for _, r := range m.table.records {
		if r.state == peer.State_STATE_SUSPECT {
			r.changedAt = now
		}
	}
	for _, r := range m.remotes {
		r.lastReply = now
	}
}

// wasFrozen reports whether a daemon whose last input was at one time was frozen until another.
// The gap is also measured on the wall clock because the monotonic clock stops while a host is
// suspended.
func wasFrozen(last, now time.Time, limit time.Duration) bool {
	return max(now.Sub(last), now.Round(0).Sub(last.Round(0))) >= limit
}

// raiseIncarnation publishes this daemon's record as alive, with an incarnation
// higher than above and than its present one.
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

// copiesPerChange returns the number of messages that carry a change, about 2
// log2 n for n members. If each member sends a change c times to random
// members, a given member misses it with probability exp(-c).
func (m *Machine) copiesPerChange() int {
	return 2 * bits.Len(uint(len(m.table.records)))
}

// put stores a member and queues its record for sending. Records of other
// daemons that arrive during a refresh are not queued, because the rest of the
// fleet already has them.
func (m *Machine) put(member Member, now time.Time) {
	copies := m.copiesPerChange()
	if m.refreshing && member.id != m.cfg.Self.ID {
		copies = 0
	}
	m.table.put(member, copies, now)
	m.changed |= ChangeMembers
}

// runRound does the periodic work: it drops expired state and starts exchanges.
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

// refresh asks other daemons for their tables. If there is no daemon to ask, or
// none answers by refreshDeadline, the daemon continues with the table it has.
func (m *Machine) refresh(now time.Time) []Action {
	if len(m.pending) > 0 && now.Before(m.refreshDeadline) {
		return nil
	}
	contacts := m.refreshContacts()
	if len(contacts) == 0 || !now.Before(m.refreshDeadline) {
		m.refreshing = false
		m.changed |= ChangeMembers
		return nil
	}
	var out []Action
	for _, a := range contacts {
		out = append(out, m.exchange(a, true))
	}
	return out
}

// refreshContacts returns up to Fanout contacts, those of this data centre
// first.
func (m *Machine) refreshContacts() []contact {
	var local, remote []contact
	for _, r := range m.table.indexed().present {
		switch {
		case r.id == m.cfg.Self.ID:
		case r.datacentre == m.cfg.Self.DataCentre:
			local = append(local, contactOf(r))
		default:
			remote = append(remote, contactOf(r))
		}
	}
	for _, s := range m.cfg.Seeds {
		if s != m.cfg.Self.Address {
			remote = append(remote, contact{
				address: s,
			})
		}
	}
	shuffle(m.rng, local)
	shuffle(m.rng, remote)
	local = append(local, remote...)
	return local[:min(len(local), m.cfg.Fanout)]
}

func shuffle[T any](rng *rand.Rand, s []T) {
	rng.Shuffle(len(s), func(i, j int) { s[i], s[j] = s[j], s[i] })
}

// expire declares members dead whose suspicion has timed out, and removes old
// dead members, notices and demands.
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

// scheduleBurst schedules a burst: immediate exchanges with a few other
// daemons. Bursts are at least burstPause apart.
func (m *Machine) scheduleBurst(now time.Time) {
	if !m.burstPending {
		m.burstPending = true
		m.nextBurst = now
		if earliest := m.burstRefilled.Add(burstPause); m.nextBurst.Before(earliest) {
			m.nextBurst = earliest
		}
	}
}

// sendBurst starts the exchanges of a burst, or postpones them if the rate of
// bursts is exceeded. A representative also contacts each reachable remote data
// centre.
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

// localPeers returns the other members of this data centre that are alive or
// suspected.
func (m *Machine) localPeers() []*record {
	var out []*record
	for _, r := range m.table.indexed().presentIn[m.cfg.Self.DataCentre] {
		if r.id != m.cfg.Self.ID {
			out = append(out, r)
		}
	}
	return out
}
