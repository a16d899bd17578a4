package adopter

import (
	"time"
)

// decide returns the actions that are due at now.
func (m *Machine) decide(now time.Time) []Action {
	m.takeOver(now)
	var actions []Action
	if m.Reader(now) {
		actions = m.storeActions(now)
	} else if m.watching {
		m.watching = false
		actions = append(actions, StopWatch{})
	}
	if a, ok := m.pull(now); ok {
		return append(actions, a)
	}
	if a, ok := m.askFreshness(now); ok {
		return append(actions, a)
	}
	return actions
}

// takeOver makes this daemon a reader for a while if the readers do not confirm
// the configuration and this daemon is among the next in rank.
func (m *Machine) takeOver(now time.Time) {
	next := m.fleet.rank >= m.cfg.Readers && m.fleet.rank < 2*m.cfg.Readers
	if next && m.staleness(now) > m.cfg.TakeoverAfter && !now.Before(m.takeoverUntil) {
		m.takeoverUntil = now.Add(takeoverFactor * m.cfg.TakeoverAfter)
	}
}

// storeActions returns the calls to the store that a reader has to start.
func (m *Machine) storeActions(now time.Time) []Action {
	var actions []Action
	if !m.checking.running && !now.Before(m.nextCheck) {
		m.checking = callState{
			running: true,
			since:   now,
		}
		m.nextCheck = now.Add(m.cfg.CheckInterval)
		actions = append(actions, CheckHead{})
	}
	if !m.watching && m.watchFrom > 0 {
		m.watching = true
		actions = append(actions, StartWatch{After: m.watchFrom})
	}
	newer := m.evidence.revision > m.Revision()
	if newer && !m.reading.running && !now.Before(m.nextRead) {
		m.reading = callState{
			running: true,
			since:   now,
		}
		actions = append(actions, ReadStore{})
	}
	return actions
}

// pull returns a call to a peer that has a newer revision, and false if none is
// due.
func (m *Machine) pull(now time.Time) (Pull, bool) {
	if m.fleet.highest <= m.Revision() {
		return Pull{}, false
	}
	if m.reading.running && now.Sub(m.reading.since) < m.cfg.PullHedgeDelay {
		return Pull{}, false
	}
	for _, since := range m.pulls {
		if now.Sub(since) < m.cfg.PullHedgeDelay {
			return Pull{}, false
		}
	}
	for _, peer := range m.fleet.pullOrder(m.cfg) {
		if peer.Revision > m.Revision() && m.available(now, peer) {
			return m.startPull(now, peer), true
		}
	}
	return Pull{}, false
}

// askFreshness returns a call to a reader that may have confirmed the
// configuration, and false if none is due. A reader asks the readers of remote
// data centres, and only if its own checks do not confirm the configuration.
func (m *Machine) askFreshness(now time.Time) (Pull, bool) {
	if now.Before(m.nextAsk) {
		return Pull{}, false
	}
	readers := m.fleet.localReaders
	if m.Reader(now) {
		if m.staleness(now) <= 2*m.cfg.CheckInterval {
			return Pull{}, false
		}
		readers = m.fleet.remoteReaders
	}
	for range readers {
		m.askCount++
		peer := readers[m.askCount%len(readers)]
		if m.available(now, peer) {
			m.nextAsk = now.Add(m.cfg.CheckInterval)
			return m.startPull(now, peer), true
		}
	}
	return Pull{}, false
}

// available reports whether no pull from the peer is running and none has
// failed recently.
func (m *Machine) available(now time.Time, peer Member) bool {
	_, busy := m.pulls[peer.ID]
	return !busy && !now.Before(m.avoidUntil[peer.ID])
}

func (m *Machine) startPull(now time.Time, peer Member) Pull {
	m.pulls[peer.ID] = now
	delete(m.avoidUntil, peer.ID)
	return Pull{
		Peer: peer,
		Have: m.Revision(),
	}
}
