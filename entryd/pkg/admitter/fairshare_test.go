package admitter

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"plantaincleat/tier/gen/peer"
)

func TestFairShareIsMaxMinFair(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total := rapid.Float64Range(0.1, 1e5).Draw(t, "total")
		wanted := rapid.SliceOfN(rapid.Float64Range(0, 1e5), 1, 30).Draw(t, "wanted")
		sum, demand := 0.0, 0.0
		for i, own := range wanted {
			others := append(append([]float64{}, wanted[:i]...), wanted[i+1:]...)
			s := fairShare(total, others, 0)
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
		if got := fairShare(90, c.others, c.unknown); math.Abs(got-c.want) > 1e-9 {
			t.Errorf("%s: share %v, want %v", c.name, got, c.want)
		}
	}
}

// TestQuotaFollowsGossip checks the quota of one of three daemons as demands are
// gossiped, grow stale, and the other daemons are partitioned off.
func TestQuotaFollowsGossip(t *testing.T) {
	a := newAdmitter()
	report := func(daemon string, rate float64, beat uint64) *peer.Demand {
		return &peer.Demand{
			Daemon:      daemon,
			Institution: "corrib",
			Rate:        rate,
			Concurrency: uint32(rate / 10),
			Beat:        beat,
		}
	}
	live := []string{"a", "b", "c"}
	steps := []struct {
		name        string
		after       time.Duration
		live        []string
		demands     []*peer.Demand
		rate        float64
		concurrency int
	}{
		{name: "nothing gossiped", live: live, rate: 100, concurrency: 10},
		{name: "others are idle", live: live, demands: []*peer.Demand{report("b", 10, 5), report("c", 0, 5)}, rate: 290, concurrency: 29},
		{name: "one is busy", live: live, demands: []*peer.Demand{report("b", 900, 6)}, rate: 150, concurrency: 15},
		{name: "an older demand is ignored", live: live, demands: []*peer.Demand{report("b", 10, 5)}, rate: 150, concurrency: 15},
		{name: "gossip is stale", after: maxDemandAge, live: live, demands: []*peer.Demand{report("b", 900, 6)}, rate: 100, concurrency: 10},
		{name: "the others are partitioned off", live: []string{"a"}, rate: 300, concurrency: 30},
	}
	now := start
	for _, s := range steps {
		now = now.Add(s.after)
		a.Observe(now, s.live, s.demands)
		got := a.Stats().Quotas["corrib"]
		if math.Abs(got.Rate-s.rate) > 1e-9 || got.Concurrency != s.concurrency {
			t.Errorf("%s: quota %+v, want rate %v and concurrency %d", s.name, got, s.rate, s.concurrency)
		}
	}
}
