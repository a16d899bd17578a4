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

// spareEvents is the room for the events of each attempt of a unit.
const spareEvents = 4

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
	query *router.Query[path]

	ctx    context.Context
	cancel context.CancelFunc
	events chan event
	open   map[uint64]*attempt
	// answers holds those of shards.
	answers groups
	// whole is the answer to a request that went to one target.
	whole *httpsender.Answer
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
		j.pools = []*cataloger.Pool{route.Pick()}
	}
	j.prepare(terms)
	return j
}

// prepare makes the query.
func (j *job) prepare(terms router.Options) {
	j.open = make(map[uint64]*attempt)
	j.events = make(chan event, spareEvents*len(j.pools)*(terms.MaxExecutions+1))
	j.query = router.New(len(j.pools), terms, &selector{job: j}, &purse{job: j}, func() uint64 { return j.nonces.Add(1) })
}

// begin sends the units on their first paths.
func (j *job) begin(ctx context.Context) {
	j.ctx, j.cancel = context.WithCancel(context.WithoutCancel(ctx))
	j.do(j.query.Start(j.Clock.Now()))
}

// run serves the request.
func (j *job) run(ctx context.Context) {
	j.begin(ctx)
	timer := j.Clock.NewTimer(time.Hour)
	defer timer.Stop()
	for !j.query.Done() {
		timer.Reset(j.query.NextTick().Sub(j.Clock.Now()))
		select {
		case e := <-j.events:
			j.take(e)
		case <-timer.Chan():
			j.do(j.query.Tick(j.Clock.Now()))
		case <-ctx.Done():
			j.cancel()
			return
		}
	}
	j.leave()
}

// leave ends what still runs, at once or after a while.
func (j *job) leave() {
	lingering := false
	for _, a := range j.open {
		a.dequeue()
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

// do starts and cancels attempts.
func (j *job) do(actions []router.Action[path]) {
	for _, a := range actions {
		if !a.Cancel {
			j.start(a)
			continue
		}
		one := j.open[a.Nonce]
		if one == nil {
			continue
		}
		one.dequeue()
		if !one.lingers() {
			one.cancel()
		}
	}
}

// take hands what an attempt reports to the query.
func (j *job) take(e event) {
	a := e.attempt
	now := j.Clock.Now()
	if e.acknowledged {
		j.acceptOwner(a)
		return
	}
	if e.last {
		delete(j.open, a.nonce)
		a.log.Took = e.took
		a.unrun = e.err != nil && unrun(e.err)
	}
	if a.path.owner != nil {
		j.takeReply(e, now)
		return
	}
	reason, ok := j.judge(e)
	if !ok {
		a.log.Result = resultOf(e)
		j.do(j.query.Answer(a.nonce, nil, []router.MissingUnit{{
			Unit:   a.units[0],
			Reason: reason,
		}}, true, now))
		return
	}
	a.log.Result = "answered"
	if j.query.Pending(a.nonce) {
		j.keep(a.units[0], e.answer)
	}
	j.do(j.query.Answer(a.nonce, a.units, nil, true, now))
}

// acceptOwner counts on an owner that has acknowledged, unless its units went
// elsewhere meanwhile. Only an owner that is told so asks second targets.
func (j *job) acceptOwner(a *attempt) {
	if a.withdrawn {
		return
	}
	a.accepted = true
	j.query.RecordAccepted(a.nonce)
	a.accept()
}

// keep stores the answer of a unit.
func (j *job) keep(unit int, answer *httpsender.Answer) {
	if !j.route.Scattered() {
		j.whole = answer
		return
	}
	j.answers.add(&group{
		units:      []int{unit},
		signatures: []string{answer.Header.Get(j.Signature)},
		records:    answer.Body,
	})
}

// takeReply hands a reply of an owner to the query.
func (j *job) takeReply(e event, now time.Time) {
	a := e.attempt
	if e.err != nil {
		a.log.Result = e.err.Error()
		j.do(j.query.FailAttempt(a.nonce, a.lossOf(e.err), now))
		return
	}
	j.hear(a, e.reply, now)
	covered := j.keepReply(a, e.reply)
	if !e.last {
		j.do(j.query.RecordPartial(a.nonce, covered, now))
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
	j.do(j.query.Answer(a.nonce, covered, lacks, true, now))
}

// keepReply stores the answers of the units of a reply and returns these.
func (j *job) keepReply(a *attempt, reply *peer.ScatterReply) []int {
	if !j.query.Pending(a.nonce) || len(reply.GetCovered()) != len(reply.GetSignatures()) {
		return nil
	}
	one := &group{
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

// judge tells whether an answer is good, and the reason if it is not.
func (j *job) judge(e event) (peer.Reason, bool) {
	if e.err != nil {
		return reasonOf(e.err), false
	}
	if j.good(e.answer) {
		return peer.Reason_REASON_UNSPECIFIED, true
	}
	if j.spoiled(e.answer) || j.route.Scattered() {
		return peer.Reason_REASON_FAILED, false
	}
	if e.answer.Status < 500 || !j.route.GetIdempotent() {
		return peer.Reason_REASON_UNSPECIFIED, true
	}
	j.failure = e.answer
	return peer.Reason_REASON_FAILED, false
}

// sound reports whether an event brings a good answer.
func (j *job) sound(e event) bool { return e.err == nil && j.good(e.answer) }

// good reports whether an answer is a target's own success.
func (j *job) good(a *httpsender.Answer) bool {
	success := a.Status >= 200 && a.Status < 300
	return success && !j.spoiled(a) && (a.Rest == nil || !j.route.Scattered())
}

// spoiled reports whether an answer is not as the target gave it.
func (j *job) spoiled(a *httpsender.Answer) bool {
	if a.Header.Get("Content-Encoding") != "" {
		return true
	}
	success := a.Status >= 200 && a.Status < 300
	return success && a.Header.Get(j.Signature) == ""
}
