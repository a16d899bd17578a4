package scatterer

import (
	"errors"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"plantaincleat/entryd/pkg/assigner"
	"plantaincleat/entryd/pkg/httpsender"
	"plantaincleat/tier/gen/peer"
)

func TestPartialsHoldEachUnitOnce(t *testing.T) {
	tests := []struct {
		name     string
		partials [][]int
		used     []bool
		// units is the number of units in all partials at the end.
		units int
	}{
		{name: "disjoint", partials: [][]int{{0}, {1, 2}}, used: []bool{true, true}, units: 3},
		{name: "larger partial replaces subsets", partials: [][]int{{0}, {1}, {0, 1, 2}}, used: []bool{true, true, true}, units: 3},
		{name: "overlapping partial is not used", partials: [][]int{{0, 1}, {1, 2}}, used: []bool{true, false}, units: 2},
		{name: "equal partial replaces the first", partials: [][]int{{0, 1}, {0, 1}}, used: []bool{true, true}, units: 2},
		{name: "subset of another partial is not used", partials: [][]int{{0, 1}, {1}}, used: []bool{true, false}, units: 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var ps partials
			for i, units := range test.partials {
				signatures := make([]string, len(units))
				for k, u := range units {
					signatures[k] = string(rune('a' + u))
				}
				if ps.add(&partial{units: units, signatures: signatures}) != test.used[i] {
					t.Errorf("partial %d used %v", i, !test.used[i])
				}
			}
			all, twice := ps.signatures()
			if len(all) != test.units || twice {
				t.Errorf("signatures %v, duplicate %v", all, twice)
			}
		})
	}
}

// TestOwnerOutOfServiceAfterMisses covers late acknowledgements and late replies. A
// frozen owner may still acknowledge, so that late replies count as well.
func TestOwnerOutOfServiceAfterMisses(t *testing.T) {
	begin := time.Unix(1000, 0)
	tests := []struct {
		name  string
		steps func(o *owner)
		want  bool
	}{
		{name: "one late acknowledgement", steps: func(o *owner) { o.recordLateAck(begin) }},
		{name: "consecutive late acknowledgements", steps: func(o *owner) { o.recordLateAck(begin); o.recordLateAck(begin) }, want: true},
		{name: "replies missing after acknowledgements", steps: func(o *owner) {
			o.recordLateReply(begin)
			o.recordLateReply(begin)
			o.recordLateReply(begin)
		}, want: true},
		{name: "late acknowledgements with one in time between them", steps: func(o *owner) { o.recordLateAck(begin); o.recordAckInTime(begin); o.recordLateAck(begin) }},
		{name: "in time again", steps: func(o *owner) { o.recordLateAck(begin); o.recordLateAck(begin); o.recordAckInTime(begin) }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var all owners
			o := all.get(assigner.Daemon{ID: "d", Address: "a"})
			test.steps(o)
			if got := o.outOfService(begin); got != test.want {
				t.Errorf("out of service %v, want %v", got, test.want)
			}
			now := clockwork.NewFakeClock().Now()
			if !o.probeDue(now) || o.probeDue(now.Add(ownerProbeInterval/2)) || !o.probeDue(now.Add(ownerProbeInterval)) {
				t.Error("probeDue must return true once per interval")
			}
		})
	}
}

func TestMayHaveExecuted(t *testing.T) {
	sent := &attempt{}
	sent.gate.Enter()
	tests := []struct {
		name     string
		attempts []*attempt
		want     bool
	}{
		{name: "no attempts"},
		{name: "waiting for a connection", attempts: []*attempt{{}}},
		{name: "refused by the target", attempts: []*attempt{{notExecuted: true}}},
		{name: "sent to a target", attempts: []*attempt{sent}, want: true},
		{name: "sent to another daemon", attempts: []*attempt{{dest: destination{owner: &owner{}}}}, want: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			j := &job{attempts: test.attempts}
			if j.mayHaveExecuted() != test.want {
				t.Errorf("mayHaveExecuted is %v, want %v", !test.want, test.want)
			}
			for _, a := range test.attempts {
				if !test.want && !a.notExecuted && a.gate.Enter() {
					t.Error("an attempt of a refused request can still be sent")
				}
			}
		})
	}
}

// TestOwnerFailureReason checks that an owner which fails before it was accepted counts
// as having asked one target of each shard.
func TestOwnerFailureReason(t *testing.T) {
	err := errors.New("cancelled")
	tests := []struct {
		name string
		a    *attempt
		err  error
		want peer.Reason
	}{
		{name: "withdrawn", a: &attempt{withdrawn: true}, err: err, want: peer.Reason_REASON_UNACKNOWLEDGED},
		{name: "failed before it was accepted", a: &attempt{}, err: err, want: peer.Reason_REASON_UNACKNOWLEDGED},
		{name: "failed after it was accepted", a: &attempt{accepted: true}, err: err, want: peer.Reason_REASON_FAILED},
		{name: "request not sent", a: &attempt{}, err: httpsender.ErrNotSent, want: peer.Reason_REASON_UNREACHABLE},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := test.a.ownerFailureReason(test.err); got != test.want {
				t.Errorf("reason %v, want %v", got, test.want)
			}
		})
	}
}
