package scheduler

import (
	"math"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"plantaincleat/loadgen/pkg/deploymentplanner"
)

func newOptions(t *testing.T, seed uint64) *Options {
	t.Helper()
	p, err := deploymentplanner.FindProfile("kahikatea")
	if err != nil {
		t.Fatal(err)
	}
	return &Options{
		Classes: p.Classes,
		Steps: []Step{
			{
				Factor:   0.5,
				Rate:     500,
				Duration: 10 * time.Second,
			},
			{
				Factor:   2,
				Rate:     2000,
				Duration: 10 * time.Second,
			},
		},
		Seed: seed,
	}
}

func TestScheduleDeterministicForSeed(t *testing.T) {
	first := slices.Collect(newOptions(t, 1).Schedule())
	again := slices.Collect(newOptions(t, 1).Schedule())
	other := slices.Collect(newOptions(t, 2).Schedule())
	if len(first) != len(again) {
		t.Fatalf("%d requests, then %d with the same seed", len(first), len(again))
	}
	for i := range first {
		if first[i].SendOffset != again[i].SendOffset || first[i].Class.Name != again[i].Class.Name || !reflect.DeepEqual(first[i].Query, again[i].Query) {
			t.Fatalf("request %d differs with the same seed", i)
		}
	}
	if first[0].SendOffset == other[0].SendOffset {
		t.Error("seeds 1 and 2 give the same first send offset")
	}
}

func TestScheduleRatesAndWeights(t *testing.T) {
	o := newOptions(t, 1)
	requests := slices.Collect(o.Schedule())
	steps, classes := make([]int, len(o.Steps)), make(map[string]int)
	for i, r := range requests {
		steps[r.StepIndex]++
		classes[r.Class.Name]++
		if i > 0 && r.SendOffset < requests[i-1].SendOffset {
			t.Fatalf("request %d is scheduled before its predecessor", i)
		}
	}
	for i, want := range []float64{5000, 20000} {
		// The tolerance is four standard deviations of a Poisson process.
		if d := math.Abs(float64(steps[i]) - want); d > 4*math.Sqrt(want) {
			t.Errorf("step %d has %d requests, want about %v", i, steps[i], want)
		}
	}
	for _, c := range o.Classes {
		want := c.Weight * float64(len(requests))
		if d := math.Abs(float64(classes[c.Name]) - want); d > 4*math.Sqrt(want) {
			t.Errorf("class %s has %d requests, want about %v", c.Name, classes[c.Name], want)
		}
	}
}

func TestScheduleSameQuery(t *testing.T) {
	for _, same := range []bool{false, true} {
		o := newOptions(t, 1)
		o.SameQuery = same
		o.ExtraTerms = []string{"!crash"}
		queries := make(map[string]bool)
		reads := 0
		for r := range o.Schedule() {
			if r.Class.Name != "lookup" {
				continue
			}
			reads++
			queries[strings.Join(r.Query.GetTerms(), " ")] = true
			if !slices.Contains(r.Query.GetTerms(), "!crash") {
				t.Fatal("a query lacks the extra term !crash")
			}
		}
		if want := map[bool]int{false: reads, true: 1}[same]; len(queries) != want {
			t.Errorf("same %v: %d queries in %d reads, want %d", same, len(queries), reads, want)
		}
	}
}

func TestOptionsValidate(t *testing.T) {
	tests := []struct {
		name   string
		change func(*Options)
		want   string
	}{
		{name: "no class", change: func(o *Options) { o.Classes = nil }, want: "field classes"},
		{name: "no step", change: func(o *Options) { o.Steps = nil }, want: "field steps"},
		{name: "rate", change: func(o *Options) { o.Steps[1].Rate = -1 }, want: "field steps[1]: rate"},
		{name: "duration", change: func(o *Options) { o.Steps[0].Duration = 0 }, want: "field steps[0]: duration"},
	}
	for _, tt := range tests {
		o := newOptions(t, 1)
		tt.change(o)
		if err := o.Validate(); err == nil || !strings.Contains(err.Error(), tt.want) {
			t.Errorf("%s: %v, want an error with %q", tt.name, err, tt.want)
		}
	}
}
