// Package resultcollector collects the results of the requests of a load and
// aggregates them into a report.
package resultcollector

// Report contains the statistics of a run.
type Report struct {
	Profile string `json:"profile"`
	Seed    uint64 `json:"seed"`
	// Entries are the daemons that received the load, each as URL or URL=READY.
	Entries []string `json:"entries"`
	// Verified is true if answers were compared with the reference.
	Verified bool        `json:"verified"`
	Steps    []StepStats `json:"steps"`
	// Timeline has one entry for each second in which requests were due to be
	// sent.
	Timeline []SecondStats `json:"timeline"`
	// Examples are the first violations, refusals and losses of each kind.
	Examples []Example `json:"examples"`
}

// StepStats contains the statistics of one step of a run, in which the request
// rate is constant.
type StepStats struct {
	Factor float64 `json:"factor"`
	// Rate is the intended rate in requests per second.
	Rate float64 `json:"rate"`
	// Duration is in seconds.
	Duration float64 `json:"duration"`
	// Total aggregates all classes.
	Total   ClassStats   `json:"total"`
	Classes []ClassStats `json:"classes"`
}

// ClassStats contains the statistics of the requests of one class in one step.
type ClassStats struct {
	Name string `json:"name"`
	// Sent counts all scheduled requests and further pages, including requests
	// that were not sent because of the limit on requests in flight.
	Sent int64 `json:"sent"`
	// Answered counts the requests that received an answer other than a refusal.
	Answered int64 `json:"answered"`
	// Good counts the answers whose coverage is at least the floor of the class
	// and that arrived within the deadline, measured from the intended send time.
	Good int64 `json:"good"`
	// Goodput is the number of good answers per second.
	Goodput float64 `json:"goodput"`
	// Lost counts the requests that received neither an answer nor a refusal.
	Lost int64 `json:"lost"`
	// Refused counts the refusals by kind.
	Refused map[string]int64 `json:"refused"`
	// ExecutionUnknown counts the refusals that do not rule out that the request
	// was executed.
	ExecutionUnknown int64 `json:"unknown"`
	// Latency is the distribution over answered and lost requests. The latency of
	// a lost request is the time until the caller gave up.
	Latency LatencyStats `json:"latency"`
	// RefusalLatency is the distribution over refused requests.
	RefusalLatency LatencyStats    `json:"refusal"`
	Coverage       CoverageStats   `json:"coverage"`
	SubRequests    SubRequestStats `json:"load"`
	// Violations counts the violations found in answers by kind.
	Violations map[string]int64 `json:"violations"`
}

// LatencyStats is a distribution of latencies in microseconds, measured from the
// intended send times.
type LatencyStats struct {
	Mean float64 `json:"mean"`
	P50  int64   `json:"p50"`
	P90  int64   `json:"p90"`
	P99  int64   `json:"p99"`
	P999 int64   `json:"p999"`
	Max  int64   `json:"max"`
	// Curve contains the latencies at increasing quantiles.
	Curve []Point `json:"curve,omitempty"`
}

// Point is the latency at one quantile of a distribution.
type Point struct {
	// Quantile is in [0,1].
	Quantile float64 `json:"quantile"`
	// Latency is in microseconds.
	Latency int64 `json:"latency"`
}

// CoverageStats is the distribution of the coverage of answers, which is the
// fraction of the shards that an answer covers.
type CoverageStats struct {
	Mean float64 `json:"mean"`
	Min  float64 `json:"min"`
	// Full is the fraction of answers that cover every shard.
	Full    float64  `json:"full"`
	Buckets []Bucket `json:"buckets"`
	// Missing counts the missing shards of all answers by reason.
	Missing map[string]int64 `json:"missing"`
}

// Bucket counts the answers whose coverage is at least From and below the From
// of the next higher bucket.
type Bucket struct {
	From  float64 `json:"from"`
	Count int64   `json:"count"`
}

// SubRequestStats counts the sub-requests that the tier sent to targets for the
// answered reads.
type SubRequestStats struct {
	Sent    int64 `json:"sent"`
	Needed  int64 `json:"needed"`
	Hedges  int64 `json:"hedges"`
	Retries int64 `json:"retries"`
	// Extra is Sent/Needed - 1, the fraction of sub-requests beyond those needed.
	Extra float64 `json:"extra"`
}

// SecondStats contains the statistics of the requests whose intended send time
// is in one second of the run.
type SecondStats struct {
	// Index counts the seconds since the start of the run, starting at 0.
	Index   int   `json:"second"`
	Sent    int64 `json:"sent"`
	Good    int64 `json:"good"`
	Refused int64 `json:"refused"`
	Lost    int64 `json:"lost"`
	// P99 is the 99th percentile of the latency of answered and lost requests, in
	// microseconds.
	P99 int64 `json:"p99"`
	// Coverage is the mean coverage of the answers.
	Coverage float64 `json:"coverage"`
}

// Example describes one violation, refusal or loss.
type Example struct {
	Request string `json:"request"`
	Trace   string `json:"trace"`
	Class   string `json:"class"`
	Kind    string `json:"kind"`
	Detail  string `json:"detail"`
}

// Violations returns the number of violations of each kind over all steps.
func (r *Report) Violations() map[string]int64 {
	sum := make(map[string]int64)
	for _, s := range r.Steps {
		for k, n := range s.Total.Violations {
			sum[k] += n
		}
	}
	return sum
}
