package admitter_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"plantaincleat/entryd/pkg/admitter"
	"plantaincleat/entryd/pkg/budgeter"
	"plantaincleat/entryd/pkg/estimator"
	"plantaincleat/entryd/pkg/limiter"
	"plantaincleat/tier/gen/config"
)

// runSimulation offers load in phases of ten seconds, each at a multiple of the
// capacity, and counts the queries that arrive in the phase with index measure. One
// target's service time is multiplied by slow.
func runSimulation(baseline bool, slow time.Duration, measure int, phases ...float64) *run {
	const phase = 10 * time.Second
	r := &run{
		simulation: simulation{
			random: rand.New(rand.NewPCG(11, 12)),
		},
		from:    time.Duration(measure) * phase,
		until:   time.Duration(measure+1) * phase,
		refused: map[admitter.Kind]int{},
	}
	var targets [shards][2]*fakeTarget
	for i := range targets {
		for k := range targets[i] {
			targets[i][k] = &fakeTarget{
				sim: &r.simulation,
			}
		}
	}
	targets[0][0].slowFactor = slow
	var fleet []*daemon
	for n := range daemons {
		fleet = append(fleet, newDaemon(r, baseline, uint64(n), targets))
	}
	end := time.Duration(len(phases)) * phase
	arrivals := rand.New(rand.NewPCG(13, 14))
	var arrive func()
	arrive = func() {
		if r.at >= end {
			return
		}
		fleet[arrivals.IntN(daemons)].offer()
		rate := phases[min(int(r.at/phase), len(phases)-1)] * capacity
		r.after(time.Duration(arrivals.ExpFloat64()/rate*float64(time.Second)), arrive)
	}
	arrive()
	r.runUntil(end + time.Second)
	slices.Sort(r.latencies)
	return r
}

func newDaemon(r *run, baseline bool, seed uint64, targets [shards][2]*fakeTarget) *daemon {
	d := &daemon{
		run:            r,
		baseline:       baseline,
		hedge:          budgeter.New(budgeter.DefaultHedgeFraction),
		retry:          budgeter.New(budgeter.DefaultRetryFraction),
		waitingQueries: map[*admitter.Ticket]*query{},
		admitter: admitter.New(admitter.Settings{
			Random: rand.New(rand.NewPCG(seed, 0)),
		}),
	}
	d.admitter.Configure(origin, []*config.Institution{{
		Name: "corrib",
	}})
	for i := range targets {
		for k, t := range targets[i] {
			d.targets[i][k] = &targetView{
				target: t,
				estimator: d.estimators.New(estimator.Settings{
					Slots: fakeSlots,
				}),
				limiter: d.group.New(limiter.Settings{
					Slots: fakeSlots,
				}),
			}
		}
	}
	return d
}

// String returns the results as one line.
func (r *run) String() string {
	seconds := (r.until - r.from).Seconds()
	p99 := time.Duration(0)
	if n := len(r.latencies); n > 0 {
		p99 = r.latencies[n*99/100]
	}
	sent := float64(max(r.sent, 1))
	refused := 0
	for _, n := range r.refused {
		refused += n
	}
	return fmt.Sprintf("%7.1f q/s  p99 %5.1f ms  refused %5.1f %%  late %5.1f %%  hedges %5.2f %%  retries %5.2f %%  longest wait before a refusal %v",
		float64(r.completed)/seconds, float64(p99)/1e6,
		100*float64(refused)/float64(r.offered), 100*float64(r.expired)/float64(r.offered),
		100*float64(r.hedges)/sent, 100*float64(r.retries)/sent, r.longestWait)
}

// TestOverload logs goodput, latency, refusals and extra load with admission control
// and of the baseline. With admission control, it checks the bounds of hedges and of
// the wait before a refusal, and that goodput at twice the capacity stays near the
// peak.
func TestOverload(t *testing.T) {
	peak, last := 0, 0
	for _, load := range []float64{0.5, 0.9, 1.2, 2} {
		baseline, controlled := runSimulation(true, 1, 1, load, load), runSimulation(false, 1, 1, load, load)
		t.Logf("%.1f× baseline  %v", load, baseline)
		t.Logf("%.1f× admission %v", load, controlled)
		peak, last = max(peak, controlled.completed), controlled.completed
		if bound := budgeter.DefaultHedgeFraction*float64(controlled.sent) + daemons*budgeter.DefaultBurst; float64(controlled.hedges) > bound {
			t.Errorf("load %.1f×: %d hedges for %d sub-requests exceed the budget", load, controlled.hedges, controlled.sent)
		}
		if controlled.longestWait > admitter.DefaultWait {
			t.Errorf("load %.1f×: a request was refused after %v", load, controlled.longestWait)
		}
	}
	if float64(last) < 0.9*float64(peak) {
		t.Errorf("goodput at 2×: %d queries, peak %d", last, peak)
	}
}

// TestRecovery offers twice the capacity for ten seconds between two phases at 0.8
// times the capacity, and checks that goodput recovers within four seconds.
func TestRecovery(t *testing.T) {
	for _, baseline := range []bool{true, false} {
		r := runSimulation(baseline, 1, 2, 0.8, 2, 0.8)
		t.Logf("baseline %v: goodput by second %v", baseline, r.completedBySecond[5:30])
		if after := r.completedBySecond[23]; !baseline && float64(after) < 0.95*0.8*capacity {
			t.Errorf("goodput of %d queries in the fourth second after the overload", after)
		}
	}
}

// TestStraggler logs the results with one target of sixteen ten times slower.
func TestStraggler(t *testing.T) {
	for _, slow := range []time.Duration{1, 10} {
		t.Logf("slow %d× baseline  %v", slow, runSimulation(true, slow, 1, 0.3, 0.3))
		t.Logf("slow %d× admission %v", slow, runSimulation(false, slow, 1, 0.3, 0.3))
	}
}
