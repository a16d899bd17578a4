package estimator

import (
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Unix(1_700_000_000, 0)

func TestSketchQuantilesWithinABucket(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		us := rapid.SliceOfN(rapid.IntRange(0, 60_000_000), 1, 300).Draw(t, "us")
		q := rapid.Float64Range(0.01, 1).Draw(t, "q")
		var s Sketch
		for _, n := range us {
			s.Add(0, time.Duration(n)*time.Microsecond)
		}
		var got [1]time.Duration
		s.Quantiles([]float64{q}, got[:])
		slices.Sort(us)
		rank := int(math.Ceil(q*float64(len(us))*(1-1e-5))) - 1
		want := us[max(rank, 0)]
		upper := us[min(rank+1, len(us)-1)]
		gotUS := float64(got[0] / time.Microsecond)
		if gotUS < float64(want)*0.87-1 || gotUS > float64(upper)*1.13+1 {
			t.Fatalf("quantile %v = %v µs, want about %d", q, gotUS, want)
		}
	})
}

func TestSketchDecays(t *testing.T) {
	s := Sketch{
		HalfLife: time.Second,
	}
	for i := range 1000 {
		s.Add(time.Duration(i)*time.Millisecond, 100*time.Millisecond)
	}
	for i := range 200 {
		s.Add(10*time.Second+time.Duration(i)*time.Millisecond, time.Millisecond)
	}
	var got [1]time.Duration
	s.Quantiles([]float64{0.95}, got[:])
	if got[0] > 2*time.Millisecond {
		t.Errorf("p95 is %v after ten half-lives, want at most 2ms", got[0])
	}
	s.Add(10*time.Hour, 5*time.Millisecond)
	if s.Quantiles([]float64{0.5}, got[:]); got[0] < 4*time.Millisecond || got[0] > 6*time.Millisecond {
		t.Errorf("p50 is %v after a long pause, want about 5ms", got[0])
	}
}

// answer sends a request, records its answer after a latency, and returns the time of
// the answer.
func answer(e *Estimator, now time.Time, latency time.Duration, r Report) time.Time {
	ticket := e.Send(now)
	now = now.Add(latency)
	e.Answer(now, ticket, r)
	return now
}

func TestExpectedLatencyOrdersTargets(t *testing.T) {
	var g Group
	now := start
	fast, slow := g.New(Settings{Slots: 2}), g.New(Settings{Slots: 2})
	for range 50 {
		now = answer(fast, now, 2*time.Millisecond, Report{Incarnation: 1})
		now = answer(slow, now, 20*time.Millisecond, Report{Incarnation: 1})
	}
	if f, s := fast.ExpectedLatency(now), slow.ExpectedLatency(now); f >= s {
		t.Errorf("expected latency of the fast target is %v, want less than %v of the slow target", f, s)
	}
	idle := fast.ExpectedLatency(now)
	for range 30 {
		fast.Send(now)
	}
	if busy := fast.ExpectedLatency(now); busy < 10*idle || busy < slow.ExpectedLatency(now) {
		t.Errorf("expected latency with 30 requests in flight is %v, idle %v", busy, idle)
	}
	answer(slow, now, 20*time.Millisecond, Report{Incarnation: 1, Queue: 40})
	if f := slow.ExpectedLatency(now.Add(20 * time.Millisecond)); f < 200*time.Millisecond {
		t.Errorf("expected latency with a reported queue of 40 is %v, want at least 200ms", f)
	}
	if f := slow.ExpectedLatency(now.Add(time.Minute)); f > 30*time.Millisecond {
		t.Errorf("expected latency a minute after the report is %v, want at most 30ms", f)
	}
}

func TestIdleTargetLatencyFallsToPrior(t *testing.T) {
	var g Group
	now := start
	e := g.New(Settings{})
	for range 50 {
		now = answer(e, now, 100*time.Millisecond, Report{Incarnation: 1})
	}
	if f := e.ExpectedLatency(now); f < 90*time.Millisecond {
		t.Errorf("expected latency of a slow target is %v, want at least 90ms", f)
	}
	now = now.Add(staleAfter)
	if f := e.ExpectedLatency(now); f != DefaultPrior {
		t.Errorf("expected latency after staleAfter is %v, want the prior", f)
	}
	e.Send(now)
	if f := e.ExpectedLatency(now); f < 90*time.Millisecond {
		t.Errorf("expected latency with one request in flight is %v, want at least 90ms", f)
	}
}

func TestNewIncarnationResetsAndRamps(t *testing.T) {
	var g Group
	now := start
	e := g.New(Settings{Slots: 2})
	if e.InFlightLimit() != 1 {
		t.Errorf("in-flight limit of a cold target is %d, want 1", e.InFlightLimit())
	}
	old := e.Send(now)
	for range 20 {
		now = answer(e, now, time.Millisecond, Report{Incarnation: 7})
	}
	if e.InFlightLimit() != math.MaxInt {
		t.Errorf("in-flight limit of a warm target is %d, want no limit", e.InFlightLimit())
	}
	late := e.Send(now)
	now = answer(e, now, time.Millisecond, Report{Incarnation: 3})
	if e.InFlightLimit() != 2 {
		t.Errorf("in-flight limit after the first answer of a new incarnation is %d, want 2", e.InFlightLimit())
	}
	e.Answer(now, late, Report{Incarnation: 7})
	if e.InFlightLimit() != 2 || e.incarnation.Load() != 3 {
		t.Errorf("late answer of the old incarnation changed the estimator")
	}
	e.Answer(now, old, Report{Incarnation: 3})
	e.MarkCold()
	if e.InFlightLimit() != 1 || e.InFlight() != 0 {
		t.Errorf("after MarkCold, in-flight limit is %d, want 1, and %d requests are in flight, want 0", e.InFlightLimit(), e.InFlight())
	}
}

func TestSilentTargetSuspectedWhileOthersAnswer(t *testing.T) {
	cases := []struct {
		name   string
		others bool
		want   bool
	}{
		{name: "others answer", others: true, want: true},
		{name: "daemon was paused", others: false, want: false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var g Group
			now := start
			frozen, other := g.New(Settings{}), g.New(Settings{})
			for range 30 {
				now = answer(frozen, now, time.Millisecond, Report{Incarnation: 1})
			}
			healthy := frozen.ExpectedLatency(now)
			ticket := frozen.Send(now)
			if c.others {
				for range 100 {
					now = answer(other, now, time.Millisecond, Report{Incarnation: 1})
				}
			} else {
				now = answer(other, now.Add(time.Hour), time.Millisecond, Report{Incarnation: 1})
			}
			if got := frozen.Suspected(); got != c.want {
				t.Fatalf("suspected %v, want %v", got, c.want)
			}
			frozen.Drop()
			if got := frozen.Suspected(); got != c.want {
				t.Fatalf("suspected %v after Drop, want %v", got, c.want)
			}
			if c.want && (!frozen.Probe(now) || frozen.Probe(now.Add(time.Millisecond))) {
				t.Error("Probe must return true once per interval")
			}
			if c.want && frozen.ExpectedLatency(now) < healthy+suspectPenalty {
				t.Error("expected latency of a suspected target lacks the penalty")
			}
			frozen.inFlight.Add(1)
			frozen.Answer(now, ticket, Report{Incarnation: 1})
			if frozen.Suspected() {
				t.Error("target is still suspected after an answer")
			}
		})
	}
}

func TestFailuresRaiseSuspicion(t *testing.T) {
	var g Group
	e := g.New(Settings{})
	for range failureLimit {
		e.Send(start)
		e.Fail(start)
	}
	if !e.Suspected() {
		t.Error("target is not suspected after failureLimit failures")
	}
	answer(e, start, time.Millisecond, Report{Incarnation: 1})
	if e.Suspected() {
		t.Error("target is suspected after an answer")
	}
}

// TestCostOfFailingTarget guards against a target that attracts more requests by
// refusing or failing some of them immediately: it has low latency and is never busy.
func TestCostOfFailingTarget(t *testing.T) {
	tests := []struct {
		name string
		end  func(e *Estimator, now time.Time)
	}{
		{name: "refuses", end: func(e *Estimator, now time.Time) { e.Shed(now, Report{Incarnation: 1}) }},
		{name: "fails", end: func(e *Estimator, now time.Time) { e.Fail(now) }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var g Group
			failing, healthy := g.New(Settings{Slots: 2}), g.New(Settings{Slots: 2})
			now := start
			for i := range 60 {
				now = now.Add(20 * time.Millisecond)
				answer(healthy, now, 10*time.Millisecond, Report{Incarnation: 1})
				if i%2 == 0 {
					answer(failing, now, 10*time.Millisecond, Report{Incarnation: 1})
					continue
				}
				failing.Send(now)
				test.end(failing, now.Add(time.Millisecond))
			}
			healthy.Send(now)
			healthy.Send(now)
			if failing.Cost(now) <= healthy.Cost(now) {
				t.Errorf("cost of the failing target is %v, want more than %v of a healthy one with two requests in flight", failing.Cost(now), healthy.Cost(now))
			}
			later := now.Add(20 * time.Second)
			if got, want := failing.Cost(later), failing.ExpectedLatency(later); got > want*11/10 {
				t.Errorf("cost after 20 s without outcomes is %v, expected latency %v", got, want)
			}
		})
	}
}

func BenchmarkSendAnswer(b *testing.B) {
	var g Group
	e := g.New(Settings{Slots: 2})
	b.ReportAllocs()
	now := start
	for b.Loop() {
		now = now.Add(10 * time.Microsecond)
		ticket := e.Send(now)
		e.Answer(now.Add(time.Millisecond), ticket, Report{Incarnation: 1})
	}
}

func BenchmarkExpectedLatency(b *testing.B) {
	var g Group
	e := g.New(Settings{Slots: 2})
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			e.ExpectedLatency(start)
		}
	})
}
