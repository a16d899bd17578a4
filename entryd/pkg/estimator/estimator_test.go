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
		near := us[min(rank+1, len(us)-1)]
		us50 := float64(got[0] / time.Microsecond)
		if us50 < float64(want)*0.87-1 || us50 > float64(near)*1.13+1 {
			t.Fatalf("quantile %v = %v µs, want about %d", q, us50, want)
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
		t.Errorf("p95 = %v after ten half-lives", got[0])
	}
	s.Add(10*time.Hour, 5*time.Millisecond)
	if s.Quantiles([]float64{0.5}, got[:]); got[0] < 4*time.Millisecond || got[0] > 6*time.Millisecond {
		t.Errorf("p50 = %v after a long pause, want about 5ms", got[0])
	}
}

// answer sends and answers one request that takes a latency.
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
		t.Errorf("fast %v, slow %v", f, s)
	}
	idle := fast.ExpectedLatency(now)
	for range 30 {
		fast.Send(now)
	}
	if busy := fast.ExpectedLatency(now); busy < 10*idle || busy < slow.ExpectedLatency(now) {
		t.Errorf("30 in flight: %v, idle %v", busy, idle)
	}
	answer(slow, now, 20*time.Millisecond, Report{Incarnation: 1, Queue: 40})
	if f := slow.ExpectedLatency(now.Add(20 * time.Millisecond)); f < 200*time.Millisecond {
		t.Errorf("reported queue of 40 gives %v", f)
	}
	if f := slow.ExpectedLatency(now.Add(time.Minute)); f > 30*time.Millisecond {
		t.Errorf("old report still counts: %v", f)
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
		t.Errorf("slow target: %v", f)
	}
	now = now.Add(staleAfter)
	if f := e.ExpectedLatency(now); f != DefaultPrior {
		t.Errorf("not used for a while: %v", f)
	}
	e.Send(now)
	if f := e.ExpectedLatency(now); f < 90*time.Millisecond {
		t.Errorf("with one request in flight: %v", f)
	}
}

func TestNewIncarnationResetsAndRamps(t *testing.T) {
	var g Group
	now := start
	e := g.New(Settings{Slots: 2})
	if e.InFlightLimit() != 1 {
		t.Errorf("cold target allows %d", e.InFlightLimit())
	}
	old := e.Send(now)
	for range 20 {
		now = answer(e, now, time.Millisecond, Report{Incarnation: 7})
	}
	if e.InFlightLimit() != math.MaxInt {
		t.Errorf("warm target allows %d", e.InFlightLimit())
	}
	late := e.Send(now)
	now = answer(e, now, time.Millisecond, Report{Incarnation: 3})
	if e.InFlightLimit() != 2 {
		t.Errorf("first answer of a new incarnation allows %d", e.InFlightLimit())
	}
	e.Answer(now, late, Report{Incarnation: 7})
	if e.InFlightLimit() != 2 || e.incarnation.Load() != 3 {
		t.Errorf("late answer of the old incarnation was taken")
	}
	e.Answer(now, old, Report{Incarnation: 3})
	e.MarkCold()
	if e.InFlightLimit() != 1 || e.InFlight() != 0 {
		t.Errorf("allowed %d, flight %d after a drain", e.InFlightLimit(), e.InFlight())
	}
}

func TestSilentTargetSuspectedWhileOthersAnswer(t *testing.T) {
	cases := []struct {
		name   string
		others bool
		want   bool
	}{
		{name: "others answer", others: true, want: true},
		{name: "the daemon was paused", others: false, want: false},
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
				t.Fatalf("after giving up: suspected %v, want %v", got, c.want)
			}
			if c.want && (!frozen.Probe(now) || frozen.Probe(now.Add(time.Millisecond))) {
				t.Error("want one probe in an interval")
			}
			if c.want && frozen.ExpectedLatency(now) < healthy+suspectPenalty {
				t.Error("no penalty")
			}
			frozen.inFlight.Add(1)
			frozen.Answer(now, ticket, Report{Incarnation: 1})
			if frozen.Suspected() {
				t.Error("still suspected after an answer")
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
		t.Error("not suspected after consecutive failures")
	}
	answer(e, start, time.Millisecond, Report{Incarnation: 1})
	if e.Suspected() {
		t.Error("suspected after an answer")
	}
}

// TestCostOfFailingTarget names the pattern: sound-looking targets refuse or fail a
// part of their requests at once, and would attract more by never being busy.
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
			bad, sound := g.New(Settings{Slots: 2}), g.New(Settings{Slots: 2})
			now := start
			for i := range 60 {
				now = now.Add(20 * time.Millisecond)
				answer(sound, now, 10*time.Millisecond, Report{Incarnation: 1})
				if i%2 == 0 {
					answer(bad, now, 10*time.Millisecond, Report{Incarnation: 1})
					continue
				}
				bad.Send(now)
				test.end(bad, now.Add(time.Millisecond))
			}
			sound.Send(now)
			sound.Send(now)
			if bad.Cost(now) <= sound.Cost(now) {
				t.Errorf("costs %v, a sound target with two requests in flight %v", bad.Cost(now), sound.Cost(now))
			}
			later := now.Add(20 * time.Second)
			if got, want := bad.Cost(later), bad.ExpectedLatency(later); got > want*11/10 {
				t.Errorf("still costs %v after a while, finish %v", got, want)
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
