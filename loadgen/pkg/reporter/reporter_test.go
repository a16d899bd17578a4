package reporter

import (
	"bytes"
	"slices"
	"strings"
	"testing"
	"time"

	"plantaincleat/loadgen/pkg/caller"
	"plantaincleat/loadgen/pkg/resultcollector"
	"plantaincleat/loadgen/pkg/scheduler"
)

// newReport returns the report of a hundred answers, whose latencies rise evenly to
// that of the slowest, and of one refusal.
func newReport(slowest time.Duration) *resultcollector.Report {
	r := resultcollector.New([]scheduler.Step{{
		Factor:   1.2,
		Rate:     100,
		Duration: time.Second,
	}})
	for i := range 100 {
		r.Add(resultcollector.Result{
			Class:      "lookup",
			SendOffset: time.Duration(i) * 10 * time.Millisecond,
			Latency:    slowest * time.Duration(i+1) / 100,
			Deadline:   time.Second,
			Answer: &caller.Answer{
				Coverage: caller.Coverage{
					Fraction: 1,
				},
				Stats: caller.Stats{
					Sent:   22,
					Needed: 20,
				},
			},
		})
	}
	r.Add(resultcollector.Result{
		Class:   "lookup",
		Refusal: &caller.Refusal{Kind: "limit", Executed: "no"},
	})
	return r.Report()
}

func TestWriteTable(t *testing.T) {
	var b bytes.Buffer
	if err := WriteTable(&b, newReport(100*time.Millisecond)); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"lookup", "total", "99.01ms", "10.00%", "limit 1", "100 from 1"} {
		if !strings.Contains(b.String(), want) {
			t.Errorf("the table lacks %q:\n%s", want, b.String())
		}
	}
}

func TestCompare(t *testing.T) {
	a, b := newReport(100*time.Millisecond), newReport(200*time.Millisecond)
	pairs := Compare(a, b)
	i := slices.IndexFunc(pairs, func(p Comparison) bool { return p.Class == "total" && p.Measure == "p99" })
	if i < 0 {
		t.Fatal("no comparison of p99 for class total")
	}
	if r := pairs[i].Ratio(); r < 1.99 || r > 2.01 {
		t.Errorf("ratio %v, want 2", r)
	}
	b.Steps[0].Classes[0].Name = "other"
	if n := len(Compare(a, b)); n != len(measures) {
		t.Errorf("%d comparisons of reports that share only the class total, want %d", n, len(measures))
	}
	var w bytes.Buffer
	if err := WriteComparison(&w, "direct", "cells", a, b); err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(w.String(), "direct") || !strings.Contains(w.String(), "2.00") {
		t.Errorf("the comparison lacks the name direct or the ratio 2.00:\n%s", w.String())
	}
}

func TestWritePlot(t *testing.T) {
	tests := []struct {
		file string
		head string
	}{
		{file: "a.svg", head: "<?xml"},
		{file: "a.png", head: "\x89PNG"},
	}
	for _, tt := range tests {
		format, err := PlotFormat(tt.file)
		if err != nil {
			t.Fatal(err)
		}
		var b bytes.Buffer
		reports := []NamedReport{
			{
				Name:   "a",
				Report: newReport(100 * time.Millisecond),
			},
			{
				Name:   "empty",
				Report: &resultcollector.Report{},
			},
		}
		if err := WritePlot(&b, format, reports...); err != nil {
			t.Fatal(err)
		}
		if !strings.HasPrefix(b.String(), tt.head) {
			t.Errorf("%s: plot begins with %q", tt.file, b.Bytes()[:8])
		}
	}
	if _, err := PlotFormat("a.pdf"); err == nil || !strings.Contains(err.Error(), "a.pdf") {
		t.Errorf("PlotFormat(a.pdf) = %v, want an error that names the file", err)
	}
}
