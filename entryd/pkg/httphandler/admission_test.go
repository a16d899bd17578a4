package httphandler

import (
	"testing"

	"plantaincleat/entryd/pkg/admitter"
	"plantaincleat/entryd/pkg/coordinator"
	"plantaincleat/tier/gen/peer"
)

func TestSearchResultOutcome(t *testing.T) {
	cases := []struct {
		name   string
		reason peer.Reason
		sent   int64
		want   admitter.Outcome
	}{
		{name: "all shards covered", want: admitter.Completed},
		{name: "shed", reason: peer.Reason_REASON_SHED, sent: 5, want: admitter.Overloaded},
		{name: "late and never sent", reason: peer.Reason_REASON_LATE, want: admitter.Overloaded},
		{name: "late after it was sent", reason: peer.Reason_REASON_LATE, sent: 5, want: admitter.Failed},
		{name: "no replica", reason: peer.Reason_REASON_UNREACHABLE, want: admitter.Failed},
		{name: "retry budget spent", reason: peer.Reason_REASON_BUDGET, want: admitter.Failed},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			result := &coordinator.Result{
				Attempts: []*peer.Attempt{{
					Shard: "s",
					Sent:  c.sent,
				}},
			}
			if c.reason != peer.Reason_REASON_UNSPECIFIED {
				result.Missing = []*peer.Missing{{
					Shard:  "s",
					Reason: c.reason,
				}}
			}
			if got := searchResult(result, nil).Outcome; got != c.want {
				t.Errorf("admission outcome %d, want %d", got, c.want)
			}
		})
	}
}
