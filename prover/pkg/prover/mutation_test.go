package prover

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"plantaincleat/prover/pkg/deployer"
	"plantaincleat/standin/pkg/kvserver"
	"plantaincleat/standin/pkg/searcher"
)

// forgetful are the faults of the answers of targets to mutations.
func forgetful() searcher.Faults {
	return searcher.Faults{
		LoseOutcome: 0.15,
		Shed:        0.1,
		Late:        0.1,
		LagMillis:   100,
	}
}

// disturbStore loses and delays answers of the key-value service, and has it
// out for a while, until the stop.
func disturbStore(d *deployer.Deployment, stop <-chan struct{}) {
	faults := []kvserver.Faults{
		{LoseAnswers: 5},
		{DelayWrites: 3, WriteDelay: kvserver.Duration(2 * time.Second)},
		{Outage: true},
		{Delay: kvserver.Duration(50 * time.Millisecond)},
		{},
	}
	for i := 0; ; i++ {
		d.FaultKV(faults[i%len(faults)])
		select {
		case <-stop:
			d.FaultKV(kvserver.Faults{})
			return
		case <-time.After(calm / 2):
		}
	}
}

// mutateUnderFaults sends mutations while daemons are killed and paused, a data
// centre is cut off and answers are lost, and returns the keys whose history
// breaks a promise, each with its history.
func mutateUnderFaults(t *testing.T, p deployer.Programs, seed uint64) []string {
	t.Helper()
	d := deployer.New(t, options(t, p))
	s := newSender(d)
	ctx, cancel := context.WithCancel(context.Background())
	stop := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() { s.run(ctx, seed) })
	wg.Go(func() { disturbStore(d, stop) })
	d.FaultTargets(forgetful())
	for range rounds() {
		disturb(d)
		d.Cut(3, false)
		d.Daemons()[0].Freeze()
		d.Pause(2 * calm)
		d.Daemons()[0].Resume()
		d.Heal()
		d.Pause(calm)
	}
	close(stop)
	cancel()
	wg.Wait()
	d.FaultTargets(searcher.Faults{})
	d.Whole()
	s.settle()
	return broken(t, s.sends, d.Executions(), time.Since(s.start))
}

// settle sends each key whose end is unknown once more, and lets work that is
// under way end.
func (s *sender) settle() {
	last := make(map[string]send)
	for _, one := range s.sends {
		if kept, ok := last[one.key]; !ok || kept.verdict != done && (one.verdict == done || one.order > kept.order) {
			last[one.key] = one
		}
	}
	rng := rand.New(rand.NewPCG(1, 1))
	for _, one := range last {
		if one.verdict == unknown {
			s.send(one.key, one.record, one.order+1, one.number > 0, rng.IntN(fleet))
		}
	}
	s.d.Pause(2 * calm)
}

// broken checks every key.
func broken(t *testing.T, sends []send, executions []searcher.Execution, end time.Duration) []string {
	t.Helper()
	verdicts := make(map[verdict]int)
	for _, one := range sends {
		verdicts[one.verdict]++
	}
	t.Logf("%d sends: %v; %d runs", len(sends), verdicts, len(executions))
	if verdicts[done] == 0 {
		t.Error("no mutation was answered as done")
	}
	var out []string
	model := mutations()
	for key, ops := range histories(sends, executions, end) {
		if !porcupine.CheckOperations(model, ops) {
			out = append(out, key+describe(ops, executions))
		}
	}
	return out
}

// describe shows the history of one key.
func describe(ops []porcupine.Operation, executions []searcher.Execution) string {
	var b strings.Builder
	for _, op := range ops {
		switch in := op.Input.(type) {
		case send:
			fmt.Fprintf(&b, "\n  %v to %v: send %d (number %d) to %s: %s %s%s", in.call, in.end, in.order, in.number, in.daemon, in.verdict, in.outcome, in.refusal)
			for _, e := range executions {
				if e.Key == in.key && op.ClientId == 0 {
					fmt.Fprintf(&b, "\n  run at %s at %v", e.Target, time.Unix(0, e.Time).UTC())
				}
			}
		case reading:
			fmt.Fprintf(&b, "\n  %d runs", in.runs)
		}
	}
	return b.String()
}

// TestMutationsRunAtMostOnce sends mutations again and again through different
// daemons, under faults. None may run twice, none may run that was answered as
// not run, and the outcome of a key must stay the same.
func TestMutationsRunAtMostOnce(t *testing.T) {
	for _, key := range mutateUnderFaults(t, programs, 5) {
		t.Errorf("key %s", key)
	}
}

// TestMutationMutantsAreFound shows that broken promises are seen.
func TestMutationMutantsAreFound(t *testing.T) {
	tests := []struct {
		name   string
		mutant deployer.Mutant
		mutate func(t *testing.T, p deployer.Programs, seed uint64) []string
	}{
		{
			name: "claim skipped",
			mutant: deployer.Mutant{
				File: "entryd/pkg/dispatcher/runner.go",
				Old:  "result := r.d.claims.Claim(ctx, r.claim(peer.ClaimKind_CLAIM_KIND_TAKE))",
				New:  "result := &peer.ClaimResult{Verdict: peer.Verdict_VERDICT_GRANTED}",
			},
			mutate: mutateOnBothSides,
		},
		{
			name: "append without fence",
			mutant: deployer.Mutant{
				File: "entryd/pkg/claimer/write.go",
				Old:  "\t\t\t{\n\t\t\t\tKey:         path,\n\t\t\t\tModRevision: 0,\n\t\t\t},\n",
			},
			mutate: mutateOnBothSides,
		},
		{
			name: "not run without release",
			mutant: deployer.Mutant{
				File: "entryd/pkg/dispatcher/attempt.go",
				Old:  "\t\tReason:     reason,\n\t}\n\tif a.number == 1 {",
				New:  "\t\tReason:     reason,\n\t}\n\tif true {",
			},
			mutate: mutateUnderFaults,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			keys := test.mutate(t, mutate(t, test.mutant), 6)
			t.Logf("%d keys break a promise", len(keys))
			if len(keys) == 0 {
				t.Error("no key breaks a promise")
				return
			}
			t.Log(keys[0])
		})
	}
}

// pairs is the number of mutations that each caller sends to both sides of a
// cut.
const pairs = 12

// mutateOnBothSides cuts off a data centre, though not from the key-value
// service, waits until the daemons of each side take the others for dead, so
// that both sides keep the same claims, and sends each mutation to both sides at
// once.
func mutateOnBothSides(t *testing.T, p deployer.Programs, seed uint64) []string {
	t.Helper()
	d := deployer.New(t, options(t, p))
	d.Cut(3, false)
	d.Until("the sides take each other for dead", func() bool { return d.Daemons()[2].Live() == 2 && d.Daemons()[0].Live() == 4 })
	s := newSender(d)
	var wg sync.WaitGroup
	for i := range senders {
		wg.Go(func() {
			rng := rand.New(rand.NewPCG(seed, uint64(i)))
			for range pairs {
				s.pair(rng)
			}
		})
	}
	wg.Wait()
	d.Heal()
	d.Whole()
	s.settle()
	return broken(t, s.sends, d.Executions(), time.Since(s.start))
}

// pair sends one mutation through a daemon of each side of the cut at once.
func (s *sender) pair(rng *rand.Rand) {
	key := newKey(rng)
	record := fmt.Sprintf("%04x.%s", rng.IntN(1<<16), key[:8])
	sides := []int{rng.IntN(2), 2}
	var wg sync.WaitGroup
	for i, daemon := range sides {
		daemon += 3 * rng.IntN(2)
		wg.Go(func() { s.send(key, record, i+1, true, daemon) })
	}
	wg.Wait()
}

// TestBothSidesKeepClaims has two daemons keep the same claims, on both sides of
// a cut. No mutation may run on both sides.
func TestBothSidesKeepClaims(t *testing.T) {
	for _, key := range mutateOnBothSides(t, programs, 6) {
		t.Errorf("key %s", key)
	}
}

// TestResendToDaemonWithoutConfiguration sends a mutation whose answer is lost
// after its run, and sends it again to a daemon that was started in a data
// centre that is cut off. That daemon knows nothing of the first send, so it
// must not say that the request was not run.
func TestResendToDaemonWithoutConfiguration(t *testing.T) {
	d := deployer.New(t, options(t, programs))
	s := newSender(d)
	d.FaultTargets(searcher.Faults{LoseOutcome: 1})
	rng := rand.New(rand.NewPCG(7, 7))
	numbered, plain := newKey(rng), newKey(rng)
	for _, key := range []string{numbered, plain} {
		if v := s.send(key, "8000.1", 1, key == numbered, 0); v != unknown {
			t.Fatalf("the first send was answered as %s", v)
		}
	}
	if n := len(d.Executions()); n != 2 {
		t.Fatalf("%d runs, want 2", n)
	}
	cutOff := []*deployer.Daemon{d.Daemons()[2], d.Daemons()[5]}
	for _, m := range cutOff {
		m.Kill()
	}
	d.Cut(3, true)
	for _, m := range cutOff {
		m.Start()
		d.Until("the daemon serves operators", func() bool {
			_, err := m.Status()
			return err == nil
		})
	}
	for _, key := range []string{numbered, plain} {
		if v := s.send(key, "8000.1", 2, key == numbered, 2); v == notRun {
			t.Errorf("key %s ran, but its resend was answered as not run: %s", key, s.sends[len(s.sends)-1].refusal)
		}
	}
}
