package cataloger

import (
	"plantaincleat/entryd/pkg/budgeter"
)

// ExtraLimit bounds the requests to one pool beyond the first of each, over the
// whole fleet: ratio times the requests, and slack, in any window.
type ExtraLimit struct {
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

// ownerSlack are the parts of the slack that the daemons which own a shard may
// spend for asking its targets, by their place: nearly all requests to these come
// from the first. otherSlack is divided among all daemons, which ask when owners
// fail. With moveShare, they make up the whole.
var ownerSlack = []float64{0.45, 0.15}

const otherSlack = 0.15

// Budget is one daemon's part of the extra requests to a pool. What is earned by
// a daemon's own requests is its own, and the slack is divided by the number of
// live daemons and by who owns the shard, so that no message is needed to keep
// the sum.
type Budget struct {
	// received and asked are earned by the requests that the daemon has received
	// from callers, and by those for which it asks the targets.
	received *budgeter.Budget
	asked    *budgeter.Budget
}

// part is a daemon's place in the fleet, as far as a pool is concerned.
type part struct {
	daemons int
	// shared tells whether the pool has owners, and place which of them the daemon
	// is, -1 if none.
	shared bool
	place  int
}

// asked returns the part of the slack that the daemon may spend for asking.
func (p part) asked() float64 {
	each := 1 / float64(max(p.daemons, 1))
	switch {
	case !p.shared:
		return (1 - moveShare) * each
	case p.place < 0:
		return otherSlack * each
	}
	return ownerSlack[p.place]
}

// received returns the part of the slack that the daemon may spend for what it
// has received.
func (p part) received() float64 { return moveShare / float64(max(p.daemons, 1)) }

func newBudget(e ExtraLimit, p part) *Budget {
	b := &Budget{
		received: budgeter.New(moveShare * safety * e.Ratio),
		asked:    budgeter.New((1 - moveShare) * safety * e.Ratio),
	}
	b.divide(e, p)
	start := part{
		daemons: max(p.daemons, startDaemons),
	}
	b.received.Fill(startShare * safety * e.Slack * start.received())
	b.asked.Fill(startShare * safety * e.Slack * start.asked())
	return b
}

// divide sets the parts of the slack. What they grow by has to be earned.
func (b *Budget) divide(e ExtraLimit, p part) {
	b.received.SetBurst(safety * e.Slack * p.received())
	b.asked.SetBurst(safety * e.Slack * p.asked())
}

// Received earns for a request that a caller has sent.
func (b *Budget) Received() { b.received.Earn(1) }

// Asked earns for a request whose targets this daemon asks.
func (b *Budget) Asked() { b.asked.Earn(1) }

// TakeReceived reports whether one more request may be sent, paid by those that
// were received.
func (b *Budget) TakeReceived() bool { return b.received.Take(false) }

// TakeAsked reports whether one more request may be sent, paid by those that
// were asked.
func (b *Budget) TakeAsked() bool { return b.asked.Take(false) }
