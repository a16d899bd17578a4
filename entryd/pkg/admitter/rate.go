package admitter

import (
	"time"

	"plantaincleat/entryd/pkg/sharer"
)

// burstPeriod multiplied by the rate is the capacity of a token bucket.
const burstPeriod = 250 * time.Millisecond

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
