package admitter_test

import (
	"errors"
	"slices"
	"time"

	"plantaincleat/entryd/pkg/admitter"
	"plantaincleat/entryd/pkg/budgeter"
	"plantaincleat/entryd/pkg/estimator"
	"plantaincleat/entryd/pkg/limiter"
)

const (
	shards   = 8
	daemons  = 3
	deadline = 230 * time.Millisecond
	// capacity is the rate that the targets can serve in queries per second.
	capacity = 2 * fakeSlots * float64(time.Second/fakeService)
	// hedgeDelay is the fixed delay of hedges of the baseline.
	hedgeDelay = 50 * time.Millisecond
)

// targetView is the state that a daemon keeps about one target.
type targetView struct {
	target    *fakeTarget
	estimator *estimator.Estimator
	limiter   *limiter.Limiter
}

// daemon is a simulated daemon that uses the packages under test. With baseline
// set, it sends every request at once to a random replica, and hedges and retries
// without a budget.
type daemon struct {
	*run
	baseline       bool
	admitter       *admitter.Admitter
	group          limiter.Group
	estimators     estimator.Group
	hedge          *budgeter.Budget
	retry          *budgeter.Budget
	targets        [shards][2]*targetView
	waiting        [shards][]*shardRequest
	waitingQueries map[*admitter.Ticket]*query
}

// query is one request to all shards.
type query struct {
	arrived  time.Duration
	ticket   *admitter.Ticket
	missing  int
	finished bool
	// overloaded is true if a target shed a sub-request or its limit of requests
	// in flight was reached.
	overloaded  bool
	admitted    time.Duration
	longestWait time.Duration
}

// shardRequest is the part of a query for one shard.
type shardRequest struct {
	query   *query
	index   int
	done    bool
	hedged  bool
	retried bool
	calls   []*call
}

// run is one simulation with its counts. They cover the queries that arrived
// between from and until, except for completedBySecond.
type run struct {
	simulation
	from, until        time.Duration
	completed, expired int
	offered            int
	refused            map[admitter.Kind]int
	longestWait        time.Duration
	latencies          []time.Duration
	sent               int
	hedges             int
	retries            int
	completedBySecond  [64]int
}

func (r *run) measured(q *query) bool { return q.arrived >= r.from && q.arrived < r.until }

func (d *daemon) offer() {
	q := &query{
		arrived: d.at,
		missing: shards,
	}
	if d.measured(q) {
		d.offered++
	}
	if d.baseline {
		d.start(q)
		return
	}
	ticket, err := d.admitter.Offer(d.now(), admitter.Request{
		Institution: "corrib",
		Class:       "browse",
		Remaining:   deadline,
	})
	if err != nil {
		var refusal *admitter.Refusal
		errors.As(err, &refusal)
		d.refuse(q, refusal)
		return
	}
	q.ticket = ticket
	if ticket.Waiting() {
		d.waitingQueries[ticket] = q
		d.after(admitter.DefaultWait, func() { d.decide(d.admitter.Tick(d.now())) })
		return
	}
	d.start(q)
}

func (d *daemon) refuse(q *query, r *admitter.Refusal) {
	if d.measured(q) {
		d.refused[r.Kind()]++
		d.longestWait = max(d.longestWait, d.at-q.arrived)
	}
}

func (d *daemon) decide(decisions []admitter.Decision) {
	for _, decision := range decisions {
		q := d.waitingQueries[decision.Ticket]
		delete(d.waitingQueries, decision.Ticket)
		if decision.Refusal != nil {
			d.refuse(q, decision.Refusal)
		} else {
			d.start(q)
		}
	}
}

func (d *daemon) start(q *query) {
	q.admitted = d.at
	d.after(q.arrived+deadline-d.at, func() { d.finish(q, false) })
	for i := range shards {
		s := &shardRequest{
			query: q,
			index: i,
		}
		if !d.send(s, nil) {
			q.overloaded = true
			d.waiting[i] = append(d.waiting[i], s)
		}
	}
}

// send sends a sub-request to the replica with the lowest expected latency whose limit
// is not reached, other than the excepted one. It reports whether there was one.
func (d *daemon) send(s *shardRequest, except *targetView) bool {
	candidates := slices.Clone(d.targets[s.index][:])
	if d.baseline {
		d.random.Shuffle(2, func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	} else {
		slices.SortStableFunc(candidates, func(x, y *targetView) int {
			return int(x.estimator.ExpectedLatency(d.now()) - y.estimator.ExpectedLatency(d.now()))
		})
	}
	for _, t := range candidates {
		if t == except {
			continue
		}
		if d.baseline {
			d.call(s, t, limiter.Permit{})
			return true
		}
		if p, ok := t.limiter.Acquire(t.estimator.InFlightLimit()); ok {
			d.call(s, t, p)
			return true
		}
	}
	return false
}

func (d *daemon) call(s *shardRequest, view *targetView, p limiter.Permit) {
	first := len(s.calls) == 0
	if first {
		s.query.longestWait = max(s.query.longestWait, d.at-s.query.admitted)
		d.hedge.Earn(1)
		d.retry.Earn(1)
	}
	if d.measured(s.query) && first {
		d.sent++
	}
	ticket := view.estimator.Send(d.now())
	c := &call{
		deadline: s.query.arrived + deadline,
	}
	c.answer = func(outcome, queue int) {
		d.answer(s, view, outcome, func() {
			report := estimator.Report{
				Incarnation: 1,
				Queue:       uint32(queue),
			}
			switch outcome {
			case answered:
				view.estimator.Answer(d.now(), ticket, report)
				view.limiter.Release(p, limiter.Success, queue)
			case shed:
				view.estimator.Shed(d.now(), report)
				view.limiter.Release(p, limiter.Shed, queue)
			default:
				view.estimator.Drop()
				view.limiter.Release(p, limiter.Neutral, queue)
			}
		})
	}
	s.calls = append(s.calls, c)
	view.target.send(c)
	if first {
		delay := hedgeDelay
		if !d.baseline {
			delay = view.estimator.P95()
		}
		d.after(delay, func() { d.sendHedge(s, view) })
	}
}

func (d *daemon) sendHedge(s *shardRequest, t *targetView) {
	if s.done || s.query.finished || s.hedged {
		return
	}
	if !d.baseline && !d.hedge.Take(d.group.Saturated()) {
		return
	}
	if !d.send(s, t) {
		d.hedge.Refund()
		return
	}
	s.hedged = true
	if d.measured(s.query) {
		d.hedges++
	}
}

func (d *daemon) answer(s *shardRequest, t *targetView, outcome int, release func()) {
	release()
	switch {
	case outcome == answered && !s.done:
		s.done = true
		for _, c := range s.calls {
			c.cancelled = true
		}
		s.query.missing--
		if s.query.missing == 0 {
			d.finish(s.query, true)
		}
	case outcome == shed && !s.done && !s.query.finished:
		s.query.overloaded = true
		d.sendRetry(s, t)
	}
	d.sendWaiting(s.index)
}

// sendRetry retries a shed sub-request once, if the budget allows.
func (d *daemon) sendRetry(s *shardRequest, t *targetView) {
	if s.retried || !d.baseline && !d.retry.Take(false) {
		return
	}
	s.retried = true
	if !d.send(s, t) {
		d.retry.Refund()
	} else if d.measured(s.query) {
		d.retries++
	}
}

// sendWaiting sends waiting sub-requests of a shard until the limits of its targets are
// reached.
func (d *daemon) sendWaiting(i int) {
	for len(d.waiting[i]) > 0 {
		s := d.waiting[i][0]
		if !s.query.finished && !d.send(s, nil) {
			return
		}
		d.waiting[i] = d.waiting[i][1:]
	}
}

func (d *daemon) finish(q *query, complete bool) {
	if q.finished {
		return
	}
	q.finished = true
	if complete {
		d.completedBySecond[d.at/time.Second]++
	}
	if d.measured(q) {
		if complete {
			d.completed++
			d.latencies = append(d.latencies, d.at-q.arrived)
		} else {
			d.expired++
		}
	}
	if d.baseline {
		return
	}
	outcome := admitter.Completed
	if !complete {
		outcome = admitter.Failed
		if q.overloaded {
			outcome = admitter.Overloaded
		}
	}
	result := admitter.Result{
		Outcome:   outcome,
		QueueTime: q.longestWait,
	}
	d.decide(d.admitter.Done(d.now(), q.ticket, result))
}
