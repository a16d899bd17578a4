package scatterer

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"plantaincleat/entryd/pkg/assigner"
	"plantaincleat/entryd/pkg/cataloger"
	"plantaincleat/entryd/pkg/crashtracker"
	"plantaincleat/entryd/pkg/httpsender"
	"plantaincleat/entryd/pkg/router"
	"plantaincleat/tier/gen/peer"
)

// lingerTime is the maximum time that attempts continue after the job has ended.
const lingerTime = 400 * time.Millisecond

// eventsPerAttempt is the number of channel slots for the events of each attempt of
// a unit.
const eventsPerAttempt = 4

// job is a request that is being served. Its state is used by a single goroutine;
// the attempts run in goroutines of their own and communicate through events.
type job struct {
	*Scatterer
	request *Request
	route   *cataloger.Route
	pools   []*cataloger.Pool
	// root is true for a request of a caller, and false for a request of another daemon.
	root bool
	// confirmed is false while another daemon may still send the request elsewhere. In
	// this state, no second target is asked while the first one may execute the request.
	confirmed bool
	// plan is how to serve the request in view of earlier sends of it.
	plan crashtracker.Plan
	// tries is true if the request is suspected and begins with a trial: for the root, and for
	// the daemon that carries the trial out.
	tries bool
	// arbiter is the daemon that carries out the trial of a suspected request, or nil if it is
	// this one.
	arbiter *owner
	// ended holds, for each unit, the number of targets that ended while they had the
	// request, each sent after the end of the one before was known.
	ended map[int]int
	// samples holds, for each unit, whether the request is among those that the limits of
	// the unit's targets allow.
	samples []sample
	// goal is the latest time to return an answer that meets the latency goal.
	goal  time.Time
	query *router.Query[destination]

	ctx    context.Context
	cancel context.CancelFunc
	events chan event
	// open holds the attempts in flight by nonce.
	open map[uint64]*attempt
	// answers holds the answers of the shards.
	answers partials
	// single is the answer to a request on a route without shards.
	single *httpsender.Answer
	// failure is an error response of a target. If it is returnable, it is returned if no
	// attempt succeeds.
	failure  *httpsender.Answer
	attempts []*attempt
	// streams holds the answers of which a part has not been read yet, and finished is true
	// once no more of them are used.
	streams  []*httpsender.Answer
	finished atomic.Bool
	// closed is true once no attempt may be started any more, and abandoned once the caller
	// has left before the query was done.
	closed, abandoned bool
}

// event is a message from an attempt to its job.
type event struct {
	attempt *attempt
	// acknowledged is true if the event is only the acknowledgement of an owner.
	acknowledged bool
	answer       *httpsender.Answer
	reply        *peer.ScatterReply
	// last is true for the last event of an attempt.
	last bool
	err  error
	// took is the time since the start of the attempt.
	took time.Duration
}

// newRoot returns the job for the request of a caller.
func newRoot(s *Scatterer, r *Request, route *cataloger.Route, plan crashtracker.Plan) *job {
	j := &job{
		Scatterer: s,
		request:   r,
		route:     route,
		pools:     route.Pools(),
		root:      true,
		confirmed: true,
		plan:      plan,
		tries:     plan.Suspected,
		goal:      s.goal(r, route),
	}
	options := router.Options{
		Deadline:      r.Deadline,
		Hedging:       route.GetIdempotent() && (!plan.Suspected || route.Scattered()),
		MaxExecutions: 1,
	}
	if route.GetIdempotent() {
		options.MaxExecutions = max(int(route.GetAttempts()), 1)
	}
	if route.Scattered() {
		options.Floor = route.GetFloor()
		options.MinCoverage = route.GetFloor()
		options.Goal = j.goal
		options.Late = lateWorth(r, route)
		if plan.Suspected {
			options.FirstUnit = j.unitToTry(plan.Pool) + 1
			options.FirstRequired = true
		}
	} else {
		j.pools = []*cataloger.Pool{route.NextPool()}
	}
	j.prepare(options)
	return j
}

// prepare creates the query, which decides about the attempts.
func (j *job) prepare(options router.Options) {
	j.open = make(map[uint64]*attempt)
	j.ended = make(map[int]int)
	j.samples = make([]sample, len(j.pools))
	options.MaxExecutions = min(options.MaxExecutions, j.maxAttempts())
	j.events = make(chan event, eventsPerAttempt*len(j.pools)*(options.MaxExecutions+1))
	j.query = router.New(len(j.pools), options, &selector{job: j}, &extraBudget{job: j}, func() uint64 { return j.nonces.Add(1) })
}

// maxAttempts returns the number of attempts of a unit beyond which there is no
// destination that it can be sent to. A configuration and a message of another daemon may
// allow any number.
func (j *job) maxAttempts() int {
	most := 0
	for _, p := range j.pools {
		most = max(most, len(p.Replicas()))
	}
	return router.MaxRounds * (most + assigner.OwnersPerShard + maxRelays)
}

// startAll sends each unit to its first destination.
func (j *job) startAll(ctx context.Context) {
	j.ctx, j.cancel = context.WithCancel(context.WithoutCancel(ctx))
	j.apply(j.query.Start(j.Clock.Now()))
}

// run serves the request until the query is done or ctx has ended.
func (j *job) run(ctx context.Context) {
	j.startAll(ctx)
	timer := j.Clock.NewTimer(time.Hour)
	defer timer.Stop()
	lost, sendsEnded, requestsEnded := j.lost(), j.stopping.sendsEnded, j.stopping.requestsEnded
	for !j.query.Done() {
		timer.Reset(j.query.NextTick().Sub(j.Clock.Now()))
		select {
		case e := <-j.events:
			j.handle(e)
		case <-lost:
			lost = nil
			j.loseReach()
		case <-sendsEnded:
			sendsEnded = nil
			j.withdrawWaiting()
		case <-requestsEnded:
			j.expire()
		case <-timer.Chan():
			j.apply(j.query.Tick(j.Clock.Now()))
		case <-ctx.Done():
			j.abandon()
			return
		}
	}
	j.awaitWithheld(ctx)
	j.stop()
}

// stop cancels the open attempts. Those that linger get up to lingerTime more.
func (j *job) stop() {
	lingering := false
	for _, a := range j.open {
		a.cancelQueue()
		if a.lingers() {
			lingering = true
		} else {
			a.cancel()
		}
	}
	if lingering {
		time.AfterFunc(lingerTime, j.cancel)
		return
	}
	j.cancel()
}

// apply starts and cancels attempts as the query has decided.
func (j *job) apply(actions []router.Action[destination]) {
	for _, a := range actions {
		if !a.Cancel {
			if !j.closed {
				j.startAttempt(a)
			}
			continue
		}
		open := j.open[a.Nonce]
		if open == nil || open.dest.owner != nil && j.query.Done() {
			// What goes on at the end is cancelled by stop, once awaitWithheld has returned.
			continue
		}
		open.cancelQueue()
		if !open.lingers() {
			open.cancel()
		}
	}
}

// handle processes an event and passes it to the query.
func (j *job) handle(e event) {
	a := e.attempt
	now := j.Clock.Now()
	if e.acknowledged {
		j.acceptOwner(a)
		return
	}
	j.keepStream(e.answer)
	if e.last {
		delete(j.open, a.nonce)
		a.log.Took = e.took
		a.notExecuted = e.err != nil && notExecuted(e.err)
	}
	if a.dest.owner != nil {
		j.handleReply(e, now)
		return
	}
	a.expired = j.expired(e)
	if errors.Is(e.err, httpsender.ErrEnded) {
		j.raiseEnded(a.units[0], a.endedBefore+1)
	}
	reason, ok := j.classify(e)
	if !ok {
		a.log.Result = describeResult(e)
		j.apply(j.query.Answer(a.nonce, nil, []router.MissingUnit{{
			Unit:   a.units[0],
			Reason: reason,
		}}, true, now))
		return
	}
	a.log.Result = "answered"
	if j.query.Pending(a.nonce) {
		j.storeAnswer(a.units[0], e.answer)
	}
	j.apply(j.query.Answer(a.nonce, a.units, nil, true, now))
}

// storeAnswer stores the answer for a unit.
func (j *job) storeAnswer(unit int, answer *httpsender.Answer) {
	if !j.route.Scattered() {
		j.single = answer
		return
	}
	j.answers.add(&partial{
		units:      []int{unit},
		signatures: []string{answer.Header.Get(j.Signature)},
		records:    answer.Body,
	})
}
