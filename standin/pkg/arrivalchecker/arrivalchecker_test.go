package arrivalchecker

import (
	"testing"
	"time"

	"plantaincleat/standin/pkg/httpresponder"
)

func TestCheck(t *testing.T) {
	begin := time.Unix(1000, 0)
	at := func(ms int, leaving bool, pause time.Duration) httpresponder.Arrival {
		return httpresponder.Arrival{
			At:      begin.Add(time.Duration(ms) * time.Millisecond),
			Leaving: leaving,
			Pause:   pause,
		}
	}
	always := func(time.Time, time.Time) bool { return true }
	tests := []struct {
		name     string
		checker  Checker
		arrivals []httpresponder.Arrival
		want     Result
	}{
		{name: "no announcement", arrivals: []httpresponder.Arrival{at(0, false, 0), at(5000, false, 0)}},
		{name: "within the drain limit", checker: Checker{DrainLimit: time.Second}, arrivals: []httpresponder.Arrival{at(0, true, 0), at(900, true, 0)}, want: Result{Heard: 1}},
		{name: "after the drain limit", checker: Checker{DrainLimit: time.Second}, arrivals: []httpresponder.Arrival{at(0, true, 0), at(1100, true, 0)}, want: Result{Heard: 1, AfterLeaving: 1}},
		{name: "forgotten", checker: Checker{Forgotten: always}, arrivals: []httpresponder.Arrival{at(0, true, 0), at(1100, true, 0)}, want: Result{Heard: 2}},
		{name: "held up", checker: Checker{HeldUp: func(time.Time) bool { return true }}, arrivals: []httpresponder.Arrival{at(0, true, 0), at(1100, true, 0)}, want: Result{Heard: 1}},
		{name: "crossing a pause", arrivals: []httpresponder.Arrival{at(0, false, 2*time.Second), at(100, false, time.Second), at(200, false, time.Second)}, want: Result{Heard: 1}},
		{name: "two in a pause", arrivals: []httpresponder.Arrival{at(0, false, 2*time.Second), at(600, false, 0), at(700, false, 0)}, want: Result{Heard: 1, InPause: 2}},
		{name: "four in a pause", arrivals: []httpresponder.Arrival{at(0, false, 2*time.Second), at(600, false, 0), at(700, false, 0), at(800, false, 0), at(900, false, 0)}, want: Result{Heard: 1, InPause: 4, BrokenPauses: 1}},
		{name: "after a pause", arrivals: []httpresponder.Arrival{at(0, false, time.Second), at(1000, false, time.Second), at(2100, false, 0)}, want: Result{Heard: 2}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := test.checker.Check(test.arrivals); got != test.want {
				t.Errorf("result %+v, want %+v", got, test.want)
			}
		})
	}
}
