package starter

import (
	"time"

	"plantaincleat/entryd/pkg/budgeter"
	"plantaincleat/tier/gen/config"
)

// budget implements router.Budget over the two token budgets of one tier.
type budget struct {
	hedge     *budgeter.Budget
	retry     *budgeter.Budget
	saturated func() bool
}

func newBudget() *budget {
	return &budget{
		hedge:     budgeter.New(budgeter.DefaultHedge),
		retry:     budgeter.New(budgeter.DefaultRetry),
		saturated: func() bool { return false },
	}
}

// set applies the fractions of a policy. Zero takes the default.
func (b *budget) set(p *config.Policy) {
	b.hedge.SetFraction(orDefault(p.GetHedge(), budgeter.DefaultHedge))
	b.retry.SetFraction(orDefault(p.GetRetry(), budgeter.DefaultRetry))
}

func orDefault(v, fallback float64) float64 {
	if v > 0 {
		return v
	}
	return fallback
}

// Sent implements router.Budget.
func (b *budget) Sent(n int) {
	b.hedge.Sent(n)
	b.retry.Sent(n)
}

// Hedge implements router.Budget.
func (b *budget) Hedge(n int, _ time.Time) bool { return take(b.hedge, n, b.saturated()) }

// Retry implements router.Budget.
func (b *budget) Retry(n int, _ time.Time) bool { return take(b.retry, n, false) }

func take(b *budgeter.Budget, n int, saturated bool) bool {
	for i := range n {
		if b.Take(saturated) {
			continue
		}
		for range i {
			b.Refund()
		}
		return false
	}
	return true
}
