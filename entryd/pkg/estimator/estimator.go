// Package estimator predicts when a target would finish one more request. It
// learns from the answers themselves: service times in a decayed sketch, the
// queue that the target reports with an answer, the requests that are in
// flight from here, and silences.
//
// All methods are safe for concurrent use, allocate nothing, and take the time
// as an argument.
package estimator

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// DefaultHalfLife is the half-life of a latency sample.
	DefaultHalfLife = 5 * time.Second
	// DefaultPrior is the service time assumed before the first answer.
	DefaultPrior = 10 * time.Millisecond

	// reportLife is the age at which a reported queue no longer counts.
	reportLife = 500 * time.Millisecond
	// staleAfter is the time without an answer after which an idle target is
	// tried again as if it were new.
	staleAfter = 5 * time.Second
	// refreshSamples is the number of samples after which quantiles are computed.
	refreshSamples = 16
	// rampFactor times the slots is the in-flight limit at which a cold
	// target counts as warm.
	rampFactor = 2

	// silenceFactor times the p95 latency without an answer makes a target
	// suspected of being frozen.
	silenceFactor = 4
	// minSilence is the shortest silence that raises a suspicion. It exceeds
	// maxGap, so that a pause of the daemon alone raises none.
	minSilence = 20 * time.Millisecond
	// failureLimit is the number of consecutive failures that raises a
	// suspicion.
	failureLimit = 3
	// probeFactor times the p95 latency is the time between two requests to
	// a suspected target, within the two bounds below.
	probeFactor = 16
	minProbe    = 100 * time.Millisecond
	maxProbe    = 2 * time.Second
	// suspectPenalty is added to the expected finish of a suspected target.
	suspectPenalty = time.Second

	// failureWeight is the weight of the last outcome in the part of the requests that
	// a target refuses or fails.
	failureWeight = 1.0 / 12
	// failureHalfLife is the time without an outcome after which that part counts half.
	failureHalfLife = 2 * time.Second
	// repeatCost times the expected finish is what an attempt costs that another
	// target has to repeat.
	repeatCost = 3
	// maxFailureRatio bounds the part for which the cost still grows.
	maxFailureRatio = 0.95
)

// Settings describe one target. Zero fields take defaults.
type Settings struct {
	// Slots is the number of requests that the target runs at once.
	Slots int
	// Prior is the service time assumed before the first answer.
	Prior time.Duration
	// HalfLife is the half-life of a latency sample.
	HalfLife time.Duration
}

// Report is what an answer says about the target's state.
type Report struct {
	// Incarnation of the target's process.
	Incarnation uint64
	// Queue is the number of requests waiting for a slot.
	Queue uint32
	// Service is the execution time, waiting excluded. Zero if unknown.
	Service time.Duration
}

// Ticket stands for one request in flight.
type Ticket struct {
	sent        time.Duration
	ahead       float64
	incarnation uint64
}

// Estimator holds the state of one target.
type Estimator struct {
	group *Group
	slots float64
	prior time.Duration

	inFlight            atomic.Int64
	incarnation         atomic.Uint64
	consecutiveFailures atomic.Int64

	// unanswered tells whether a request was sent since the last answer,
	// and silence is the activity clock at the first such request.
	unanswered  atomic.Bool
	silentSince atomic.Int64
	nextProbe   atomic.Int64

	// Last report: requests of others ahead of ours, as float bits, and when.
	othersAhead atomic.Uint64
	reportedAt  atomic.Int64

	// failureRatio is the part of the requests that were refused or failed, as float bits,
	// and judged when the last outcome was.
	failureRatio atomic.Uint64
	outcomeAt    atomic.Int64

	// Published quantiles in nanoseconds.
	service, p50, p95 atomic.Int64

	// ramp is the in-flight limit while cold, and zero once warm.
	ramp atomic.Int64

	mu          sync.Mutex
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

// Send counts a request that is about to be sent. Each ticket ends in exactly
// one call of Answer, Fail or Drop.
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

// Answer records a completed request. An answer from an incarnation that has
// since been replaced changes nothing but the count in flight.
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

// Shed records that the target refused a request before running it.
func (e *Estimator) Shed(now time.Time, r Report) {
	e.inFlight.Add(-1)
	at := e.group.since(now)
	e.recordAnswer(at)
	e.consecutiveFailures.Store(0)
	e.recordOutcome(at, 1)
	e.recordQueue(at, r)
}

// Fail records a request that ended with an error of the target or of its
// connection.
func (e *Estimator) Fail(now time.Time) {
	e.inFlight.Add(-1)
	e.consecutiveFailures.Add(1)
	e.recordOutcome(e.group.since(now), 1)
}

// recordOutcome takes an outcome into the part of bad ones. Of outcomes at the same
// time, one may be lost.
func (e *Estimator) recordOutcome(at time.Duration, bad float64) {
	before := e.failureRatioAt(at)
	e.failureRatio.Store(math.Float64bits(before + failureWeight*(bad-before)))
	e.outcomeAt.Store(int64(at))
}

// failureRatioAt returns the part of the requests that were refused or failed lately.
func (e *Estimator) failureRatioAt(at time.Duration) float64 {
	age := float64(at-time.Duration(e.outcomeAt.Load())) / float64(failureHalfLife)
	return math.Float64frombits(e.failureRatio.Load()) * math.Exp2(-max(age, 0))
}

// Drop records a request that was given up here: cancelled, or past its
// deadline. The target's silence goes on.
func (e *Estimator) Drop() {
	e.inFlight.Add(-1)
}

// MarkCold makes the target cold, as when it returns from a drain.
func (e *Estimator) MarkCold() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.reset()
}

// ClearSuspicion ends a suspicion, as when the path to the target was found to work
// again.
func (e *Estimator) ClearSuspicion() {
	e.consecutiveFailures.Store(0)
	e.silentSince.Store(e.group.activity())
	e.unanswered.Store(false)
}

// ExpectedLatency returns the time in which one more request would be answered:
//
//	service × (1 + (own in flight + others' queue) / slots)
//
// A suspected target takes at least as long as it has been silent, and a
// penalty. A target that was not used for a while, because it was slow, counts
// as no slower than a new one until it has one request in flight, so that its
// recovery is noticed.
func (e *Estimator) ExpectedLatency(now time.Time) time.Duration {
	at := e.group.since(now)
	service := float64(e.service.Load())
	if e.inFlight.Load() <= 0 && at-time.Duration(e.reportedAt.Load()) >= staleAfter {
		service = min(service, float64(e.prior))
	}
	finish := time.Duration(service * (1 + e.ahead(at)/e.slots))
	if e.Suspected() {
		finish += suspectPenalty + e.silentFor()
	}
	return finish
}

// Cost returns the expected finish, increased for a target that refuses or fails
// a part of its requests, which another one then has to repeat.
func (e *Estimator) Cost(now time.Time) time.Duration {
	bad := min(e.failureRatioAt(e.group.since(now)), maxFailureRatio)
	return time.Duration(float64(e.ExpectedLatency(now)) * (1 + repeatCost*bad/(1-bad)))
}

// P50 returns the median latency of recent answers.
func (e *Estimator) P50() time.Duration {
	return time.Duration(e.p50.Load())
}

// P95 returns the 95th percentile of the latency of recent answers.
func (e *Estimator) P95() time.Duration {
	return time.Duration(e.p95.Load())
}

// Service returns the median service time, waiting excluded.
func (e *Estimator) Service() time.Duration {
	return time.Duration(e.service.Load())
}

// InFlight returns the number of requests in flight from here.
func (e *Estimator) InFlight() int {
	return int(e.inFlight.Load())
}

// InFlightLimit returns how many requests may be in flight: a small number while
// the target is cold, math.MaxInt once it is warm.
func (e *Estimator) InFlightLimit() int {
	if n := e.ramp.Load(); n > 0 {
		return int(n)
	}
	return math.MaxInt
}

// Suspected reports whether the target has been silent for a multiple of its
// p95 latency while other targets answered, or has failed several times in a
// row.
func (e *Estimator) Suspected() bool {
	if e.consecutiveFailures.Load() >= failureLimit {
		return true
	}
	limit := max(silenceFactor*e.P95(), minSilence)
	return e.silentFor() > limit
}

// Probe reports whether a request may go to a suspected target now. It is true
// for one caller in each probe interval.
func (e *Estimator) Probe(now time.Time) bool {
	at := int64(e.group.since(now))
	next := e.nextProbe.Load()
	if at < next {
		return false
	}
	wait := min(max(probeFactor*e.P95(), minProbe), maxProbe)
	return e.nextProbe.CompareAndSwap(next, at+int64(wait))
}

// silentFor returns how long the target has left requests unanswered, on the
// group's activity clock.
func (e *Estimator) silentFor() time.Duration {
	if !e.unanswered.Load() {
		return 0
	}
	return time.Duration(e.group.activity() - e.silentSince.Load())
}

// recordAnswer ends a silence.
func (e *Estimator) recordAnswer(at time.Duration) {
	e.group.recordAnswer(at)
	e.silentSince.Store(e.group.activity())
	e.unanswered.Store(e.inFlight.Load() > 0)
}

// ahead returns the number of requests ahead of a new one.
func (e *Estimator) ahead(at time.Duration) float64 {
	own := float64(max(e.inFlight.Load(), 0))
	age := at - time.Duration(e.reportedAt.Load())
	if age >= reportLife {
		return own
	}
	fresh := 1 - float64(age)/float64(reportLife)
	return own + fresh*math.Float64frombits(e.othersAhead.Load())
}

// recordQueue keeps the part of the target's reported queue that is not ours.
func (e *Estimator) recordQueue(at time.Duration, r Report) {
	foreign := 0.0
	if r.Queue > 0 {
		foreign = max(0, float64(r.Queue)+e.slots-float64(e.inFlight.Load()))
	}
	e.othersAhead.Store(math.Float64bits(foreign))
	e.reportedAt.Store(int64(at))
}

// recordLatency records the latency of an answer, and the service time behind it:
// the latency divided by the expected wait, or the reported time if that is
// longer. A reported time above the latency is not believed.
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

// publish computes the quantiles that readers see.
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

// advanceRamp raises the limit of a cold target by one for each full round of
// answers within the limit.
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

// reset forgets what was learned from an earlier incarnation.
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
	e.failureRatio.Store(0)
}
