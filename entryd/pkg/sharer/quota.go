package sharer

import "time"

// Quota is what the limits of institutions tolerate. In any window, an institution may have
// (rate * Window + burst) * (1 + Overage) + Slack requests, over all daemons.
type Quota struct {
	Window  time.Duration
	Overage float64
	// Slack is a number of requests.
	Slack float64
}

// Limit is the limit of an institution over all daemons. The zero value is none.
type Limit struct {
	// Rate is in requests a second.
	Rate float64
	// Burst is the number of requests that may come at once beyond the rate.
	Burst float64
}

// allowance is how the requests that a quota allows beyond the rate are divided. In any
// window, the fleet issues at most the depth, the spares, maxReserves reserves, the handover
// and the rates times the window.
type allowance struct {
	// depth is the number of tokens that the lender may save.
	depth float64
	// reserve is the number of tokens that each other daemon keeps for the time at which it
	// becomes the lender or stands in for it, and reserveRate the rate at which it is
	// restored, in tokens a second.
	reserve, reserveRate float64
	// spares is the number of tokens that are granted ahead and not used yet.
	spares float64
	// startRate is the rate of a daemon that has just become the lender, in tokens a second.
	startRate float64
}

const (
	// maxReserves is the number of reserves that may be spent within a window: those of the
	// standbys of three data centres, and of two daemons that become the lender.
	maxReserves = 8
	// depthFraction is the least part of what is allowed beyond the rate that the lender may
	// save, and maxDepthFraction the greatest. In between, it is the institution's burst.
	depthFraction    = 0.3
	maxDepthFraction = 0.6
	// handoverFraction is the part that is left for the time in which two daemons lend, since
	// some do not know of the new lender yet. It is about handoverTime.
	handoverFraction = 0.3
	handoverTime     = 1.0
	// reserveRateFraction is the part of the rate at which all reserves together are restored.
	// It is taken from the overage.
	reserveRateFraction = 0.08
)

func (q Quota) allowance(l Limit) allowance {
	reserveRate := min(reserveRateFraction, q.Overage) * l.Rate / maxReserves
	beyond := l.Burst*(1+q.Overage) + (q.Overage*l.Rate-maxReserves*reserveRate)*q.Window.Seconds() + q.Slack
	depth := max(depthFraction*beyond, min(l.Burst+1, maxDepthFraction*beyond), 1)
	handover := handoverFraction * beyond
	part := max(beyond-depth-handover, 0) / (maxReserves + 1)
	return allowance{
		depth:       depth,
		reserve:     part,
		reserveRate: reserveRate,
		spares:      part,
		startRate:   min(l.Rate, handover/handoverTime),
	}
}

// Most returns the number of requests that the quota allows an institution in a time.
func (q Quota) Most(l Limit, d time.Duration) float64 {
	return (l.Rate*d.Seconds()+l.Burst)*(1+q.Overage) + q.Slack
}
