package reporter

import (
	"fmt"
	"io"
	"slices"
	"strings"

	"plantaincleat/loadgen/pkg/resultcollector"
)

// Pair is one measure of two reports, for one class of one step.
type Pair struct {
	Factor  float64
	Class   string
	Measure string
	A       float64
	B       float64
	format  func(float64) string
}

// Ratio returns B/A, or 0 if A is 0.
func (p Pair) Ratio() float64 {
	if p.A == 0 {
		return 0
	}
	return p.B / p.A
}

// measure takes one figure from a class.
type measure struct {
	name   string
	value  func(*resultcollector.ClassStats) float64
	format func(float64) string
}

var measures = []measure{
	{name: "p50", value: func(c *resultcollector.ClassStats) float64 { return float64(c.Latency.P50) }, format: microsFloat},
	{name: "p99", value: func(c *resultcollector.ClassStats) float64 { return float64(c.Latency.P99) }, format: microsFloat},
	{name: "p99.9", value: func(c *resultcollector.ClassStats) float64 { return float64(c.Latency.P999) }, format: microsFloat},
	{name: "goodput", value: func(c *resultcollector.ClassStats) float64 { return c.Goodput }, format: plain},
	{name: "coverage", value: func(c *resultcollector.ClassStats) float64 { return c.Coverage.Mean }, format: fraction},
	{name: "full", value: func(c *resultcollector.ClassStats) float64 { return c.Coverage.Full }, format: fraction},
	{name: "extra", value: func(c *resultcollector.ClassStats) float64 { return c.SubRequests.Extra }, format: percent},
	{name: "refused", value: func(c *resultcollector.ClassStats) float64 { return float64(sum(c.Refused)) }, format: plain},
	{name: "lost", value: func(c *resultcollector.ClassStats) float64 { return float64(c.Lost) }, format: plain},
	{name: "faults", value: func(c *resultcollector.ClassStats) float64 { return float64(sum(c.Violations)) }, format: plain},
}

// Compare returns the measures of the classes and steps that both reports
// have. Steps are matched by their place.
func Compare(a, b *resultcollector.Report) []Pair {
	var pairs []Pair
	for i := range min(len(a.Steps), len(b.Steps)) {
		sa, sb := &a.Steps[i], &b.Steps[i]
		for _, ca := range append(slices.Clone(sa.Classes), sa.Total) {
			cb := find(sb, ca.Name)
			if cb == nil {
				continue
			}
			for _, m := range measures {
				pairs = append(pairs, Pair{
					Factor:  sa.Factor,
					Class:   ca.Name,
					Measure: m.name,
					A:       m.value(&ca),
					B:       m.value(cb),
					format:  m.format,
				})
			}
		}
	}
	return pairs
}

func find(s *resultcollector.StepStats, class string) *resultcollector.ClassStats {
	if class == total {
		return &s.Total
	}
	i := slices.IndexFunc(s.Classes, func(c resultcollector.ClassStats) bool { return c.Name == class })
	if i < 0 {
		return nil
	}
	return &s.Classes[i]
}

// CompareTable writes two reports side by side under their names.
func CompareTable(w io.Writer, nameA, nameB string, a, b *resultcollector.Report) error {
	rows := &strings.Builder{}
	fmt.Fprintf(rows, "step\tclass\tmeasure\t%s\t%s\tratio\t\n", nameA, nameB)
	for _, p := range Compare(a, b) {
		ratio := "-"
		if p.A != 0 {
			ratio = fmt.Sprintf("%.2f", p.Ratio())
		}
		fmt.Fprintf(rows, "%.2f\t%s\t%s\t%s\t%s\t%s\t\n", p.Factor, p.Class, p.Measure, p.format(p.A), p.format(p.B), ratio)
	}
	return align(w, rows.String())
}

func microsFloat(f float64) string { return micros(int64(f)) }

func plain(f float64) string { return fmt.Sprintf("%.1f", f) }

func fraction(f float64) string { return fmt.Sprintf("%.4f", f) }
