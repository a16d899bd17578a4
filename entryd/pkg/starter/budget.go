package starter

import (
	"time"

	"plantaincleat/entryd/pkg/budgeter"
	"plantaincleat/tier/gen/config"
)

// tiers is the number of tiers, root and gatherer, that count the same
// sub-request. Each earns its part of the fraction for it.
const tiers = 2

// budget implements router.Budget for one tier over the token budgets that it
// shares with the other one.
type budget struct {
	hedge     *budgeter.Budget
	retry     *budgeter.Budget
	saturated func() bool
}

// newBudgets returns the budgets of the two tiers.
func newBudgets() (gathering, rooting *budget) {
	gathering = &budget{
		hedge:     budgeter.New(budgeter.DefaultHedgeFraction / tiers),
		retry:     budgeter.New(budgeter.DefaultRetryFraction / tiers),
		saturated: func() bool { return false },
	}
	rooting = &budget{
		hedge:     gathering.hedge,
		retry:     gathering.retry,
		saturated: func() bool { return false },
	}
	return gathering, rooting
}

// set applies the fractions of a policy to both tiers. Zero takes the default.
func (b *budget) set(p *config.Policy) {
	b.hedge.SetFraction(orDefault(p.GetHedge(), budgeter.DefaultHedgeFraction) / tiers)
	b.retry.SetFraction(orDefault(p.GetRetry(), budgeter.DefaultRetryFraction) / tiers)
}

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

// Hedge implements router.Budget.
func (b *budget) Hedge(int, time.Time) bool { return b.hedge.Take(b.saturated()) }

// Retry implements router.Budget.
func (b *budget) Retry(int, time.Time) bool { return b.retry.Take(false) }

// Failover implements router.Budget. Leaving a failed target is free.
func (b *budget) Failover(int, time.Time) bool { return true }
