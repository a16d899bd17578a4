package withholder

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"time"

	"plantaincleat/tier/pkg/hasher"
)

const (
	// MinLimit is the lowest limit that is honoured, in requests a second of the fleet. A
	// target without any requests could not take its limit back.
	MinLimit = 0.1
	// MaxLimit is the limit that higher ones count as. No target gets so many requests.
	MaxLimit = 1e6
	// limitLogInterval is the least time between two log lines on the limit of a process.
	limitLogInterval = time.Second
	// deniedRetry is the time after which a daemon that may not send to a target looks again
	// whether it may.
	deniedRetry = time.Second
)

// A target allows each window of four seconds one and a half times its limit, and five
// requests. The shares below use the limit itself and a part of the rest, so that the
// daemons stay within it while they do not agree yet on who sends.
const (
	// ownerBurstTime and ownerBurst are the tokens that the first owner may save: what the
	// limit allows in a time, and a number.
	ownerBurstTime = 0.5
	ownerBurst     = 2.0
	// fleetBurstTime and fleetBurst are the same for all daemons of a pool without owners.
	fleetBurstTime = 0.75
	fleetBurst     = 4.0
)

// ownerRates are the fractions of the limit that the owners of a shard may use, by rank.
// They send nearly all requests to its targets. The others may send none.
var ownerRates = []float64{0.9, 0.2}

// ErrLimitTooLow reports a limit below MinLimit, which was raised.
var ErrLimitTooLow = errors.New("limit is lower than the lowest that is honoured")

// parseLimit returns the limit that a header states, in requests a second. An error without
// ErrLimitTooLow means that it states none.
func parseLimit(text string) (float64, error) {
	limit, err := strconv.ParseFloat(text, 64)
	switch {
	case err != nil, math.IsNaN(limit), math.IsInf(limit, 0), limit < 0:
		return 0, fmt.Errorf("limit %q is not a number of requests a second", text)
	case limit < MinLimit:
		return MinLimit, fmt.Errorf("limit %q: %w, %g", text, ErrLimitTooLow, MinLimit)
	}
	return min(limit, MaxLimit), nil
}

// Members are the daemons among which the limits of targets are divided. It is immutable.
type Members struct {
	// Self is the id of this daemon, and IDs are the ids of all, this one included.
	Self string
	IDs  []string
}

// Position is the place of a daemon among those that send to a target. The zero value is
// that of a single daemon.
type Position struct {
	// Target is the id of the target.
	Target string
	// Owned is true if the target's shard has owners. Rank is then the daemon's index among
	// them, or -1 if it is none of them.
	Owned bool
	Rank  int
	// Members may be nil.
	Members *Members
}

// share returns the rate at which the daemon may send to a target with a limit, in requests
// a second, and the number of requests that it may save. Both are zero if it may not send.
func (p Position) share(limit float64) (rate, burst float64) {
	if !p.Owned {
		return p.equalShare(limit)
	}
	if p.Rank < 0 || p.Rank >= len(ownerRates) {
		return 0, 0
	}
	burst = 1
	if p.Rank == 0 {
		burst = ownerBurst + ownerBurstTime*limit
	}
	return ownerRates[p.Rank] * limit, burst
}

// equalShare divides a limit evenly among the daemons, or among so many of them that each
// may save one request.
func (p Position) equalShare(limit float64) (rate, burst float64) {
	burst = fleetBurst + fleetBurstTime*limit
	senders := 1
	if p.Members != nil {
		senders = max(len(p.Members.IDs), 1)
	}
	if most := int(burst); senders > most {
		senders = most
		if p.memberRank() >= senders {
			return 0, 0
		}
	}
	return limit / float64(senders), burst / float64(senders)
}

// memberRank returns the daemon's index in an order of the daemons that is different for
// each target.
func (p Position) memberRank() int {
	own := hasher.Strings(p.Target, p.Members.Self)
	rank := 0
	for _, id := range p.Members.IDs {
		if hasher.Strings(p.Target, id) > own {
			rank++
		}
	}
	return rank
}

// limiter is a token bucket for the requests to a target that has named a limit. The zero
// value has no limit.
type limiter struct {
	// limit is the limit that the target has named, and named when it last did.
	limit float64
	named time.Time
	// rate is the number of tokens a second and burst the most that can be saved.
	rate, burst float64
	tokens      float64
	filled      time.Time
	// logged is when a change of the limit was last logged.
	logged time.Time
}

// divide sets the daemon's share of the limit. It adds no tokens.
func (l *limiter) divide(now time.Time, p Position) {
	l.fill(now)
	l.rate, l.burst = p.share(l.limit)
	l.tokens = min(l.tokens, l.burst)
}

func (l *limiter) fill(now time.Time) {
	if d := now.Sub(l.filled); d > 0 {
		l.tokens = min(l.tokens+l.rate*d.Seconds(), l.burst)
	}
	l.filled = now
}

// next returns the time at which there is a token, which has passed if there is one.
func (l *limiter) next(now time.Time) time.Time {
	switch {
	case l.limit == 0 || l.tokens >= 1:
		return now
	case l.rate == 0:
		return now.Add(deniedRetry)
	}
	return now.Add(time.Duration((1 - l.tokens) / l.rate * float64(time.Second)))
}

// Limit returns the limit that the process has named, or zero, and the share of it that
// this daemon may use, both in requests a second.
func (s *State) Limit() (limit, share float64) {
	if !s.limited.Load() {
		return 0, 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.limiter.limit, s.limiter.rate
}

// LimitedUntil returns the time at which the daemon may send a request to the target within
// its share of the target's limit. It returns the zero time if it may now.
func (s *State) LimitedUntil(now time.Time) time.Time {
	if !s.limited.Load() {
		return time.Time{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limiter.fill(now)
	if next := s.limiter.next(now); next.After(now) {
		return next
	}
	return time.Time{}
}

// SetPosition sets the daemon's place among those that send to the target.
func (s *State) SetPosition(now time.Time, p Position) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.position = p
	if s.limiter.limit > 0 {
		s.limiter.divide(now, p)
	}
}

// setLimit records that the process has named a limit. It reports whether that is to be
// logged.
func (s *State) setLimit(now time.Time, limit float64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := &s.limiter
	l.named = now
	if l.limit == limit {
		return false
	}
	if l.limit == 0 {
		// What was sent before counts for the limit as well, so that nothing is saved yet.
		l.tokens, l.filled = 0, now
	}
	l.limit = limit
	l.divide(now, s.position)
	s.limited.Store(true)
	if now.Sub(l.logged) < limitLogInterval {
		return false
	}
	l.logged = now
	return true
}

// liftLimit records that the process has answered a request without naming a limit. sent is
// when the request was sent: answers may overtake each other. It reports whether that has
// ended a limit.
func (s *State) liftLimit(sent time.Time) bool {
	if !s.limited.Load() {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !sent.After(s.limiter.named) {
		return false
	}
	s.limiter = limiter{}
	s.limited.Store(false)
	return true
}

// takeToken reports whether a request may be sent within the target's limit, and counts it.
// s.mu is held.
func (s *State) takeToken(now time.Time) bool {
	l := &s.limiter
	if l.limit == 0 {
		return true
	}
	l.fill(now)
	if l.tokens < 1 {
		return false
	}
	l.tokens--
	return true
}
