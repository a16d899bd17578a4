// Package reporter writes the reports of load runs as tables and plots, and
// compares two reports.
package reporter

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"

	"plantaincleat/loadgen/pkg/resultcollector"
)

const (
	// columnPadding is the number of spaces between two columns.
	columnPadding = 2

	// totalName is the name of ClassStats that aggregate all classes.
	totalName = "total"
)

// WriteTable writes a report as a table with one row for each class of each step,
// followed by details.
func WriteTable(w io.Writer, r *resultcollector.Report) error {
	b := &strings.Builder{}
	fmt.Fprintf(b, "profile %s, seed %d, verified %v\n\n", r.Profile, r.Seed, r.Verified)
	rows := &strings.Builder{}
	fmt.Fprintln(rows, "step\trate\tclass\tsent\tgoodput\tgood\tp50\tp90\tp99\tp99.9\tmax\tcoverage\tfull\textra\trefused\tlost\tfaults\t")
	for _, s := range r.Steps {
		for _, c := range append(slices.Clone(s.Classes), s.Total) {
			writeClass(rows, &s, &c)
		}
	}
	if err := writeAligned(b, rows.String()); err != nil {
		return err
	}
	writeDetails(b, r)
	_, err := io.WriteString(w, b.String())
	return eris.Wrap(err, "write table")
}

func writeClass(w *strings.Builder, s *resultcollector.StepStats, c *resultcollector.ClassStats) {
	fmt.Fprintf(w, "%.2f\t%.0f\t%s\t%d\t%.1f\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%d\t%d\t%d\t\n",
		s.Factor, s.Rate, c.Name, c.Sent, c.Goodput, formatRatio(c.Good, c.Sent),
		formatMicros(c.Latency.P50), formatMicros(c.Latency.P90), formatMicros(c.Latency.P99), formatMicros(c.Latency.P999), formatMicros(c.Latency.Max),
		formatCoverage(c, c.Coverage.Mean), formatCoverage(c, c.Coverage.Full), formatPercent(c.SubRequests.Extra),
		sum(c.Refused), c.Lost, sum(c.Violations))
}

// writeDetails writes the counts by kind, the coverage distribution and the
// sub-requests of each step, and the examples.
func writeDetails(w *strings.Builder, r *resultcollector.Report) {
	for _, s := range r.Steps {
		c := s.Total
		for _, d := range []struct {
			title  string
			counts map[string]int64
		}{
			{title: "refused", counts: c.Refused},
			{title: "missing shards", counts: c.Coverage.Missing},
			{title: "faults of answers", counts: c.Violations},
		} {
			if len(d.counts) > 0 {
				fmt.Fprintf(w, "\nstep %.2f %s: %s", s.Factor, d.title, formatCounts(d.counts))
			}
		}
		fmt.Fprintf(w, "\nstep %.2f coverage: %s", s.Factor, formatBuckets(c.Coverage.Buckets))
		fmt.Fprintf(w, "\nstep %.2f sub-requests: sent %d, needed %d, hedges %d, retries %d\n",
			s.Factor, c.SubRequests.Sent, c.SubRequests.Needed, c.SubRequests.Hedges, c.SubRequests.Retries)
	}
	for _, e := range r.Examples {
		fmt.Fprintf(w, "\n%s: request %s class %s trace %s: %s", e.Kind, e.Request, e.Class, e.Trace, e.Detail)
	}
	fmt.Fprintln(w)
}

// writeAligned writes rows whose cells each end in a tab as aligned columns.
func writeAligned(w io.Writer, rows string) error {
	t := tabwriter.NewWriter(w, 0, 0, columnPadding, ' ', tabwriter.AlignRight)
	if _, err := io.WriteString(t, rows); err != nil {
		return eris.Wrap(err, "write table")
	}
	return eris.Wrap(t.Flush(), "write table")
}

// formatMicros formats a number of microseconds as a duration, rounded to 10 µs.
func formatMicros(n int64) string {
	return (time.Duration(n) * time.Microsecond).Round(10 * time.Microsecond).String()
}

func formatPercent(f float64) string {
	return fmt.Sprintf("%.2f%%", 100*f)
}

func formatRatio(n, of int64) string {
	if of == 0 {
		return "-"
	}
	return formatPercent(float64(n) / float64(of))
}

// formatCoverage formats f, a coverage figure of c. It returns a dash if no answer
// of c has a coverage, as in classes of mutations.
func formatCoverage(c *resultcollector.ClassStats, f float64) string {
	var answers int64
	for _, b := range c.Coverage.Buckets {
		answers += b.Count
	}
	if answers == 0 {
		return "-"
	}
	return fmt.Sprintf("%.4f", f)
}

func formatBuckets(list []resultcollector.Bucket) string {
	parts := make([]string, 0, len(list))
	for _, b := range list {
		if b.Count > 0 {
			parts = append(parts, fmt.Sprintf("%d from %v", b.Count, b.From))
		}
	}
	return strings.Join(parts, ", ")
}

func formatCounts(counts map[string]int64) string {
	parts := make([]string, 0, len(counts))
	for _, k := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, fmt.Sprintf("%s %d", k, counts[k]))
	}
	return strings.Join(parts, ", ")
}

func sum(counts map[string]int64) int64 {
	var n int64
	for _, c := range counts {
		n += c
	}
	return n
}
