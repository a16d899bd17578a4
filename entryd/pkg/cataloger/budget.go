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

// startDaemons is the least number of daemons among which what a new budget
// holds is divided: one that has just started does not know the others yet.
const startDaemons = 12

// moveShare is the part of the allowance that is earned where a request is
// received. The rest is earned by the daemon that asks the targets.
const moveShare = 0.25

// Budget is one daemon's part of the extra requests to a pool. What is earned by
// a daemon's own requests is its own, and the slack is divided by the number of
// live daemons, so that no message is needed to keep the sum.
type Budget struct {
	// received and asked are earned by the requests that the daemon has received
	// from callers, and by those for which it asks the targets.
	received *budgeter.Budget
	asked    *budgeter.Budget
}

func newBudget(e Extra, daemons int) *Budget {
	b := &Budget{
		received: budgeter.New(moveShare * safety * e.Ratio),
		asked:    budgeter.New((1 - moveShare) * safety * e.Ratio),
	}
	b.divide(e, daemons)
	start := startShare * part(e, max(daemons, startDaemons))
	b.received.Fill(moveShare * start)
	b.asked.Fill((1 - moveShare) * start)
	return b
}

// part returns a daemon's part of the slack.
func part(e Extra, daemons int) float64 { return safety * e.Slack / float64(max(daemons, 1)) }

// divide sets the part of the slack.
func (b *Budget) divide(e Extra, daemons int) {
	b.received.SetBurst(moveShare * part(e, daemons))
	b.asked.SetBurst((1 - moveShare) * part(e, daemons))
}

// Received earns for a request that a caller has sent.
func (b *Budget) Received() { b.received.Sent(1) }

// Asked earns for a request whose targets this daemon asks.
func (b *Budget) Asked() { b.asked.Sent(1) }

// TakeReceived reports whether one more request may be sent, paid by those that
// were received.
func (b *Budget) TakeReceived() bool { return b.received.Take(false) }

// TakeAsked reports whether one more request may be sent, paid by those that
// were asked.
func (b *Budget) TakeAsked() bool { return b.asked.Take(false) }
