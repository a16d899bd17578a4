package scatterer

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"google.golang.org/protobuf/types/known/durationpb"

	"plantaincleat/entryd/pkg/cataloger"
	"plantaincleat/tier/gen/config"
)

// TestGoalSubtractsRTTAndCPUTime guards against answers that arrive late at distant
// callers or from daemons with a fraction of a core.
func TestGoalSubtractsRTTAndCPUTime(t *testing.T) {
	received := clockwork.NewFakeClock().Now()
	tests := []struct {
		name     string
		capacity float64
		rtt      time.Duration
		goal     time.Duration
		want     time.Duration
	}{
		{name: "near, whole core", goal: 100 * time.Millisecond, want: 95800 * time.Microsecond},
		{name: "far", rtt: 12 * time.Millisecond, goal: 100 * time.Millisecond, want: 83800 * time.Microsecond},
		{name: "small host", capacity: 0.2, goal: 100 * time.Millisecond, want: 91 * time.Millisecond},
		{name: "far and small", capacity: 0.2, rtt: 12 * time.Millisecond, goal: 200 * time.Millisecond, want: 176 * time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := New(Options{
				Cores: test.capacity,
			})
			r := &Request{
				Received: received,
				RTT:      test.rtt,
			}
			route := &cataloger.Route{
				Route: &config.Route{
					Goal: durationpb.New(test.goal),
				},
			}
			if got := s.goal(r, route).Sub(received); got != test.want {
				t.Errorf("goal is %v after arrival, want %v", got, test.want)
			}
		})
	}
}
