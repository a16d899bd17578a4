package estimator

import (
	"testing"
	"time"
)

// TestStaleLoadWordDoesNotSteer guards against daemons that all avoid a target, or all run to
// it, because of a word of its load that was true for a moment.
func TestStaleLoadWordDoesNotSteer(t *testing.T) {
	tests := []struct {
		name   string
		report Report
		// slower is true if the target is to look slower than without a word while the word
		// is fresh.
		slower bool
		life   time.Duration
	}{
		{name: "others wait", report: Report{Incarnation: 1, Running: 3, Queue: 6}, slower: true, life: reportLife},
		{name: "only the answered request ran", report: Report{Incarnation: 1, Running: 1}},
		{name: "work takes three times as long", report: Report{Incarnation: 1, Running: 1, Pace: 3}, slower: true, life: paceLife},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var g Group
			now := start
			e := g.New(Settings{Slots: 2})
			for range 50 {
				now = answer(e, now, 10*time.Millisecond, Report{Incarnation: 1, Running: 1, Pace: 1})
			}
			usual := e.ExpectedLatency(now)
			now = answer(e, now, 10*time.Millisecond, test.report)
			last := e.ExpectedLatency(now)
			if test.slower != (last > usual*3/2) {
				t.Errorf("expected latency is %v with the word and %v before it, want slower: %v", last, usual, test.slower)
			}
			for age := 20 * time.Millisecond; age <= test.life; age += 20 * time.Millisecond {
				d := e.ExpectedLatency(now.Add(age))
				if d > last {
					t.Errorf("expected latency rises to %v at the age %v", d, age)
				}
				last = d
			}
			if last > usual*5/4 {
				t.Errorf("expected latency is still %v after %v, want about %v", last, test.life, usual)
			}
		})
	}
}

// TestConstantPaceIsUsual guards against a target that counts as slow twice, by its answers
// and by a pace that does not change.
func TestConstantPaceIsUsual(t *testing.T) {
	var g Group
	now := start
	e, silent := g.New(Settings{Slots: 2}), g.New(Settings{Slots: 2})
	for range 100 {
		answer(silent, now, 15*time.Millisecond, Report{Incarnation: 1})
		now = answer(e, now, 15*time.Millisecond, Report{Incarnation: 1, Running: 1, Pace: 1.5})
	}
	if d, want := e.ExpectedLatency(now), silent.ExpectedLatency(now); d != want {
		t.Errorf("expected latency %v at a constant pace, want %v as without a word", d, want)
	}
}

// TestProbeTellsLoad guards against a word in the answer to a probe that counts as a sample of
// the latency or makes a target that was avoided look as if it had been tried.
func TestProbeTellsLoad(t *testing.T) {
	var g Group
	now := start
	e := g.New(Settings{Slots: 2})
	for range 50 {
		now = answer(e, now, 200*time.Millisecond, Report{Incarnation: 1})
	}
	before := e.Service()
	now = now.Add(staleAfter)
	idle := e.ExpectedLatency(now)
	e.Observe(now, Report{Running: 2, Queue: 4})
	if e.Service() != before {
		t.Error("a probe has changed the service time")
	}
	if d := e.ExpectedLatency(now); d != 4*idle {
		t.Errorf("expected latency %v with six requests ahead at two slots, want four times %v", d, idle)
	}
}

// BenchmarkAnswerWithLoad measures what an answer with a report costs the estimator.
func BenchmarkAnswerWithLoad(b *testing.B) {
	var g Group
	e := g.New(Settings{Slots: 2})
	now := start
	for b.Loop() {
		now = answer(e, now, 10*time.Millisecond, Report{Incarnation: 1, Running: 2, Queue: 1, Pace: 1.2})
	}
}
