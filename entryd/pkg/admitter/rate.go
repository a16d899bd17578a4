package admitter

import (
	"math"
	"time"
)

const (
	// meterPeriod is the time constant of a rate average.
	meterPeriod = time.Second
	// burstPeriod times the rate is the capacity of a token bucket.
	burstPeriod = 250 * time.Millisecond
)

// rateMeter averages the rate of events with exponentially falling weights.
type rateMeter struct {
	rate float64
	last time.Time
}

// add counts one event.
func (m *rateMeter) add(now time.Time) {
	m.rate = m.value(now) + 1/meterPeriod.Seconds()
	m.last = now
}

// value returns events per second.
func (m *rateMeter) value(now time.Time) float64 {
	return m.rate * math.Exp(-now.Sub(m.last).Seconds()/meterPeriod.Seconds())
}

// tokenBucket is a token bucket. A rate of zero or less has no limit.
type tokenBucket struct {
	rate   float64
	tokens float64
	last   time.Time
}

// capacity returns the most tokens that the bucket holds, at least one.
func (b *tokenBucket) capacity() float64 {
	return max(b.rate*burstPeriod.Seconds(), 1)
}

// fill adds the tokens earned since the last call.
func (b *tokenBucket) fill(now time.Time) {
	if b.last.IsZero() {
		b.tokens = b.capacity()
	} else if d := now.Sub(b.last); d > 0 {
		b.tokens = min(b.tokens+b.rate*d.Seconds(), b.capacity())
	}
	b.last = now
}

// setRate changes the rate from now on.
func (b *tokenBucket) setRate(now time.Time, rate float64) {
	if b.last.IsZero() {
		b.rate = rate
	}
	b.fill(now)
	b.rate = rate
	b.tokens = min(b.tokens, b.capacity())
}

// wait returns how long until there is a token, zero if there is one.
func (b *tokenBucket) wait(now time.Time) time.Duration {
	if b.rate <= 0 {
		return 0
	}
	b.fill(now)
	if b.tokens >= 1 {
		return 0
	}
	return time.Duration((1 - b.tokens) / b.rate * float64(time.Second))
}

// take spends one token, which wait has found.
func (b *tokenBucket) take() {
	if b.rate > 0 {
		b.tokens--
	}
}

// refund returns a token.
func (b *tokenBucket) refund() {
	b.tokens = min(b.tokens+1, b.capacity())
}
