package resultcollector

import (
	"maps"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"plantaincleat/loadgen/pkg/caller"
)

// aggregate accumulates the results of one class, or of all classes, in one step.
type aggregate struct {
	stats            ClassStats
	latencies        *hdrhistogram.Histogram
	refusalLatencies *hdrhistogram.Histogram
	answers          int64
	coverageSum      float64
	fullAnswers      int64
	bucketCounts     []int64
}

func newAggregate() *aggregate {
	return &aggregate{
		stats: ClassStats{
			Refused:    make(map[string]int64),
			Violations: make(map[string]int64),
			Coverage: CoverageStats{
				Min:     1,
				Missing: make(map[string]int64),
			},
		},
		latencies:        newHistogram(),
		refusalLatencies: newHistogram(),
		bucketCounts:     make([]int64, len(bucketBounds)),
	}
}

func (t *aggregate) add(res *Result) {
	c := &t.stats
	c.Sent++
	for _, v := range res.Violations {
		c.Violations[string(v.Kind)]++
	}
	if res.Refusal != nil {
		c.Refused[res.Refusal.Kind]++
		if res.Refusal.Executed != "no" {
			c.ExecutionUnknown++
		}
		recordLatency(t.refusalLatencies, res.Latency)
		return
	}
	recordLatency(t.latencies, res.Latency)
	if res.Err != nil {
		c.Lost++
		return
	}
	c.Answered++
	if res.isGood() {
		c.Good++
	}
	if res.Answer != nil {
		t.addAnswer(res.Answer)
	}
}

func (t *aggregate) addAnswer(a *caller.Answer) {
	c := &t.stats
	c.SubRequests.Sent += a.Stats.Sent
	c.SubRequests.Needed += a.Stats.Needed
	c.SubRequests.Hedges += a.Stats.Hedges
	c.SubRequests.Retries += a.Stats.Retries
	t.answers++
	t.coverageSum += a.Coverage.Fraction
	c.Coverage.Min = min(c.Coverage.Min, a.Coverage.Fraction)
	if a.Coverage.Fraction >= 1 {
		t.fullAnswers++
	}
	for _, m := range a.Coverage.Missing {
		c.Coverage.Missing[m.Reason]++
	}
	i := slices.IndexFunc(bucketBounds, func(b float64) bool { return a.Coverage.Fraction >= b })
	t.bucketCounts[max(0, i)]++
}

// classStats returns the statistics under the given class name. d is the duration
// of the step.
func (t *aggregate) classStats(name string, d time.Duration) ClassStats {
	c := t.stats
	c.Name = name
	c.Refused = maps.Clone(c.Refused)
	c.Violations = maps.Clone(c.Violations)
	c.Goodput = float64(c.Good) / d.Seconds()
	c.Latency = newLatencyStats(t.latencies, true)
	c.RefusalLatency = newLatencyStats(t.refusalLatencies, false)
	c.Coverage.Missing = maps.Clone(c.Coverage.Missing)
	c.Coverage.Buckets = nil
	for i, b := range bucketBounds {
		c.Coverage.Buckets = append(c.Coverage.Buckets, Bucket{
			From:  b,
			Count: t.bucketCounts[i],
		})
	}
	if t.answers > 0 {
		c.Coverage.Mean = t.coverageSum / float64(t.answers)
		c.Coverage.Full = float64(t.fullAnswers) / float64(t.answers)
	}
	if c.SubRequests.Needed > 0 {
		c.SubRequests.Extra = float64(c.SubRequests.Sent)/float64(c.SubRequests.Needed) - 1
	}
	return c
}

func recordLatency(h *hdrhistogram.Histogram, d time.Duration) {
	// RecordValue fails only for values outside the histogram's range, to which
	// the value is clamped.
	_ = h.RecordValue(min(max(d.Microseconds(), minLatencyMicros), maxLatencyMicros))
}

// newLatencyStats returns the quantiles of a histogram. It includes the whole
// curve if curve is true.
func newLatencyStats(h *hdrhistogram.Histogram, curve bool) LatencyStats {
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
