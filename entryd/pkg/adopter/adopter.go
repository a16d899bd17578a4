// Package adopter keeps the configuration of a daemon up to date.
//
// Machine is the protocol. It is deterministic and does no I/O. It adopts only
// revisions that are higher than the one in force, whatever their source. In
// each data centre a few daemons, the readers, are chosen by rendezvous hashing
// (Thaler and Ravishankar, 1998) and read the key-value service, so that the
// number of calls to it grows with the number of data centres and not with the
// number of daemons. The other daemons learn of a new revision by gossip, pull
// it from a daemon that has adopted it, and ask the readers when the
// configuration was last confirmed. A daemon that hears of no confirmation for
// LookAfter looks into the store itself, whatever its rank and whomever it takes
// for alive.
//
// An accepted change is therefore in force at each daemon that reaches the store
// after one sum at most, whatever becomes of the other daemons: LookAfter, the
// time until the next step of the machine, and the read of the store.
//
// Runner drives a Machine with a clock, a store and the fleet, and publishes
// the configuration to callers without a lock.
package adopter

import (
	"bytes"
	"maps"
	"time"

	"plantaincleat/tier/gen/config"
	"plantaincleat/tier/pkg/configencoder"
)

// Config configures a Machine. Zero fields take the defaults.
type Config struct {
	ID         string
	DataCentre string
	// Readers is the number of daemons per data centre that read the store. The
	// next takeoverRanks in rank join them one after the other while nobody
	// confirms the configuration.
	Readers int
	// CheckInterval is the time between two checks of the store by a reader,
	// and between two requests that ask a reader when the configuration was last
	// confirmed.
	CheckInterval time.Duration
	// RetryInterval is the minimum time between two reads of the whole
	// configuration from the store.
	RetryInterval time.Duration
	// PullHedgeDelay is how long a call may take before the configuration is
	// pulled from another peer. After a failed pull a peer is avoided for twice
	// this time.
	PullHedgeDelay time.Duration
	// TakeoverAfter is the staleness above which the first daemon after the
	// readers looks into the store.
	TakeoverAfter time.Duration
	// LookAfter is the staleness above which every daemon looks into the store.
	// The daemons of the takeoverRanks do so between TakeoverAfter and this time.
	LookAfter time.Duration
	// LookRetryInterval is the least time between two looks of a daemon while the
	// store does not answer them.
	LookRetryInterval time.Duration
	// StartDelay is how long after its start a daemon without known peers waits
	// before it reads the store. Until then it may hear of peers that have the
	// configuration or are the readers. Zero means no delay.
	StartDelay time.Duration
}

// Defaults of Config.
const (
	DefaultReaders        = 2
	DefaultCheckInterval  = time.Second
	DefaultRetryInterval  = 500 * time.Millisecond
	DefaultPullHedgeDelay = time.Second
	DefaultTakeoverAfter  = 5 * time.Second
	DefaultLookAfter      = 7 * time.Second

	DefaultLookRetryInterval = 5 * time.Second
)

const (
	// takeoverRanks is the number of daemons per data centre, next in rank after the
	// readers, that become readers if the store answers their look.
	takeoverRanks = 4
	// takeoverFactor times TakeoverAfter is how long such a daemon remains a reader.
	takeoverFactor = 6
)

func (c Config) withDefaults() Config {
	setDefault(&c.Readers, DefaultReaders)
	setDefault(&c.CheckInterval, DefaultCheckInterval)
	setDefault(&c.RetryInterval, DefaultRetryInterval)
	setDefault(&c.PullHedgeDelay, DefaultPullHedgeDelay)
	setDefault(&c.TakeoverAfter, DefaultTakeoverAfter)
	setDefault(&c.LookAfter, DefaultLookAfter)
	setDefault(&c.LookRetryInterval, DefaultLookRetryInterval)
	return c
}

// lookStep is the time between the looks of two daemons of the takeoverRanks that follow each
// other.
func (c Config) lookStep() time.Duration { return (c.LookAfter - c.TakeoverAfter) / takeoverRanks }

// askHedgeDelay is how long a question for a confirmation may take before another peer is asked.
func (c Config) askHedgeDelay() time.Duration { return c.CheckInterval / 3 }

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
	// Revision is the highest configuration revision that the daemon is known
	// to have adopted.
	Revision uint64
}

// Counters counts the events of a Machine since its start.
type Counters struct {
	// Adopted counts the configurations that came into force.
	Adopted uint64
	// Lower counts configurations and heads that were refused because their
	// revision, or the operators' version, was lower than the one in force.
	Lower uint64
	// Corrupt counts configurations that were refused because they did not
	// match their digest.
	Corrupt uint64
	// Conflicting counts heads with the revision in force but another digest.
	// They show that the key-value service has lost its content and was filled
	// again.
	Conflicting uint64
	// Failures counts failed checks and reads of the store and failed pulls.
	Failures uint64
	// Looks counts the checks of the store out of turn, because nobody had confirmed
	// the configuration.
	Looks uint64
}

// Machine holds the configuration state of one daemon. It is not safe for
// concurrent use.
type Machine struct {
	cfg Config
	// accepts reports whether an offered revision replaces the daemon's own.
	accepts func(own, offered uint64) bool

	started time.Time
	current *config.Accepted
	// confirmed is the last time at which the revision in force is known to
	// have been the newest in the store.
	confirmed time.Time
	// evidence is the latest observation of the store, made by this daemon or
	// by a peer.
	evidence evidence

	fleet         fleet
	takeoverUntil time.Time
	// looking is true from the begin of a look until the store has failed to answer
	// it or what it has shown is in force.
	looking  bool
	nextLook time.Time

	checking  callState
	reading   callState
	watching  bool
	nextCheck time.Time
	nextRead  time.Time
	// watchFrom is the store revision from which a watch can start. It is 0
	// before the first check and after a watch has ended.
	watchFrom int64

	// pulls holds the start times of the running pulls, and avoidUntil the
	// times until which a peer is not asked again after a failure. These and
	// staleUntil are keyed by peer id.
	pulls      map[string]time.Time
	avoidUntil map[string]time.Time
	// staleUntil holds the times until which a peer is not asked again for a
	// confirmation after its answer has left this daemon without a recent one.
	staleUntil map[string]time.Time
	nextAsk    time.Time
	askCount   int

	counters Counters
}

// evidence records that the store held a revision at a time.
type evidence struct {
	revision uint64
	at       time.Time
}

// callState tells whether a call is running and when the last one started.
type callState struct {
	running bool
	since   time.Time
}

// New returns a Machine without a configuration.
func New(cfg Config, now time.Time) *Machine {
	m := &Machine{
		cfg:        cfg.withDefaults(),
		accepts:    func(own, offered uint64) bool { return offered > own },
		started:    now,
		pulls:      map[string]time.Time{},
		avoidUntil: map[string]time.Time{},
		staleUntil: map[string]time.Time{},
	}
	m.fleet = newFleet(m.cfg, nil)
	return m
}

// Current returns the configuration in force, or nil if there is none yet.
func (m *Machine) Current() *config.Accepted { return m.current }

// Revision returns the revision in force, or 0 if there is none yet.
func (m *Machine) Revision() uint64 { return m.current.GetHead().GetRevision() }

// KnownRevision returns the highest revision that this daemon knows of, adopted
// or not.
func (m *Machine) KnownRevision() uint64 {
	return max(m.Revision(), m.evidence.revision, m.fleet.highest)
}

// Confirmed returns the last time at which the revision in force is known to
// have been the newest in the store. It returns the zero time if there is none.
func (m *Machine) Confirmed() time.Time { return m.confirmed }

// Reader reports whether this daemon reads the store regularly.
func (m *Machine) Reader(now time.Time) bool {
	return m.mayRead(now) && (m.fleet.rank < m.cfg.Readers || now.Before(m.takeoverUntil))
}

// mayRead reports whether this daemon may read the store. One that has no configuration
// yet leaves that to its peers while it may get theirs, which can be later than what the
// store holds after its return from a copy.
func (m *Machine) mayRead(now time.Time) bool {
	age := now.Sub(m.started)
	if len(m.fleet.peers) == 0 && age < m.cfg.StartDelay {
		return false
	}
	return m.current != nil || m.fleet.highest == 0 || age >= m.cfg.PullHedgeDelay
}

// Counters returns the counters since the start.
func (m *Machine) Counters() Counters { return m.counters }

// Step handles one event and returns the actions to take.
func (m *Machine) Step(now time.Time, event Event) []Action {
	var actions []Action
	switch e := event.(type) {
	case MembersChanged:
		m.fleet = newFleet(m.cfg, e.Live)
		over := func(_ string, until time.Time) bool { return !now.Before(until) }
		maps.DeleteFunc(m.avoidUntil, over)
		maps.DeleteFunc(m.staleUntil, over)
	case HeadRead:
		m.handleHeadRead(e, now)
	case HeadChanged:
		m.observe(e.Head, e.At)
	case StoreRead:
		m.reading.running = false
		m.looking = false
		actions = m.offer(e.Accepted)
		m.observe(e.Accepted.GetHead(), e.At)
		m.nextRead = now.Add(m.cfg.RetryInterval)
	case WatchEnded:
		m.watching = false
		m.watchFrom = 0
	case CheckFailed:
		m.checking.running = false
		m.looking = false
		m.counters.Failures++
	case ReadFailed:
		m.reading.running = false
		m.nextRead = now.Add(m.cfg.RetryInterval)
		m.counters.Failures++
	case PeerAnswered:
		actions = m.handlePeerAnswer(e, now)
	case PullFailed:
		delete(m.pulls, e.Peer)
		m.avoidUntil[e.Peer] = now.Add(2 * m.cfg.PullHedgeDelay)
		m.counters.Failures++
	}
	return append(actions, m.decide(now)...)
}

// handleHeadRead handles the answer to a check.
func (m *Machine) handleHeadRead(e HeadRead, now time.Time) {
	m.checking.running = false
	m.watchFrom = e.StoreRevision
	if e.Head.GetRevision() < m.Revision() {
		m.counters.Lower++
	} else {
		m.observe(e.Head, e.At)
	}
	if m.looking {
		m.endLook(now)
	}
}

// handlePeerAnswer handles the answer of a peer to a pull.
func (m *Machine) handlePeerAnswer(e PeerAnswered, now time.Time) []Action {
	pullStart := m.pulls[e.Peer]
	delete(m.pulls, e.Peer)
	var actions []Action
	if e.Accepted.GetConfig() != nil {
		actions = m.offer(e.Accepted)
	}
	if m.olderVersion(e.Accepted.GetHead()) {
		m.avoidUntil[e.Peer] = now.Add(2 * m.cfg.PullHedgeDelay)
		return actions
	}
	if pullStart.IsZero() {
		return actions
	}
	if e.Accepted != nil && e.Accepted.Age != nil {
		age := time.Duration(max(0, e.Accepted.GetAge())) * time.Millisecond
		m.observe(e.Accepted.GetHead(), pullStart.Add(-age))
	}
	if next := pullStart.Add(m.askInterval(now)); next.After(m.nextAsk) {
		m.nextAsk = next
	}
	if m.staleness(now) > m.cfg.TakeoverAfter-m.cfg.CheckInterval {
		m.staleUntil[e.Peer] = now.Add(m.staleTime(now))
	}
	return actions
}

// observe records that the store held a head at a time. A head with a lower
// revision than the one in force was read from an outdated state of the store
// and is ignored.
func (m *Machine) observe(head *config.Head, at time.Time) {
	revision := head.GetRevision()
	if revision == 0 || revision < m.Revision() || revision < m.evidence.revision {
		return
	}
	if m.olderVersion(head) {
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

// confirm updates the time of confirmation if the evidence is about the
// revision in force.
func (m *Machine) confirm() {
	if m.evidence.revision == m.Revision() && m.evidence.at.After(m.confirmed) {
		m.confirmed = m.evidence.at
	}
}

// offer adopts a configuration if it is newer and matches its digest.
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
	if !m.accepts(own.GetRevision(), head.GetRevision()) || m.olderVersion(head) {
		if head.GetRevision() < own.GetRevision() || m.olderVersion(head) {
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

// olderVersion reports whether the operators have replaced a configuration by the one in
// force. It may have a higher revision all the same, from a store that has returned from a
// copy. The version may be unknown, from a peer of an earlier build.
func (m *Machine) olderVersion(head *config.Head) bool {
	version := head.GetVersion()
	return version > 0 && version < m.current.GetHead().GetVersion()
}

// staleness returns the time since the last confirmation, or since the start if
// there is none.
func (m *Machine) staleness(now time.Time) time.Duration {
	if m.confirmed.IsZero() {
		return now.Sub(m.started)
	}
	return now.Sub(m.confirmed)
}
