// Package budgeter limits the extra sub-requests that hedges and retries send
// to targets.
//
// A Budget is a token bucket filled by sub-requests in place of time: each one
// sent earns a fraction of a token, each extra one spends a whole token, and
// at most a burst of tokens is kept. So within any interval, however long,
//
//	extra ≤ fraction × sent + burst
//
// and, as the bucket starts empty, extra ≤ fraction × sent since the start.
//
// All methods are safe for concurrent use and allocate nothing.
package budgeter

import "sync/atomic"

const (
	// DefaultHedgeFraction is the fraction of extra sub-requests for hedges.
	DefaultHedgeFraction = 0.05
	// DefaultRetryFraction is the fraction of extra sub-requests for retries.
	DefaultRetryFraction = 0.1
	// DefaultBurst is the number of tokens that a budget keeps at most by default.
	DefaultBurst = 16

	// tokenUnit is one token in fixed-point arithmetic.
	tokenUnit = 1 << 20
)

// Budget counts one kind of extra sub-request. Make it with New.
type Budget struct {
	// earnPerRequest is what one sub-request earns, in units.
	earnPerRequest atomic.Int64
	// burst is the most that is kept, in units.
	burst   atomic.Int64
	tokens  atomic.Int64
	spent   atomic.Int64
	refused atomic.Int64
}

// New returns an empty budget of a fraction in [0,1] of the sub-requests.
func New(fraction float64) *Budget {
	b := &Budget{}
	b.SetBurst(DefaultBurst)
	b.SetFraction(fraction)
	return b
}

// SetFraction changes the fraction for what is sent from now on.
func (b *Budget) SetFraction(fraction float64) {
	fraction = min(max(fraction, 0), 1)
	b.earnPerRequest.Store(int64(fraction * tokenUnit))
}

// SetBurst changes the number of tokens that are kept at most.
func (b *Budget) SetBurst(tokens float64) {
	b.burst.Store(int64(max(tokens, 0) * tokenUnit))
}

// AddTokens puts tokens into the budget that no sub-request has earned, up to the
// burst.
func (b *Budget) AddTokens(tokens float64) {
	b.tokens.Store(min(b.tokens.Load()+int64(tokens*tokenUnit), b.burst.Load()))
}

// Earn earns for n first attempts. Extra ones earn nothing.
func (b *Budget) Earn(n int) {
	for {
		old := b.tokens.Load()
		tokens := min(old+int64(n)*b.earnPerRequest.Load(), b.burst.Load())
		if tokens == old || b.tokens.CompareAndSwap(old, tokens) {
			return
		}
	}
}

// Take spends a token for one extra sub-request and reports whether there was
// one. There is none while the targets that could take it are saturated.
func (b *Budget) Take(saturated bool) bool {
	if saturated {
		b.refused.Add(1)
		return false
	}
	for {
		old := b.tokens.Load()
		if old < tokenUnit {
			b.refused.Add(1)
			return false
		}
		if b.tokens.CompareAndSwap(old, old-tokenUnit) {
			b.spent.Add(1)
			return true
		}
	}
}

// Refund gives back a token whose sub-request was not sent. The token counts
// as earned at the time of the refund.
func (b *Budget) Refund() {
	b.spent.Add(-1)
	for {
		old := b.tokens.Load()
		tokens := min(old+tokenUnit, b.burst.Load())
		if b.tokens.CompareAndSwap(old, tokens) {
			return
		}
	}
}

// Spent returns the number of extra sub-requests allowed so far.
func (b *Budget) Spent() int64 {
	return b.spent.Load()
}

// Refused returns the number of extra sub-requests refused so far.
func (b *Budget) Refused() int64 {
	return b.refused.Load()
}
