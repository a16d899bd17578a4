package searcher

import (
	"testing"

	"plantaincleat/tier/gen/target"
)

// mutate sends one mutation and advances the clock until it is executed.
func (f *fixture) mutate(m *target.Mutation) (*target.Outcome, error) {
	type result struct {
		outcome *target.Outcome
		err     error
	}
	results := make(chan result, 1)
	go func() {
		o, err := f.client.Mutate(f.t.Context(), m)
		results <- result{outcome: o, err: err}
	}()
	f.waitRunning(1)
	f.clock.Advance(medianTime)
	r := <-results
	return r.outcome, r.err
}

// A mutation that is sent again is executed and logged again, even if the outcome of the
// first attempt was lost.
func TestRepeatedMutationIsLoggedTwice(t *testing.T) {
	f := newFixture(t, Options{Slots: 1})
	m := &target.Mutation{
		Key:        "k1",
		Collection: "entries",
		Version:    "v1",
		Shard:      "a",
		Record:     &target.Record{Key: "a.1"},
		Remaining:  ampleMicros,
	}
	if err := f.searcher.SetFaults(Faults{LoseOutcome: 1}); err != nil {
		t.Fatal(err)
	}
	if _, err := f.mutate(m); err == nil {
		t.Error("Mutate() returned an outcome despite the fault LoseOutcome")
	}
	if err := f.searcher.SetFaults(Faults{}); err != nil {
		t.Fatal(err)
	}
	o, err := f.mutate(m)
	if err != nil || o.GetStatus() != target.Status_STATUS_DONE {
		t.Errorf("Mutate() = %v, %v", o, err)
	}
	if got := f.searcher.Executions(); len(got) != 2 || got[0].Key != "k1" || got[1].Key != "k1" {
		t.Errorf("executions %v, want two with key k1", got)
	}
}

func TestMutationNotExecuted(t *testing.T) {
	tests := []struct {
		name   string
		faults Faults
		change func(*target.Mutation)
		want   target.Status
	}{
		{name: "leaving", faults: Faults{Drain: true}, want: target.Status_STATUS_LEAVING},
		{name: "shed", faults: Faults{Shed: 1}, want: target.Status_STATUS_SHED},
		{name: "absent", change: func(m *target.Mutation) { m.Shard = "z" }, want: target.Status_STATUS_ABSENT},
		{name: "expired", change: func(m *target.Mutation) { m.Remaining = 0 }, want: target.Status_STATUS_EXPIRED},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t, Options{Slots: 1})
			if err := f.searcher.SetFaults(tt.faults); err != nil {
				t.Fatal(err)
			}
			m := &target.Mutation{
				Key:        "k1",
				Collection: "entries",
				Version:    "v1",
				Shard:      "a",
				Remaining:  ampleMicros,
			}
			if tt.change != nil {
				tt.change(m)
			}
			o, err := f.client.Mutate(t.Context(), m)
			if err != nil {
				t.Fatal(err)
			}
			if o.GetStatus() != tt.want || len(f.searcher.Executions()) != 0 {
				t.Errorf("status %v with %d executions, want %v with none", o.GetStatus(), len(f.searcher.Executions()), tt.want)
			}
		})
	}
}
