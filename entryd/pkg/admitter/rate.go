package admitter

import (
	"math"
	"time"

	"plantaincleat/entryd/pkg/sharer"
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

// rateBucket limits the rate of requests. A rate of zero or less means that there is no
// limit. It is full when its rate is first set.
type rateBucket struct {
	tokens sharer.Bucket
	filled bool
}

// setRate changes the rate, in requests per second, from now on.
func (b *rateBucket) setRate(now time.Time, rate float64) {
	capacity := max(rate*burstPeriod.Seconds(), 1)
	b.tokens.Set(now, rate, capacity)
	if !b.filled {
		b.filled = true
		b.tokens.Put(capacity)
	}
}

// wait returns the time until a token is available, or zero if one is.
func (b *rateBucket) wait(now time.Time) time.Duration {
	if b.tokens.Rate() <= 0 {
		return 0
	}
	b.tokens.Fill(now)
	next, _ := b.tokens.Next(now)
	return next.Sub(now)
}

// take removes one token. The caller must have seen wait return zero.
func (b *rateBucket) take(now time.Time) {
	if b.tokens.Rate() > 0 {
		b.tokens.Take(now)
	}
}

// refund returns a token.
func (b *rateBucket) refund() { b.tokens.Put(1) }
