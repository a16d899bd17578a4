package scatterer

import (
	"slices"
	"time"
)

// extraBudget implements router.Budget. It charges extra sub-requests to the budgets
// of their pools.
type extraBudget struct {
	job *job
}

// Sent implements router.Budget. It counts a request received from a caller. The
// sub-requests are counted when they are sent to a target.
func (eb *extraBudget) Sent(int) {
	if !eb.job.root {
		return
	}
	for _, pool := range eb.job.pools {
		pool.Budget().RecordReceived()
	}
}

// Hedge implements router.Budget.
func (eb *extraBudget) Hedge(unit int, _ time.Time) bool { return eb.take(unit) }

// Retry implements router.Budget.
func (eb *extraBudget) Retry(unit int, _ time.Time) bool { return eb.take(unit) }

// Failover implements router.Budget. It is free to leave an owner that was not
// accepted: such an owner has sent at most one request per shard.
func (eb *extraBudget) Failover(unit int, _ time.Time) bool {
	for _, a := range eb.job.open {
		if a.dest.owner == nil && slices.Contains(a.units, unit) || a.accepted && slices.Contains(a.units, unit) {
			return eb.take(unit)
		}
	}
	return true
}

// take spends a token for an extra sub-request of a unit and reports whether there was
// one.
func (eb *extraBudget) take(unit int) bool {
	if !eb.job.confirmed {
		return false
	}
	b := eb.job.pools[unit].Budget()
	return b.TakeSent() || eb.job.root && b.TakeReceived()
}
