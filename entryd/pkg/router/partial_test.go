package router

import (
	"testing"
	"time"
)

// TestPartialAnswerByValue guards against an answer that leaves shards out at the goal although
// the complete one is worth more late, and against one that waits although it is not.
func TestPartialAnswerByValue(t *testing.T) {
	const ms = time.Millisecond
	tests := []struct {
		name string
		// covered is the number of ten units that are covered before the goal.
		covered     int
		floor, late float64
		// end is when the query ends if no other unit is covered. The goal is at 100 ms, the
		// deadline at 1 s.
		end time.Duration
	}{
		{name: "below the coverage", covered: 8, floor: 0.9, late: 0.1, end: time.Second},
		{name: "worth more than a late answer", covered: 9, floor: 0.9, late: 0.1, end: 100 * ms},
		{name: "worth less than a late answer", covered: 3, floor: 0.2, late: 0.1, end: 550 * ms},
		{name: "late answers worth nothing", covered: 3, floor: 0.2, end: 100 * ms},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			q := newQuery(10, Options{
				Deadline:      at(time.Second),
				Goal:          at(100 * ms),
				Floor:         test.floor,
				Late:          test.late,
				SeparateUnits: true,
			}, twoPaths(), &tokenBudget{})
			for i, a := range q.Start(epoch) {
				if i < test.covered {
					q.Answer(a.Nonce, a.Units, nil, true, at(10*ms))
				}
			}
			now := epoch
			for range 100 {
				if q.Done() {
					break
				}
				now = q.NextTick()
				q.Tick(now)
			}
			if !q.Done() || !now.Equal(at(test.end)) {
				t.Errorf("query ended: %v, at %v; want %v", q.Done(), now.Sub(epoch), test.end)
			}
		})
	}
}
