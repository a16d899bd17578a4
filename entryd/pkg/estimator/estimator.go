// Package estimator predicts how long a target needs to answer one more request.
// The estimate is based on the service times of recent answers, the queue length
// that the target reports, the number of requests that this daemon has in flight to
// it, and the time for which it has left requests unanswered.
//
// All methods are safe for concurrent use, except those of Sketch. They allocate
// nothing and take the current time as an argument.
package estimator

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// DefaultHalfLife is the default half-life of a latency sample.
	DefaultHalfLife = 5 * time.Second
	// DefaultPrior is the service time assumed before the first answer.
	DefaultPrior = 10 * time.Millisecond

	// reportLife is the age at which a reported queue length is ignored.
	reportLife = 500 * time.Millisecond
	// staleAfter is the time without a report after which a target without requests in
	// flight is assumed to be no slower than a new one, so that it is tried again.
	staleAfter = 5 * time.Second
	// refreshSamples is the number of samples after which the quantiles are computed
	// again.
	refreshSamples = 16
	// rampFactor times the slots is the in-flight limit above which a cold target
	// becomes warm. A target is cold at first and after a reset. Its in-flight limit
	// then rises as it answers. A warm target has no in-flight limit.
	rampFactor = 2

	// silenceFactor times the p95 latency is the time without an answer after which a
	// target is suspected of being frozen.
	silenceFactor = 4
	// minSilence is the lower bound of that time. It exceeds maxGap, so that a pause of
	// the daemon itself raises no suspicion.
	minSilence = 20 * time.Millisecond
	// failureLimit is the number of consecutive failures after which a target is
	// suspected.
	failureLimit = 3
	// probeFactor times the p95 latency is the time between two probes of a suspected
	// target. minProbe and maxProbe bound that time.
	probeFactor = 16
	minProbe    = 100 * time.Millisecond
	maxProbe    = 2 * time.Second
	// suspectPenalty is added to the expected latency of a suspected target.
	suspectPenalty = time.Second

	// failureWeight is the weight of the last outcome in the moving average of the
	// failure ratio.
	failureWeight = 1.0 / 12
	// failureHalfLife is the time without an outcome in which the failure ratio halves.
	failureHalfLife = 2 * time.Second
	// repeatCost times the expected latency is the cost of an attempt that has to be
	// repeated on another target.
	repeatCost = 3
	// maxFailureRatio bounds the failure ratio in the computation of the cost.
	maxFailureRatio = 0.95
)

// Settings describe one target. Zero fields take their defaults.
type Settings struct {
	// Slots is the number of requests that the target executes concurrently. It
	// defaults to 1.
	Slots int
	// Prior is the service time that is assumed before the first answer. It defaults to
	// DefaultPrior.
	Prior time.Duration
	// HalfLife is the half-life of a latency sample. It defaults to DefaultHalfLife.
	HalfLife time.Duration
}

// Report is the state of a target as reported with an answer.
type Report struct {
	// Incarnation identifies the run of the target's process.
	Incarnation uint64
	// Queue is the number of requests that wait for a slot.
	Queue uint32
	// Service is the execution time without waiting, or zero if it is unknown.
	Service time.Duration
	// Running is the number of requests that the target executes, the one with the report
	// included if it comes with an answer. Zero if it is unknown.
	Running uint32
	// Pace is how long work takes there now, as a factor of the usual time. Zero if it is
	// unknown.
	Pace float64
}

// Ticket represents one request in flight.
type Ticket struct {
	// sent is the time of the request since the group's origin.
	sent time.Duration
	// ahead is the expected number of requests ahead of it when it was sent.
	ahead float64
	// incarnation is the last known incarnation of the target when it was sent.
	incarnation uint64
}

// Estimator holds the state of one target. It is safe for concurrent use.
type Estimator struct {
	group *Group
	slots float64
	prior time.Duration

	inFlight            atomic.Int64
	incarnation         atomic.Uint64
	consecutiveFailures atomic.Int64

	// unanswered is true if a request was in flight at the last answer or was sent after
	// it. silentSince is the group's activity clock, in nanoseconds, at the last answer
	// or, if no request was in flight then, at the first request sent after it.
	unanswered  atomic.Bool
	silentSince atomic.Int64
	// nextProbe is the earliest time of the next probe, in nanoseconds since the group's
	// origin.
	nextProbe atomic.Int64

	// othersAhead is the number of requests of other daemons in the queue at the last
	// report, as float64 bits. reportedAt is the time of that report, in nanoseconds
	// since the group's origin.
	othersAhead atomic.Uint64
	reportedAt  atomic.Int64
	// heardAt is the time of the last report, with an answer to a request or without, in
	// nanoseconds since the group's origin.
	heardAt atomic.Int64
	pace    pace

	// failureRatio is the moving average of requests that were refused or failed, as
	// float64 bits. outcomeAt is the time of the last outcome, in nanoseconds since the
	// group's origin.
	failureRatio atomic.Uint64
	outcomeAt    atomic.Int64

	// service, p50 and p95 are the published quantiles in nanoseconds.
	service, p50, p95 atomic.Int64

	// ramp is the in-flight limit while the target is cold, and zero when it is warm.
	ramp atomic.Int64

	// mu protects the fields below and serializes the changes of ramp.
	mu sync.Mutex
	// rampAnswers is the number of answers since the last change of ramp.
	rampAnswers int64
	samples     int
	latency     Sketch
	services    Sketch
}

// New returns the estimator of a target that has not answered yet.
func (g *Group) New(s Settings) *Estimator {
	if s.Prior <= 0 {
		s.Prior = DefaultPrior
	}
	e := &Estimator{
		group: g,
		slots: float64(max(s.Slots, 1)),
		prior: s.Prior,
		latency: Sketch{
			HalfLife: s.HalfLife,
		},
		services: Sketch{
			HalfLife: s.HalfLife,
		},
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.reset()
	return e
}

// Send records that a request is about to be sent. Exactly one call of Answer, Shed,
// Fail or Drop must follow for each call of Send.
func (e *Estimator) Send(now time.Time) Ticket {
	at := e.group.since(now)
	t := Ticket{
		sent:        at,
		ahead:       e.ahead(at),
		incarnation: e.incarnation.Load(),
	}
	e.inFlight.Add(1)
	if !e.unanswered.Load() {
		e.silentSince.Store(e.group.activity())
		e.unanswered.Store(true)
	}
	return t
}

// Answer records the answer to a request. If the incarnation that answered was
// replaced while the request was in flight, only the number of requests in flight
// changes.
func (e *Estimator) Answer(now time.Time, t Ticket, r Report) {
	e.inFlight.Add(-1)
	at := e.group.since(now)
	current := e.incarnation.Load()
	if r.Incarnation != current && r.Incarnation == t.incarnation {
		return
	}
	e.recordAnswer(at)
	e.consecutiveFailures.Store(0)
	e.recordOutcome(at, 0)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.incarnation.Load() != r.Incarnation {
		known := e.incarnation.Swap(r.Incarnation) != 0
		if known {
			e.reset()
		}
	}
	e.recordQueue(at, r)
	e.recordLatency(at, t, r)
	e.advanceRamp()
}

// Shed records that the target refused a request without executing it.
func (e *Estimator) Shed(now time.Time, r Report) {
	e.inFlight.Add(-1)
	at := e.group.since(now)
	e.recordAnswer(at)
	e.consecutiveFailures.Store(0)
	e.recordOutcome(at, 1)
	e.recordQueue(at, r)
}

// Fail records that a request ended with an error of the target or of the connection
// to it.
func (e *Estimator) Fail(now time.Time) {
	e.inFlight.Add(-1)
	e.consecutiveFailures.Add(1)
	e.recordOutcome(e.group.since(now), 1)
}

// recordOutcome adds an outcome to the failure ratio: 1 for a refusal or a failure, 0
// for success. Of two concurrent calls, one outcome may be lost.
func (e *Estimator) recordOutcome(at time.Duration, outcome float64) {
	ratio := e.failureRatioAt(at)
	e.failureRatio.Store(math.Float64bits(ratio + failureWeight*(outcome-ratio)))
	e.outcomeAt.Store(int64(at))
}

// failureRatioAt returns the failure ratio at a time. It decays towards zero while
// there are no outcomes.
func (e *Estimator) failureRatioAt(at time.Duration) float64 {
	age := float64(at-time.Duration(e.outcomeAt.Load())) / float64(failureHalfLife)
	return math.Float64frombits(e.failureRatio.Load()) * math.Exp2(-max(age, 0))
}

// Drop records that the caller gave a request up, because it was cancelled or its
// deadline passed. The request still counts as unanswered.
func (e *Estimator) Drop() {
	e.inFlight.Add(-1)
}

// MarkCold discards what was learned about the target, for example when it returns
// from a drain.
func (e *Estimator) MarkCold() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.reset()
}

// ClearSuspicion ends a suspicion, for example when the network path to the target
// was found to work again.
func (e *Estimator) ClearSuspicion() {
	e.consecutiveFailures.Store(0)
	e.silentSince.Store(e.group.activity())
	e.unanswered.Store(false)
}

// ExpectedLatency returns the time that the target needs to answer one more request:
//
//	service × pace × (1 + (own requests in flight + requests of other daemons) / slots)
//
// The pace and the requests of other daemons are what the target has reported. They count
// the less the older the report is.
//
// A suspected target gets a penalty and the time for which it has been silent on top.
// If no request is in flight and the last report is older than staleAfter, the
// service time counts as no longer than the prior. A target that was avoided because
// it was slow is thus tried again and its recovery is noticed.
func (e *Estimator) ExpectedLatency(now time.Time) time.Duration {
	at := e.group.since(now)
	service := float64(e.service.Load())
	if e.inFlight.Load() <= 0 && at-time.Duration(e.reportedAt.Load()) >= staleAfter {
		service = min(service, float64(e.prior))
	}
	service *= e.pace.factor(at)
	latency := time.Duration(service * (1 + e.ahead(at)/e.slots))
	if e.Suspected() {
		latency += suspectPenalty + e.silentFor()
	}
	return latency
}

// WaitFor returns the time that the target needs for a number of requests, as a part of the
// expected latency.
func (e *Estimator) WaitFor(requests int) time.Duration {
	return time.Duration(float64(e.service.Load()) * float64(requests) / e.slots)
}

// Cost returns the expected latency, increased according to the failure ratio. Each
// refused or failed request has to be repeated on another target.
func (e *Estimator) Cost(now time.Time) time.Duration {
	ratio := min(e.failureRatioAt(e.group.since(now)), maxFailureRatio)
	return time.Duration(float64(e.ExpectedLatency(now)) * (1 + repeatCost*ratio/(1-ratio)))
}

// P50 returns the median latency of recent answers.
func (e *Estimator) P50() time.Duration {
	return time.Duration(e.p50.Load())
}

// P95 returns the 95th percentile of the latency of recent answers.
func (e *Estimator) P95() time.Duration {
	return time.Duration(e.p95.Load())
}

// Service returns the median service time of recent answers, without waiting.
func (e *Estimator) Service() time.Duration {
	return time.Duration(e.service.Load())
}

// InFlight returns the number of requests that this daemon has in flight to the
// target.
func (e *Estimator) InFlight() int {
	return int(e.inFlight.Load())
}

// InFlightLimit returns the maximum number of requests in flight. It is small while
// the target is cold, and math.MaxInt when it is warm.
func (e *Estimator) InFlightLimit() int {
	if n := e.ramp.Load(); n > 0 {
		return int(n)
	}
	return math.MaxInt
}

// ahead returns the expected number of requests ahead of a new one: those that this
// daemon has in flight, and those of other daemons according to the last report, with
// a weight that falls to zero at the age reportLife.
func (e *Estimator) ahead(at time.Duration) float64 {
	own := float64(max(e.inFlight.Load(), 0))
	age := at - time.Duration(e.heardAt.Load())
	if age >= reportLife {
		return own
	}
	weight := 1 - float64(age)/float64(reportLife)
	return own + weight*math.Float64frombits(e.othersAhead.Load())
}

// recordQueue derives the requests of other daemons from the report with an answer. The
// answered request is not in flight any more, but may still count as running.
func (e *Estimator) recordQueue(at time.Duration, r Report) {
	e.reportedAt.Store(int64(at))
	r.Running = max(r.Running, 1) - 1
	e.recordLoad(at, r)
}

// recordLatency records the latency of an answer and its service time. The service
// time is the latency divided by one plus the requests ahead per slot, or the
// reported service time if that is longer. A reported service time above the latency
// is cut to the latency.
func (e *Estimator) recordLatency(at time.Duration, t Ticket, r Report) {
	latency := at - t.sent
	service := time.Duration(float64(latency) / (1 + t.ahead/e.slots))
	service = max(service, min(r.Service, latency))
	e.latency.Add(at, latency)
	e.services.Add(at, service)
	e.samples++
	if e.samples <= refreshSamples || e.samples%refreshSamples == 0 {
		e.publish()
	}
}

// publish computes the quantiles that the getters return. The caller holds e.mu.
func (e *Estimator) publish() {
	var out [2]time.Duration
	if e.latency.Quantiles([]float64{0.5, 0.95}, out[:]) {
		e.p50.Store(int64(out[0]))
		e.p95.Store(int64(out[1]))
	}
	if e.services.Quantiles([]float64{0.5}, out[:1]) {
		e.service.Store(int64(out[0]))
	}
}

// advanceRamp increases the in-flight limit of a cold target by one after as many
// answers as the limit. The caller holds e.mu.
func (e *Estimator) advanceRamp() {
	ramp := e.ramp.Load()
	if ramp == 0 {
		return
	}
	e.rampAnswers++
	if e.rampAnswers < ramp {
		return
	}
	e.rampAnswers = 0
	ramp++
	if float64(ramp) > rampFactor*e.slots {
		ramp = 0
	}
	e.ramp.Store(ramp)
}

// reset discards what was learned about the target and makes it cold. The caller
// holds e.mu.
func (e *Estimator) reset() {
	e.latency.Reset()
	e.services.Reset()
	e.samples = 0
	e.rampAnswers = 0
	e.ramp.Store(1)
	e.service.Store(int64(e.prior))
	e.p50.Store(int64(e.prior))
	e.p95.Store(int64(2 * e.prior))
	e.othersAhead.Store(0)
	e.pace.reset()
	e.failureRatio.Store(0)
}
