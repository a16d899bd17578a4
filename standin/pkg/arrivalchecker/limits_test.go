package arrivalchecker

import (
	"testing"
	"time"

	"plantaincleat/standin/pkg/httpresponder"
)

func TestLimitChecker(t *testing.T) {
	begin := time.Unix(1000, 0)
	// every returns arrivals of a sender at equal intervals, for ten seconds.
	every := func(from string, interval time.Duration, limit float64) []httpresponder.Arrival {
		var out []httpresponder.Arrival
		for at := time.Duration(0); at < 10*time.Second; at += interval {
			out = append(out, httpresponder.Arrival{
				From:  from,
				At:    begin.Add(at),
				Limit: limit,
			})
		}
		return out
	}
	both := func(a, b []httpresponder.Arrival) []httpresponder.Arrival {
		var out []httpresponder.Arrival
		for i := range a {
			out = append(out, a[i], b[i])
		}
		return out
	}
	tests := []struct {
		name     string
		arrivals []httpresponder.Arrival
		excused  bool
		broken   bool
	}{
		{name: "no limit", arrivals: every("a", 10*time.Millisecond, 0)},
		{name: "at the limit", arrivals: every("a", 100*time.Millisecond, 10)},
		{name: "one and a half times the limit", arrivals: every("a", 67*time.Millisecond, 10)},
		{name: "twice the limit", arrivals: every("a", 50*time.Millisecond, 10), broken: true},
		{name: "two senders at the limit each", arrivals: both(every("a", 100*time.Millisecond, 10), every("b", 100*time.Millisecond, 10)), broken: true},
		{name: "excused", arrivals: every("a", 50*time.Millisecond, 10), excused: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := LimitChecker{
				Excused: func(string, time.Time, time.Time) bool { return test.excused },
			}
			got := c.Check(test.arrivals)
			if broken := got.Broken > 0; broken != test.broken {
				t.Errorf("result %+v, want it broken: %v", got, test.broken)
			}
		})
	}
}
