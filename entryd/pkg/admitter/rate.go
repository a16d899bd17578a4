package admitter

import (
	"math"
	"time"
)

const (
	// meterPeriod is the time constant of the moving average of a rate.
	meterPeriod = time.Second
	// burstPeriod multiplied by the rate is the capacity of a token bucket.
	burstPeriod = 250 * time.Millisecond
)

// rateMeter is an exponentially weighted moving average of a rate of events.
type rateMeter struct {
	rate float64
	last time.Time
}

// add counts one event.
func (m *rateMeter) add(now time.Time) {
	m.rate = m.value(now) + 1/meterPeriod.Seconds()
	m.last = now
}

// value returns the average rate in events per second.
func (m *rateMeter) value(now time.Time) float64 {
	return m.rate * math.Exp(-now.Sub(m.last).Seconds()/meterPeriod.Seconds())
}

// tokenBucket limits the rate of requests. A rate of zero or less means that
// there is no limit.
type tokenBucket struct {
	rate   float64
	tokens float64
	last   time.Time
}

// capacity returns the maximal number of tokens, which is at least one.
func (b *tokenBucket) capacity() float64 {
	return max(b.rate*burstPeriod.Seconds(), 1)
}

// fill adds the tokens that have accrued since the last call.
func (b *tokenBucket) fill(now time.Time) {
	if b.last.IsZero() {
		b.tokens = b.capacity()
	} else if d := now.Sub(b.last); d > 0 {
		b.tokens = min(b.tokens+b.rate*d.Seconds(), b.capacity())
	}
	b.last = now
}

// setRate changes the rate, in requests per second, from now on.
func (b *tokenBucket) setRate(now time.Time, rate float64) {
	if b.last.IsZero() {
		b.rate = rate
	}
	b.fill(now)
	b.rate = rate
	b.tokens = min(b.tokens, b.capacity())
}

// wait returns the time until a token is available, or zero if one is.
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

// take removes one token. The caller must have seen wait return zero.
func (b *tokenBucket) take() {
	if b.rate > 0 {
		b.tokens--
	}
}

// refund returns a token.
func (b *tokenBucket) refund() {
	b.tokens = min(b.tokens+1, b.capacity())
}
