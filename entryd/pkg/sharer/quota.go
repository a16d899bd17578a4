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

// allowance is how what a quota allows is divided. The lender's rate is what the rate and the
// burst allow in a window, so that an institution that sends all the time gets it in every
// window. What is tolerated beyond is divided into the depth, the spares, maxReserves reserves
// and the handover.
type allowance struct {
	// rate is in tokens a second, and depth the number of tokens that the lender may save.
	rate, depth float64
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
	maxReserves = 5
	// depthFraction is the least part of what is tolerated that the lender may save, and
	// maxDepthFraction the greatest. In between, it is the institution's burst.
	depthFraction    = 0.4
	maxDepthFraction = 0.5
	// handoverFraction is the part that is left for the time in which two daemons lend, since
	// some do not know of the new lender yet. It is about handoverTime, in seconds.
	handoverFraction = 0.25
	handoverTime     = 1.0
	// reserveRateFraction is the part of the rate at which all reserves together are restored.
	// It is taken from the overage.
	reserveRateFraction = 0.02
)

func (q Quota) allowance(l Limit) allowance {
	window := q.window().Seconds()
	reserveRate := min(reserveRateFraction, q.Overage) * l.Rate / maxReserves
	tolerated := q.Most(l, q.window()) - l.Rate*window - l.Burst - maxReserves*reserveRate*window
	depth := max(depthFraction*tolerated, min(l.Burst+1, maxDepthFraction*tolerated), 1)
	handover := handoverFraction * tolerated
	part := max(tolerated-depth-handover, 0) / (maxReserves + 1)
	rate := l.Rate + l.Burst/window
	return allowance{
		rate:        rate,
		depth:       depth,
		reserve:     part,
		reserveRate: reserveRate,
		spares:      part,
		startRate:   min(rate, handover/handoverTime),
	}
}

// defaultWindow is the window of a Quota without one.
const defaultWindow = 5 * time.Second

func (q Quota) window() time.Duration {
	if q.Window <= 0 {
		return defaultWindow
	}
	return q.Window
}

// Most returns the number of requests that the quota allows an institution in a time.
func (q Quota) Most(l Limit, d time.Duration) float64 {
	return (l.Rate*d.Seconds()+l.Burst)*(1+q.Overage) + q.Slack
}
