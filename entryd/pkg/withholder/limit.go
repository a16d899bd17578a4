package withholder

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"time"

	"plantaincleat/entryd/pkg/sharer"
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

// limitSplit divides the limit of a target among the daemons. A target allows each window of
// four seconds one and a half times its limit, and five requests. The shares use the limit
// itself and a part of the rest, so that the daemons stay within it while they do not agree
// yet on who sends. The owners of a shard send nearly all requests to its targets.
var limitSplit = sharer.Split{
	OwnerRates:     []float64{0.9, 0.2},
	OwnerBurstTime: 0.5,
	OwnerBurst:     2,
	FleetBurstTime: 0.75,
	FleetBurst:     4,
}

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

// limiter is a token bucket for the requests to a target that has named a limit. The zero
// value has no limit.
type limiter struct {
	// limit is the limit that the target has named, and named when it last did.
	limit  float64
	named  time.Time
	bucket sharer.Bucket
	// logged is when a change of the limit was last logged.
	logged time.Time
}

// divide sets the daemon's share of the limit. It adds no tokens.
func (l *limiter) divide(now time.Time, p sharer.Position) {
	rate, burst := p.Share(l.limit, &limitSplit)
	l.bucket.Set(now, rate, burst)
}

// next returns the time at which there is a token, which has passed if there is one.
func (l *limiter) next(now time.Time) time.Time {
	if l.limit == 0 {
		return now
	}
	return nextToken(now, &l.bucket)
}

// nextToken returns the time at which a bucket has a token, or at which to look again if it
// gets none.
func nextToken(now time.Time, b *sharer.Bucket) time.Time {
	b.Fill(now)
	if next, ok := b.Next(now); ok {
		return next
	}
	return now.Add(deniedRetry)
}

// Limit returns the limit that the process has named, or zero, and the share of it that
// this daemon may use, both in requests a second.
func (s *State) Limit() (limit, share float64) {
	if !s.limited.Load() {
		return 0, 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.limiter.limit, s.limiter.bucket.Rate()
}

// LimitedUntil returns the time at which the daemon may send a request to the target within
// its shares of the target's limit and of the rate of a cold target. It returns the zero time
// if it may now.
func (s *State) LimitedUntil(now time.Time) time.Time {
	if !s.limited.Load() && !s.paced.Load() {
		return time.Time{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	next := s.limiter.next(now)
	if s.warm(now) {
		if n := nextToken(now, &s.warmer.bucket); n.After(next) {
			next = n
		}
	}
	if next.After(now) {
		return next
	}
	return time.Time{}
}

// Rate returns the rate in requests a second at which the daemon may send to the target, if
// the target has named a limit or is cold.
func (s *State) Rate(now time.Time) (rate float64, limited bool) {
	if !s.limited.Load() && !s.paced.Load() {
		return 0, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.limiter.limit > 0 {
		rate, limited = s.limiter.bucket.Rate(), true
	}
	if s.warm(now) && (!limited || s.warmer.bucket.Rate() < rate) {
		rate, limited = s.warmer.bucket.Rate(), true
	}
	return rate, limited
}

// SetPosition sets the daemon's place among those that send to the target.
func (s *State) SetPosition(now time.Time, p sharer.Position) {
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
		l.bucket = sharer.Bucket{}
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

// takeToken reports whether a request may be sent within the target's limit and the rate of a
// cold target, and counts it. s.mu is held.
func (s *State) takeToken(now time.Time) bool {
	limited, paced := s.limiter.limit > 0, s.warm(now)
	if limited {
		s.limiter.bucket.Fill(now)
		if s.limiter.bucket.Tokens() < 1 {
			return false
		}
	}
	if paced && !s.warmer.bucket.Take(now) {
		return false
	}
	return !limited || s.limiter.bucket.Take(now)
}
