package scatterer

import (
	"testing"
	"time"
)

// TestLateRepliesOutlastAcknowledgements guards against an owner that stays in service because
// it acknowledges in time, although its replies do not come, and against one that stays out
// of service for good.
func TestLateRepliesOutlastAcknowledgements(t *testing.T) {
	now := time.Unix(1000, 0)
	tests := []struct {
		name   string
		happen func(o *owner)
		later  time.Duration
		want   bool
	}{
		{name: "late replies", happen: func(o *owner) {}, want: true},
		{name: "acknowledgement after them", happen: func(o *owner) { o.recordAckInTime(now) }, want: true},
		{name: "reply after them", happen: func(o *owner) { o.recordReplyInTime(now) }},
		{name: "tried again", happen: func(o *owner) {}, later: lateRepliesLife},
		{name: "late again after a trial", happen: func(o *owner) { o.recordLateReply(now.Add(lateRepliesLife)) }, later: lateRepliesLife},
		{name: "no connection, acknowledgement after it", happen: func(o *owner) {
			o.recordReplyInTime(now)
			o.recordLateAck(now)
			o.recordLateAck(now)
			o.recordAckInTime(now)
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			o := &owner{}
			for range missLimit {
				o.recordLateReply(now)
			}
			test.happen(o)
			if got := o.outOfService(now.Add(test.later)); got != test.want {
				t.Errorf("out of service %v, want %v", got, test.want)
			}
		})
	}
}
