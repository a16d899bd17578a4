package prover

import (
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"plantaincleat/standin/pkg/searcher"
)

// keyState is the state of one request key in the model.
type keyState struct {
	executed bool
	// outcome is empty until an answer has stated it.
	outcome string
	// closedOrdinal is the highest ordinal of the attempts that were answered
	// as not executed. No attempt with this or a lower ordinal may be executed
	// later.
	closedOrdinal int
}

// executionCount is the operation that reads the number of executions of a key
// from the targets' journal.
type executionCount struct {
	n int
}

// mutationModel returns the model of one key: a register that is written at
// most once.
func mutationModel() porcupine.Model {
	m := porcupine.NondeterministicModel{
		Init: func() []any { return []any{keyState{}} },
		Step: func(state, input, _ any) []any {
			s := state.(keyState)
			if count, ok := input.(executionCount); ok {
				if count.n > 1 || s.executed != (count.n == 1) {
					return nil
				}
				return []any{s}
			}
			return s.applyAttempt(input.(attempt))
		},
	}
	return m.ToModel()
}

// applyAttempt returns the possible states after an attempt, none if its answer
// is illegal in state s.
func (s keyState) applyAttempt(a attempt) []any {
	executed := s
	executed.executed = true
	switch a.verdict {
	case done:
		if s.executed && s.outcome != "" && s.outcome != a.outcome || !s.executed && a.ordinal <= s.closedOrdinal {
			return nil
		}
		executed.outcome = a.outcome
		return []any{executed}
	case notExecuted:
		if s.executed {
			return nil
		}
		s.closedOrdinal = max(s.closedOrdinal, a.ordinal)
		return []any{s}
	}
	if s.executed || a.ordinal <= s.closedOrdinal {
		return []any{s}
	}
	return []any{s, executed}
}

// historiesByKey returns the history of each key, followed by an executionCount
// at its end. An attempt with an unknown result may take effect until then.
func historiesByKey(attempts []attempt, executions []searcher.Execution, end time.Duration) map[string][]porcupine.Operation {
	counts := make(map[string]int)
	for _, e := range executions {
		counts[e.Key]++
	}
	out := make(map[string][]porcupine.Operation)
	for _, a := range attempts {
		op := porcupine.Operation{
			ClientId: len(out[a.key]),
			Input:    a,
			Call:     int64(a.begin),
			Return:   int64(a.end),
		}
		if a.verdict == executionUnknown {
			op.Return = int64(end)
		}
		out[a.key] = append(out[a.key], op)
	}
	for key, ops := range out {
		out[key] = append(ops, porcupine.Operation{
			ClientId: len(ops),
			Input:    executionCount{n: counts[key]},
			Call:     int64(end) + 1,
			Return:   int64(end) + 2,
		})
	}
	return out
}

// TestMutationModel checks which histories of a key the model accepts.
func TestMutationModel(t *testing.T) {
	const end = 100 * time.Second
	first := attempt{
		key:     "k",
		ordinal: 1,
		begin:   time.Second,
		end:     2 * time.Second,
		verdict: executionUnknown,
	}
	second := first
	second.ordinal, second.begin, second.end = 2, 3*time.Second, 4*time.Second
	withVerdict := func(s attempt, v verdict, outcome string) attempt {
		s.verdict, s.outcome = v, outcome
		return s
	}
	tests := []struct {
		name     string
		attempts []attempt
		runs     int
		legal    bool
	}{
		{
			name:     "done once",
			attempts: []attempt{withVerdict(first, done, "a"), withVerdict(second, done, "a")},
			runs:     1,
			legal:    true,
		},
		{
			name:     "executed twice",
			attempts: []attempt{withVerdict(first, done, "a"), withVerdict(second, done, "a")},
			runs:     2,
		},
		{
			name:     "another outcome",
			attempts: []attempt{withVerdict(first, done, "a"), withVerdict(second, done, "b")},
			runs:     1,
		},
		{
			name:     "done without an execution",
			attempts: []attempt{withVerdict(first, done, "a")},
		},
		{
			name:     "executed though refused",
			attempts: []attempt{withVerdict(first, notExecuted, "")},
			runs:     1,
		},
		{
			name:     "executed by a later attempt",
			attempts: []attempt{withVerdict(first, notExecuted, ""), withVerdict(second, executionUnknown, "")},
			runs:     1,
			legal:    true,
		},
		{
			name:     "executed by an earlier attempt",
			attempts: []attempt{withVerdict(first, executionUnknown, ""), withVerdict(second, notExecuted, "")},
			runs:     1,
		},
		{
			name:     "refused after it was done",
			attempts: []attempt{withVerdict(first, done, "a"), withVerdict(second, notExecuted, "")},
			runs:     1,
		},
		{
			name:     "unknown and never executed",
			attempts: []attempt{first, second},
			legal:    true,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			executions := make([]searcher.Execution, test.runs)
			for i := range executions {
				executions[i].Key = "k"
			}
			ops := historiesByKey(test.attempts, executions, end)["k"]
			if legal := porcupine.CheckOperations(mutationModel(), ops); legal != test.legal {
				t.Errorf("legal %v, want %v", legal, test.legal)
			}
		})
	}
}
