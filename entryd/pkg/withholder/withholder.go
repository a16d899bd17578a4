// Package withholder decides when requests are withheld from a target because of what
// the target has announced in its answers: that its process is leaving, that it wants no
// requests from this daemon for some time, or that it takes only so many requests a second
// from all daemons together, of which each keeps to its share. The operators may also order
// that the target gets nothing, see State.SetEvacuated.
//
// What a target announces itself goes before what the store or other daemons say of it.
// An announcement counts for one process of a target, so that the process that follows
// it at the same address is not affected.
package withholder

import (
	"sync"
	"sync/atomic"
	"time"

	"plantaincleat/entryd/pkg/sharer"
)

const (
	// MaxPause is the longest pause that is granted to a target.
	MaxPause = 5 * time.Minute
	// maxRamp is the bound of requests in flight after a pause up to which the bound is
	// doubled with each answer. Beyond it, there is none.
	maxRamp = 8
)

// Process identifies a process of a target.
type Process struct {
	ID string
	// Incarnation distinguishes processes with the same id. It is the start time of the
	// process, or zero if that is unknown.
	Incarnation uint64
}

// State is what one process of a target has announced. The zero value has announced
// nothing. It is safe for concurrent use; Withheld takes no lock.
type State struct {
	leaving atomic.Bool
	// evacuated is true while the operators want nothing to be sent to the target.
	evacuated atomic.Bool
	// pausedUntil is the end of the last pause in Unix nanoseconds, or zero.
	pausedUntil atomic.Int64
	// full is true while as many requests are in flight as ramp allows.
	full atomic.Bool
	// invalid is true if the process has announced something that is not valid.
	invalid atomic.Bool

	mu       sync.Mutex
	inFlight int
	// ramp bounds inFlight after a pause. Zero means no bound.
	ramp int
	// limited is true while the process names a limit. limiter and position are guarded by
	// mu.
	limited  atomic.Bool
	limiter  limiter
	position sharer.Position
	// paced is true while the target may be cold and its pool states a rate. warmer is
	// guarded by mu.
	paced  atomic.Bool
	warmer warmer
}

// Leaving reports whether the process has announced that it is leaving.
func (s *State) Leaving() bool { return s.leaving.Load() }

// PausedUntil returns the end of the target's pause, or the zero time if it has none now.
func (s *State) PausedUntil(now time.Time) time.Time {
	ns := s.pausedUntil.Load()
	if ns == 0 || now.UnixNano() >= ns {
		return time.Time{}
	}
	return time.Unix(0, ns)
}

// Withheld reports whether the target should not be chosen for a request now.
func (s *State) Withheld(now time.Time) bool {
	return s.leaving.Load() || s.evacuated.Load() || s.full.Load() || !s.PausedUntil(now).IsZero()
}

// Enter reports whether a request may be sent now. Each call that returns true must be
// followed by one call of Exit. It has to be called immediately before the request is
// sent, because requests may have waited for a connection since the target was chosen.
func (s *State) Enter(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaving.Load() || s.evacuated.Load() || !s.PausedUntil(now).IsZero() || s.ramp > 0 && s.inFlight >= s.ramp || !s.takeToken(now) {
		return false
	}
	s.inFlight++
	s.updateFull()
	return true
}

// Exit records that a request for which Enter has returned true is no longer in flight.
// answered reports whether the target has answered it otherwise than with a pause. Answers
// in a pause are to requests sent before it and do not raise the bound.
func (s *State) Exit(now time.Time, answered bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
	if answered && s.ramp > 0 && s.PausedUntil(now).IsZero() {
		if s.ramp *= 2; s.ramp > maxRamp {
			s.ramp = 0
		}
	}
	s.updateFull()
}

func (s *State) updateFull() { s.full.Store(s.ramp > 0 && s.inFlight >= s.ramp) }

// leave marks the process as leaving and reports whether that is new.
func (s *State) leave() bool { return !s.leaving.Swap(true) }

// pause withholds requests until a time, and reports whether no pause was in force. A
// pause that ends earlier than the one in force changes nothing. After the pause, the
// requests in flight are limited to one at first.
func (s *State) pause(now, until time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	begins := s.PausedUntil(now).IsZero()
	if until.UnixNano() <= s.pausedUntil.Load() {
		return false
	}
	s.pausedUntil.Store(until.UnixNano())
	s.ramp = 1
	s.updateFull()
	return begins
}
