package router

import (
	"testing"
	"time"

	"plantaincleat/tier/gen/peer"
)

// TestAcceptedUnitNotResent checks Options.MaxExecutions: a path that has accepted a
// unit may use all of its executions, so the unit is not sent again when the path is
// lost.
func TestAcceptedUnitNotResent(t *testing.T) {
	tests := []struct {
		name     string
		accepted bool
		sent     int
	}{
		{name: "lost before it was accepted", sent: 2},
		{name: "lost after it was accepted", accepted: true, sent: 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			ch := &fixedChooser{paths: []string{"a", "b"}, delay: time.Second}
			nonce := uint64(0)
			q := New(1, Options{Deadline: epoch.Add(time.Second), Hedging: true, MaxExecutions: 2}, ch, &tokenBudget{hedges: 9, retries: 9}, func() uint64 { nonce++; return nonce })
			q.Start(epoch)
			if test.accepted {
				q.RecordAccepted(1)
			}
			q.FailAttempt(1, peer.Reason_REASON_FAILED, epoch)
			q.FailAttempt(2, peer.Reason_REASON_FAILED, epoch)
			if q.Sent() != test.sent || !q.Done() {
				t.Errorf("unit sent %d times, want %d; Done() = %v, want true", q.Sent(), test.sent, q.Done())
			}
		})
	}
}

// TestExecutionBehindOtherReasonCounts guards against units that are executed more often than
// they may be, because the reason of a path hides that one of its targets has executed them.
func TestExecutionBehindOtherReasonCounts(t *testing.T) {
	tests := []struct {
		name       string
		reason     peer.Reason
		executions int
		sent       int
	}{
		{name: "rejected by all", reason: peer.Reason_REASON_SHED, sent: 2},
		{name: "rejected and failed", reason: peer.Reason_REASON_SHED, executions: 1, sent: 1},
		{name: "leaving and failed", reason: peer.Reason_REASON_LEAVING, executions: 1, sent: 1},
		{name: "no budget after a failure", reason: peer.Reason_REASON_BUDGET, executions: 1, sent: 1},
		{name: "failed, not counted", reason: peer.Reason_REASON_FAILED, sent: 1},
		{name: "more than it was allowed to", reason: peer.Reason_REASON_SHED, executions: 1 << 30, sent: 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			options := waitForAll()
			options.MaxExecutions = 1
			q := newQuery(1, options, twoPaths(), &tokenBudget{
				retries: 9,
			})
			first := q.Start(epoch)
			q.Answer(first[0].Nonce, nil, []MissingUnit{{
				Unit:       0,
				Reason:     test.reason,
				Executions: test.executions,
			}}, true, epoch)
			if q.Sent() != test.sent {
				t.Errorf("unit sent %d times, want %d", q.Sent(), test.sent)
			}
		})
	}
}

// TestUnreportedUnitCountsAsExecuted guards against units that are executed more often than they
// may be, because a last answer neither covers them nor tells what became of them.
func TestUnreportedUnitCountsAsExecuted(t *testing.T) {
	options := waitForAll()
	options.MaxExecutions = 1
	q := newQuery(2, options, twoPaths(), &tokenBudget{
		retries: 9,
	})
	first := q.Start(epoch)
	q.Answer(first[0].Nonce, []int{0}, nil, true, epoch)
	if q.Sent() != 2 || !q.Done() {
		t.Errorf("%d units sent, want 2; Done() = %v, want true", q.Sent(), q.Done())
	}
}
