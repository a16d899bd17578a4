// Package valuer decides what is run, what waits and what is turned away when there is less
// room than work, so that what costs callers least is delayed or refused.
//
//   - Queue orders the requests that wait for a target.
//   - Forecast predicts whether a request will be answered in time, and refuses it if it is
//     worth more when it returns.
//   - Returns remembers the requests that were refused.
//   - AnswerNow decides at the latency goal whether an incomplete answer leaves.
//
// All of them are pure: they take events and the current time, and do no input or output.
package valuer

import "time"

// LateWorth returns the worth of an answer between the latency goal and the deadline, in
// proportion to that of an answer in time. A caller that waits much longer than its goal
// gets little from a late answer. It is 1 if no goal is set, and 0 if the deadline is not later
// than the goal, so that there are no late answers.
func LateWorth(goal, deadline time.Duration) float64 {
	switch {
	case goal <= 0:
		return 1
	case deadline <= goal:
		return 0
	}
	return float64(goal) / float64(deadline)
}

// returnWorth returns the worth of an answer in time to a request that was refused at once
// and has returned: the mean of an answer in time and of a late one.
func returnWorth(late float64) float64 { return (1 + late) / 2 }

// AnswerNow reports whether an answer with the given fraction of the shards is worth more at
// the latency goal than the complete one later. An incomplete answer is worth the square of its
// fraction, and the complete one late.
func AnswerNow(covered, late float64) bool { return covered*covered >= late }
