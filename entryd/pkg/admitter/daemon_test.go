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
	// capacity is in queries per second.
	capacity = 2 * fakeSlots * float64(time.Second/fakeService)
	// hedgeDelay is the fixed delay of the baseline.
	hedgeDelay = 50 * time.Millisecond
)

// lane is a daemon's view of one target.
type lane struct {
	target    *fakeTarget
	estimator *estimator.Estimator
	limiter   *limiter.Limiter
}

// daemon drives the packages under test, or with off set sends every request
// at once to a random replica, and hedges and retries without a budget.
type daemon struct {
	*run
	off     bool
	admit   *admitter.Admitter
	group   limiter.Group
	gauges  estimator.Group
	hedge   *budgeter.Budget
	retry   *budgeter.Budget
	lanes   [shards][2]*lane
	waiting [shards][]*shard
	pending map[*admitter.Ticket]*query
}

// query is one request to all shards.
type query struct {
	arrived time.Duration
	ticket  *admitter.Ticket
	left    int
	over    bool
	// starved tells that a target had no place for a part of it.
	starved bool
	begun   time.Duration
	waited  time.Duration
}

// shard is the part of a query for one shard.
type shard struct {
	query  *query
	index  int
	done   bool
	hedged bool
	tried  bool
	calls  []*call
}

// run is one simulation with its counts.
type run struct {
	simulation
	from, until  time.Duration
	good, late   int
	offered      int
	refused      map[admitter.Kind]int
	wait         time.Duration
	latencies    []time.Duration
	sent         int
	hedges       int
	retries      int
	goodBySecond [64]int
}

func (r *run) measured(q *query) bool { return q.arrived >= r.from && q.arrived < r.until }

func (d *daemon) offer() {
	q := &query{
		arrived: d.at,
		left:    shards,
	}
	if d.measured(q) {
		d.offered++
	}
	if d.off {
		d.begin(q)
		return
	}
	ticket, err := d.admit.Offer(d.now(), admitter.Request{
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
		d.pending[ticket] = q
		d.after(admitter.DefaultWait, func() { d.decide(d.admit.Tick(d.now())) })
		return
	}
	d.begin(q)
}

func (d *daemon) refuse(q *query, r *admitter.Refusal) {
	if d.measured(q) {
		d.refused[r.Kind()]++
		d.wait = max(d.wait, d.at-q.arrived)
	}
}

func (d *daemon) decide(decisions []admitter.Decision) {
	for _, decision := range decisions {
		q := d.pending[decision.Ticket]
		delete(d.pending, decision.Ticket)
		if decision.Refusal != nil {
			d.refuse(q, decision.Refusal)
		} else {
			d.begin(q)
		}
	}
}

func (d *daemon) begin(q *query) {
	q.begun = d.at
	d.after(q.arrived+deadline-d.at, func() { d.finish(q, false) })
	for i := range shards {
		s := &shard{
			query: q,
			index: i,
		}
		if !d.send(s, nil) {
			q.starved = true
			d.waiting[i] = append(d.waiting[i], s)
		}
	}
}

// send sends a shard's request to its better replica, other than one.
func (d *daemon) send(s *shard, except *lane) bool {
	lanes := slices.Clone(d.lanes[s.index][:])
	if d.off {
		d.random.Shuffle(2, func(i, j int) { lanes[i], lanes[j] = lanes[j], lanes[i] })
	} else {
		slices.SortStableFunc(lanes, func(x, y *lane) int {
			return int(x.estimator.ExpectedLatency(d.now()) - y.estimator.ExpectedLatency(d.now()))
		})
	}
	for _, l := range lanes {
		if l == except {
			continue
		}
		if d.off {
			d.call(s, l, limiter.Permit{})
			return true
		}
		if p, ok := l.limiter.Acquire(l.estimator.InFlightLimit()); ok {
			d.call(s, l, p)
			return true
		}
	}
	return false
}

func (d *daemon) call(s *shard, l *lane, p limiter.Permit) {
	first := len(s.calls) == 0
	if first {
		s.query.waited = max(s.query.waited, d.at-s.query.begun)
		d.hedge.Earn(1)
		d.retry.Earn(1)
	}
	if d.measured(s.query) && first {
		d.sent++
	}
	t := l.estimator.Send(d.now())
	c := &call{
		deadline: s.query.arrived + deadline,
	}
	c.answer = func(outcome, queue int) {
		d.answer(s, l, outcome, func() {
			report := estimator.Report{
				Incarnation: 1,
				Queue:       uint32(queue),
			}
			switch outcome {
			case answered:
				l.estimator.Answer(d.now(), t, report)
				l.limiter.Release(p, limiter.Success, queue)
			case shed:
				l.estimator.Shed(d.now(), report)
				l.limiter.Release(p, limiter.Shed, queue)
			default:
				l.estimator.Drop()
				l.limiter.Release(p, limiter.Neutral, queue)
			}
		})
	}
	s.calls = append(s.calls, c)
	l.target.send(c)
	if first {
		delay := hedgeDelay
		if !d.off {
			delay = l.estimator.P95()
		}
		d.after(delay, func() { d.hedgeNow(s, l) })
	}
}

func (d *daemon) hedgeNow(s *shard, l *lane) {
	if s.done || s.query.over || s.hedged {
		return
	}
	if !d.off && !d.hedge.Take(d.group.Saturated()) {
		return
	}
	if !d.send(s, l) {
		d.hedge.Refund()
		return
	}
	s.hedged = true
	if d.measured(s.query) {
		d.hedges++
	}
}

func (d *daemon) answer(s *shard, l *lane, outcome int, release func()) {
	release()
	switch {
	case outcome == answered && !s.done:
		s.done = true
		for _, c := range s.calls {
			c.cancelled = true
		}
		s.query.left--
		if s.query.left == 0 {
			d.finish(s.query, true)
		}
	case outcome == shed && !s.done && !s.query.over:
		s.query.starved = true
		d.retryNow(s, l)
	}
	d.drain(s.index)
}

// retryNow sends a shed request once more.
func (d *daemon) retryNow(s *shard, l *lane) {
	if s.tried || !d.off && !d.retry.Take(false) {
		return
	}
	s.tried = true
	if !d.send(s, l) {
		d.retry.Refund()
	} else if d.measured(s.query) {
		d.retries++
	}
}

// drain sends waiting requests of a shard while there is room.
func (d *daemon) drain(i int) {
	for len(d.waiting[i]) > 0 {
		s := d.waiting[i][0]
		if !s.query.over && !d.send(s, nil) {
			return
		}
		d.waiting[i] = d.waiting[i][1:]
	}
}

func (d *daemon) finish(q *query, complete bool) {
	if q.over {
		return
	}
	q.over = true
	if complete {
		d.goodBySecond[d.at/time.Second]++
	}
	if d.measured(q) {
		if complete {
			d.good++
			d.latencies = append(d.latencies, d.at-q.arrived)
		} else {
			d.late++
		}
	}
	if d.off {
		return
	}
	outcome := admitter.Completed
	if !complete {
		outcome = admitter.Failed
		if q.starved {
			outcome = admitter.Overloaded
		}
	}
	result := admitter.Result{
		Outcome: outcome,
		Waited:  q.waited,
	}
	d.decide(d.admit.Done(d.now(), q.ticket, result))
}
