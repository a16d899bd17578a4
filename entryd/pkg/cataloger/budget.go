package cataloger

import (
	"plantaincleat/entryd/pkg/budgeter"
)

// ExtraLimit bounds the extra requests of the whole fleet to one pool, that is
// hedges and retries. In any window, there are at most Ratio times the number of
// first requests, plus Slack.
type ExtraLimit struct {
	Ratio float64
	Slack float64
}

// usedFraction is the fraction of the limit that is used. The rest allows for extra
// requests that fall into a later window than the requests that earned them.
const usedFraction = 0.85

// initialFraction is the fraction of a daemon's slack that a new budget contains, so
// that the first requests to new targets can be hedged. The rest of the slack is left
// for the tokens that a daemon may have spent in the same window before it restarted.
const initialFraction = 0.5

// minInitialDaemons is the minimum number of daemons by which the initial tokens of
// a budget are divided. A daemon that has just started does not know the others yet.
const minInitialDaemons = 12

// receivedFraction is the fraction of the limit that is earned by the daemon which
// receives a request. The rest is earned by the daemon that sends it to targets.
const receivedFraction = 0.25

// ownerSlackFractions are the fractions of the slack that the owners of a shard may
// spend when they send requests to its targets, by owner rank. The first owner sends
// nearly all of these requests. nonOwnerSlackFraction is divided among all daemons,
// which send requests themselves when owners fail. Together with receivedFraction,
// they add up to one.
var ownerSlackFractions = []float64{0.45, 0.15}

const nonOwnerSlackFraction = 0.15

// Budget is the quota of one daemon for extra requests to a pool. The daemon keeps
// the tokens that its own requests earn. The slack is divided by the number of live
// daemons and by the ownership of the shard. Therefore the fleet stays within the
// limit without exchanging messages.
type Budget struct {
	// received is filled by requests that the daemon receives from callers, and sent by
	// requests that it sends to targets.
	received *budgeter.Budget
	sent     *budgeter.Budget
}

// fleetPosition describes the fleet and the daemon's rank in it, for one pool.
type fleetPosition struct {
	// daemons is the number of live daemons.
	daemons int
	// hasOwners reports whether the pool has owners. rank is the daemon's index among
	// them, or -1 if it is none of them.
	hasOwners bool
	rank      int
}

// sentSlack returns the fraction of the slack that the daemon may spend on requests
// that it sends to targets.
func (p fleetPosition) sentSlack() float64 {
	perDaemon := 1 / float64(max(p.daemons, 1))
	switch {
	case !p.hasOwners:
		return (1 - receivedFraction) * perDaemon
	case p.rank < 0:
		return nonOwnerSlackFraction * perDaemon
	}
	return ownerSlackFractions[p.rank]
}

// receivedSlack returns the fraction of the slack that the daemon may spend on
// requests that it receives from callers.
func (p fleetPosition) receivedSlack() float64 { return receivedFraction / float64(max(p.daemons, 1)) }

func newBudget(e ExtraLimit, p fleetPosition) *Budget {
	b := &Budget{
		received: budgeter.New(receivedFraction * usedFraction * e.Ratio),
		sent:     budgeter.New((1 - receivedFraction) * usedFraction * e.Ratio),
	}
	b.setPosition(e, p)
	received, sent := initialTokens(e, p)
	b.received.AddTokens(received)
	b.sent.AddTokens(sent)
	return b
}

// initialTokens returns the tokens of a new budget.
func initialTokens(e ExtraLimit, p fleetPosition) (received, sent float64) {
	initial := fleetPosition{
		daemons: max(p.daemons, minInitialDaemons),
	}
	slack := initialFraction * usedFraction * e.Slack
	return slack * initial.receivedSlack(), slack * initial.sentSlack()
}

// resume drops the tokens beyond those of a new budget.
func (b *Budget) resume(e ExtraLimit, p fleetPosition) {
	received, sent := initialTokens(e, p)
	b.received.DropTokens(received)
	b.sent.DropTokens(sent)
}

// setPosition sets the slack according to the daemon's position. It adds no tokens:
// an increase has to be earned.
func (b *Budget) setPosition(e ExtraLimit, p fleetPosition) {
	b.received.SetBurst(usedFraction * e.Slack * p.receivedSlack())
	b.sent.SetBurst(usedFraction * e.Slack * p.sentSlack())
}

// RecordReceived adds the tokens for a request that a caller has sent.
func (b *Budget) RecordReceived() { b.received.Earn(1) }

// RecordSent adds the tokens for a request that this daemon sends to a target.
func (b *Budget) RecordSent() { b.sent.Earn(1) }

// TakeReceived reports whether one more extra request may be sent, and spends a
// token that received requests have earned.
func (b *Budget) TakeReceived() bool { return b.received.Take(false) }

// TakeSent reports whether one more extra request may be sent, and spends a token
// that sent requests have earned.
func (b *Budget) TakeSent() bool { return b.sent.Take(false) }
