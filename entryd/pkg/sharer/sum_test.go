package sharer

import (
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func drawEpochs(t *rapid.T, n int, first modelEpoch) []modelEpoch {
	epochs := []modelEpoch{first}
	for range rapid.IntRange(1, 5).Draw(t, "changes") {
		last := epochs[len(epochs)-1]
		next := modelEpoch{
			at:           last.at + time.Duration(rapid.IntRange(500, 9000).Draw(t, "after"))*time.Millisecond,
			parts:        slices.Clone(last.parts),
			incarnations: slices.Clone(last.incarnations),
			leaving:      maps.Clone(last.leaving),
			limit:        last.limit,
		}
		for i, part := range next.parts {
			switch {
			case part == frozen:
				// A freeze lasts until the next change.
				next.parts[i] = 0
				next.incarnations[i] += restartStep
			case next.leaving[i]:
				next.parts[i] = down
			}
		}
		clear(next.leaving)
		kind := rapid.SampledFrom([]string{"cut data centre", "cut in parts", "cut single", "heal", "restart", "kill", "return", "lower", "freeze", "leave"}).Draw(t, "kind")
		share := rapid.Float64Range(0.02, 0.6).Draw(t, "share")
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "chosen"), 2))
		for i := range n {
			up, chosen := next.parts[i] != down, random.Float64() < share
			switch {
			case kind == "cut data centre" && up && i%3 == 0:
				next.parts[i] = 1
			case kind == "cut in parts" && up:
				next.parts[i] = random.IntN(3)
			case kind == "cut single" && up && chosen:
				next.parts[i] = 10 + i
			case kind == "heal" && up:
				next.parts[i] = 0
			case kind == "restart" && up && chosen, kind == "return" && !up:
				next.parts[i] = max(next.parts[i], 0)
				next.incarnations[i] += 1000000
			case kind == "kill" && chosen:
				next.parts[i] = down
			case kind == "freeze" && up && chosen:
				next.parts[i] = frozen
			case kind == "leave" && up && chosen:
				next.leaving[i] = true
			}
		}
		if kind == "lower" {
			next.limit.Rate *= share
		}
		next.lost = strings.HasPrefix(kind, "cut") || kind == "kill" || kind == "freeze"
		epochs = append(epochs, next)
	}
	return epochs
}

func firstEpoch(n, joined int, l Limit) modelEpoch {
	e := modelEpoch{
		limit:   l,
		leaving: make(map[int]bool),
	}
	for i := range n {
		if i < joined {
			e.parts, e.incarnations = append(e.parts, 0), append(e.incarnations, 1)
		} else {
			e.parts, e.incarnations = append(e.parts, down), append(e.incarnations, 0)
		}
	}
	return e
}

// TestSumHolds guards against daemons that together admit more requests of an institution
// than its limit allows in a window, whatever happens to them and however requests arrive:
// cuts in parts, restarts, joins, kills, freezes, stops, lowered limits, an institution that
// sends many times its limit, and callers that move between daemons.
func TestSumHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.SampledFrom([]int{3, 6, 12, 30, 89}).Draw(t, "daemons")
		limit := Limit{
			Rate:  rapid.SampledFrom([]float64{0.2, 0.9, 3, 9, 40}).Draw(t, "rate"),
			Burst: rapid.SampledFrom([]float64{0, 2, 20}).Draw(t, "burst"),
		}
		quota := Quota{
			Window:  5 * time.Second,
			Overage: 0.1,
			Slack:   20,
		}
		joined := rapid.IntRange((n+1)/2, n).Draw(t, "joined")
		m := newModel(n, quota, rapid.Uint64().Draw(t, "seed"), drawEpochs(t, n, firstEpoch(n, joined, limit)))
		load := rapid.SampledFrom([]float64{0.6, 1.5, 7.5, 40}).Draw(t, "load")
		spread := rapid.SampledFrom([]string{"one", "all", "moving"}).Draw(t, "spread")
		m.play(0, func(time.Duration) float64 { return load * limit.Rate }, func(at time.Duration) int {
			switch spread {
			case "one":
				return n / 2
			case "moving":
				return int(at/(700*time.Millisecond)) * 7 % n
			}
			return m.random.IntN(n)
		})
		if over, end := m.excess(); over > 0 {
			t.Fatalf("%.1f requests too many in the window that ends at %s", over, end)
		}
	})
}

// TestSumHoldsInTroubles answers the load of an institution with a high rate that sends many
// times its limit, in the troubles in which two daemons may lend at the same time: those
// whose daemons do not hear of each other, or hear of each other at different times.
func TestSumHoldsInTroubles(t *testing.T) {
	tests := []struct {
		name   string
		change func(e *modelEpoch, i int)
		// again is true if the first state returns.
		again bool
	}{
		{name: "one daemon restarts", change: func(e *modelEpoch, i int) {
			if i == 0 {
				e.incarnations[i] += 1000000
			}
		}},
		{name: "half of the daemons restart", change: func(e *modelEpoch, i int) {
			if i%2 == 0 {
				e.incarnations[i] += 1000000
			}
		}},
		{name: "two parts", again: true, change: func(e *modelEpoch, i int) { e.parts[i], e.lost = i%2, true }},
		{name: "three parts", again: true, change: func(e *modelEpoch, i int) { e.parts[i], e.lost = i%3, true }},
		{name: "each alone", again: true, change: func(e *modelEpoch, i int) { e.parts[i], e.lost = i, true }},
		{name: "a low limit", again: true, change: func(e *modelEpoch, _ int) { e.limit = Limit{Rate: 2} }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			for seed := range uint64(60) {
				n := []int{2, 3, 6, 12}[seed%4]
				limit := Limit{Rate: []float64{9, 40, 100}[seed%3]}
				first := firstEpoch(n, n, limit)
				epochs := []modelEpoch{first, firstEpoch(n, n, limit), firstEpoch(n, n, limit)}
				epochs[1].at, epochs[2].at = 12*time.Second, 22*time.Second
				for i := range n {
					test.change(&epochs[1], i)
				}
				if !test.again {
					epochs = epochs[:2]
				}
				m := newModel(n, Quota{Window: 5 * time.Second, Overage: 0.1, Slack: 20}, seed, epochs)
				m.play(0, func(time.Duration) float64 { return 7.5 * limit.Rate }, func(time.Duration) int { return m.random.IntN(n) })
				if over, end := m.excess(); over > 0 {
					t.Errorf("seed %d: %.1f requests too many in the window that ends at %s", seed, over, end)
				}
			}
		})
	}
}

// TestNothingBelowTheLimitIsRefused answers loads within a limit in a fleet without troubles:
// all of it must be served, wherever it arrives.
func TestNothingBelowTheLimitIsRefused(t *testing.T) {
	tests := []struct {
		name    string
		daemons int
		limit   Limit
		to      func(at time.Duration, random *rand.Rand, n int) int
	}{
		{name: "a request each five seconds at one daemon", daemons: 89, limit: Limit{Rate: 0.2, Burst: 1}, to: atOne},
		{name: "callers move within a second", daemons: 89, limit: Limit{Rate: 9, Burst: 5}, to: moving},
		{name: "a large institution at all daemons", daemons: 89, limit: Limit{Rate: 40, Burst: 8}, to: anywhere},
		{name: "a large institution at one daemon", daemons: 12, limit: Limit{Rate: 40, Burst: 8}, to: atOne},
		{name: "a large fleet", daemons: 450, limit: Limit{Rate: 9, Burst: 2}, to: anywhere},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			n := test.daemons
			m := newModel(n, Quota{Window: 5 * time.Second, Overage: 0.1, Slack: 20}, 1, []modelEpoch{firstEpoch(n, n, test.limit)})
			var within Bucket
			within.Set(m.clock(0), test.limit.Rate, test.limit.Burst)
			for at := time.Duration(0); at < modelLength; at += modelStep {
				for i := range n {
					m.update(at, i)
				}
				// Requests come as fast as the limit allows, in bursts and evenly by turns.
				if at < 15*time.Second || at%(8*time.Second) < 3*time.Second {
					continue
				}
				for within.Take(m.clock(at)) {
					m.request(at, test.to(at, m.random, n))
				}
			}
			if m.refused > 0 || len(m.admitted) == 0 {
				t.Errorf("%d of %d requests within the limit refused", m.refused, m.refused+len(m.admitted))
			}
		})
	}
}

func atOne(time.Duration, *rand.Rand, int) int { return 1 }

func moving(at time.Duration, _ *rand.Rand, n int) int { return int(at/(400*time.Millisecond)) * 7 % n }

func anywhere(_ time.Duration, random *rand.Rand, n int) int { return random.IntN(n) }
