package httpsender

import (
	"testing"
	"time"
)

// TestQueueOrderUnderOverload names the pattern: one replica of a shard is left, and a
// third more arrives than it can answer. Requests wait for its connection by the
// last time at which sending them is of use; those that are past it go last, so
// that the others are answered in time.
func TestQueueOrderUnderOverload(t *testing.T) {
	const (
		service  = 28 * time.Millisecond
		interval = 21 * time.Millisecond
		goal     = 200 * time.Millisecond
		requests = 600
	)
	begin := time.Now()
	// answered returns the part of the requests that are answered by their goals,
	// if they wait by goals that lie some time before these.
	answered := func(before time.Duration) float64 {
		var q queue
		goals := make(map[chan *conn]time.Time)
		inTime, arrived := 0, 0
		for now := begin; arrived < requests; now = now.Add(service) {
			for ; arrived < requests && !begin.Add(time.Duration(arrived)*interval).After(now); arrived++ {
				at := begin.Add(time.Duration(arrived) * interval)
				goals[q.add(at.Add(goal-before))] = at.Add(goal)
			}
			if len(q) == 0 {
				continue
			}
			if one := q.next(now); !now.Add(service).After(goals[one]) {
				inTime++
			}
		}
		return float64(inTime) / requests
	}
	served, possible := answered(service), float64(interval)/float64(service)
	if served < 0.95*possible {
		t.Errorf("%.2f of the requests are answered in time, %.2f are possible", served, possible)
	}
	if plain := answered(0); plain >= served {
		t.Errorf("%.2f in time if all wait by their goals, want less than %.2f", plain, served)
	}
}
