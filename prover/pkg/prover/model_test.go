package prover

import (
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"plantaincleat/standin/pkg/searcher"
)

// keyState is the state of one request key.
type keyState struct {
	ran bool
	// outcome is empty until it is known.
	outcome string
	// closed is the highest order of the sends that were answered as not run:
	// neither they nor earlier ones run any more.
	closed int
}

// reading is the number of runs of a key in the targets' journal.
type reading struct {
	runs int
}

// mutations is a register for one key that is written at most once.
func mutations() porcupine.Model {
	m := porcupine.NondeterministicModel{
		Init: func() []any { return []any{keyState{}} },
		Step: func(state, input, _ any) []any {
			s := state.(keyState)
			if r, ok := input.(reading); ok {
				if r.runs > 1 || s.ran != (r.runs == 1) {
					return nil
				}
				return []any{s}
			}
			return s.step(input.(send))
		},
	}
	return m.ToModel()
}

// step returns the states after a send.
func (s keyState) step(one send) []any {
	ran := s
	ran.ran = true
	switch one.verdict {
	case done:
		if s.ran && s.outcome != "" && s.outcome != one.outcome || !s.ran && one.order <= s.closed {
			return nil
		}
		ran.outcome = one.outcome
		return []any{ran}
	case notRun:
		if s.ran {
			return nil
		}
		s.closed = max(s.closed, one.order)
		return []any{s}
	}
	if s.ran || one.order <= s.closed {
		return []any{s}
	}
	return []any{s, ran}
}

// histories returns the history of each key, with the reading of the journal
// at its end. Sends of unknown end may take effect until then.
func histories(sends []send, executions []searcher.Execution, end time.Duration) map[string][]porcupine.Operation {
	runs := make(map[string]int)
	for _, e := range executions {
		runs[e.Key]++
	}
	out := make(map[string][]porcupine.Operation)
	for _, one := range sends {
		op := porcupine.Operation{
			ClientId: len(out[one.key]),
			Input:    one,
			Call:     int64(one.call),
			Return:   int64(one.end),
		}
		if one.verdict == unknown {
			op.Return = int64(end)
		}
		out[one.key] = append(out[one.key], op)
	}
	for key, ops := range out {
		out[key] = append(ops, porcupine.Operation{
			ClientId: len(ops),
			Input:    reading{runs: runs[key]},
			Call:     int64(end) + 1,
			Return:   int64(end) + 2,
		})
	}
	return out
}

// TestModelOfMutations shows which histories of a key break a promise.
func TestModelOfMutations(t *testing.T) {
	const end = 100 * time.Second
	first := send{
		key:     "k",
		order:   1,
		call:    time.Second,
		end:     2 * time.Second,
		verdict: unknown,
	}
	second := first
	second.order, second.call, second.end = 2, 3*time.Second, 4*time.Second
	as := func(s send, v verdict, outcome string) send {
		s.verdict, s.outcome = v, outcome
		return s
	}
	tests := []struct {
		name  string
		sends []send
		runs  int
		legal bool
	}{
		{
			name:  "done once",
			sends: []send{as(first, done, "a"), as(second, done, "a")},
			runs:  1,
			legal: true,
		},
		{
			name:  "run twice",
			sends: []send{as(first, done, "a"), as(second, done, "a")},
			runs:  2,
		},
		{
			name:  "another outcome",
			sends: []send{as(first, done, "a"), as(second, done, "b")},
			runs:  1,
		},
		{
			name:  "done without a run",
			sends: []send{as(first, done, "a")},
		},
		{
			name:  "run though refused",
			sends: []send{as(first, notRun, "")},
			runs:  1,
		},
		{
			name:  "run by a later send",
			sends: []send{as(first, notRun, ""), as(second, unknown, "")},
			runs:  1,
			legal: true,
		},
		{
			name:  "run by an earlier send",
			sends: []send{as(first, unknown, ""), as(second, notRun, "")},
			runs:  1,
		},
		{
			name:  "refused after it was done",
			sends: []send{as(first, done, "a"), as(second, notRun, "")},
			runs:  1,
		},
		{
			name:  "unknown and never run",
			sends: []send{first, second},
			legal: true,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			executions := make([]searcher.Execution, test.runs)
			for i := range executions {
				executions[i].Key = "k"
			}
			ops := histories(test.sends, executions, end)["k"]
			if legal := porcupine.CheckOperations(mutations(), ops); legal != test.legal {
				t.Errorf("legal %v, want %v", legal, test.legal)
			}
		})
	}
}
