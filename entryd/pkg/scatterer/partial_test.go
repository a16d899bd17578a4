package scatterer

import (
	"errors"
	"testing"

	"github.com/jonboulle/clockwork"

	"plantaincleat/entryd/pkg/assigner"
	"plantaincleat/entryd/pkg/httpsender"
	"plantaincleat/tier/gen/peer"
)

func TestPartialsHoldEachUnitOnce(t *testing.T) {
	tests := []struct {
		name   string
		groups [][]int
		used   []bool
		// units is the number of units that are held in the end.
		units int
	}{
		{name: "apart", groups: [][]int{{0}, {1, 2}}, used: []bool{true, true}, units: 3},
		{name: "a larger one replaces parts of it", groups: [][]int{{0}, {1}, {0, 1, 2}}, used: []bool{true, true, true}, units: 3},
		{name: "an overlap is not used", groups: [][]int{{0, 1}, {1, 2}}, used: []bool{true, false}, units: 2},
		{name: "the same again", groups: [][]int{{0, 1}, {0, 1}}, used: []bool{true, true}, units: 2},
		{name: "a part of another", groups: [][]int{{0, 1}, {1}}, used: []bool{true, false}, units: 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var g partials
			for i, units := range test.groups {
				signatures := make([]string, len(units))
				for k, u := range units {
					signatures[k] = string(rune('a' + u))
				}
				if g.add(&partial{units: units, signatures: signatures}) != test.used[i] {
					t.Errorf("group %d: used %v", i, !test.used[i])
				}
			}
			all, twice := g.signatures()
			if len(all) != test.units || twice {
				t.Errorf("%v, twice %v", all, twice)
			}
		})
	}
}

// TestOwnerOutOfServiceAfterMisses names the pattern that each case answers.
func TestOwnerOutOfServiceAfterMisses(t *testing.T) {
	tests := []struct {
		name  string
		steps func(o *owner)
		want  bool
	}{
		{name: "one late acknowledgement", steps: func(o *owner) { o.recordMiss(lateAckWeight) }},
		{name: "slow host: late again and again", steps: func(o *owner) { o.recordMiss(lateAckWeight); o.recordMiss(lateAckWeight) }, want: true},
		{name: "frozen after acknowledging: replies stay away", steps: func(o *owner) {
			o.recordMiss(lateReplyWeight)
			o.recordMiss(lateReplyWeight)
			o.recordMiss(lateReplyWeight)
		}, want: true},
		{name: "now and then late", steps: func(o *owner) { o.recordMiss(lateAckWeight); o.recordInTime(); o.recordMiss(lateAckWeight) }},
		{name: "back", steps: func(o *owner) { o.recordMiss(lateAckWeight); o.recordMiss(lateAckWeight); o.recordInTime() }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var all owners
			o := all.get(assigner.Daemon{ID: "d", Address: "a"})
			test.steps(o)
			if o.outOfService() != test.want {
				t.Errorf("failed %v, want %v", o.outOfService(), test.want)
			}
			now := clockwork.NewFakeClock().Now()
			if !o.probeDue(now) || o.probeDue(now.Add(ownerProbeInterval/2)) || !o.probeDue(now.Add(ownerProbeInterval)) {
				t.Error("want one probe in each interval")
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
		{name: "none"},
		{name: "waits for a connection", attempts: []*attempt{{}}},
		{name: "was refused by the target", attempts: []*attempt{{notExecuted: true}}},
		{name: "was sent", attempts: []*attempt{sent}, want: true},
		{name: "was handed to another daemon", attempts: []*attempt{{dest: destination{owner: &owner{}}}}, want: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			j := &job{attempts: test.attempts}
			if j.mayHaveExecuted() != test.want {
				t.Errorf("may have run %v, want %v", !test.want, test.want)
			}
			for _, a := range test.attempts {
				if !test.want && !a.notExecuted && a.gate.Enter() {
					t.Error("a request that was refused as not run can still be sent")
				}
			}
		})
	}
}

// TestOwnerFailureReason checks that an owner which was not told that its
// acknowledgement was taken in counts as having asked a target of each shard.
func TestOwnerFailureReason(t *testing.T) {
	err := errors.New("cancelled")
	tests := []struct {
		name string
		a    *attempt
		err  error
		want peer.Reason
	}{
		{name: "withdrawn", a: &attempt{withdrawn: true}, err: err, want: peer.Reason_REASON_UNACKNOWLEDGED},
		{name: "broken before it was accepted", a: &attempt{}, err: err, want: peer.Reason_REASON_UNACKNOWLEDGED},
		{name: "broken after it was accepted", a: &attempt{accepted: true}, err: err, want: peer.Reason_REASON_FAILED},
		{name: "not reached", a: &attempt{}, err: httpsender.ErrNotSent, want: peer.Reason_REASON_UNREACHABLE},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := test.a.ownerFailureReason(test.err); got != test.want {
				t.Errorf("reason %v, want %v", got, test.want)
			}
		})
	}
}
