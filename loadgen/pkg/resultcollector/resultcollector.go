package resultcollector

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"plantaincleat/loadgen/pkg/caller"
	"plantaincleat/loadgen/pkg/scheduler"
	"plantaincleat/loadgen/pkg/verifier"
)

const (
	// Range in microseconds, and precision, of the latency histograms.
	minLatencyMicros  = 1
	maxLatencyMicros  = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3

	// maxExamples is the maximum number of examples of each kind in a report.
	maxExamples = 5
)

// bucketBounds are the lower bounds of the coverage buckets, highest first.
var bucketBounds = []float64{1, 0.99, 0.95, 0.9, 0.75, 0.5, 0}

// Result is the result of one request.
type Result struct {
	ID        string
	Class     string
	StepIndex int
	// SendOffset is the intended send time, relative to the start of the run.
	SendOffset time.Duration
	// Latency is measured from the intended send time.
	Latency time.Duration
	// Floor and Deadline are copied from the class.
	Floor    float64
	Deadline time.Duration
	// Answer is the answer to a read and Outcome the answer to a mutation. Both
	// are nil if Refusal or Err is set.
	Answer     *caller.Answer
	Outcome    *caller.MutationAnswer
	Refusal    *caller.Refusal
	Err        error
	Violations []verifier.Violation
}

// Collector aggregates results. It is safe for concurrent use. Use New to create
// one.
type Collector struct {
	steps []scheduler.Step

	mu            sync.Mutex
	totals        []*aggregate
	classes       []map[string]*aggregate
	seconds       map[int]*secondAggregate
	examples      []Example
	exampleCounts map[string]int
}

// secondAggregate accumulates the results of the requests due in one second.
type secondAggregate struct {
	SecondStats
	// latencies are in microseconds.
	latencies   []int64
	coverageSum float64
	answers     int64
}

// New returns a collector for a run with the given steps.
func New(steps []scheduler.Step) *Collector {
	c := &Collector{
		steps:         steps,
		seconds:       make(map[int]*secondAggregate),
		exampleCounts: make(map[string]int),
	}
	for range steps {
		c.totals = append(c.totals, newAggregate())
		c.classes = append(c.classes, make(map[string]*aggregate))
	}
	return c
}

// Add records the result of one request.
func (c *Collector) Add(res Result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	class := c.classes[res.StepIndex][res.Class]
	if class == nil {
		class = newAggregate()
		c.classes[res.StepIndex][res.Class] = class
	}
	class.add(&res)
	c.totals[res.StepIndex].add(&res)
	c.addSecond(&res)
	c.addExamples(&res)
}

func (c *Collector) addSecond(res *Result) {
	n := int(res.SendOffset / time.Second)
	s := c.seconds[n]
	if s == nil {
		s = &secondAggregate{}
		s.Index = n
		c.seconds[n] = s
	}
	s.Sent++
	if res.Refusal != nil {
		s.Refused++
		return
	}
	s.latencies = append(s.latencies, res.Latency.Microseconds())
	if res.Err != nil {
		s.Lost++
	}
	if res.isGood() {
		s.Good++
	}
	if res.Answer != nil {
		s.answers++
		s.coverageSum += res.Answer.Coverage.Fraction
	}
}

func (c *Collector) addExamples(res *Result) {
	e := Example{
		Request: res.ID,
		Class:   res.Class,
	}
	if res.Answer != nil {
		e.Trace = res.Answer.Trace
	}
	for _, v := range res.Violations {
		e.Kind, e.Detail = string(v.Kind), v.Detail
		c.addExample(e)
	}
	switch {
	case res.Refusal != nil:
		e.Kind, e.Detail = "refusal "+res.Refusal.Kind, res.Refusal.Error()
		c.addExample(e)
	case res.Err != nil:
		e.Kind, e.Detail = "lost", res.Err.Error()
		c.addExample(e)
	}
}

func (c *Collector) addExample(e Example) {
	if c.exampleCounts[e.Kind]++; c.exampleCounts[e.Kind] <= maxExamples {
		c.examples = append(c.examples, e)
	}
}

// Report returns the statistics of the results added so far.
func (c *Collector) Report() *Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	report := &Report{
		Examples: slices.Clone(c.examples),
	}
	for i, s := range c.steps {
		step := StepStats{
			Factor:   s.Factor,
			Rate:     s.Rate,
			Duration: s.Duration.Seconds(),
			Total:    c.totals[i].classStats("total", s.Duration),
		}
		for _, name := range slices.Sorted(maps.Keys(c.classes[i])) {
			step.Classes = append(step.Classes, c.classes[i][name].classStats(name, s.Duration))
		}
		report.Steps = append(report.Steps, step)
	}
	for _, n := range slices.Sorted(maps.Keys(c.seconds)) {
		report.Timeline = append(report.Timeline, c.seconds[n].secondStats())
	}
	return report
}

func (s *secondAggregate) secondStats() SecondStats {
	sum := s.SecondStats
	slices.Sort(s.latencies)
	if n := len(s.latencies); n > 0 {
		sum.P99 = s.latencies[(n*99-1)/100]
	}
	if s.answers > 0 {
		sum.Coverage = s.coverageSum / float64(s.answers)
	}
	return sum
}

// isGood reports whether the request was answered within the deadline and, for a
// read, with a coverage of at least the floor.
func (res *Result) isGood() bool {
	if res.Refusal != nil || res.Err != nil || res.Latency > res.Deadline {
		return false
	}
	return res.Answer == nil || res.Answer.Coverage.Fraction >= res.Floor
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minLatencyMicros, maxLatencyMicros, significantDigits)
}
