// Package adopter keeps the configuration of a daemon up to date.
//
// Machine decides; it is deterministic and does no I/O. It only ever moves to
// a higher revision, whatever the source. In each data centre a few daemons,
// chosen by rendezvous hashing (Thaler and Ravishankar, 1998), read the
// key-value service, so that the calls to it grow with the data centres. The
// others learn of a new revision by gossip and pull it from a daemon that has
// it, and they ask the readers how fresh their configuration is.
//
// Runner runs a Machine on a clock, a store and the fleet, and publishes the
// configuration for readers that take no lock.
package adopter

import (
	"bytes"
	"maps"
	"time"

	"plantaincleat/tier/gen/config"
	"plantaincleat/tier/pkg/configencoder"
)

// Config sets up a Machine. Zero fields take the defaults.
type Config struct {
	ID         string
	DataCentre string
	// Readers is the number of daemons per data centre that read the store.
	// It is doubled while they fail to confirm the configuration.
	Readers int
	// CheckInterval lies between two checks of a reader, and between two questions
	// of another daemon about freshness.
	CheckInterval time.Duration
	// Retry lies between two attempts of a call that failed.
	Retry time.Duration
	// Patience is how long a pull may last before another peer is asked.
	Patience time.Duration
	// TakeoverAfter is the staleness at which further daemons become readers.
	TakeoverAfter time.Duration
	// StartDelay is how long after its start a daemon that knows no other one waits
	// before it reads the store: the others may have the configuration, or may be
	// the readers. Zero waits for nothing.
	StartDelay time.Duration
}

// Defaults of Config.
const (
	DefaultReaders  = 2
	DefaultInterval = time.Second
	DefaultRetry    = 500 * time.Millisecond
	DefaultPatience = time.Second
	DefaultTakeover = 5 * time.Second
)

// takeoverHold is how many times Takeover a further reader stays one.
const takeoverHold = 6

func (c Config) withDefaults() Config {
	setDefault(&c.Readers, DefaultReaders)
	setDefault(&c.CheckInterval, DefaultInterval)
	setDefault(&c.Retry, DefaultRetry)
	setDefault(&c.Patience, DefaultPatience)
	setDefault(&c.TakeoverAfter, DefaultTakeover)
	return c
}

func setDefault[T comparable](v *T, value T) {
	var zero T
	if *v == zero {
		*v = value
	}
}

// Member is a live daemon.
type Member struct {
	ID         string
	Address    string
	DataCentre string
	// Revision is the highest that the daemon is known to have adopted.
	Revision uint64
}

// Counters count what a Machine has done since its start.
type Counters struct {
	Adopted uint64
	// Lower counts offers of a lower revision, which were refused.
	Lower uint64
	// Corrupt counts offers whose content did not match its digest.
	Corrupt uint64
	// Conflicting counts offers of the same revision with other content. They
	// show that the key-value service has lost its content and was filled anew.
	Conflicting uint64
	Failures    uint64
}

// Machine is the state of one daemon's configuration. It is not safe for
// concurrent use.
type Machine struct {
	cfg Config
	// accepts tells whether an offered revision replaces the present one.
	accepts func(own, offered uint64) bool

	started time.Time
	current *config.Accepted
	// confirmed is the last time at which the present revision is known to
	// have been the newest in the store.
	confirmed time.Time
	// evidence is what the store said last, by itself or through a peer.
	evidence evidence

	fleet      fleet
	extraUntil time.Time

	checking  flight
	reading   flight
	watching  bool
	nextCheck time.Time
	nextRead  time.Time
	// after is the store revision from which a watch can start, 0 before the
	// first check and after a watch has ended.
	after int64

	pulls   map[string]time.Time
	avoid   map[string]time.Time
	nextAsk time.Time
	asked   int

	counters Counters
}

// evidence says that the store held a revision at a time.
type evidence struct {
	revision uint64
	at       time.Time
}

// flight is a call that is running since a time.
type flight struct {
	running bool
	since   time.Time
}

// New returns a Machine that has no configuration.
func New(cfg Config, now time.Time) *Machine {
	m := &Machine{
		cfg:     cfg.withDefaults(),
		accepts: func(own, offered uint64) bool { return offered > own },
		started: now,
		pulls:   map[string]time.Time{},
		avoid:   map[string]time.Time{},
	}
	m.fleet = newFleet(m.cfg, nil)
	return m
}

// Current returns the configuration in force, nil before the first.
func (m *Machine) Current() *config.Accepted { return m.current }

// Revision returns the revision in force, 0 before the first.
func (m *Machine) Revision() uint64 { return m.current.GetHead().GetRevision() }

// Known returns the highest revision of which the daemon has heard.
func (m *Machine) Known() uint64 {
	return max(m.Revision(), m.evidence.revision, m.fleet.highest)
}

// Confirmed returns the last time at which the revision in force is known to
// have been the newest in the store, zero if there is none.
func (m *Machine) Confirmed() time.Time { return m.confirmed }

// Reader tells whether the daemon reads the store.
func (m *Machine) Reader(now time.Time) bool {
	if len(m.fleet.peers) == 0 && now.Sub(m.started) < m.cfg.StartDelay {
		return false
	}
	return m.fleet.rank < m.cfg.Readers || now.Before(m.extraUntil)
}

// Counters returns what was done since the start.
func (m *Machine) Counters() Counters { return m.counters }

// Step takes in one event and returns what has to be done.
func (m *Machine) Step(now time.Time, event Event) []Action {
	var actions []Action
	switch e := event.(type) {
	case MembersChanged:
		m.fleet = newFleet(m.cfg, e.Live)
		maps.DeleteFunc(m.avoid, func(_ string, until time.Time) bool { return !now.Before(until) })
	case HeadRead:
		m.headRead(e)
	case HeadChanged:
		m.learn(e.Head, now)
	case StoreRead:
		m.reading.running = false
		actions = m.offer(e.Accepted)
		m.learn(e.Accepted.GetHead(), m.reading.since)
		m.nextRead = now.Add(m.cfg.Retry)
	case WatchEnded:
		m.watching = false
		m.after = 0
	case CheckFailed:
		m.checking.running = false
		m.counters.Failures++
	case ReadFailed:
		m.reading.running = false
		m.nextRead = now.Add(m.cfg.Retry)
		m.counters.Failures++
	case PeerAnswered:
		actions = m.answered(e)
	case PullFailed:
		delete(m.pulls, e.Peer)
		m.avoid[e.Peer] = now.Add(2 * m.cfg.Patience)
		m.counters.Failures++
	}
	return append(actions, m.decide(now)...)
}

// headRead takes in the answer to a check.
func (m *Machine) headRead(e HeadRead) {
	m.checking.running = false
	m.after = e.Store
	if e.Head.GetRevision() < m.Revision() {
		m.counters.Lower++
		return
	}
	m.learn(e.Head, m.checking.since)
}

// answered takes in a peer's answer to a pull.
func (m *Machine) answered(e PeerAnswered) []Action {
	asked := m.pulls[e.Peer]
	delete(m.pulls, e.Peer)
	var actions []Action
	if e.Accepted.GetConfig() != nil {
		actions = m.offer(e.Accepted)
	}
	if e.Accepted != nil && e.Accepted.Age != nil && !asked.IsZero() {
		age := time.Duration(max(0, e.Accepted.GetAge())) * time.Millisecond
		m.learn(e.Accepted.GetHead(), asked.Add(-age))
	}
	return actions
}

// learn takes in that the store held a head at a time. What is lower than the
// revision in force comes from a read of an old state and tells nothing.
func (m *Machine) learn(head *config.Head, at time.Time) {
	revision := head.GetRevision()
	if revision == 0 || revision < m.Revision() || revision < m.evidence.revision {
		return
	}
	if revision == m.Revision() && !bytes.Equal(head.GetDigest(), m.current.Head.GetDigest()) {
		m.counters.Conflicting++
		return
	}
	if revision > m.evidence.revision || at.After(m.evidence.at) {
		m.evidence = evidence{
			revision: revision,
			at:       at,
		}
	}
	m.confirm()
}

// confirm notes that the store held the revision in force.
func (m *Machine) confirm() {
	if m.evidence.revision == m.Revision() && m.evidence.at.After(m.confirmed) {
		m.confirmed = m.evidence.at
	}
}

// offer adopts a configuration if it is newer and intact.
func (m *Machine) offer(a *config.Accepted) []Action {
	head := a.GetHead()
	own := m.current.GetHead()
	if head == nil {
		return nil
	}
	if !configencoder.VerifyDigest(a) {
		m.counters.Corrupt++
		return nil
	}
	if !m.accepts(own.GetRevision(), head.GetRevision()) {
		if head.GetRevision() < own.GetRevision() {
			m.counters.Lower++
		}
		return nil
	}
	m.current = &config.Accepted{
		Head:   head,
		Config: a.GetConfig(),
	}
	m.counters.Adopted++
	m.confirm()
	return []Action{Adopt{Accepted: m.current}}
}

// staleness returns the time since the last confirmation, or since the start.
func (m *Machine) staleness(now time.Time) time.Duration {
	if m.confirmed.IsZero() {
		return now.Sub(m.started)
	}
	return now.Sub(m.confirmed)
}
