package withholder

import (
	"net/http"
	"testing"
	"time"

	"plantaincleat/entryd/pkg/sharer"
)

const coldHeader = "Cold"

// TestParseCold covers what the values of a warm-up mean, bad ones included.
func TestParseCold(t *testing.T) {
	tests := []struct {
		text    string
		want    time.Duration
		invalid bool
	}{
		{text: ""},
		{text: "0"},
		{text: "1500", want: 1500 * time.Millisecond},
		{text: "0.5", want: 500 * time.Microsecond},
		{text: "1e300", want: MaxPause},
		{text: "Inf", want: MaxPause},
		{text: "-1", invalid: true},
		{text: "NaN", invalid: true},
		{text: "soon", invalid: true},
		{text: "1,2", invalid: true},
	}
	for _, test := range tests {
		t.Run(test.text, func(t *testing.T) {
			header := http.Header{}
			header.Set(coldHeader, test.text)
			got, err := ParseAnnouncement(time.Unix(1000, 0), http.StatusOK, header, Headers{Cold: coldHeader})
			if got.Cold != test.want || (err != nil) != test.invalid {
				t.Errorf("cold for %v, error %v; want %v and an error: %v", got.Cold, err, test.want, test.invalid)
			}
		})
	}
}

// TestColdTargetBySources covers who may say that a target is cold: each of them is enough,
// and it may turn cold again at any moment. No tokens are saved from before.
func TestColdTargetBySources(t *testing.T) {
	now := time.Unix(1000, 0)
	warming := Warming{
		Pace:      2,
		Duration:  3 * time.Second,
		Tolerance: Tolerance{Overage: 1.5, Slack: 5},
	}
	tests := []struct {
		name   string
		source string
		set    func(s *State, now time.Time)
	}{
		{name: "start", source: coldByStart, set: func(s *State, now time.Time) {
			w := warming
			w.StartedUntil = now.Add(3 * time.Second)
			s.SetWarming(now, w)
		}},
		{name: "store", source: coldByStore, set: func(s *State, now time.Time) {
			w := warming
			w.StoredUntil = now.Add(3 * time.Second)
			s.SetWarming(now, w)
		}},
		{name: "answer", source: coldByAnswer, set: func(s *State, now time.Time) { s.announceCold(now, 3*time.Second) }},
		{name: "answer with a time beyond the warm-up", source: coldByAnswer, set: func(s *State, now time.Time) { s.announceCold(now, time.Minute) }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var s State
			s.SetWarming(now, warming)
			for range 2 {
				now = now.Add(time.Minute)
				if !s.Enter(now) || !s.LimitedUntil(now).IsZero() {
					t.Fatal("a warm target is limited")
				}
				s.Exit(now, true)
				test.set(&s, now)
				if _, source := s.ColdUntil(now); source != test.source {
					t.Fatalf("target is cold by %q, want %q", source, test.source)
				}
				if s.Enter(now) || s.LimitedUntil(now).IsZero() {
					t.Fatal("a request may be sent at once to a target that has turned cold")
				}
				at := now.Add(600 * time.Millisecond)
				if !s.Enter(at) {
					t.Fatal("no request may be sent after 600 ms at a rate of 2 a second")
				}
				s.Exit(at, true)
				if s.Enter(at) {
					t.Fatal("two requests within 600 ms at a rate of 2 a second")
				}
				now = now.Add(4 * time.Second)
				if rate, limited := s.Rate(now); limited {
					t.Fatalf("the target is still limited to %g after its warm-up", rate)
				}
			}
		})
	}
}

// TestReturnIsBySteps guards against a burst that meets a target at the end of its warm-up.
func TestReturnIsBySteps(t *testing.T) {
	now := time.Unix(1000, 0)
	var s State
	s.SetWarming(now, Warming{Pace: 1, StartedUntil: now.Add(time.Second)})
	now = now.Add(time.Second)
	for _, want := range []int{1, 2, 4, 8, 100} {
		n := 0
		for n < 100 && s.Enter(now) {
			n++
		}
		if n != want {
			t.Fatalf("%d requests in flight, want %d", n, want)
		}
		s.Exit(now, true)
		for range n - 1 {
			s.Exit(now, false)
		}
	}
}

// TestNoRateLimitsNothing guards against limits where the operators state no rate.
func TestNoRateLimitsNothing(t *testing.T) {
	now := time.Unix(1000, 0)
	var s State
	s.SetWarming(now, Warming{Duration: time.Second, StartedUntil: now.Add(time.Second), Position: sharer.Position{Owned: true, Rank: -1}})
	for range 100 {
		if !s.Enter(now) || !s.LimitedUntil(now).IsZero() {
			t.Fatal("a cold target without a rate is limited")
		}
	}
	if _, source := s.ColdUntil(now); source != coldByStart {
		t.Error("the target does not count as cold")
	}
}

// TestLimitAndColdRateBothHold covers a cold target that names a limit as well.
func TestLimitAndColdRateBothHold(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, test := range []struct{ limit, pace float64 }{{limit: 2, pace: 20}, {limit: 20, pace: 2}} {
		var s State
		s.SetWarming(now, Warming{Pace: test.pace, StartedUntil: now.Add(time.Minute)})
		s.setLimit(now, test.limit)
		sent := 0
		for i := range 1000 {
			if s.Enter(now.Add(time.Duration(i) * 10 * time.Millisecond)) {
				sent++
			}
		}
		if sent < 17 || sent > 24 {
			t.Errorf("%d requests in ten seconds with a limit of %g and a rate of %g", sent, test.limit, test.pace)
		}
	}
}

// BenchmarkColdTarget measures what the rate of a cold target costs a request.
func BenchmarkColdTarget(b *testing.B) {
	now := time.Unix(1000, 0)
	var s State
	s.SetWarming(now, Warming{Pace: 5, StartedUntil: now.Add(time.Hour)})
	for b.Loop() {
		now = now.Add(time.Microsecond)
		if s.LimitedUntil(now).IsZero() && s.Enter(now) {
			s.Exit(now, true)
		}
	}
}
