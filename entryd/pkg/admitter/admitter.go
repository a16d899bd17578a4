// Package admitter decides at the edge which requests a daemon runs. It holds
// each institution to its fleet-wide rate and concurrency, refuses what cannot
// finish before its deadline, and keeps the daemon's own concurrency at what
// the targets can carry.
//
// A refusal is final and comes at once. A request that waits does so in a
// bounded queue and for at most a short time, after which it is refused.
//
// All methods are safe for concurrent use. They take the time as an argument
// and start nothing.
package admitter

import (
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"plantaincleat/tier/gen/config"
	"plantaincleat/tier/gen/peer"
)

const (
	// DefaultQueue is the number of requests that may wait in a daemon.
	DefaultQueue = 128
	// DefaultWait is the longest time that a request waits.
	DefaultWait = 20 * time.Millisecond

	// minRetry and maxRetry bound the time in a refusal before jitter, which
	// adds up to as much again.
	minRetry = 100 * time.Millisecond
	maxRetry = 30 * time.Second
	// saturatedPeriod is the time after a request had to wait or was refused
	// for overload in which the daemon counts as saturated.
	saturatedPeriod = time.Second
	// overloadRetry is that time for an overload at which demand is just
	// above what is admitted.
	overloadRetry = time.Second
)

// ErrInstitution reports a request of an institution without terms.
var ErrInstitution = errors.New("admit: unknown institution")

// Outcome tells how an admitted request ended.
type Outcome int

// Outcomes of a request.
const (
	// Failed says nothing about the load: cancelled by the caller, or
	// partial because targets were lost, silent or leaving.
	Failed Outcome = iota
	// Completed is an answer with all that was asked for.
	Completed
	// Overloaded is an answer that was late or partial because targets shed
	// work or had no place for it.
	Overloaded
)

// Result is what the admission learns from a request.
type Result struct {
	Outcome Outcome
	// Waited is the longest time that a sub-request waited here for a place
	// at a target before it was first sent.
	Waited time.Duration
}

// Settings configure an Admitter. Zero fields take defaults.
type Settings struct {
	// Daemon is the name of this daemon in gossip.
	Daemon string
	// Random is the source of jitter. It must be set.
	Random *rand.Rand
	// Limit is the concurrency at the start.
	Limit int
	// Queue is the number of requests that may wait.
	Queue int
	// Wait is the longest time that a request waits.
	Wait time.Duration
}

// Request is what the admission of a request depends on.
type Request struct {
	Institution string
	Class       string
	// Remaining is the time until the deadline.
	Remaining time.Duration
}

// Ticket stands for a request that was admitted or waits.
type Ticket struct {
	institution *institutionState
	class       *classState
	deadline    time.Time
	expires     time.Time
	admitted    time.Time
	heapIndex   int
	waiting     bool
}

// Waiting reports, right after Offer, whether the request has to wait for a
// Decision.
func (t *Ticket) Waiting() bool {
	return t.waiting
}

// Decision ends the wait of a request.
type Decision struct {
	Ticket *Ticket
	// Refusal is nil if the request is admitted.
	Refusal *Refusal
}

// Admitter decides for one daemon.
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
	offered      rateMeter
	admitted     rateMeter
	ended        rateMeter
	refused      [KindDeadline + 1]int64
	// lastSaturated is the last time at which a request met the daemon's limit.
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

// Configure puts the terms of the institutions in force. Requests of those
// left out run to their end.
func (a *Admitter) Configure(now time.Time, institutions []*config.Institution) {
	a.mu.Lock()
	defer a.mu.Unlock()
	known := a.institutions
	a.institutions = make(map[string]*institutionState, len(institutions))
	for _, i := range institutions {
		t := known[i.GetName()]
		if t == nil {
			t = &institutionState{
				classes: map[string]*classState{},
			}
		}
		delete(known, i.GetName())
		t.configure(i)
		a.institutions[i.GetName()] = t
	}
	// Those left out stay until nothing of theirs waits.
	for name, t := range known {
		if len(t.queue) > 0 {
			t.removed = true
			a.institutions[name] = t
		}
	}
	a.sorted = slices.SortedFunc(maps.Values(a.institutions), func(x, y *institutionState) int {
		return strings.Compare(x.name, y.name)
	})
	a.updateQuotas(now)
}

// Observe takes the names of the other live daemons and the demands that they
// gossiped, and divides the fleet-wide terms anew. It is to be called about
// once a second, also when nothing was gossiped, so that old demands expire.
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

// Demands returns this daemon's demand for each institution, to be gossiped.
func (a *Admitter) Demands(now time.Time) []*peer.Demand {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.beat = max(a.beat+1, uint64(max(now.UnixMilli(), 0)))
	out := make([]*peer.Demand, 0, len(a.institutions))
	for _, t := range a.sorted {
		out = append(out, &peer.Demand{
			Daemon:      a.daemon,
			Institution: t.name,
			Rate:        t.offered.value(now),
			Concurrency: t.demand(now),
			Beat:        a.beat,
		})
	}
	return out
}

// Offer admits a request, lets it wait, or refuses it. The error is a *Refusal
// or ErrInstitution. Each ticket ends in one call of Done, unless a Decision
// refuses it.
func (a *Admitter) Offer(now time.Time, r Request) (*Ticket, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	t := a.institutions[r.Institution]
	if t == nil || t.removed {
		return nil, ErrInstitution
	}
	t.offered.add(now)
	a.offered.add(now)
	c := t.class(r.Class)
	if kind, wait := a.refusalReason(now, t, c, r); kind != 0 {
		return nil, a.refuse(now, kind, wait)
	}
	t.bucket.take()
	ticket := &Ticket{
		institution: t,
		class:       c,
		deadline:    now.Add(r.Remaining),
	}
	if a.queued == 0 && a.limiter.inFlight < a.limiter.allowed() {
		a.admit(now, ticket)
		return ticket, nil
	}
	a.lastSaturated = now
	if !a.enqueue(now, ticket) {
		t.bucket.refund()
		return nil, a.refuse(now, KindOverload, 0)
	}
	return ticket, nil
}

// Done ends a request that was admitted, or withdraws one that waits. It
// returns the decisions that follow for waiting requests.
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
	a.ended.add(now)
	if r.Outcome != Failed {
		t.class.add(now, latency)
	}
	a.limiter.end(now, latency, r)
	return a.dispatch(now)
}

// Saturated reports whether a request had to wait or was refused for overload
// within the last second. Nothing extra is to be sent then.
func (a *Admitter) Saturated(now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return !a.lastSaturated.IsZero() && now.Sub(a.lastSaturated) < saturatedPeriod
}

// Tick returns the decisions that are due by the passing of time. It is to be
// called when the wait of a request ends.
func (a *Admitter) Tick(now time.Time) []Decision {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.dispatch(now)
}

// refusalReason finds the reason to refuse a request, with the time until that reason
// passes, or a zero kind.
func (a *Admitter) refusalReason(now time.Time, t *institutionState, c *classState, r Request) (Kind, time.Duration) {
	if r.Remaining <= 0 || r.Remaining < c.expected(now) {
		return KindDeadline, 0
	}
	if t.quota > 0 && t.inFlight+len(t.queue) >= t.quota {
		return KindConcurrency, c.median
	}
	if wait := t.bucket.wait(now); wait > 0 {
		return KindRate, wait
	}
	return 0, 0
}

// refuse builds a refusal. The more is offered in proportion to what is
// admitted, the longer the caller is asked to stay away.
func (a *Admitter) refuse(now time.Time, k Kind, wait time.Duration) *Refusal {
	a.refused[k]++
	if k == KindOverload || k == KindDeadline {
		wait = overloadRetry
	}
	pressure := max(a.offered.value(now)/max(a.admitted.value(now), 1), 1)
	retry := min(max(float64(wait)*pressure, float64(minRetry)), float64(maxRetry))
	return &Refusal{
		kind:       k,
		retryAfter: time.Duration(retry * (1 + a.random.Float64())),
	}
}

// admit starts a request.
func (a *Admitter) admit(now time.Time, t *Ticket) {
	t.admitted = now
	t.waiting = false
	t.institution.inFlight++
	t.institution.peakInFlight = max(t.institution.peakInFlight, t.institution.inFlight)
	a.admitted.add(now)
	a.limiter.begin()
}

// updateQuotas computes this daemon's shares of the fleet-wide terms.
func (a *Admitter) updateQuotas(now time.Time) {
	a.peerDemands.retain(a.livePeers)
	for _, t := range a.sorted {
		rates, concurrencies := a.peerDemands.fresh(now, t.name)
		unknown := len(a.livePeers) - len(rates)
		t.bucket.setRate(now, fairShare(t.rate, rates, unknown))
		t.quota = 0
		if t.concurrency > 0 {
			t.quota = max(int(fairShare(t.concurrency, concurrencies, unknown)), 1)
		}
	}
}
