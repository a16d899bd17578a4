package limiter

import (
	"math"
	"sync"
	"testing"

	"pgregory.net/rapid"
)

func TestLimiterInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var g Group
		slots := rapid.IntRange(1, 6).Draw(t, "slots")
		l := g.New(Settings{
			Slots: slots,
		})
		var permits []Permit
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "acquire") {
				allowed := rapid.SampledFrom([]int{1, 3, math.MaxInt}).Draw(t, "allowed")
				before := l.InFlight()
				p, ok := l.Acquire(allowed)
				if ok != (before < min(allowed, l.Limit())) {
					t.Fatalf("Acquire returned %v with %d of %d in flight, allowed %d", ok, before, l.Limit(), allowed)
				}
				if ok {
					permits = append(permits, p)
				}
			} else if len(permits) > 0 {
				i := rapid.IntRange(0, len(permits)-1).Draw(t, "i")
				r := rapid.SampledFrom([]Result{Neutral, Success, Shed, Timeout}).Draw(t, "result")
				l.Release(permits[i], r, 0)
				permits = append(permits[:i], permits[i+1:]...)
			}
			if l.InFlight() != len(permits) || g.InFlight() != len(permits) {
				t.Fatalf("%d in flight, group %d, want %d permits", l.InFlight(), g.InFlight(), len(permits))
			}
			if l.Limit() < 1 || l.Limit() > slots*2*ceilingFactor || g.Limit() != l.Limit() {
				t.Fatalf("limit %d, group limit %d", l.Limit(), g.Limit())
			}
		}
	})
}

// fill acquires all permits that the limit allows.
func fill(l *Limiter) []Permit {
	var permits []Permit
	for {
		p, ok := l.Acquire(math.MaxInt)
		if !ok {
			return permits
		}
		permits = append(permits, p)
	}
}

func TestLimitAdjustment(t *testing.T) {
	cases := []struct {
		name   string
		result Result
		queue  int
		rounds int
		want   int
	}{
		{name: "initial limit is slots and queue", rounds: 0, want: 4},
		{name: "one round of sheds decreases once", result: Shed, rounds: 1, want: 3},
		{name: "one round of timeouts halves", result: Timeout, rounds: 1, want: 2},
		{name: "sheds leave a limit of one", result: Shed, rounds: 50, want: 1},
		{name: "successes increase", result: Success, rounds: 200, want: 16},
		{name: "a queue at the target prevents an increase", result: Success, queue: 3, rounds: 200, want: 4},
		{name: "a long queue at the target decreases", result: Success, queue: 9, rounds: 3, want: 2},
		{name: "other results change nothing", result: Neutral, rounds: 50, want: 4},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var g Group
			l := g.New(Settings{
				Slots: 2,
			})
			for range c.rounds {
				for _, p := range fill(l) {
					l.Release(p, c.result, c.queue)
				}
			}
			if l.Limit() != c.want {
				t.Errorf("limit %d, want %d", l.Limit(), c.want)
			}
		})
	}
}

func TestUnusedLimitDoesNotRise(t *testing.T) {
	var g Group
	l := g.New(Settings{
		Slots: 4,
	})
	for range 1000 {
		p, _ := l.Acquire(math.MaxInt)
		l.Release(p, Success, 0)
	}
	if l.Limit() != 8 {
		t.Errorf("limit %d, want 8", l.Limit())
	}
}

func TestConcurrentUse(t *testing.T) {
	var g Group
	l := g.New(Settings{
		Slots: 3,
	})
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			for i := range 2000 {
				if p, ok := l.Acquire(math.MaxInt); ok {
					l.Release(p, Result(i%4), i%20)
				}
			}
		})
	}
	wg.Wait()
	if l.InFlight() != 0 || g.InFlight() != 0 || g.Limit() != l.Limit() {
		t.Errorf("in flight %d, group %d; limit %d, group %d", l.InFlight(), g.InFlight(), l.Limit(), g.Limit())
	}
}

func TestSaturation(t *testing.T) {
	var g Group
	l := g.New(Settings{
		Slots: 2,
	})
	other := g.New(Settings{
		Slots: 2,
	})
	fill(l)
	if g.Saturated() {
		t.Error("group is saturated with one of two targets at its limit")
	}
	fill(other)
	if !g.Saturated() {
		t.Error("group is not saturated with both targets at their limits")
	}
}

func TestConnectionBudget(t *testing.T) {
	cases := []struct {
		connections, cells, want int
	}{
		{connections: 25, cells: 1, want: 12},
		{connections: 25, cells: 8, want: 1},
		{connections: 110, cells: 8, want: 6},
		{connections: 0, cells: 0, want: 1},
	}
	for _, c := range cases {
		budget := ConnectionBudget(c.connections, c.cells)
		if budget != c.want {
			t.Errorf("ConnectionBudget(%d, %d) = %d, want %d", c.connections, c.cells, budget, c.want)
		}
		var g Group
		l := g.New(Settings{
			Connections: budget,
		})
		n := 0
		for l.AcquireConnection() {
			n++
		}
		l.ReleaseConnection()
		if n != c.want || !l.AcquireConnection() || l.AcquireConnection() {
			t.Errorf("%d connections acquired, want %d", n, c.want)
		}
	}
}

func BenchmarkAcquireRelease(b *testing.B) {
	var g Group
	l := g.New(Settings{
		Slots: 6,
	})
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if p, ok := l.Acquire(math.MaxInt); ok {
				l.Release(p, Success, 0)
			}
		}
	})
}
