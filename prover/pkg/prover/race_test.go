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
	operators = 4
	// changes is the number of changes that each operator tries.
	changes = 6
	// Exit codes of the operators' tool.
	codeDone        = 0
	codeUnavailable = 3
	codeLost        = 4
)

// change is a try of an operator to replace a revision.
type change struct {
	base   uint64
	reason string
}

// ending is what the operator was told.
type ending struct {
	code int
	// unknown is true if the change may have been accepted.
	unknown bool
	// revision is the accepted one, or the one that won instead.
	revision uint64
}

// winner is how a lost change is told which one won.
var winner = regexp.MustCompile(`revision (\d+) was accepted first: change .* by prover`)

// revisions is a register that is only changed by compare-and-swap, to a higher
// number.
func revisions(first uint64) porcupine.Model {
	m := porcupine.NondeterministicModel{
		Init: func() []any { return []any{first} },
		Step: func(state, input, output any) []any {
			now, c, e := state.(uint64), input.(change), output.(ending)
			switch {
			case e.code == codeDone && now == c.base && e.revision > now:
				return []any{e.revision}
			case e.code == codeLost && now != c.base:
				return []any{now}
			case e.unknown && now == c.base:
				return []any{now, now + 1}
			case e.code == codeUnavailable:
				return []any{now}
			}
			return nil
		},
		Equal: func(a, b any) bool { return a == b },
	}
	return m.ToModel()
}

// race has several operators change the configuration at once, each on top of
// the revision that it sees, and returns the history with times since the start.
func race(d *deployer.Deployment, start time.Time, round int) []porcupine.Operation {
	var mu sync.Mutex
	var history []porcupine.Operation
	var wg sync.WaitGroup
	files := make([]string, operators)
	for i := range files {
		files[i] = d.Write(variant(d, i))
	}
	for i := range operators {
		wg.Go(func() {
			for n := range changes {
				c := change{
					base:   stored(d),
					reason: fmt.Sprintf("round %d: change %d of operator %d", round, n, i),
				}
				op := porcupine.Operation{
					ClientId: i,
					Input:    c,
					Call:     int64(time.Since(start)),
				}
				e := apply(d, files[i], c)
				op.Output, op.Return = e, int64(time.Since(start))
				if e.unknown {
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

// stored returns the revision that the service holds, 0 if it does not answer.
func stored(d *deployer.Deployment) uint64 {
	var n uint64
	for _, c := range changesOf(d.Ctl("config", "history", "--kv", d.KV(), "--limit", "1", "--output", "json")) {
		n = max(n, c.Revision)
	}
	return n
}

// row is one accepted change.
type row struct {
	Revision uint64 `json:"revision"`
	Reason   string `json:"reason"`
}

// changesOf returns the rows of a list of accepted changes.
func changesOf(out deployer.Command) []row {
	var history struct {
		Changes []row `json:"changes"`
	}
	if err := json.Unmarshal([]byte(out.Stdout), &history); err != nil {
		return nil
	}
	return history.Changes
}

func apply(d *deployer.Deployment, file string, c change) ending {
	out := d.Ctl("config", "apply", file, "--kv", d.KV(), "--author", "prover", "--reason", c.reason,
		"--base", strconv.FormatUint(c.base, 10), "--output", "json")
	e := ending{
		code:    out.Code,
		unknown: out.Code == codeUnavailable && strings.Contains(out.Stderr, "may have been accepted"),
	}
	if m := winner.FindStringSubmatch(out.Stderr); out.Code == codeLost && m != nil {
		// The pattern only lets numbers through.
		e.revision, _ = strconv.ParseUint(m[1], 10, 64)
	}
	if out.Code == codeDone {
		var r row
		_ = json.Unmarshal([]byte(out.Stdout), &r)
		e.revision = r.Revision
	}
	return e
}

// accepted returns the reasons of the accepted changes by revision.
func accepted(t *testing.T, d *deployer.Deployment) map[uint64]string {
	t.Helper()
	out := d.Ctl("config", "history", "--kv", d.KV(), "--limit", "1000", "--output", "json")
	changes := changesOf(out)
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

// TestRacingOperators has operators race each other while answers of the
// key-value service get lost. Exactly one change per base may win; what an
// operator is told must be what the history says; every daemon must reach the
// last revision.
func TestRacingOperators(t *testing.T) {
	d := deployer.New(t, options(t, programs))
	first := newest(d)
	w := watch(d)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			d.FaultKV(kvserver.Faults{LoseAnswers: 2})
			select {
			case <-stop:
				return
			case <-time.After(calm / 2):
			}
		}
	})
	var history []porcupine.Operation
	start := time.Now()
	for round := range rounds() {
		history = append(history, race(d, start, round)...)
	}
	close(stop)
	wg.Wait()
	d.FaultKV(kvserver.Faults{})
	told(t, history, accepted(t, d))
	if !porcupine.CheckOperations(revisions(first), history) {
		t.Error("the history is not that of a compare-and-swap register")
	}
	last := d.Apply(d.Config())
	d.Until("the last revision is in force everywhere", func() bool { return inForce(d, last) })
	w.check(t)
}

// told compares what operators were told with the accepted changes.
func told(t *testing.T, history []porcupine.Operation, reasons map[uint64]string) {
	t.Helper()
	wins, losses := 0, 0
	for _, op := range history {
		c, e := op.Input.(change), op.Output.(ending)
		found := false
		for _, reason := range reasons {
			found = found || reason == c.reason
		}
		switch {
		case e.code == codeDone:
			wins++
			if reasons[e.revision] != c.reason {
				t.Errorf("%s was told revision %d, which is %q", c.reason, e.revision, reasons[e.revision])
			}
		case found && !e.unknown:
			t.Errorf("%s was accepted, but its operator got code %d", c.reason, e.code)
		case e.code == codeLost:
			losses++
			if e.revision <= c.base || reasons[e.revision] == "" {
				t.Errorf("%s on base %d lost, and was told that revision %d won", c.reason, c.base, e.revision)
			}
		}
	}
	t.Logf("%d changes won and %d lost", wins, losses)
	if wins == 0 || losses == 0 {
		t.Error("the operators did not race")
	}
}
