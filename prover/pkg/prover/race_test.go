package prover

import (
	"encoding/json"
	"fmt"
	"math"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"plantaincleat/prover/pkg/deployer"
	"plantaincleat/standin/pkg/kvserver"
)

const (
	operatorCount = 4
	// changesPerOperator is the number of changes that each operator proposes.
	changesPerOperator = 6
	// Exit codes of plantainctl.
	codeDone        = 0
	codeUnavailable = 3
	codeLost        = 4
)

// configChange is an operator's proposal to replace the revision base.
type configChange struct {
	base   uint64
	reason string
}

// applyResult is what plantainctl told the operator about a change.
type applyResult struct {
	code int
	// unknown is true if the message said that the change may have been
	// accepted.
	unknown bool
	// revision is the accepted revision, or the one that was accepted instead.
	revision uint64
}

// winnerPattern matches the message that names the revision that was accepted
// instead of a lost change.
var winnerPattern = regexp.MustCompile(`revision (\d+) was accepted first: change .* by prover`)

// revisionModel returns the model of the revision: a register that changes only
// by compare-and-swap, and only to a higher number.
func revisionModel(first uint64) porcupine.Model {
	m := porcupine.NondeterministicModel{
		Init: func() []any { return []any{first} },
		Step: func(state, input, output any) []any {
			now, c, result := state.(uint64), input.(configChange), output.(applyResult)
			switch {
			case result.code == codeDone && now == c.base && result.revision > now:
				return []any{result.revision}
			case result.code == codeLost && now != c.base:
				return []any{now}
			case result.unknown && now == c.base:
				return []any{now, now + 1}
			case result.code == codeUnavailable:
				return []any{now}
			}
			return nil
		},
		Equal: func(a, b any) bool { return a == b },
	}
	return m.ToModel()
}

// raceOperators has several operators propose changes concurrently, each based
// on the revision that it reads, and returns the history. Times are relative to
// start.
func raceOperators(d *deployer.Deployment, start time.Time, round int) []porcupine.Operation {
	var mu sync.Mutex
	var history []porcupine.Operation
	var wg sync.WaitGroup
	files := make([]string, operatorCount)
	for i := range files {
		files[i] = d.WriteConfig(configVariant(d, i))
	}
	for i := range operatorCount {
		wg.Go(func() {
			for n := range changesPerOperator {
				c := configChange{
					base:   storedRevision(d),
					reason: fmt.Sprintf("round %d: change %d of operator %d", round, n, i),
				}
				op := porcupine.Operation{
					ClientId: i,
					Input:    c,
					Call:     int64(time.Since(start)),
				}
				result := applyChange(d, files[i], c)
				op.Output, op.Return = result, int64(time.Since(start))
				if result.unknown {
					op.Return = math.MaxInt64
				}
				mu.Lock()
				history = append(history, op)
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return history
}

// storedRevision returns the revision in the key-value service, 0 if it does
// not answer.
func storedRevision(d *deployer.Deployment) uint64 {
	var n uint64
	for _, c := range parseHistory(d.Ctl("config", "history", "--kv", d.KV(), "--limit", "1", "--output", "json")) {
		n = max(n, c.Revision)
	}
	return n
}

// acceptedChange is an entry of plantainctl's list of accepted changes.
type acceptedChange struct {
	Revision uint64 `json:"revision"`
	Reason   string `json:"reason"`
}

// parseHistory returns the entries of a list of accepted changes, none if the
// output is not such a list.
func parseHistory(out deployer.CommandResult) []acceptedChange {
	var history struct {
		Changes []acceptedChange `json:"changes"`
	}
	if err := json.Unmarshal([]byte(out.Stdout), &history); err != nil {
		return nil
	}
	return history.Changes
}

// applyChange runs plantainctl config apply for a change.
func applyChange(d *deployer.Deployment, file string, c configChange) applyResult {
	out := d.Ctl("config", "apply", file, "--kv", d.KV(), "--author", "prover", "--reason", c.reason,
		"--base", strconv.FormatUint(c.base, 10), "--output", "json")
	result := applyResult{
		code:    out.Code,
		unknown: out.Code == codeUnavailable && strings.Contains(out.Stderr, "may have been accepted"),
	}
	if m := winnerPattern.FindStringSubmatch(out.Stderr); out.Code == codeLost && m != nil {
		// The pattern matches digits only.
		result.revision, _ = strconv.ParseUint(m[1], 10, 64)
	}
	if out.Code == codeDone {
		var change acceptedChange
		_ = json.Unmarshal([]byte(out.Stdout), &change)
		result.revision = change.Revision
	}
	return result
}

// acceptedReasons returns the reason of each accepted change by revision, and
// fails the test if a revision was accepted twice.
func acceptedReasons(t *testing.T, d *deployer.Deployment) map[uint64]string {
	t.Helper()
	out := d.Ctl("config", "history", "--kv", d.KV(), "--limit", "1000", "--output", "json")
	changes := parseHistory(out)
	if len(changes) == 0 {
		t.Fatalf("config history: code %d: %s%s", out.Code, out.Stdout, out.Stderr)
	}
	reasons := make(map[uint64]string)
	for _, c := range changes {
		if other, ok := reasons[c.Revision]; ok {
			t.Errorf("revision %d was accepted twice: %q and %q", c.Revision, other, c.Reason)
		}
		reasons[c.Revision] = c.Reason
	}
	return reasons
}

// TestRacingOperators has operators propose changes concurrently while answers
// of the key-value service are lost. At most one change per base may be
// accepted, the result that an operator is told must agree with the history,
// and every daemon must reach the last revision.
func TestRacingOperators(t *testing.T) {
	d := deployer.New(t, newOptions(t, programs))
	first := highestRevision(d)
	w := watchStatus(d)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			d.SetKVFaults(kvserver.Faults{LoseAnswers: 2})
			select {
			case <-stop:
				return
			case <-time.After(quietPeriod / 2):
			}
		}
	})
	var history []porcupine.Operation
	start := time.Now()
	for round := range rounds() {
		history = append(history, raceOperators(d, start, round)...)
	}
	close(stop)
	wg.Wait()
	d.SetKVFaults(kvserver.Faults{})
	checkResults(t, history, acceptedReasons(t, d))
	if !porcupine.CheckOperations(revisionModel(first), history) {
		t.Error("the history of revisions is not that of a compare-and-swap register")
	}
	last := d.Apply(d.Config())
	d.WaitUntil("the last revision is in force everywhere", func() bool { return revisionInForce(d, last) })
	w.checkRevisions(t)
}

// checkResults compares the results that operators were told with the accepted
// changes.
func checkResults(t *testing.T, history []porcupine.Operation, reasons map[uint64]string) {
	t.Helper()
	wins, losses := 0, 0
	for _, op := range history {
		c, result := op.Input.(configChange), op.Output.(applyResult)
		found := false
		for _, reason := range reasons {
			found = found || reason == c.reason
		}
		switch {
		case result.code == codeDone:
			wins++
			if reasons[result.revision] != c.reason {
				t.Errorf("%s was told that it is revision %d, which has the reason %q", c.reason, result.revision, reasons[result.revision])
			}
		case found && !result.unknown:
			t.Errorf("%s was accepted, but plantainctl exited with code %d", c.reason, result.code)
		case result.code == codeLost:
			losses++
			if result.revision <= c.base || reasons[result.revision] == "" {
				t.Errorf("%s on base %d was told that revision %d was accepted instead, which is not in the history above the base", c.reason, c.base, result.revision)
			}
		}
	}
	t.Logf("%d changes were accepted and %d lost to another", wins, losses)
	if wins == 0 || losses == 0 {
		t.Error("the operators did not race: want both accepted and lost changes")
	}
}
