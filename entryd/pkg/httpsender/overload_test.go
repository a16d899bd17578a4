package httpsender

import (
	"testing"
	"time"

	"plantaincleat/entryd/pkg/valuer"
)

// TestQueueOrderUnderOverload simulates a single remaining replica that gets a third
// more requests than it can answer. If the queue is ordered by the latest useful
// time to send, requests that have missed it go last and the others are answered in
// time. Ordering by the goal itself would send requests that can no longer be
// answered in time.
func TestQueueOrderUnderOverload(t *testing.T) {
	const (
		service  = 28 * time.Millisecond
		interval = 21 * time.Millisecond
		goal     = 200 * time.Millisecond
		requests = 600
	)
	begin := time.Now()
	// answered returns the fraction of the requests that are answered by their goal, if
	// the queue is ordered by a time that lies before the goal by the given duration.
	answered := func(before time.Duration) float64 {
		var q queue
		goals := make(map[chan *conn]time.Time)
		inTime, arrived := 0, 0
		for now := begin; arrived < requests; now = now.Add(service) {
			for ; arrived < requests && !begin.Add(time.Duration(arrived)*interval).After(now); arrived++ {
				at := begin.Add(time.Duration(arrived) * interval)
				goals[q.add(now, valuer.Offer{Goal: at.Add(goal - before)})] = at.Add(goal)
			}
			if q.Len() == 0 {
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
		t.Errorf("%.2f of the requests answered in time, want at least 95%% of the possible %.2f", served, possible)
	}
	if plain := answered(0); plain >= served {
		t.Errorf("%.2f of the requests answered in time with the queue ordered by goal, want less than %.2f", plain, served)
	}
}
