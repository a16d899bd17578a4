// Package budgeter limits the extra sub-requests that hedges and retries send
// to targets.
//
// A Budget is a token bucket that is filled by sub-requests instead of by time.
// Each first attempt adds a fraction of a token, each extra sub-request spends
// one token, and the bucket holds at most a burst of tokens. In any interval of
// any length,
//
//	extra ≤ fraction × sent + burst
//
// Unless AddTokens is called, the bucket starts empty, so that since the start
//
//	extra ≤ fraction × sent
//
// All methods are safe for concurrent use, except that AddTokens may lose a
// concurrent change of the tokens. No method allocates.
package budgeter

import "sync/atomic"

const (
	// DefaultHedgeFraction is the default number of hedges per first attempt.
	DefaultHedgeFraction = 0.05
	// DefaultRetryFraction is the default number of retries per first attempt.
	DefaultRetryFraction = 0.1
	// DefaultBurst is the default maximum number of tokens in a budget.
	DefaultBurst = 16

	// tokenUnit is one token in fixed-point arithmetic.
	tokenUnit = 1 << 20
)

// Budget limits one kind of extra sub-request. Use New to create it.
type Budget struct {
	// earnPerRequest is what one first attempt adds, in fractions 1/tokenUnit of a
	// token.
	earnPerRequest atomic.Int64
	// burst is the maximum of tokens, in the same unit.
	burst atomic.Int64
	// tokens is the current content of the bucket, in the same unit.
	tokens atomic.Int64
	// spent and refused count the extra sub-requests that were allowed and refused.
	spent   atomic.Int64
	refused atomic.Int64
}

// New returns an empty budget with a burst of DefaultBurst. Each first attempt
// adds fraction, which is limited to [0,1], of a token.
func New(fraction float64) *Budget {
	b := &Budget{}
	b.SetBurst(DefaultBurst)
	b.SetFraction(fraction)
	return b
}

// SetFraction changes the fraction of a token that each further first attempt adds.
func (b *Budget) SetFraction(fraction float64) {
	fraction = min(max(fraction, 0), 1)
	b.earnPerRequest.Store(int64(fraction * tokenUnit))
}

// SetBurst changes the maximum number of tokens in the budget.
func (b *Budget) SetBurst(tokens float64) {
	b.burst.Store(int64(max(tokens, 0) * tokenUnit))
}

// AddTokens adds tokens that no sub-request has earned, up to the burst. It
// overwrites changes that other goroutines make to the tokens during the call.
func (b *Budget) AddTokens(tokens float64) {
	b.tokens.Store(min(b.tokens.Load()+int64(tokens*tokenUnit), b.burst.Load()))
}

// DropTokens drops the tokens beyond a number.
func (b *Budget) DropTokens(kept float64) {
	most := int64(max(kept, 0) * tokenUnit)
	for {
		old := b.tokens.Load()
		if old <= most || b.tokens.CompareAndSwap(old, most) {
			return
		}
	}
}

// Earn adds the tokens of n first attempts. It must not be called for extra
// sub-requests.
func (b *Budget) Earn(n int) {
	for {
		old := b.tokens.Load()
		tokens := min(old+int64(n)*b.earnPerRequest.Load(), b.burst.Load())
		if tokens == old || b.tokens.CompareAndSwap(old, tokens) {
			return
		}
	}
}

// Take spends one token for an extra sub-request and reports whether one was
// available. If saturated is true, all targets that could serve the sub-request
// are saturated, and Take refuses it without spending a token.
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

// Refund returns the token of an extra sub-request that was not sent. The token
// counts as earned at the time of the refund.
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
