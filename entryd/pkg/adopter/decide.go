package adopter

import (
	"time"
)

// decide returns the calls to start.
func (m *Machine) decide(now time.Time) []Action {
	m.takeOver(now)
	var actions []Action
	if m.Reader(now) {
		actions = m.useStore(now)
	} else if m.watching {
		m.watching = false
		actions = append(actions, StopWatch{})
	}
	if a, ok := m.pull(now); ok {
		return append(actions, a)
	}
	if a, ok := m.ask(now); ok {
		return append(actions, a)
	}
	return actions
}

// takeOver makes the daemons next in rank readers for a while when nobody
// confirms the configuration.
func (m *Machine) takeOver(now time.Time) {
	next := m.fleet.rank >= m.cfg.Readers && m.fleet.rank < 2*m.cfg.Readers
	if next && m.staleness(now) > m.cfg.TakeoverAfter && !now.Before(m.extraUntil) {
		m.extraUntil = now.Add(takeoverHold * m.cfg.TakeoverAfter)
	}
}

// useStore returns the calls of a reader to the store.
func (m *Machine) useStore(now time.Time) []Action {
	var actions []Action
	if !m.checking.running && !now.Before(m.nextCheck) {
		m.checking = flight{
			running: true,
			since:   now,
		}
		m.nextCheck = now.Add(m.cfg.CheckInterval)
		actions = append(actions, CheckHead{})
	}
	if !m.watching && m.after > 0 {
		m.watching = true
		actions = append(actions, StartWatch{After: m.after})
	}
	newer := m.evidence.revision > m.Revision()
	if newer && !m.reading.running && !now.Before(m.nextRead) {
		m.reading = flight{
			running: true,
			since:   now,
		}
		actions = append(actions, ReadStore{})
	}
	return actions
}

// pull returns a call to a peer that has a newer revision.
func (m *Machine) pull(now time.Time) (Pull, bool) {
	if m.fleet.highest <= m.Revision() {
		return Pull{}, false
	}
	if m.reading.running && now.Sub(m.reading.since) < m.cfg.Patience {
		return Pull{}, false
	}
	for _, since := range m.pulls {
		if now.Sub(since) < m.cfg.Patience {
			return Pull{}, false
		}
	}
	for _, peer := range m.fleet.pullOrder(m.cfg) {
		if peer.Revision > m.Revision() && m.free(now, peer) {
			return m.startPull(now, peer), true
		}
	}
	return Pull{}, false
}

// ask returns a call to a reader that may know how fresh the configuration
// is. A reader asks those of other data centres, and only if its own checks
// do not confirm the configuration.
func (m *Machine) ask(now time.Time) (Pull, bool) {
	if now.Before(m.nextAsk) {
		return Pull{}, false
	}
	readers := m.fleet.near
	if m.Reader(now) {
		if m.staleness(now) <= 2*m.cfg.CheckInterval {
			return Pull{}, false
		}
		readers = m.fleet.far
	}
	for range readers {
		m.asked++
		peer := readers[m.asked%len(readers)]
		if m.free(now, peer) {
			m.nextAsk = now.Add(m.cfg.CheckInterval)
			return m.startPull(now, peer), true
		}
	}
	return Pull{}, false
}

// free tells whether a peer is neither being asked nor failed lately.
func (m *Machine) free(now time.Time, peer Member) bool {
	_, busy := m.pulls[peer.ID]
	return !busy && !now.Before(m.avoid[peer.ID])
}

func (m *Machine) startPull(now time.Time, peer Member) Pull {
	m.pulls[peer.ID] = now
	delete(m.avoid, peer.ID)
	return Pull{
		Peer: peer,
		Have: m.Revision(),
	}
}
