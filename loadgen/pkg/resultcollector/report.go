// Package resultcollector collects the results of a load and sums them up in a
// report.
package resultcollector

// Report is the outcome of a run.
type Report struct {
	Profile string   `json:"profile"`
	Seed    uint64   `json:"seed"`
	Entries []string `json:"entries"`
	// Verified tells whether answers were compared with the reference.
	Verified bool        `json:"verified"`
	Steps    []StepStats `json:"steps"`
	// Timeline has one point for each second of intended send times.
	Timeline []SecondStats `json:"timeline"`
	// Examples are the first violations and losses.
	Examples []Example `json:"examples"`
}

// StepStats is a part of a run with a constant rate.
type StepStats struct {
	Factor float64 `json:"factor"`
	// Rate is the intended rate in requests per second.
	Rate float64 `json:"rate"`
	// Duration is in seconds.
	Duration float64 `json:"duration"`
	// Total sums up all classes.
	Total   ClassStats   `json:"total"`
	Classes []ClassStats `json:"classes"`
}

// ClassStats sums up the requests of one class in one step.
type ClassStats struct {
	Name string `json:"name"`
	// Sent counts the requests.
	Sent int64 `json:"sent"`
	// Answered counts those that got an answer other than a refusal.
	Answered int64 `json:"answered"`
	// Good counts the answers at or above the class's floor that came within
	// the deadline, counted from the intended send time.
	Good int64 `json:"good"`
	// Goodput is in good answers per second.
	Goodput float64 `json:"goodput"`
	// Lost counts the requests without any answer.
	Lost int64 `json:"lost"`
	// Refused counts the refusals by kind.
	Refused map[string]int64 `json:"refused"`
	// ExecutionUnknown counts the refusals of which it is unknown whether the request
	// was run.
	ExecutionUnknown int64 `json:"unknown"`
	// Latency is that of answered and lost requests; a lost one counts with
	// the time at which the caller gave up.
	Latency LatencyStats `json:"latency"`
	// RefusalLatency is the latency of refusals.
	RefusalLatency LatencyStats    `json:"refusal"`
	Coverage       CoverageStats   `json:"coverage"`
	SubRequests    SubRequestStats `json:"load"`
	// Violations counts the faults of answers by kind.
	Violations map[string]int64 `json:"violations"`
}

// LatencyStats is a distribution in microseconds from the intended send time.
type LatencyStats struct {
	Mean float64 `json:"mean"`
	P50  int64   `json:"p50"`
	P90  int64   `json:"p90"`
	P99  int64   `json:"p99"`
	P999 int64   `json:"p999"`
	Max  int64   `json:"max"`
	// Curve has the latency at rising quantiles.
	Curve []Point `json:"curve,omitempty"`
}

// Point is one point of a distribution.
type Point struct {
	Quantile float64 `json:"quantile"`
	// Latency is in microseconds.
	Latency int64 `json:"latency"`
}

// CoverageStats is the distribution of the fraction of covered shards.
type CoverageStats struct {
	Mean float64 `json:"mean"`
	Min  float64 `json:"min"`
	// Full is the fraction of the answers that cover every shard.
	Full    float64  `json:"full"`
	Buckets []Bucket `json:"buckets"`
	// Missing counts the missing shards by reason.
	Missing map[string]int64 `json:"missing"`
}

// Bucket counts the answers with a coverage in [From, the next bucket's From).
type Bucket struct {
	From  float64 `json:"from"`
	Count int64   `json:"count"`
}

// SubRequestStats is what the requests cost the targets.
type SubRequestStats struct {
	Sent    int64 `json:"sent"`
	Needed  int64 `json:"needed"`
	Hedges  int64 `json:"hedges"`
	Retries int64 `json:"retries"`
	// Extra is Sent/Needed - 1.
	Extra float64 `json:"extra"`
}

// SecondStats sums up the requests whose intended send time lies in one second.
type SecondStats struct {
	Index   int   `json:"second"`
	Sent    int64 `json:"sent"`
	Good    int64 `json:"good"`
	Refused int64 `json:"refused"`
	Lost    int64 `json:"lost"`
	// P99 is in microseconds, of answered and lost requests.
	P99 int64 `json:"p99"`
	// Coverage is the mean over the answers.
	Coverage float64 `json:"coverage"`
}

// Example is one violation, loss or refusal.
type Example struct {
	Request string `json:"request"`
	Trace   string `json:"trace"`
	Class   string `json:"class"`
	Kind    string `json:"kind"`
	Detail  string `json:"detail"`
}

// Violations returns the number of faults of answers by kind over all steps.
func (r *Report) Violations() map[string]int64 {
	sum := make(map[string]int64)
	for _, s := range r.Steps {
		for k, n := range s.Total.Violations {
			sum[k] += n
		}
	}
	return sum
}
