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

// usedFraction is the part of the allowance that is used, for requests that are
// counted in another window than their extra ones.
const usedFraction = 0.85

// initialFraction is the part of a daemon's slack that a new budget holds, so that
// the first requests to new targets can be hedged. A daemon that starts again
// has spent at most the rest within the window.
const initialFraction = 0.5

// minInitialDaemons is the least number of daemons among which what a new budget
// holds is divided: one that has just started does not know the others yet.
const minInitialDaemons = 12

// receivedFraction is the part of the allowance that is earned where a request is
// received. The rest is earned by the daemon that asks the targets.
const receivedFraction = 0.25

// ownerSlackFractions are the parts of the slack that the daemons which own a shard may
// spend for asking its targets, by their place: nearly all requests to these come
// from the first. otherSlack is divided among all daemons, which ask when owners
// fail. With moveShare, they make up the whole.
var ownerSlackFractions = []float64{0.45, 0.15}

const nonOwnerSlackFraction = 0.15

// Budget is one daemon's part of the extra requests to a pool. What is earned by
// a daemon's own requests is its own, and the slack is divided by the number of
// live daemons and by who owns the shard, so that no message is needed to keep
// the sum.
type Budget struct {
	// received and asked are earned by the requests that the daemon has received
	// from callers, and by those for which it asks the targets.
	received *budgeter.Budget
	sent     *budgeter.Budget
}

// fleetPosition is a daemon's place in the fleet, as far as a pool is concerned.
type fleetPosition struct {
	daemons int
	// hasOwners tells whether the pool has owners, and place which of them the daemon
	// is, -1 if none.
	hasOwners bool
	rank      int
}

// sentSlack returns the part of the slack that the daemon may spend for asking.
func (p fleetPosition) sentSlack() float64 {
	each := 1 / float64(max(p.daemons, 1))
	switch {
	case !p.hasOwners:
		return (1 - receivedFraction) * each
	case p.rank < 0:
		return nonOwnerSlackFraction * each
	}
	return ownerSlackFractions[p.rank]
}

// receivedSlack returns the part of the slack that the daemon may spend for what it
// has received.
func (p fleetPosition) receivedSlack() float64 { return receivedFraction / float64(max(p.daemons, 1)) }

func newBudget(e ExtraLimit, p fleetPosition) *Budget {
	b := &Budget{
		received: budgeter.New(receivedFraction * usedFraction * e.Ratio),
		sent:     budgeter.New((1 - receivedFraction) * usedFraction * e.Ratio),
	}
	b.setPosition(e, p)
	start := fleetPosition{
		daemons: max(p.daemons, minInitialDaemons),
	}
	b.received.AddTokens(initialFraction * usedFraction * e.Slack * start.receivedSlack())
	b.sent.AddTokens(initialFraction * usedFraction * e.Slack * start.sentSlack())
	return b
}

// setPosition sets the parts of the slack. What they grow by has to be earned.
func (b *Budget) setPosition(e ExtraLimit, p fleetPosition) {
	b.received.SetBurst(usedFraction * e.Slack * p.receivedSlack())
	b.sent.SetBurst(usedFraction * e.Slack * p.sentSlack())
}

// RecordReceived earns for a request that a caller has sent.
func (b *Budget) RecordReceived() { b.received.Earn(1) }

// RecordSent earns for a request whose targets this daemon asks.
func (b *Budget) RecordSent() { b.sent.Earn(1) }

// TakeReceived reports whether one more request may be sent, paid by those that
// were received.
func (b *Budget) TakeReceived() bool { return b.received.Take(false) }

// TakeSent reports whether one more request may be sent, paid by those that
// were asked.
func (b *Budget) TakeSent() bool { return b.sent.Take(false) }
