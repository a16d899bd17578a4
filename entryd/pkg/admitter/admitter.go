// Package admitter implements admission control: it decides which of the callers'
// requests a daemon executes. It enforces the fleet-wide rate and concurrency
// limits of each institution, refuses requests that are not expected to finish
// before their deadline, and adapts the number of requests in flight to the
// capacity of the targets.
//
// A request is admitted, queued or refused at once. The queue is bounded, and a
// request that has waited for Settings.Wait is refused. A refusal is final.
//
// All methods are safe for concurrent use. They take the current time as an
// argument and start no goroutines or timers.
package admitter

import (
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"plantaincleat/entryd/pkg/sharer"
	"plantaincleat/tier/gen/config"
	"plantaincleat/tier/gen/peer"
)

const (
	// DefaultQueue is the default limit of requests that wait in a daemon.
	DefaultQueue = 128
	// DefaultWait is the default limit of the time that a request waits.
	DefaultWait = 20 * time.Millisecond

	// minRetry and maxRetry bound the retry-after time of a refusal before
	// jitter. Jitter at most doubles it.
	minRetry = 100 * time.Millisecond
	maxRetry = 30 * time.Second
	// saturatedPeriod is how long a daemon counts as saturated after a request
	// has reached the concurrency limit, so that it was queued or refused.
	saturatedPeriod = time.Second
	// overloadRetry is the retry-after time of refusals for overload or
	// deadline while the offered rate does not exceed the admitted rate. It
	// grows in proportion to the excess.
	overloadRetry = time.Second
)

// ErrInstitution is returned for a request of an institution that is not
// configured.
var ErrInstitution = errors.New("admit: unknown institution")

// Outcome is how an admitted request ended.
type Outcome int

// Outcomes of a request.
const (
	// Failed is an end that is no evidence of load: the caller cancelled, or
	// the answer is partial because targets were lost, did not answer or were
	// draining.
	Failed Outcome = iota
	// Completed is an answer that covers all shards.
	Completed
	// Overloaded is an answer that is partial because targets shed work or
	// the limit of requests in flight to them was reached.
	Overloaded
)

// Result describes the end of an admitted request.
type Result struct {
	Outcome Outcome
	// QueueTime is the longest time that a sub-request was queued in this daemon,
	// because the limits of its targets were reached, before it was first sent.
	QueueTime time.Duration
}

// Settings configure an Admitter. Zero values of Limit, Queue and Wait select
// the defaults.
type Settings struct {
	// Daemon is the id of this daemon in gossip.
	Daemon string
	// Random is the source of the jitter of retry-after times. It must be set.
	Random *rand.Rand
	// Limit is the initial limit of requests in flight.
	Limit int
	// Queue is the limit of requests that wait for admission.
	Queue int
	// Wait is the limit of the time that a request waits for admission.
	Wait time.Duration
}

// Request holds the properties of a request that decide on its admission.
type Request struct {
	Institution string
	Class       string
	// Remaining is the time left until the request's deadline.
	Remaining time.Duration
}

// Ticket identifies a request that was admitted or is queued.
type Ticket struct {
	institution *institutionState
	class       *classState
	deadline    time.Time
	expires     time.Time
	admitted    time.Time
	heapIndex   int
	waiting     bool
}

// Waiting reports whether the request is queued, so that a Decision will follow.
// It must be called right after Offer: a later decision on the ticket changes the
// result.
func (t *Ticket) Waiting() bool {
	return t.waiting
}

// Decision is the admission or refusal of a queued request.
type Decision struct {
	Ticket *Ticket
	// Refusal is nil if the request is admitted.
	Refusal *Refusal
}

// Admitter is the admission control of one daemon.
type Admitter struct {
	daemon    string
	maxQueued int
	maxWait   time.Duration

	mu           sync.Mutex
	random       *rand.Rand
	limiter      concurrencyLimiter
	institutions map[string]*institutionState
	sorted       []*institutionState
	peerDemands  demandTable
	livePeers    map[string]bool
	beat         uint64
	queued       int
	offered      sharer.Meter
	admitted     sharer.Meter
	ended        sharer.Meter
	refused      [KindDeadline + 1]int64
	// lastSaturated is when a request last reached the concurrency limit or was
	// queued behind others.
	lastSaturated time.Time
}

// New returns an Admitter without institutions.
func New(s Settings) *Admitter {
	a := &Admitter{
		daemon:       s.Daemon,
		maxQueued:    s.Queue,
		maxWait:      s.Wait,
		random:       s.Random,
		institutions: map[string]*institutionState{},
		peerDemands:  demandTable{},
		livePeers:    map[string]bool{},
	}
	if a.maxQueued <= 0 {
		a.maxQueued = DefaultQueue
	}
	if a.maxWait <= 0 {
		a.maxWait = DefaultWait
	}
	a.limiter.limit = DefaultLimit
	if s.Limit > 0 {
		a.limiter.limit = float64(s.Limit)
	}
	return a
}

// Configure replaces the institutions and their limits. Requests of removed
// institutions that were admitted or queued are not refused for that reason.
func (a *Admitter) Configure(now time.Time, institutions []*config.Institution) {
	a.mu.Lock()
	defer a.mu.Unlock()
	known := a.institutions
	a.institutions = make(map[string]*institutionState, len(institutions))
	for _, i := range institutions {
		inst := known[i.GetName()]
		if inst == nil {
			inst = &institutionState{
				classes: map[string]*classState{},
			}
		}
		delete(known, i.GetName())
		inst.configure(i)
		a.institutions[i.GetName()] = inst
	}
	// A removed institution is kept while it has queued requests.
	for name, inst := range known {
		if len(inst.queue) > 0 {
			inst.removed = true
			a.institutions[name] = inst
		}
	}
	a.sorted = slices.SortedFunc(maps.Values(a.institutions), func(x, y *institutionState) int {
		return strings.Compare(x.name, y.name)
	})
	a.updateQuotas(now)
}

// Observe takes the ids of the live daemons and their gossiped demands, and
// computes this daemon's quotas from them. It should be called about once a
// second even if nothing was gossiped, so that old demands expire.
func (a *Admitter) Observe(now time.Time, live []string, gossiped []*peer.Demand) {
	a.mu.Lock()
	defer a.mu.Unlock()
	clear(a.livePeers)
	for _, daemon := range live {
		if daemon != a.daemon {
			a.livePeers[daemon] = true
		}
	}
	for _, d := range gossiped {
		if d.GetDaemon() != a.daemon && a.institutions[d.GetInstitution()] != nil {
			a.peerDemands.merge(now, d)
		}
	}
	a.updateQuotas(now)
}

// Demands returns this daemon's demand for each institution, which the caller
// gossips to the other daemons.
func (a *Admitter) Demands(now time.Time) []*peer.Demand {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.beat = max(a.beat+1, uint64(max(now.UnixMilli(), 0)))
	out := make([]*peer.Demand, 0, len(a.institutions))
	for _, inst := range a.sorted {
		out = append(out, &peer.Demand{
			Daemon:      a.daemon,
			Institution: inst.name,
			Rate:        inst.offered.Value(now),
			Concurrency: inst.demand(now),
			Beat:        a.beat,
		})
	}
	return out
}

// Offer admits, queues or refuses a request. The error is a *Refusal or
// ErrInstitution. The caller must call Done once for each ticket, unless a
// Decision refuses it.
func (a *Admitter) Offer(now time.Time, r Request) (*Ticket, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	inst := a.institutions[r.Institution]
	if inst == nil || inst.removed {
		return nil, ErrInstitution
	}
	inst.offered.Add(now)
	a.offered.Add(now)
	c := inst.class(r.Class)
	if kind, wait := a.refusalReason(now, inst, c, r); kind != 0 {
		return nil, a.refuse(now, kind, wait)
	}
	inst.bucket.take(now)
	ticket := &Ticket{
		institution: inst,
		class:       c,
		deadline:    now.Add(r.Remaining),
	}
	if a.queued == 0 && a.limiter.inFlight < a.limiter.allowed() {
		a.admit(now, ticket)
		return ticket, nil
	}
	a.lastSaturated = now
	if !a.enqueue(now, ticket) {
		inst.bucket.refund()
		return nil, a.refuse(now, KindOverload, 0)
	}
	return ticket, nil
}

// Done ends an admitted request, or withdraws a queued one. It returns the
// decisions on other queued requests that result.
func (a *Admitter) Done(now time.Time, t *Ticket, r Result) []Decision {
	a.mu.Lock()
	defer a.mu.Unlock()
	if t.waiting {
		a.dequeue(t)
		t.institution.bucket.refund()
		return a.dispatch(now)
	}
	latency := now.Sub(t.admitted)
	t.institution.inFlight--
	a.ended.Add(now)
	if r.Outcome != Failed {
		t.class.add(now, latency)
	}
	a.limiter.end(now, latency, r)
	return a.dispatch(now)
}

// Saturated reports whether, within the last second, a request was queued or was
// refused with KindOverload because the queue was full or too slow. Hedges should
// not be sent then.
func (a *Admitter) Saturated(now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return !a.lastSaturated.IsZero() && now.Sub(a.lastSaturated) < saturatedPeriod
}

// Tick returns the decisions that are due at the given time. It should be called
// when the longest wait of a queued request has passed.
func (a *Admitter) Tick(now time.Time) []Decision {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.dispatch(now)
}

// refusalReason returns the reason to refuse a request and the time until that
// reason no longer holds. The kind is zero if there is no reason.
func (a *Admitter) refusalReason(now time.Time, inst *institutionState, c *classState, r Request) (Kind, time.Duration) {
	if r.Remaining <= 0 || r.Remaining < c.expected(now) {
		return KindDeadline, 0
	}
	if inst.quota > 0 && inst.inFlight+len(inst.queue) >= inst.quota {
		return KindConcurrency, c.median
	}
	if wait := inst.bucket.wait(now); wait > 0 {
		return KindRate, wait
	}
	return 0, 0
}

// refuse counts and returns a refusal. Its retry-after time grows with the ratio
// of the offered to the admitted rate.
func (a *Admitter) refuse(now time.Time, k Kind, wait time.Duration) *Refusal {
	a.refused[k]++
	if k == KindOverload || k == KindDeadline {
		wait = overloadRetry
	}
	pressure := max(a.offered.Value(now)/max(a.admitted.Value(now), 1), 1)
	retry := min(max(float64(wait)*pressure, float64(minRetry)), float64(maxRetry))
	return &Refusal{
		kind:       k,
		retryAfter: time.Duration(retry * (1 + a.random.Float64())),
	}
}

// admit counts a request as in flight.
func (a *Admitter) admit(now time.Time, t *Ticket) {
	t.admitted = now
	t.waiting = false
	t.institution.inFlight++
	t.institution.peakInFlight = max(t.institution.peakInFlight, t.institution.inFlight)
	a.admitted.Add(now)
	a.limiter.begin()
}

// updateQuotas computes this daemon's quotas of the fleet-wide limits.
func (a *Admitter) updateQuotas(now time.Time) {
	a.peerDemands.retain(a.livePeers)
	for _, inst := range a.sorted {
		rates, concurrencies := a.peerDemands.fresh(now, inst.name)
		unknown := len(a.livePeers) - len(rates)
		inst.bucket.setRate(now, sharer.FairShare(inst.rate, rates, unknown))
		inst.quota = 0
		if inst.concurrency > 0 {
			inst.quota = max(int(sharer.FairShare(inst.concurrency, concurrencies, unknown)), 1)
		}
	}
}
