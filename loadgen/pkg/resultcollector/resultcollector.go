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
	latencies   []int64
	coverageSum float64
	answers     int64
}

// New returns a collector for a run with the given steps.
func New(steps []scheduler.Step) *Collector {
	r := &Collector{
		steps:         steps,
		seconds:       make(map[int]*secondAggregate),
		exampleCounts: make(map[string]int),
	}
	for range steps {
		r.totals = append(r.totals, newAggregate())
		r.classes = append(r.classes, make(map[string]*aggregate))
	}
	return r
}

// Add records the result of one request.
func (r *Collector) Add(res Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	class := r.classes[res.StepIndex][res.Class]
	if class == nil {
		class = newAggregate()
		r.classes[res.StepIndex][res.Class] = class
	}
	class.add(&res)
	r.totals[res.StepIndex].add(&res)
	r.addSecond(&res)
	r.addExamples(&res)
}

func (r *Collector) addSecond(res *Result) {
	n := int(res.SendOffset / time.Second)
	s := r.seconds[n]
	if s == nil {
		s = &secondAggregate{}
		s.SecondStats.Index = n
		r.seconds[n] = s
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

func (r *Collector) addExamples(res *Result) {
	e := Example{
		Request: res.ID,
		Class:   res.Class,
	}
	if res.Answer != nil {
		e.Trace = res.Answer.Trace
	}
	for _, v := range res.Violations {
		e.Kind, e.Detail = string(v.Kind), v.Detail
		r.addExample(e)
	}
	switch {
	case res.Refusal != nil:
		e.Kind, e.Detail = "refusal "+res.Refusal.Kind, res.Refusal.Error()
		r.addExample(e)
	case res.Err != nil:
		e.Kind, e.Detail = "lost", res.Err.Error()
		r.addExample(e)
	}
}

func (r *Collector) addExample(e Example) {
	if r.exampleCounts[e.Kind]++; r.exampleCounts[e.Kind] <= maxExamples {
		r.examples = append(r.examples, e)
	}
}

// Report returns the statistics of the results added so far.
func (r *Collector) Report() *Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	report := &Report{
		Examples: slices.Clone(r.examples),
	}
	for i, s := range r.steps {
		step := StepStats{
			Factor:   s.Factor,
			Rate:     s.Rate,
			Duration: s.Duration.Seconds(),
			Total:    r.totals[i].classStats("total", s.Duration),
		}
		for _, name := range slices.Sorted(maps.Keys(r.classes[i])) {
			step.Classes = append(step.Classes, r.classes[i][name].classStats(name, s.Duration))
		}
		report.Steps = append(report.Steps, step)
	}
	for _, n := range slices.Sorted(maps.Keys(r.seconds)) {
		report.Timeline = append(report.Timeline, r.seconds[n].secondStats())
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
