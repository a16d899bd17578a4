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

// simulate offers multiples of the capacity, one for each phase of ten
// seconds, and measures one of the phases.
func simulate(off bool, slow time.Duration, measure int, phases ...float64) *run {
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
	targets[0][0].slow = slow
	var fleet []*daemon
	for n := range daemons {
		fleet = append(fleet, newDaemon(r, off, uint64(n), targets))
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

func newDaemon(r *run, off bool, seed uint64, targets [shards][2]*fakeTarget) *daemon {
	d := &daemon{
		run:     r,
		off:     off,
		hedge:   budgeter.New(budgeter.DefaultHedgeFraction),
		retry:   budgeter.New(budgeter.DefaultRetryFraction),
		pending: map[*admitter.Ticket]*query{},
		admit: admitter.New(admitter.Settings{
			Random: rand.New(rand.NewPCG(seed, 0)),
		}),
	}
	d.admit.Configure(origin, []*config.Institution{{
		Name: "corrib",
	}})
	for i := range targets {
		for k, t := range targets[i] {
			d.lanes[i][k] = &lane{
				target: t,
				estimator: d.gauges.New(estimator.Settings{
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

// String prints a row of the report.
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
	return fmt.Sprintf("%7.1f q/s  p99 %5.1f ms  refused %5.1f %%  late %5.1f %%  hedges %5.2f %%  retries %5.2f %%  longest wait of a refusal %v",
		float64(r.good)/seconds, float64(p99)/1e6,
		100*float64(refused)/float64(r.offered), 100*float64(r.late)/float64(r.offered),
		100*float64(r.hedges)/sent, 100*float64(r.retries)/sent, r.wait)
}

// TestOverload prints goodput, latency, refusals and extra load with and
// without the mechanisms, and checks the goals.
func TestOverload(t *testing.T) {
	peak, last := 0, 0
	for _, load := range []float64{0.5, 0.9, 1.2, 2} {
		off, on := simulate(true, 1, 1, load, load), simulate(false, 1, 1, load, load)
		t.Logf("%.1f× off %v", load, off)
		t.Logf("%.1f× on  %v", load, on)
		peak, last = max(peak, on.good), on.good
		if bound := budgeter.DefaultHedgeFraction*float64(on.sent) + daemons*budgeter.DefaultBurst; float64(on.hedges) > bound {
			t.Errorf("%.1f×: %d hedges for %d sub-requests", load, on.hedges, on.sent)
		}
		if on.wait > admitter.DefaultWait {
			t.Errorf("%.1f×: a refusal came after %v", load, on.wait)
		}
	}
	if float64(last) < 0.9*float64(peak) {
		t.Errorf("goodput at 2×: %d of %d", last, peak)
	}
}

// TestRecovery offers 2× for ten seconds between two phases at 0.8×.
func TestRecovery(t *testing.T) {
	for _, off := range []bool{true, false} {
		r := simulate(off, 1, 2, 0.8, 2, 0.8)
		t.Logf("off %v: goodput by second %v", off, r.goodBySecond[5:30])
		if after := r.goodBySecond[23]; !off && float64(after) < 0.95*0.8*capacity {
			t.Errorf("%d q/s in the fourth second after the overload", after)
		}
	}
}

// TestStraggler slows one target of sixteen by ten.
func TestStraggler(t *testing.T) {
	for _, slow := range []time.Duration{1, 10} {
		t.Logf("slow %d× off %v", slow, simulate(true, slow, 1, 0.3, 0.3))
		t.Logf("slow %d× on  %v", slow, simulate(false, slow, 1, 0.3, 0.3))
	}
}
