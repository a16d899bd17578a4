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
	terms    *terms
	class    *class
	deadline time.Time
	expires  time.Time
	admitted time.Time
	place    int
	waiting  bool
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
	daemon string
	max    int
	wait   time.Duration

	mu       sync.Mutex
	random   *rand.Rand
	governor governor
	terms    map[string]*terms
	order    []*terms
	others   demands
	live     map[string]bool
	beat     uint64
	queued   int
	offered  meter
	entered  meter
	left     meter
	refused  [KindDeadline + 1]int64
	// full is the last time at which a request met the daemon's limit.
	full time.Time
}

// New returns an Admitter without institutions.
func New(s Settings) *Admitter {
	a := &Admitter{
		daemon: s.Daemon,
		max:    s.Queue,
		wait:   s.Wait,
		random: s.Random,
		terms:  map[string]*terms{},
		others: demands{},
		live:   map[string]bool{},
	}
	if a.max <= 0 {
		a.max = DefaultQueue
	}
	if a.wait <= 0 {
		a.wait = DefaultWait
	}
	a.governor.limit = DefaultLimit
	if s.Limit > 0 {
		a.governor.limit = float64(s.Limit)
	}
	return a
}

// Configure puts the terms of the institutions in force. Requests of those
// left out run to their end.
func (a *Admitter) Configure(now time.Time, institutions []*config.Institution) {
	a.mu.Lock()
	defer a.mu.Unlock()
	known := a.terms
	a.terms = make(map[string]*terms, len(institutions))
	for _, i := range institutions {
		t := known[i.GetName()]
		if t == nil {
			t = &terms{
				classes: map[string]*class{},
			}
		}
		delete(known, i.GetName())
		t.configure(i)
		a.terms[i.GetName()] = t
	}
	// Those left out stay until nothing of theirs waits.
	for name, t := range known {
		if len(t.queue) > 0 {
			t.removed = true
			a.terms[name] = t
		}
	}
	a.order = slices.SortedFunc(maps.Values(a.terms), func(x, y *terms) int {
		return strings.Compare(x.name, y.name)
	})
	a.divide(now)
}

// Observe takes the names of the other live daemons and the demands that they
// gossiped, and divides the fleet-wide terms anew. It is to be called about
// once a second, also when nothing was gossiped, so that old demands expire.
func (a *Admitter) Observe(now time.Time, live []string, gossiped []*peer.Demand) {
	a.mu.Lock()
	defer a.mu.Unlock()
	clear(a.live)
	for _, daemon := range live {
		if daemon != a.daemon {
			a.live[daemon] = true
		}
	}
	for _, d := range gossiped {
		if d.GetDaemon() != a.daemon && a.terms[d.GetInstitution()] != nil {
			a.others.merge(now, d)
		}
	}
	a.divide(now)
}

// Demands returns this daemon's demand for each institution, to be gossiped.
func (a *Admitter) Demands(now time.Time) []*peer.Demand {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.beat = max(a.beat+1, uint64(max(now.UnixMilli(), 0)))
	out := make([]*peer.Demand, 0, len(a.terms))
	for _, t := range a.order {
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
	t := a.terms[r.Institution]
	if t == nil || t.removed {
		return nil, ErrInstitution
	}
	t.offered.add(now)
	a.offered.add(now)
	c := t.class(r.Class)
	if kind, wait := a.check(now, t, c, r); kind != 0 {
		return nil, a.refuse(now, kind, wait)
	}
	t.bucket.take()
	ticket := &Ticket{
		terms:    t,
		class:    c,
		deadline: now.Add(r.Remaining),
	}
	if a.queued == 0 && a.governor.flight < a.governor.allowed() {
		a.admit(now, ticket)
		return ticket, nil
	}
	a.full = now
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
		t.terms.bucket.refund()
		return a.dispatch(now)
	}
	latency := now.Sub(t.admitted)
	t.terms.flight--
	a.left.add(now)
	if r.Outcome != Failed {
		t.class.add(now, latency)
	}
	a.governor.leave(now, latency, r)
	return a.dispatch(now)
}

// Saturated reports whether a request had to wait or was refused for overload
// within the last second. Nothing extra is to be sent then.
func (a *Admitter) Saturated(now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return !a.full.IsZero() && now.Sub(a.full) < saturatedPeriod
}

// Tick returns the decisions that are due by the passing of time. It is to be
// called when the wait of a request ends.
func (a *Admitter) Tick(now time.Time) []Decision {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.dispatch(now)
}

// check finds the reason to refuse a request, with the time until that reason
// passes, or a zero kind.
func (a *Admitter) check(now time.Time, t *terms, c *class, r Request) (Kind, time.Duration) {
	if r.Remaining <= 0 || r.Remaining < c.expected(now) {
		return KindDeadline, 0
	}
	if t.share > 0 && t.flight+len(t.queue) >= t.share {
		return KindConcurrency, c.p50
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
	pressure := max(a.offered.value(now)/max(a.entered.value(now), 1), 1)
	retry := min(max(float64(wait)*pressure, float64(minRetry)), float64(maxRetry))
	return &Refusal{
		kind:  k,
		retry: time.Duration(retry * (1 + a.random.Float64())),
	}
}

// admit starts a request.
func (a *Admitter) admit(now time.Time, t *Ticket) {
	t.admitted = now
	t.waiting = false
	t.terms.flight++
	t.terms.peak = max(t.terms.peak, t.terms.flight)
	a.entered.add(now)
	a.governor.enter()
}

// divide computes this daemon's shares of the fleet-wide terms.
func (a *Admitter) divide(now time.Time) {
	a.others.retain(a.live)
	for _, t := range a.order {
		rates, concurrencies := a.others.fresh(now, t.name)
		unknown := len(a.live) - len(rates)
		t.bucket.setRate(now, share(t.rate, rates, unknown))
		t.share = 0
		if t.concurrency > 0 {
			t.share = max(int(share(t.concurrency, concurrencies, unknown)), 1)
		}
	}
}
