package sharer

import (
	"math"
	"testing"

	"pgregory.net/rapid"
)

func TestFairShareIsMaxMinFair(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total := rapid.Float64Range(0.1, 1e5).Draw(t, "total")
		wanted := rapid.SliceOfN(rapid.Float64Range(0, 1e5), 1, 30).Draw(t, "wanted")
		sum, demand := 0.0, 0.0
		for i, own := range wanted {
			others := append(append([]float64{}, wanted[:i]...), wanted[i+1:]...)
			s := FairShare(total, others, 0)
			if s < total/float64(len(wanted))*(1-1e-9) {
				t.Fatalf("share of daemon %d is %v, less than an equal share", i, s)
			}
			sum += min(own, s)
			demand += own
		}
		if sum > total*(1+1e-9) {
			t.Fatalf("shares in use add up to %v of %v", sum, total)
		}
		if want := min(total, demand); sum < want*(1-1e-9) {
			t.Fatalf("shares in use add up to %v, want the demand of %v up to the total of %v", sum, demand, total)
		}
	})
}

func TestFairShareWithUnknownDemands(t *testing.T) {
	cases := []struct {
		name    string
		others  []float64
		unknown int
		want    float64
	}{
		{name: "alone", want: 90},
		{name: "no demand is known", unknown: 8, want: 10},
		{name: "two idle daemons", others: []float64{0, 0}, want: 90},
		{name: "one busy and one idle daemon", others: []float64{500, 0}, want: 45},
		{name: "one small and one unknown demand", others: []float64{10}, unknown: 1, want: 40},
	}
	for _, c := range cases {
		if got := FairShare(90, c.others, c.unknown); math.Abs(got-c.want) > 1e-9 {
			t.Errorf("%s: share %v, want %v", c.name, got, c.want)
		}
	}
}

// TestLeavingDaemonsHaveNoShare guards against daemons that leave the fleet and go on to use a share of
// a limit which those that stay have divided among themselves.
func TestLeavingDaemonsHaveNoShare(t *testing.T) {
	const limit = 60
	split := &Split{
		FleetBurst: 12,
	}
	staying := []string{"daemon-0", "daemon-1", "daemon-2"}
	sum := 0.0
	for _, self := range append([]string{"daemon-3", "daemon-4", "daemon-5"}, staying...) {
		rate, _ := Position{
			Target: "target",
			Members: &Members{
				Self: self,
				IDs:  staying,
			},
		}.Share(limit, split)
		sum += rate
	}
	if sum > limit {
		t.Errorf("shares of three daemons and of three that leave add up to %g of %d", sum, limit)
	}
}
