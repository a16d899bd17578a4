package resultcollector

import (
	"maps"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"plantaincleat/loadgen/pkg/caller"
)

// tally sums up the results of one class or of all of them.
type tally struct {
	counted   ClassStats
	latency   *hdrhistogram.Histogram
	refusal   *hdrhistogram.Histogram
	coverages int64
	covered   float64
	full      int64
	buckets   []int64
}

func newTally() *tally {
	return &tally{
		counted: ClassStats{
			Refused:    make(map[string]int64),
			Violations: make(map[string]int64),
			Coverage: CoverageStats{
				Min:     1,
				Missing: make(map[string]int64),
			},
		},
		latency: newHistogram(),
		refusal: newHistogram(),
		buckets: make([]int64, len(bounds)),
	}
}

func (t *tally) add(res *Result) {
	c := &t.counted
	c.Sent++
	for _, v := range res.Violations {
		c.Violations[string(v.Kind)]++
	}
	if res.Refusal != nil {
		c.Refused[res.Refusal.Kind]++
		if res.Refusal.Executed != "no" {
			c.ExecutionUnknown++
		}
		record(t.refusal, res.Latency)
		return
	}
	record(t.latency, res.Latency)
	if res.Err != nil {
		c.Lost++
		return
	}
	c.Answered++
	if res.good() {
		c.Good++
	}
	if res.Answer != nil {
		t.addAnswer(res.Answer)
	}
}

func (t *tally) addAnswer(a *caller.Answer) {
	c := &t.counted
	c.SubRequests.Sent += a.Stats.Sent
	c.SubRequests.Needed += a.Stats.Needed
	c.SubRequests.Hedges += a.Stats.Hedges
	c.SubRequests.Retries += a.Stats.Retries
	t.coverages++
	t.covered += a.Coverage.Fraction
	c.Coverage.Min = min(c.Coverage.Min, a.Coverage.Fraction)
	if a.Coverage.Fraction >= 1 {
		t.full++
	}
	for _, m := range a.Coverage.Missing {
		c.Coverage.Missing[m.Reason]++
	}
	i := slices.IndexFunc(bounds, func(b float64) bool { return a.Coverage.Fraction >= b })
	t.buckets[max(0, i)]++
}

// class returns the sums under a name.
func (t *tally) class(name string, d time.Duration) ClassStats {
	c := t.counted
	c.Name = name
	c.Refused = maps.Clone(c.Refused)
	c.Violations = maps.Clone(c.Violations)
	c.Goodput = float64(c.Good) / d.Seconds()
	c.Latency = summary(t.latency, true)
	c.RefusalLatency = summary(t.refusal, false)
	c.Coverage.Missing = maps.Clone(c.Coverage.Missing)
	c.Coverage.Buckets = nil
	for i, b := range bounds {
		c.Coverage.Buckets = append(c.Coverage.Buckets, Bucket{
			From:  b,
			Count: t.buckets[i],
		})
	}
	if t.coverages > 0 {
		c.Coverage.Mean = t.covered / float64(t.coverages)
		c.Coverage.Full = float64(t.full) / float64(t.coverages)
	}
	if c.SubRequests.Needed > 0 {
		c.SubRequests.Extra = float64(c.SubRequests.Sent)/float64(c.SubRequests.Needed) - 1
	}
	return c
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	// The value is clamped to the histogram's range, so that this can not fail.
	_ = h.RecordValue(min(max(d.Microseconds(), minLatency), maxLatency))
}

// summary returns the quantiles of a histogram, and its curve if asked.
func summary(h *hdrhistogram.Histogram, curve bool) LatencyStats {
	if h.TotalCount() == 0 {
		return LatencyStats{}
	}
	l := LatencyStats{
		Mean: h.Mean(),
		P50:  h.ValueAtQuantile(50),
		P90:  h.ValueAtQuantile(90),
		P99:  h.ValueAtQuantile(99),
		P999: h.ValueAtQuantile(99.9),
		Max:  h.Max(),
	}
	if !curve {
		return l
	}
	for _, b := range h.CumulativeDistribution() {
		l.Curve = append(l.Curve, Point{
			Quantile: b.Quantile / 100,
			Latency:  b.ValueAt,
		})
	}
	return l
}
