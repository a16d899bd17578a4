package cataloger

import (
	"plantaincleat/entryd/pkg/budgeter"
)

// Extra bounds the requests to one pool beyond the first of each, over the
// whole fleet: ratio times the requests, and slack, in any window.
type Extra struct {
	Ratio float64
	Slack float64
}

// safety is the part of the allowance that is used, for requests that are
// counted in another window than their extra ones.
const safety = 0.85

// startShare is the part of a daemon's slack that a new budget holds, so that
// the first requests to new targets can be hedged. A daemon that starts again
// has spent at most the rest within the window.
const startShare = 0.5

// Budget is one daemon's part of the extra requests to a pool. What is earned by
// a daemon's own requests is its own, and the slack is divided by the number of
// live daemons, so that no message is needed to keep the sum.
type Budget struct {
	*budgeter.Budget
}

func newBudget(e Extra, daemons int) *Budget {
	b := &Budget{
		Budget: budgeter.New(safety * e.Ratio),
	}
	b.divide(e, daemons)
	b.Fill(startShare * safety * e.Slack / float64(max(daemons, 1)))
	return b
}

// divide sets the part of the slack.
func (b *Budget) divide(e Extra, daemons int) {
	b.SetBurst(safety * e.Slack / float64(max(daemons, 1)))
}
