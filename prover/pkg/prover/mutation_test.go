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

// mutationFaults are the faults of the answers of targets to mutations.
func mutationFaults() searcher.Faults {
	return searcher.Faults{
		LoseOutcome: 0.15,
		Shed:        0.1,
		Late:        0.1,
		LagMillis:   100,
	}
}

// disturbKV loses and delays answers of the key-value service, and has it
// out for a while, until the stop.
func disturbKV(d *deployer.Deployment, stop <-chan struct{}) {
	faults := []kvserver.Faults{
		{LoseAnswers: 5},
		{DelayWrites: 3, WriteDelay: kvserver.Duration(2 * time.Second)},
		{Outage: true},
		{Delay: kvserver.Duration(50 * time.Millisecond)},
		{},
	}
	for i := 0; ; i++ {
		d.SetKVFaults(faults[i%len(faults)])
		select {
		case <-stop:
			d.SetKVFaults(kvserver.Faults{})
			return
		case <-time.After(quietPeriod / 2):
		}
	}
}

// mutateUnderFaults sends mutations while daemons are killed and paused, a data
// centre is cut off and answers are lost, and returns the keys whose history
// breaks a promise, each with its history.
func mutateUnderFaults(t *testing.T, p deployer.Programs, seed uint64) []string {
	t.Helper()
	d := deployer.New(t, newOptions(t, p))
	s := newSender(d)
	ctx, cancel := context.WithCancel(context.Background())
	stop := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() { s.run(ctx, seed) })
	wg.Go(func() { disturbKV(d, stop) })
	d.SetTargetFaults(mutationFaults())
	for range rounds() {
		disturbDaemons(d)
		d.Partition(3, false)
		d.Daemons()[0].Freeze()
		d.Sleep(2 * quietPeriod)
		d.Daemons()[0].Resume()
		d.HealPartitions()
		d.Sleep(quietPeriod)
	}
	close(stop)
	cancel()
	wg.Wait()
	d.SetTargetFaults(searcher.Faults{})
	d.WaitUntilReady()
	s.resolveUnknown()
	return checkHistories(t, s.attempts, d.Executions(), time.Since(s.start))
}

// resolveUnknown sends each key whose end is unknown once more, and lets work that is
// under way end.
func (s *sender) resolveUnknown() {
	last := make(map[string]attempt)
	for _, a := range s.attempts {
		if kept, ok := last[a.key]; !ok || kept.verdict != done && (a.verdict == done || a.ordinal > kept.ordinal) {
			last[a.key] = a
		}
	}
	rng := rand.New(rand.NewPCG(1, 1))
	for _, a := range last {
		if a.verdict == executionUnknown {
			s.sendAttempt(a.key, a.record, a.ordinal+1, a.sentNumber > 0, rng.IntN(daemonCount))
		}
	}
	s.d.Sleep(2 * quietPeriod)
}

// checkHistories checks every key.
func checkHistories(t *testing.T, attempts []attempt, executions []searcher.Execution, end time.Duration) []string {
	t.Helper()
	verdicts := make(map[verdict]int)
	for _, a := range attempts {
		verdicts[a.verdict]++
	}
	t.Logf("%d sends: %v; %d runs", len(attempts), verdicts, len(executions))
	if verdicts[done] == 0 {
		t.Error("no mutation was answered as done")
	}
	var out []string
	model := mutationModel()
	for key, ops := range historiesByKey(attempts, executions, end) {
		if !porcupine.CheckOperations(model, ops) {
			out = append(out, key+formatHistory(ops, executions))
		}
	}
	return out
}

// formatHistory shows the history of one key.
func formatHistory(ops []porcupine.Operation, executions []searcher.Execution) string {
	var b strings.Builder
	for _, op := range ops {
		switch in := op.Input.(type) {
		case attempt:
			fmt.Fprintf(&b, "\n  %v to %v: send %d (number %d) to %s: %s %s%s", in.begin, in.end, in.ordinal, in.sentNumber, in.daemon, in.verdict, in.outcome, in.refusal)
			for _, e := range executions {
				if e.Key == in.key && op.ClientId == 0 {
					fmt.Fprintf(&b, "\n  run at %s at %v", e.Target, time.Unix(0, e.Time).UTC())
				}
			}
		case executionCount:
			fmt.Fprintf(&b, "\n  %d runs", in.n)
		}
	}
	return b.String()
}

// TestMutationsExecuteAtMostOnce sends mutations again and again through different
// daemons, under faults. None may run twice, none may run that was answered as
// not run, and the outcome of a key must stay the same.
func TestMutationsExecuteAtMostOnce(t *testing.T) {
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
			mutate: mutateAcrossPartition,
		},
		{
			name: "append without fence",
			mutant: deployer.Mutant{
				File: "entryd/pkg/claimer/write.go",
				Old:  "\t\t\t{\n\t\t\t\tKey:         path,\n\t\t\t\tModRevision: 0,\n\t\t\t},\n",
			},
			mutate: mutateAcrossPartition,
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
			keys := test.mutate(t, buildMutant(t, test.mutant), 6)
			t.Logf("%d keys break a promise", len(keys))
			if len(keys) == 0 {
				t.Error("no key breaks a promise")
				return
			}
			t.Log(keys[0])
		})
	}
}

// mutationsPerSender is the number of mutations that each caller sends to both sides of a
// cut.
const mutationsPerSender = 12

// mutateAcrossPartition cuts off a data centre, though not from the key-value
// service, waits until the daemons of each side take the others for dead, so
// that both sides keep the same claims, and sends each mutation to both sides at
// once.
func mutateAcrossPartition(t *testing.T, p deployer.Programs, seed uint64) []string {
	t.Helper()
	d := deployer.New(t, newOptions(t, p))
	d.Partition(3, false)
	d.WaitUntil("the sides take each other for dead", func() bool { return d.Daemons()[2].LiveMembers() == 2 && d.Daemons()[0].LiveMembers() == 4 })
	s := newSender(d)
	var wg sync.WaitGroup
	for i := range senders {
		wg.Go(func() {
			rng := rand.New(rand.NewPCG(seed, uint64(i)))
			for range mutationsPerSender {
				s.sendToBothSides(rng)
			}
		})
	}
	wg.Wait()
	d.HealPartitions()
	d.WaitUntilReady()
	s.resolveUnknown()
	return checkHistories(t, s.attempts, d.Executions(), time.Since(s.start))
}

// sendToBothSides sends one mutation through a daemon of each side of the cut at once.
func (s *sender) sendToBothSides(rng *rand.Rand) {
	key := newKey(rng)
	record := fmt.Sprintf("%04x.%s", rng.IntN(1<<16), key[:8])
	sides := []int{rng.IntN(2), 2}
	var wg sync.WaitGroup
	for i, daemon := range sides {
		daemon += 3 * rng.IntN(2)
		wg.Go(func() { s.sendAttempt(key, record, i+1, true, daemon) })
	}
	wg.Wait()
}

// TestBothSidesOfPartitionWriteClaims has two daemons keep the same claims, on both sides of
// a cut. No mutation may run on both sides.
func TestBothSidesOfPartitionWriteClaims(t *testing.T) {
	for _, key := range mutateAcrossPartition(t, programs, 6) {
		t.Errorf("key %s", key)
	}
}

// TestRetryAtDaemonWithoutConfiguration sends a mutation whose answer is lost
// after its run, and sends it again to a daemon that was started in a data
// centre that is cut off. That daemon knows nothing of the first send, so it
// must not say that the request was not run.
func TestRetryAtDaemonWithoutConfiguration(t *testing.T) {
	d := deployer.New(t, newOptions(t, programs))
	s := newSender(d)
	d.SetTargetFaults(searcher.Faults{LoseOutcome: 1})
	rng := rand.New(rand.NewPCG(7, 7))
	numbered, plain := newKey(rng), newKey(rng)
	for _, key := range []string{numbered, plain} {
		if v := s.sendAttempt(key, "8000.1", 1, key == numbered, 0); v != executionUnknown {
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
	d.Partition(3, true)
	for _, m := range cutOff {
		m.Start()
		d.WaitUntil("the daemon serves operators", func() bool {
			_, err := m.Status()
			return err == nil
		})
	}
	for _, key := range []string{numbered, plain} {
		if v := s.sendAttempt(key, "8000.1", 2, key == numbered, 2); v == notExecuted {
			t.Errorf("key %s ran, but its resend was answered as not run: %s", key, s.attempts[len(s.attempts)-1].refusal)
		}
	}
}
