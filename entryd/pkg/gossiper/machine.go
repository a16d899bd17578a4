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
	facts   facts
	demands demands
	links   map[linkKey]*link
	remotes map[string]*remote

	// mark is the highest revision that any daemon is known to have.
	mark    uint64
	leaving bool

	// last is the time of the last input.
	last time.Time
	// heard is when another daemon last opened an exchange with this one.
	heard     time.Time
	nextRound time.Time
	nextRetry time.Time
	nextFull  time.Time
	nextRenew time.Time
	nextSum   time.Time

	// refreshing is true from start or wake until the table is fresh.
	refreshing bool
	refreshEnd time.Time

	calls  map[uint64]*call
	lastID uint64

	// shuffled holds the ids of the members of this data centre in the order
	// in which they are probed.
	shuffled []string
	// turn is the place of the next data centre to exchange with.
	turn int
	// mismatches counts by data centre the exchanges in a row after which the
	// tables differed.
	mismatches map[string]int

	news     bool
	nextNews time.Time
	tokens   float64
	refilled time.Time

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
		cfg:        cfg,
		rng:        rand.New(cfg.Source),
		table:      newTable(),
		facts:      newFacts(),
		demands:    newDemands(),
		links:      make(map[linkKey]*link),
		mismatches: make(map[string]int),
		remotes:    make(map[string]*remote),
		last:       now,
		heard:      now,
		nextRound:  now,
		nextRetry:  now.Add(cfg.Retry),
		nextRenew:  now.Add(renewal),
		refreshing: true,
		refreshEnd: now.Add(cfg.Suspicion),
		calls:      make(map[uint64]*call),
		tokens:     newsBurst,
		refilled:   now,
		changed:    ChangeMembers | ChangeNotices,
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
	if m.news && m.nextNews.Before(m.nextRound) {
		return m.nextNews
	}
	return m.nextRound
}

// Synced reports whether the table is fresh. It is false after a start and
// after a freeze, until another daemon has answered with its table or none has
// within the suspicion time.
func (m *Machine) Synced() bool { return !m.refreshing }

// Tick runs what is due at now.
func (m *Machine) Tick(now time.Time) []Action {
	m.observe(now)
	var out []Action
	if !now.Before(m.nextRound) {
		m.nextRound = now.Add(m.cfg.RoundInterval)
		out = m.round(now)
	}
	if m.news && !now.Before(m.nextNews) {
		out = append(out, m.spread(now)...)
	}
	return out
}

// observe notices a freeze by the gap since the last input. The wall clock
// counts too, since a suspended machine's monotonic clock stands still.
func (m *Machine) observe(now time.Time) {
	gap := max(now.Sub(m.last), now.Round(0).Sub(m.last.Round(0)))
	m.last = now
	if gap < m.cfg.Suspicion {
		return
	}
	m.refreshing = true
	// Failures of calls from before the freeze prove nothing.
	m.calls = make(map[uint64]*call)
	m.refreshEnd = now.Add(m.cfg.Suspicion)
	m.nextRound = now
	m.raise(0, now)
	for _, r := range m.table.records {
		if r.state == peer.State_STATE_SUSPECT {
			r.changed = now
		}
	}
	for _, r := range m.remotes {
		r.answered = now
	}
}

// raise states this daemon again with an incarnation above the known ones.
func (m *Machine) raise(above uint64, now time.Time) {
	self := m.self().Member
	if m.leaving {
		return
	}
	self.incarnation = max(self.incarnation, above) + 1
	self.state = peer.State_STATE_ALIVE
	m.put(self, now)
	m.announce(now)
}

func (m *Machine) self() *record { return m.table.records[m.cfg.Self.ID] }

// copies is the number of messages that carry a change, about 2 log2 n. A member
// misses a rumour that each of the others tells c times with probability exp(-c).
func (m *Machine) copies() int {
	return 2 * bits.Len(uint(len(m.table.records)))
}

// put stores a member and passes it on. What a daemon learns of others while it
// refreshes its table is known to them.
func (m *Machine) put(member Member, now time.Time) {
	copies := m.copies()
	if m.refreshing && member.id != m.cfg.Self.ID {
		copies = 0
	}
	m.table.put(member, copies, now)
	m.changed |= ChangeMembers
}

// round is the periodic work: it expires what is over and starts exchanges.
func (m *Machine) round(now time.Time) []Action {
	m.self().beat++
	if m.leaving {
		return nil
	}
	if m.refreshing {
		return m.refresh(now)
	}
	m.expire(now)
	out := m.probe(now)
	out = append(out, m.crossing(now)...)
	out = append(out, m.retry(now)...)
	return out
}

// refresh asks others for their tables. With nobody to ask, or no answer in
// time, the daemon goes on with what it knows.
func (m *Machine) refresh(now time.Time) []Action {
	if len(m.calls) > 0 && now.Before(m.refreshEnd) {
		return nil
	}
	addresses := m.refreshers()
	if len(addresses) == 0 || !now.Before(m.refreshEnd) {
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

// refreshers returns up to Fanout addresses, those of this data centre first.
func (m *Machine) refreshers() []contact {
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
		age := now.Sub(r.changed)
		switch {
		case dead(r.state) && age >= m.cfg.Forget:
			m.table.forget(r.id)
			m.changed |= ChangeMembers
		case r.state == peer.State_STATE_SUSPECT && age >= m.cfg.Suspicion &&
			r.datacentre == m.cfg.Self.DataCentre:
			member := r.Member
			member.state = peer.State_STATE_DEAD
			m.put(member, now)
			m.announce(now)
		}
	}
	if m.facts.expire(now) {
		m.changed |= ChangeNotices
	}
	m.demands.expire(now, m.cfg.Expiry)
}

// announce asks for an immediate exchange with a few others.
func (m *Machine) announce(now time.Time) {
	if !m.news {
		m.news = true
		m.nextNews = now
		if earliest := m.refilled.Add(newsPause); m.nextNews.Before(earliest) {
			m.nextNews = earliest
		}
	}
}

// spread sends news at once, as far as the rate of bursts allows.
func (m *Machine) spread(now time.Time) []Action {
	m.tokens = min(newsBurst, m.tokens+float64(now.Sub(m.refilled))/float64(newsRefill))
	m.refilled = now
	if m.tokens < 1 {
		m.nextNews = now.Add(newsRefill)
		return nil
	}
	m.tokens--
	m.news = false
	var out []Action
	peers := m.neighbours()
	shuffle(m.rng, peers)
	for _, r := range peers[:min(len(peers), m.cfg.Fanout)] {
		out = append(out, m.exchange(contactOf(r), false))
	}
	if !m.isRepresentative() {
		return out
	}
	for _, dc := range m.others() {
		if r := m.counterpart(dc); r != nil && !m.remotes[dc].down {
			out = append(out, m.exchange(contactOf(r), false))
		}
	}
	return out
}

// neighbours returns the present members of this data centre but this one.
func (m *Machine) neighbours() []*record {
	var out []*record
	for _, r := range m.table.indexed().within[m.cfg.Self.DataCentre] {
		if r.id != m.cfg.Self.ID {
			out = append(out, r)
		}
	}
	return out
}
