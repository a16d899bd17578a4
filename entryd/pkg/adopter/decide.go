package adopter

import (
	"time"
)

// decide returns the actions that are due at now.
func (m *Machine) decide(now time.Time) []Action {
	m.look(now)
	reader := m.Reader(now)
	var actions []Action
	if reader || m.looking {
		actions = m.storeActions(now)
	}
	if !reader {
		actions = append(actions, m.endWatch()...)
	}
	if a, ok := m.pull(now); ok {
		return append(actions, a)
	}
	if a, ok := m.askFreshness(now); ok {
		return append(actions, a)
	}
	return actions
}

// endWatch ends the watch of a daemon that is no reader, or no longer. When it becomes one, its
// watch starts where its next check has read, and not where an earlier one did.
func (m *Machine) endWatch() []Action {
	m.watchFrom = 0
	if !m.watching {
		return nil
	}
	m.watching = false
	return []Action{StopWatch{}}
}

// look makes a check of the store due if nobody has confirmed the configuration for long,
// neither the readers nor anyone else. It depends on no belief about the other daemons but
// the rank, which only tells who of them looks a little sooner.
func (m *Machine) look(now time.Time) {
	if m.checking.running || now.Before(m.nextLook) || !m.mayRead(now) {
		return
	}
	if m.staleness(now) <= m.lookAfter() {
		return
	}
	m.looking = true
	m.nextLook = now.Add(m.cfg.LookRetryInterval)
	m.nextCheck = now
	m.counters.Looks++
}

// lookAfter returns the staleness above which this daemon looks into the store.
func (m *Machine) lookAfter() time.Duration {
	turn := max(0, m.fleet.rank-m.cfg.Readers)
	return m.cfg.TakeoverAfter + m.cfg.lookStep()*time.Duration(min(turn, takeoverRanks))
}

// endLook ends a look that the store has answered, unless a newer revision is to be read. The
// daemon becomes a reader for a while if it is among the next in rank. Others leave that to
// them, so that a large data centre does not get many readers.
func (m *Machine) endLook(now time.Time) {
	m.looking = m.evidence.revision > m.Revision()
	m.nextLook = now.Add(m.cfg.TakeoverAfter)
	if m.fleet.rank >= m.cfg.Readers && m.fleet.rank < m.cfg.Readers+takeoverRanks {
		m.takeoverUntil = now.Add(takeoverFactor * m.cfg.TakeoverAfter)
	}
}

// storeActions returns the calls to the store that a reader, or a daemon that looks, has to
// start.
func (m *Machine) storeActions(now time.Time) []Action {
	var actions []Action
	if !m.checking.running && !now.Before(m.nextCheck) {
		m.checking = callState{
			running: true,
			since:   now,
		}
		m.nextCheck = now.Add(m.cfg.CheckInterval)
		actions = append(actions, CheckHead{Look: m.looking})
	}
	if m.Reader(now) && !m.watching && m.watchFrom > 0 {
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

// askFreshness returns a call to a peer that may have confirmed the configuration, and false
// if none is due. A reader asks only if its own checks do not confirm the configuration.
// Readers are asked by turns, and then the next in rank. The next one is asked soon if no answer
// comes, and after askInterval otherwise.
func (m *Machine) askFreshness(now time.Time) (Pull, bool) {
	if now.Before(m.nextAsk) {
		return Pull{}, false
	}
	peers, inTurn := m.fleet.confirmers, m.cfg.Readers
	if m.asksRemote(now) {
		peers, inTurn = m.fleet.remoteReaders, len(m.fleet.remoteReaders)
	}
	if m.Reader(now) && m.staleness(now) <= 2*m.cfg.CheckInterval {
		return Pull{}, false
	}
	inTurn = min(inTurn, len(peers))
	for i, peer := range peers {
		if i < inTurn {
			m.askCount++
			peer = peers[m.askCount%inTurn]
		}
		if m.available(now, peer) && !now.Before(m.staleUntil[peer.ID]) {
			m.nextAsk = now.Add(min(m.cfg.askHedgeDelay(), m.askInterval(now)))
			return m.startPull(now, peer), true
		}
	}
	return Pull{}, false
}

// asksRemote reports whether this daemon asks the readers of remote data centres and not those
// of its own: if it is a reader, or one of the takeoverRanks whose look has confirmed nothing.
func (m *Machine) asksRemote(now time.Time) bool {
	if m.Reader(now) {
		return true
	}
	return m.fleet.rank < m.cfg.Readers+takeoverRanks && m.staleness(now) > m.cfg.LookAfter
}

// askInterval returns the time between two answered questions for a confirmation. It is short while
// the daemons of the takeoverRanks look into the store one after the other, so that the rest
// of the data centre hears from them before LookAfter.
func (m *Machine) askInterval(now time.Time) time.Duration {
	stale := m.staleness(now)
	if stale > m.cfg.TakeoverAfter && stale <= m.cfg.LookAfter {
		return m.cfg.lookStep()
	}
	return m.cfg.CheckInterval
}

// staleTime returns how long a peer is not asked again that knows of no recent confirmation
// either. It ends once that peer may have looked into the store.
func (m *Machine) staleTime(now time.Time) time.Duration {
	looked := m.cfg.TakeoverAfter + m.cfg.lookStep() - m.staleness(now)
	if m.staleness(now) > m.cfg.LookAfter {
		return 2 * m.cfg.CheckInterval
	}
	return max(looked, m.cfg.lookStep())
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
