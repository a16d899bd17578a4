package gatherer

import (
	"errors"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"plantaincleat/entryd/pkg/estimator"
	"plantaincleat/entryd/pkg/exchanger"
	"plantaincleat/entryd/pkg/limiter"
	"plantaincleat/tier/gen/config"
	"plantaincleat/tier/gen/target"
)

// waitingPerSlot bounds the requests that wait here per slot. Requests above
// the target's limit wait here, where they can be withdrawn free of cost.
const waitingPerSlot = 32

// reply is what became of one request to a target.
type reply struct {
	nonce  uint64
	answer *target.Answer
	err    error
}

// errWaiting reports that the lane's queue was full.
var errWaiting = errors.New("too many requests wait for the target")

// request is one search on its way to a target.
type request struct {
	nonce  uint64
	search *target.Search
	expiry time.Time
	sink   func(reply)

	ticket estimator.Ticket
	permit limiter.Permit
}

// lane is the one queue of this gatherer for one target.
type lane struct {
	id    string
	slots int
	clock clockwork.Clock
	link  *exchanger.TargetLink
	gauge *estimator.Estimator
	limit *limiter.Limiter

	mu      sync.Mutex
	waiting []*request
	flying  map[uint64]*request
	// leaving is the incarnation that has said that it is leaving, or zero.
	leaving uint64
}

func newLane(t *config.Target, link *exchanger.TargetLink, gauges *estimator.Group, limits *limiter.Group, clock clockwork.Clock) *lane {
	slots := max(int(t.GetSlots()), 1)
	return &lane{
		id:    t.GetId(),
		slots: slots,
		clock: clock,
		link:  link,
		gauge: gauges.New(estimator.Settings{
			Slots: slots,
		}),
		limit: limits.New(limiter.Settings{
			Slots: slots,
		}),
		flying: map[uint64]*request{},
	}
}

// submit sends a request now or once the target has room.
func (l *lane) submit(r *request) {
	l.mu.Lock()
	if len(l.waiting) >= waitingPerSlot*l.slots {
		l.mu.Unlock()
		r.sink(reply{
			nonce: r.nonce,
			err:   errWaiting,
		})
		return
	}
	l.waiting = append(l.waiting, r)
	l.mu.Unlock()
	l.pump()
}

// withdraw ends the interest in a request and cancels it at the target if it
// was sent. late tells that its deadline has passed.
func (l *lane) withdraw(nonce uint64, late bool) {
	l.mu.Lock()
	r, flying := l.flying[nonce]
	if flying {
		delete(l.flying, nonce)
		l.gauge.Drop()
		l.limit.Release(r.permit, withdrawal(late), 0)
	} else {
		l.unqueue(nonce)
	}
	l.mu.Unlock()
	if flying {
		l.link.Forget(nonce)
		l.link.Post(&target.Call{
			Nonce: nonce,
			Body: &target.Call_Cancel{
				Cancel: true,
			},
		})
	}
	l.pump()
}

func withdrawal(late bool) limiter.Result {
	if late {
		return limiter.Timeout
	}
	return limiter.Neutral
}

func (l *lane) unqueue(nonce uint64) {
	for i, r := range l.waiting {
		if r.nonce == nonce {
			l.waiting = append(l.waiting[:i], l.waiting[i+1:]...)
			return
		}
	}
}

// pump sends waiting requests while the target has room.
func (l *lane) pump() {
	for {
		r := l.next()
		if r == nil {
			return
		}
		l.link.Send(r.nonce, &target.Call{
			Nonce: r.nonce,
			Body: &target.Call_Search{
				Search: r.search,
			},
		}, func(a *target.Answer, err error) { l.receive(r, a, err) })
	}
}

// next takes the oldest waiting request if the target has room for it.
func (l *lane) next() *request {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.waiting) == 0 {
		return nil
	}
	permit, ok := l.limit.Acquire(l.gauge.Allowed())
	if !ok {
		return nil
	}
	r := l.waiting[0]
	l.waiting[0] = nil
	l.waiting = l.waiting[1:]
	now := l.clock.Now()
	r.search.Remaining = max(r.expiry.Sub(now), 0).Microseconds()
	r.ticket = l.gauge.Send(now)
	r.permit = permit
	l.flying[r.nonce] = r
	return r
}

func (l *lane) receive(r *request, a *target.Answer, err error) {
	l.mu.Lock()
	_, live := l.flying[r.nonce]
	delete(l.flying, r.nonce)
	if live {
		l.record(r, a, err)
	}
	l.mu.Unlock()
	l.link.Forget(r.nonce)
	if live {
		r.sink(reply{
			nonce:  r.nonce,
			answer: a,
			err:    err,
		})
	}
	l.pump()
}

// record updates the estimate of the target. l.mu is held.
func (l *lane) record(r *request, a *target.Answer, err error) {
	if err != nil {
		l.gauge.Fail()
		l.limit.Release(r.permit, limiter.Neutral, 0)
		return
	}
	l.limit.Release(r.permit, results[a.GetStatus()], int(a.GetLoad().GetQueue()))
	l.leaving = 0
	if a.GetLoad().GetLeaving() {
		l.leaving = a.GetIncarnation()
	}
	report := estimator.Report{
		Incarnation: a.GetIncarnation(),
		Queue:       a.GetLoad().GetQueue(),
		Service:     time.Duration(a.GetLoad().GetService()) * time.Microsecond,
	}
	switch a.GetStatus() {
	case target.Status_STATUS_DONE:
		l.gauge.Answer(l.clock.Now(), r.ticket, report)
	case target.Status_STATUS_FAILED:
		l.gauge.Fail()
	default:
		l.gauge.Shed(l.clock.Now(), report)
	}
}

// results maps the status of an answer to what it says about the limit.
var results = map[target.Status]limiter.Result{
	target.Status_STATUS_DONE:    limiter.Success,
	target.Status_STATUS_SHED:    limiter.Shed,
	target.Status_STATUS_EXPIRED: limiter.Timeout,
}

// expected returns when one more request would be answered, its wait here
// included.
func (l *lane) expected(now time.Time) time.Duration {
	l.mu.Lock()
	waiting := len(l.waiting)
	l.mu.Unlock()
	return l.gauge.Finish(now) + l.gauge.Service()*time.Duration(waiting)/time.Duration(l.slots)
}

// departure returns the incarnation of the target that is draining and still
// connected.
func (l *lane) departure() (incarnation uint64, leaving bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.link.Up() {
		l.leaving = 0
	}
	return l.leaving, l.leaving != 0
}
