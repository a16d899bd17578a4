package admitter

import (
	"math"
	"testing"
	"time"

	"plantaincleat/tier/gen/peer"
)

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
