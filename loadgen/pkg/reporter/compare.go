package reporter

import (
	"fmt"
	"io"
	"slices"
	"strings"

	"plantaincleat/loadgen/pkg/resultcollector"
)

// Comparison contains the values of one measure in two reports, for one class of
// one step.
type Comparison struct {
	Factor  float64
	Class   string
	Measure string
	A       float64
	B       float64
	format  func(float64) string
}

// Ratio returns B/A, or 0 if A is zero.
func (p Comparison) Ratio() float64 {
	if p.A == 0 {
		return 0
	}
	return p.B / p.A
}

// measure extracts one value from the statistics of a class.
type measure struct {
	name   string
	value  func(*resultcollector.ClassStats) float64
	format func(float64) string
}

var measures = []measure{
	{name: "p50", value: func(c *resultcollector.ClassStats) float64 { return float64(c.Latency.P50) }, format: formatMicrosFloat},
	{name: "p99", value: func(c *resultcollector.ClassStats) float64 { return float64(c.Latency.P99) }, format: formatMicrosFloat},
	{name: "p99.9", value: func(c *resultcollector.ClassStats) float64 { return float64(c.Latency.P999) }, format: formatMicrosFloat},
	{name: "goodput", value: func(c *resultcollector.ClassStats) float64 { return c.Goodput }, format: formatDecimal},
	{name: "coverage", value: func(c *resultcollector.ClassStats) float64 { return c.Coverage.Mean }, format: formatFraction},
	{name: "full", value: func(c *resultcollector.ClassStats) float64 { return c.Coverage.Full }, format: formatFraction},
	{name: "extra", value: func(c *resultcollector.ClassStats) float64 { return c.SubRequests.Extra }, format: formatPercent},
	{name: "refused", value: func(c *resultcollector.ClassStats) float64 { return float64(sum(c.Refused)) }, format: formatDecimal},
	{name: "lost", value: func(c *resultcollector.ClassStats) float64 { return float64(c.Lost) }, format: formatDecimal},
	{name: "faults", value: func(c *resultcollector.ClassStats) float64 { return float64(sum(c.Violations)) }, format: formatDecimal},
}

// Compare returns the comparisons of all measures for the steps and classes that
// both reports contain. It matches steps by position and classes by name.
func Compare(a, b *resultcollector.Report) []Comparison {
	var pairs []Comparison
	for i := range min(len(a.Steps), len(b.Steps)) {
		sa, sb := &a.Steps[i], &b.Steps[i]
		for _, ca := range append(slices.Clone(sa.Classes), sa.Total) {
			cb := findClass(sb, ca.Name)
			if cb == nil {
				continue
			}
			for _, m := range measures {
				pairs = append(pairs, Comparison{
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

func findClass(s *resultcollector.StepStats, class string) *resultcollector.ClassStats {
	if class == totalName {
		return &s.Total
	}
	i := slices.IndexFunc(s.Classes, func(c resultcollector.ClassStats) bool { return c.Name == class })
	if i < 0 {
		return nil
	}
	return &s.Classes[i]
}

// WriteComparison writes a table with the values of both reports and their ratio.
func WriteComparison(w io.Writer, nameA, nameB string, a, b *resultcollector.Report) error {
	rows := &strings.Builder{}
	fmt.Fprintf(rows, "step\tclass\tmeasure\t%s\t%s\tratio\t\n", nameA, nameB)
	for _, p := range Compare(a, b) {
		ratio := "-"
		if p.A != 0 {
			ratio = fmt.Sprintf("%.2f", p.Ratio())
		}
		fmt.Fprintf(rows, "%.2f\t%s\t%s\t%s\t%s\t%s\t\n", p.Factor, p.Class, p.Measure, p.format(p.A), p.format(p.B), ratio)
	}
	return writeAligned(w, rows.String())
}

func formatMicrosFloat(f float64) string { return formatMicros(int64(f)) }

func formatDecimal(f float64) string { return fmt.Sprintf("%.1f", f) }

func formatFraction(f float64) string { return fmt.Sprintf("%.4f", f) }
