package resultcollector

import (
	"errors"
	"math"
	"testing"
	"time"

	"plantaincleat/loadgen/pkg/caller"
	"plantaincleat/loadgen/pkg/scheduler"
	"plantaincleat/loadgen/pkg/verifier"
)

func answer(fraction float64) *caller.Answer {
	return &caller.Answer{
		Coverage: caller.Coverage{
			Fraction: fraction,
		},
		Stats: caller.Stats{
			Sent:   21,
			Needed: 20,
			Hedges: 1,
		},
	}
}

func TestCollectorReport(t *testing.T) {
	r := New([]scheduler.Step{{
		Factor:   1,
		Rate:     10,
		Duration: 2 * time.Second,
	}})
	results := []Result{
		{Answer: answer(1), Latency: 10 * time.Millisecond},
		{Answer: answer(0.95), Latency: 20 * time.Millisecond},
		{Answer: answer(0.5), Latency: 30 * time.Millisecond},
		{Answer: answer(1), Latency: 2 * time.Second},
		{Outcome: &caller.MutationAnswer{}, Latency: 40 * time.Millisecond},
		{Refusal: &caller.Refusal{Kind: "limit", Executed: "no"}, Latency: time.Millisecond},
		{Refusal: &caller.Refusal{Kind: "claim", Executed: "unknown"}, Latency: time.Millisecond},
		{Err: errors.New("reset"), Latency: 3 * time.Second},
		{Answer: answer(1), Latency: 10 * time.Millisecond, Violations: []verifier.Violation{{Kind: verifier.MixedSnapshots}}},
	}
	for i, res := range results {
		res.Class = "lookup"
		res.Floor = 0.9
		res.Deadline = time.Second
		res.SendOffset = time.Duration(i) * 200 * time.Millisecond
		r.Add(res)
	}
	report := r.Report()
	c := report.Steps[0].Classes[0]
	if c.Sent != 9 || c.Answered != 6 || c.Good != 4 || c.Goodput != 2 || c.Lost != 1 {
		t.Errorf("sent %d answered %d good %d goodput %v lost %d, want 9 6 4 2 1", c.Sent, c.Answered, c.Good, c.Goodput, c.Lost)
	}
	if c.Refused["limit"] != 1 || c.Refused["claim"] != 1 || c.ExecutionUnknown != 1 {
		t.Errorf("refused %v, execution unknown %d, want one limit, one claim and 1", c.Refused, c.ExecutionUnknown)
	}
	if c.Coverage.Min != 0.5 || math.Abs(c.Coverage.Full-0.6) > 1e-9 || math.Abs(c.Coverage.Mean-0.89) > 1e-9 {
		t.Errorf("coverage min %v full %v mean %v, want 0.5 0.6 0.89", c.Coverage.Min, c.Coverage.Full, c.Coverage.Mean)
	}
	if math.Abs(c.SubRequests.Extra-0.05) > 1e-9 || c.SubRequests.Hedges != 5 {
		t.Errorf("extra %v hedges %d, want 0.05 and 5", c.SubRequests.Extra, c.SubRequests.Hedges)
	}
	// The latency distribution includes the lost request but not the refusals.
	if c.Latency.Max < 2_990_000 || c.Latency.P50 < 29_000 || c.RefusalLatency.Max > 1100 {
		t.Errorf("latency max %d µs, p50 %d µs, refusal latency max %d µs; want the lost request counted and the refusals not", c.Latency.Max, c.Latency.P50, c.RefusalLatency.Max)
	}
	if report.Violations()["mixed"] != 1 {
		t.Errorf("violations %v, want one of kind mixed", report.Violations())
	}
	if len(report.Timeline) != 2 || report.Timeline[0].Sent != 5 || report.Timeline[1].Refused != 2 {
		t.Errorf("timeline %+v, want 2 seconds with 5 sent in the first and 2 refused in the second", report.Timeline)
	}
	if len(report.Examples) != 4 {
		t.Errorf("%d examples, want 4", len(report.Examples))
	}
}
