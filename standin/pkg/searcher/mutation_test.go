package searcher

import (
	"testing"

	"plantaincleat/tier/gen/target"
)

// mutate runs one mutation to its end.
func (b *bench) mutate(m *target.Mutation) (*target.Outcome, error) {
	type result struct {
		outcome *target.Outcome
		err     error
	}
	results := make(chan result, 1)
	go func() {
		o, err := b.client.Mutate(b.t.Context(), m)
		results <- result{outcome: o, err: err}
	}()
	b.running(1)
	b.clock.Advance(median)
	r := <-results
	return r.outcome, r.err
}

// A doubled mutation runs twice and shows as two runs, also when the outcome
// of the first is lost.
func TestMutationsAreLoggedEachTime(t *testing.T) {
	b := newBench(t, Options{Slots: 1})
	m := &target.Mutation{
		Key:        "k1",
		Collection: "entries",
		Version:    "v1",
		Shard:      "a",
		Record:     &target.Record{Key: "a.1"},
		Remaining:  ample,
	}
	if err := b.searcher.SetFaults(Faults{LoseOutcome: 1}); err != nil {
		t.Fatal(err)
	}
	if _, err := b.mutate(m); err == nil {
		t.Error("the outcome was not lost")
	}
	if err := b.searcher.SetFaults(Faults{}); err != nil {
		t.Fatal(err)
	}
	o, err := b.mutate(m)
	if err != nil || o.GetStatus() != target.Status_STATUS_DONE {
		t.Errorf("Mutate() = %v, %v", o, err)
	}
	if got := b.searcher.Executions(); len(got) != 2 || got[0].Key != "k1" || got[1].Key != "k1" {
		t.Errorf("executions %v, want two of k1", got)
	}
}

func TestMutationNotRun(t *testing.T) {
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
			b := newBench(t, Options{Slots: 1})
			if err := b.searcher.SetFaults(tt.faults); err != nil {
				t.Fatal(err)
			}
			m := &target.Mutation{
				Key:        "k1",
				Collection: "entries",
				Version:    "v1",
				Shard:      "a",
				Remaining:  ample,
			}
			if tt.change != nil {
				tt.change(m)
			}
			o, err := b.client.Mutate(t.Context(), m)
			if err != nil {
				t.Fatal(err)
			}
			if o.GetStatus() != tt.want || len(b.searcher.Executions()) != 0 {
				t.Errorf("status %v with %d runs, want %v with none", o.GetStatus(), len(b.searcher.Executions()), tt.want)
			}
		})
	}
}
