package starter

import (
	"time"

	"plantaincleat/entryd/pkg/budgeter"
	"plantaincleat/tier/gen/config"
)

// budgetTiers is the number of tiers that count each sub-request: the root and the
// gatherer. The fraction that one count earns is therefore divided by budgetTiers.
const budgetTiers = 2

// budget implements router.Budget for one tier. The tiers share the token budgets and
// differ in what counts as saturated.
type budget struct {
	hedge     *budgeter.Budget
	retry     *budgeter.Budget
	saturated func() bool
}

// newBudgets returns the budgets of the gatherer tier and the root tier.
func newBudgets() (gatherer, root *budget) {
	gatherer = &budget{
		hedge:     budgeter.New(budgeter.DefaultHedgeFraction / budgetTiers),
		retry:     budgeter.New(budgeter.DefaultRetryFraction / budgetTiers),
		saturated: func() bool { return false },
	}
	root = &budget{
		hedge:     gatherer.hedge,
		retry:     gatherer.retry,
		saturated: func() bool { return false },
	}
	return gatherer, root
}

// set applies the fractions of a policy to both tiers. A fraction of zero selects the
// default.
func (b *budget) set(p *config.Policy) {
	b.hedge.SetFraction(orDefault(p.GetHedge(), budgeter.DefaultHedgeFraction) / budgetTiers)
	b.retry.SetFraction(orDefault(p.GetRetry(), budgeter.DefaultRetryFraction) / budgetTiers)
}

// orDefault returns v if it is positive, else the fallback.
func orDefault[T float64 | time.Duration](v, fallback T) T {
	if v > 0 {
		return v
	}
	return fallback
}

// Sent implements router.Budget.
func (b *budget) Sent(n int) {
	b.hedge.Earn(n)
	b.retry.Earn(n)
}

// Hedge implements router.Budget. Hedges are not allowed while the tier is saturated.
func (b *budget) Hedge(int, time.Time) bool { return b.hedge.Take(b.saturated()) }

// Retry implements router.Budget.
func (b *budget) Retry(int, time.Time) bool { return b.retry.Take(false) }

// Failover implements router.Budget. Moving a sub-request away from a failed target needs
// no budget.
func (b *budget) Failover(int, time.Time) bool { return true }
