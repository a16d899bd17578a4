package scatterer

import (
	"context"
	"time"

	"plantaincleat/entryd/pkg/cataloger"
	"plantaincleat/entryd/pkg/requester"
	"plantaincleat/entryd/pkg/router"
	"plantaincleat/tier/gen/peer"
)

// lingerFactor times the time to connect is the service time up to which an
// attempt that is not needed any more runs to its end: closing its connection
// would cost the target more.
const lingerFactor = 2

// lingerTime bounds how long such attempts run on.
const lingerTime = 400 * time.Millisecond

// spareEvents is the room for the events of attempts beyond the first ones.
const spareEvents = 3

// job is one request being served. All but the attempts runs in one goroutine.
type job struct {
	*Scatterer
	request *Request
	route   *cataloger.Route
	pools   []*cataloger.Pool
	query   *router.Query[*cataloger.Replica]

	ctx    context.Context
	cancel context.CancelFunc
	events chan event
	open   map[uint64]*attempt
	// parts holds the answer of each unit.
	parts []*requester.Answer
	// failure is a target's own failure, passed on if nothing better comes.
	failure  *requester.Answer
	attempts []*attempt
}

// event is the end of an attempt.
type event struct {
	attempt *attempt
	answer  *requester.Answer
	err     error
	took    time.Duration
}

func newJob(s *Scatterer, r *Request, route *cataloger.Route) *job {
	j := &job{
		Scatterer: s,
		request:   r,
		route:     route,
		pools:     route.Pools(),
		open:      make(map[uint64]*attempt),
	}
	if !route.Scattered() {
		j.pools = []*cataloger.Pool{route.Pick()}
	}
	j.parts = make([]*requester.Answer, len(j.pools))
	j.events = make(chan event, spareEvents*len(j.pools)*max(int(route.GetAttempts()), 1))
	j.query = router.New(len(j.pools), j.terms(), &selector{job: j}, &purse{job: j}, func() uint64 { return s.nonces.Add(1) })
	return j
}

// terms returns what the route asks for.
func (j *job) terms() router.Terms {
	t := router.Terms{
		Deadline: j.request.Deadline,
		Hedging:  j.route.GetIdempotent(),
		Separate: true,
		Attempts: max(int(j.route.GetAttempts()), 1),
	}
	if !j.route.GetIdempotent() {
		t.Attempts = 1
	}
	if j.route.Scattered() {
		t.Floor = j.route.GetFloor()
		t.Least = j.route.GetFloor()
		t.Goal = j.goal()
	}
	return t
}

// goal returns when an answer has to leave to be in time.
func (j *job) goal() time.Time {
	return j.request.Received.Add(j.route.GetGoal().AsDuration() - j.Margin)
}

// run serves the request.
func (j *job) run(ctx context.Context) {
	j.ctx, j.cancel = context.WithCancel(context.WithoutCancel(ctx))
	j.do(j.query.Start(j.Clock.Now()))
	timer := j.Clock.NewTimer(time.Hour)
	defer timer.Stop()
	for !j.query.Done() {
		timer.Reset(j.query.Wake().Sub(j.Clock.Now()))
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
func (j *job) do(actions []router.Action[*cataloger.Replica]) {
	for _, a := range actions {
		if !a.Cancel {
			j.start(a)
			continue
		}
		if one := j.open[a.Nonce]; one != nil && !one.lingers() {
			one.cancel()
		}
	}
}

// take hands the end of an attempt to the query.
func (j *job) take(e event) {
	a := e.attempt
	delete(j.open, a.nonce)
	a.log.Took = e.took
	now := j.Clock.Now()
	reason, ok := j.judge(e)
	if ok {
		a.log.Result = "answered"
		if j.query.Live(a.nonce) && j.parts[a.unit] == nil {
			j.parts[a.unit] = e.answer
		}
		j.do(j.query.Answer(a.nonce, []int{a.unit}, nil, true, now))
		return
	}
	a.log.Result = resultOf(e)
	j.do(j.query.Answer(a.nonce, nil, []router.Lack{{
		Unit:   a.unit,
		Reason: reason,
	}}, true, now))
}

// judge tells whether an answer is good, and the reason if it is not.
func (j *job) judge(e event) (peer.Reason, bool) {
	if e.err != nil {
		return reasonOf(e.err), false
	}
	if j.good(e.answer) {
		return peer.Reason_REASON_UNSPECIFIED, true
	}
	if j.spoiled(e.answer) {
		return peer.Reason_REASON_FAILED, false
	}
	if j.route.Scattered() {
		return peer.Reason_REASON_FAILED, false
	}
	if e.answer.Status < 500 || !j.route.GetIdempotent() {
		return peer.Reason_REASON_UNSPECIFIED, true
	}
	j.failure = e.answer
	return peer.Reason_REASON_FAILED, false
}

// good reports whether an answer is a target's own success.
func (j *job) good(a *requester.Answer) bool {
	success := a.Status >= 200 && a.Status < 300
	return success && !j.spoiled(a) && (a.Rest == nil || !j.route.Scattered())
}

// spoiled reports whether an answer is not as the target gave it.
func (j *job) spoiled(a *requester.Answer) bool {
	if a.Header.Get("Content-Encoding") != "" {
		return true
	}
	success := a.Status >= 200 && a.Status < 300
	return success && a.Header.Get(j.Signature) == ""
}
