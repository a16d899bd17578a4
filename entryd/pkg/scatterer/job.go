package scatterer

import (
	"context"
	"time"

	"plantaincleat/entryd/pkg/cataloger"
	"plantaincleat/entryd/pkg/httpsender"
	"plantaincleat/entryd/pkg/router"
	"plantaincleat/tier/gen/peer"
)

// lingerTime bounds how long attempts that are not needed any more run on.
const lingerTime = 400 * time.Millisecond

// eventsPerAttempt is the room for the events of each attempt of a unit.
const eventsPerAttempt = 4

// job is one request being served. All but the attempts runs in one goroutine.
type job struct {
	*Scatterer
	request *Request
	route   *cataloger.Route
	pools   []*cataloger.Pool
	// root is true for a caller's own request, false for one of another daemon.
	root bool
	// confirmed is false while another daemon may still take the request elsewhere:
	// then no target is asked in place of one that may run it.
	confirmed bool
	// goal is when an answer has to leave to be in time.
	goal  time.Time
	query *router.Query[destination]

	ctx    context.Context
	cancel context.CancelFunc
	events chan event
	open   map[uint64]*attempt
	// answers holds those of shards.
	answers partials
	// single is the answer to a request that went to one target.
	single *httpsender.Answer
	// failure is a target's own failure, passed on if nothing better comes.
	failure  *httpsender.Answer
	attempts []*attempt
}

// event is what an attempt reports.
type event struct {
	attempt *attempt
	// acknowledged is true if the owner has only accepted the request.
	acknowledged bool
	answer       *httpsender.Answer
	reply        *peer.ScatterReply
	// last is true if nothing follows.
	last bool
	err  error
	took time.Duration
}

// newRoot returns the job of a caller's request.
func newRoot(s *Scatterer, r *Request, route *cataloger.Route) *job {
	j := &job{
		Scatterer: s,
		request:   r,
		route:     route,
		pools:     route.Pools(),
		root:      true,
		confirmed: true,
		goal:      s.goal(r, route),
	}
	terms := router.Options{
		Deadline:      r.Deadline,
		Hedging:       route.GetIdempotent(),
		MaxExecutions: 1,
	}
	if route.GetIdempotent() {
		terms.MaxExecutions = max(int(route.GetAttempts()), 1)
	}
	if route.Scattered() {
		terms.Floor = route.GetFloor()
		terms.MinCoverage = route.GetFloor()
		terms.Goal = j.goal
	} else {
		j.pools = []*cataloger.Pool{route.NextPool()}
	}
	j.prepare(terms)
	return j
}

// prepare makes the query.
func (j *job) prepare(terms router.Options) {
	j.open = make(map[uint64]*attempt)
	j.events = make(chan event, eventsPerAttempt*len(j.pools)*(terms.MaxExecutions+1))
	j.query = router.New(len(j.pools), terms, &selector{job: j}, &extraBudget{job: j}, func() uint64 { return j.nonces.Add(1) })
}

// startAll sends the units on their first paths.
func (j *job) startAll(ctx context.Context) {
	j.ctx, j.cancel = context.WithCancel(context.WithoutCancel(ctx))
	j.apply(j.query.Start(j.Clock.Now()))
}

// run serves the request.
func (j *job) run(ctx context.Context) {
	j.startAll(ctx)
	timer := j.Clock.NewTimer(time.Hour)
	defer timer.Stop()
	for !j.query.Done() {
		timer.Reset(j.query.NextTick().Sub(j.Clock.Now()))
		select {
		case e := <-j.events:
			j.handle(e)
		case <-timer.Chan():
			j.apply(j.query.Tick(j.Clock.Now()))
		case <-ctx.Done():
			j.cancel()
			return
		}
	}
	j.stop()
}

// stop ends what still runs, at once or after a while.
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

// apply starts and cancels attempts.
func (j *job) apply(actions []router.Action[destination]) {
	for _, a := range actions {
		if !a.Cancel {
			j.startAttempt(a)
			continue
		}
		one := j.open[a.Nonce]
		if one == nil {
			continue
		}
		one.cancelQueue()
		if !one.lingers() {
			one.cancel()
		}
	}
}

// handle hands what an attempt reports to the query.
func (j *job) handle(e event) {
	a := e.attempt
	now := j.Clock.Now()
	if e.acknowledged {
		j.acceptOwner(a)
		return
	}
	if e.last {
		delete(j.open, a.nonce)
		a.log.Took = e.took
		a.notExecuted = e.err != nil && notExecuted(e.err)
	}
	if a.dest.owner != nil {
		j.handleReply(e, now)
		return
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

// acceptOwner counts on an owner that has acknowledged, unless its units went
// elsewhere meanwhile. Only an owner that is told so asks second targets.
func (j *job) acceptOwner(a *attempt) {
	if a.withdrawn {
		return
	}
	a.accepted = true
	j.query.RecordAccepted(a.nonce)
	a.sendAccepted()
}

// storeAnswer stores the answer of a unit.
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

// handleReply hands a reply of an owner to the query.
func (j *job) handleReply(e event, now time.Time) {
	a := e.attempt
	if e.err != nil {
		a.log.Result = e.err.Error()
		j.apply(j.query.FailAttempt(a.nonce, a.ownerFailureReason(e.err), now))
		return
	}
	j.recordLoads(a, e.reply, now)
	covered := j.storeReply(a, e.reply)
	if !e.last {
		j.apply(j.query.RecordPartial(a.nonce, covered, now))
		return
	}
	a.log.Result = "replied"
	var lacks []router.MissingUnit
	for _, l := range e.reply.GetLacks() {
		if int(l.GetShard()) < len(a.units) {
			lacks = append(lacks, router.MissingUnit{
				Unit:   a.units[l.GetShard()],
				Reason: l.GetReason(),
			})
		}
	}
	j.apply(j.query.Answer(a.nonce, covered, lacks, true, now))
}

// storeReply stores the answers of the units of a reply and returns these.
func (j *job) storeReply(a *attempt, reply *peer.ScatterReply) []int {
	if !j.query.Pending(a.nonce) || len(reply.GetCovered()) != len(reply.GetSignatures()) {
		return nil
	}
	one := &partial{
		signatures: reply.GetSignatures(),
		records:    reply.GetRecords(),
	}
	for _, place := range reply.GetCovered() {
		if int(place) >= len(a.units) {
			return nil
		}
		one.units = append(one.units, a.units[place])
	}
	if len(one.units) == 0 || !j.answers.add(one) {
		return nil
	}
	return one.units
}

// classify tells whether an answer is good, and the reason if it is not.
func (j *job) classify(e event) (peer.Reason, bool) {
	if e.err != nil {
		return reasonOf(e.err), false
	}
	if j.success(e.answer) {
		return peer.Reason_REASON_UNSPECIFIED, true
	}
	if j.altered(e.answer) || j.route.Scattered() {
		return peer.Reason_REASON_FAILED, false
	}
	if e.answer.Status < 500 || !j.route.GetIdempotent() {
		return peer.Reason_REASON_UNSPECIFIED, true
	}
	j.failure = e.answer
	return peer.Reason_REASON_FAILED, false
}

// succeeded reports whether an event brings a good answer.
func (j *job) succeeded(e event) bool { return e.err == nil && j.success(e.answer) }

// success reports whether an answer is a target's own success.
func (j *job) success(a *httpsender.Answer) bool {
	success := a.Status >= 200 && a.Status < 300
	return success && !j.altered(a) && (a.Rest == nil || !j.route.Scattered())
}

// altered reports whether an answer is not as the target gave it.
func (j *job) altered(a *httpsender.Answer) bool {
	if a.Header.Get("Content-Encoding") != "" {
		return true
	}
	success := a.Status >= 200 && a.Status < 300
	return success && a.Header.Get(j.Signature) == ""
}
