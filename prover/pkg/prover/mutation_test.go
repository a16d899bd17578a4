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

// mutationFaults returns the faults of the targets while mutations are sent.
func mutationFaults() searcher.Faults {
	return searcher.Faults{
		LoseOutcome: 0.15,
		Shed:        0.1,
		Late:        0.1,
		LagMillis:   100,
	}
}

// disturbKV cycles through the faults of the key-value service, among them lost
// and delayed answers and an outage, until stop is closed.
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

// mutateUnderFaults sends mutations while daemons are killed and frozen, a data
// centre is partitioned and answers are lost. It returns the keys whose
// histories are illegal, each with its history.
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

// resolveUnknown sends one more attempt of each key whose result is unknown,
// and waits until requests in progress have ended.
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

// checkHistories checks the history of every key against the model and returns
// the keys whose histories are illegal, each with its history.
func checkHistories(t *testing.T, attempts []attempt, executions []searcher.Execution, end time.Duration) []string {
	t.Helper()
	verdicts := make(map[verdict]int)
	for _, a := range attempts {
		verdicts[a.verdict]++
	}
	t.Logf("%d attempts: %v; %d executions", len(attempts), verdicts, len(executions))
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

// formatHistory returns the history of one key as text, one line for each
// operation and execution.
func formatHistory(ops []porcupine.Operation, executions []searcher.Execution) string {
	var b strings.Builder
	for _, op := range ops {
		switch in := op.Input.(type) {
		case attempt:
			fmt.Fprintf(&b, "\n  %v to %v: attempt %d (sent number %d) to %s: %s %s%s", in.begin, in.end, in.ordinal, in.sentNumber, in.daemon, in.verdict, in.outcome, in.refusal)
			for _, e := range executions {
				if e.Key == in.key && op.ClientId == 0 {
					fmt.Fprintf(&b, "\n  executed by %s at %v", e.Target, time.Unix(0, e.Time).UTC())
				}
			}
		case executionCount:
			fmt.Fprintf(&b, "\n  %d executions", in.n)
		}
	}
	return b.String()
}

// TestMutationsExecuteAtMostOnce sends several attempts of each mutation
// through different daemons, under faults. No mutation may be executed twice or
// after it was answered as not executed, and the outcome of a key must not
// change.
func TestMutationsExecuteAtMostOnce(t *testing.T) {
	for _, key := range mutateUnderFaults(t, programs, 5) {
		t.Errorf("key %s", key)
	}
}

// TestMutationMutantsAreFound shows that illegal histories are detected: each
// mutant must cause at least one.
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
			t.Logf("%d keys have illegal histories", len(keys))
			if len(keys) == 0 {
				t.Error("the mutant was not detected: no key has an illegal history")
				return
			}
			t.Log(keys[0])
		})
	}
}

// mutationsPerSender is the number of mutations that each caller sends to both
// sides of a partition.
const mutationsPerSender = 12

// mutateAcrossPartition partitions a data centre from the others but not from
// the key-value service. It waits until the daemons of each side see those of
// the other as dead, so that both sides write the claims of the same buckets.
// Each mutation is then sent to both sides at once.
func mutateAcrossPartition(t *testing.T, p deployer.Programs, seed uint64) []string {
	t.Helper()
	d := deployer.New(t, newOptions(t, p))
	d.Partition(3, false)
	d.WaitUntil("the daemons of each side see those of the other as dead", func() bool { return d.Daemons()[2].LiveMembers() == 2 && d.Daemons()[0].LiveMembers() == 4 })
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

// sendToBothSides sends one mutation at once through a daemon of each side of
// the partition.
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

// TestBothSidesOfPartitionWriteClaims lets daemons on both sides of a partition
// write the claims of the same buckets. No mutation may be executed on both
// sides.
func TestBothSidesOfPartitionWriteClaims(t *testing.T) {
	for _, key := range mutateAcrossPartition(t, programs, 6) {
		t.Errorf("key %s", key)
	}
}

// TestRetryAtDaemonWithoutConfiguration sends a mutation that is executed but
// whose answer is lost, and retries it at a daemon that was started in a
// partitioned data centre. That daemon has no configuration and does not know
// of the first attempt, so it must not answer that the request was not
// executed.
func TestRetryAtDaemonWithoutConfiguration(t *testing.T) {
	d := deployer.New(t, newOptions(t, programs))
	s := newSender(d)
	d.SetTargetFaults(searcher.Faults{LoseOutcome: 1})
	rng := rand.New(rand.NewPCG(7, 7))
	numbered, plain := newKey(rng), newKey(rng)
	for _, key := range []string{numbered, plain} {
		if v := s.sendAttempt(key, "8000.1", 1, key == numbered, 0); v != executionUnknown {
			t.Fatalf("verdict of the first attempt: %s, want unknown", v)
		}
	}
	if n := len(d.Executions()); n != 2 {
		t.Fatalf("%d executions, want 2", n)
	}
	partitioned := []*deployer.Daemon{d.Daemons()[2], d.Daemons()[5]}
	for _, m := range partitioned {
		m.Kill()
	}
	d.Partition(3, true)
	for _, m := range partitioned {
		m.Start()
		d.WaitUntil("the daemon answers status requests", func() bool {
			_, err := m.Status()
			return err == nil
		})
	}
	for _, key := range []string{numbered, plain} {
		if v := s.sendAttempt(key, "8000.1", 2, key == numbered, 2); v == notExecuted {
			t.Errorf("key %s was executed, but its retry was answered as not executed: %s", key, s.attempts[len(s.attempts)-1].refusal)
		}
	}
}
