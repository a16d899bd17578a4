// Package sharer keeps sums over the fleet: how many requests all daemons together may send
// to a target, or admit for an institution, in any time.
//
// There are two ways. A share is a daemon's part of a limit by its position among the
// daemons or by their demands. It needs no message, but is small if the fleet is large. A
// loan is a number of tokens that a lender, which holds the whole limit, grants to the
// daemon that needs them.
//
// Everything in it is a pure computation: the current time is an argument.
package sharer

import "time"

// Bucket is a token bucket. The zero value holds no tokens and gets none. It is not safe
// for concurrent use.
type Bucket struct {
	// rate is the number of tokens a second and burst the most that can be saved.
	rate, burst float64
	tokens      float64
	filled      time.Time
}

// Set sets the rate in tokens a second, and the number of tokens that can be saved. It adds
// no tokens, except those that the rate up to now has earned.
func (b *Bucket) Set(now time.Time, rate, burst float64) {
	b.Fill(now)
	b.rate, b.burst = rate, burst
	b.tokens = min(b.tokens, burst)
}

// Fill adds the tokens that have been earned since the last call.
func (b *Bucket) Fill(now time.Time) {
	if d := now.Sub(b.filled); d > 0 {
		b.tokens = min(b.tokens+b.rate*d.Seconds(), b.burst)
	}
	b.filled = now
}

// Next returns the time at which there is a token, as of the last Fill. It has passed if there
// is one. The result is false if there will be none.
func (b *Bucket) Next(now time.Time) (time.Time, bool) {
	switch {
	case b.tokens >= 1:
		return now, true
	case b.rate <= 0:
		return time.Time{}, false
	}
	return now.Add(time.Duration((1 - b.tokens) / b.rate * float64(time.Second))), true
}

// Take spends a token and reports whether there was one.
func (b *Bucket) Take(now time.Time) bool {
	b.Fill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Put adds tokens that were not earned, or that were taken and not used.
func (b *Bucket) Put(n float64) { b.tokens = min(b.tokens+n, b.burst) }

// Rate returns the tokens a second.
func (b *Bucket) Rate() float64 { return b.rate }

// Burst returns the number of tokens that can be saved.
func (b *Bucket) Burst() float64 { return b.burst }

// Tokens returns the number of tokens as of the last Fill.
func (b *Bucket) Tokens() float64 { return b.tokens }
