package budgeter

import (
	"testing"

	"pgregory.net/rapid"
)

// TestBoundHoldsInEveryWindow checks the bound between all pairs of points of a
// random run, which covers windows of every length.
func TestBoundHoldsInEveryWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fraction := rapid.SampledFrom([]float64{0, 0.01, DefaultHedgeFraction, DefaultRetryFraction, 1}).Draw(t, "fraction")
		b := New(fraction)
		sent, extra := []float64{0}, []float64{0}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			n := rapid.SampledFrom([]int{0, 1, 20, 710, 50_000}).Draw(t, "sent")
			b.Earn(n)
			got := 0
			for range rapid.IntRange(0, 100).Draw(t, "wanted") {
				if b.Take(false) {
					got++
				}
			}
			sent = append(sent, sent[len(sent)-1]+float64(n))
			extra = append(extra, extra[len(extra)-1]+float64(got))
		}
		for i := range sent {
			if extra[i] > fraction*sent[i] {
				t.Fatalf("%v extra sub-requests for %v sent since the start", extra[i], sent[i])
			}
			for j := range i {
				if extra[i]-extra[j] > fraction*(sent[i]-sent[j])+DefaultBurst {
					t.Fatalf("%v extra sub-requests for %v sent in a window", extra[i]-extra[j], sent[i]-sent[j])
				}
			}
		}
	})
}

func TestBudgetAllowsFraction(t *testing.T) {
	b := New(DefaultHedgeFraction)
	got := 0
	for range 10_000 {
		b.Earn(1)
		if b.Take(false) {
			got++
		}
	}
	if got < 498 || got > 500 {
		t.Errorf("%d extra sub-requests for 10000 sent, want 498 to 500", got)
	}
	if b.Spent() != int64(got) || b.Refused() != int64(10_000-got) {
		t.Errorf("spent %d, refused %d", b.Spent(), b.Refused())
	}
}

func TestRefund(t *testing.T) {
	b := New(1)
	b.Earn(1)
	if b.Take(true) {
		t.Fatal("Take(true) returned true, want false for saturated targets")
	}
	if !b.Take(false) || b.Take(false) {
		t.Fatal("want exactly one token before the refund")
	}
	b.Refund()
	if !b.Take(false) || b.Take(false) {
		t.Error("want exactly one token after the refund")
	}
	if b.Spent() != 1 {
		t.Errorf("spent %d", b.Spent())
	}
}

func BenchmarkEarnTake(b *testing.B) {
	budget := New(DefaultHedgeFraction)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			budget.Earn(1)
			budget.Take(false)
		}
	})
}
