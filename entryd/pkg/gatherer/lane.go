package gatherer

import (
	"errors"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"plantaincleat/entryd/pkg/estimator"
	"plantaincleat/entryd/pkg/exchanger"
	"plantaincleat/tier/gen/config"
	"plantaincleat/tier/gen/target"
)

const (
	// outstandingPerSlot bounds the requests at a target, running or queued
	// there, per slot. The rest wait here, where they can be withdrawn free
	// of cost.
	outstandingPerSlot = 2
	// waitingPerSlot bounds the requests that wait here per slot.
	waitingPerSlot = 32
)

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

	sent   bool
	ticket estimator.Ticket
}

// lane is the one queue of this gatherer for one target.
type lane struct {
	id    string
	slots int
	clock clockwork.Clock
	link  *exchanger.TargetLink
	gauge *estimator.Estimator

	mu      sync.Mutex
	waiting []*request
	flying  map[uint64]*request
	leaving bool
}

func newLane(t *config.Target, link *exchanger.TargetLink, group *estimator.Group, clock clockwork.Clock) *lane {
	slots := max(int(t.GetSlots()), 1)
	return &lane{
		id:    t.GetId(),
		slots: slots,
		clock: clock,
		link:  link,
		gauge: group.New(estimator.Settings{
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
// was sent.
func (l *lane) withdraw(nonce uint64) {
	l.mu.Lock()
	r, flying := l.flying[nonce]
	if flying {
		delete(l.flying, nonce)
		l.gauge.Drop()
	} else {
		l.unqueue(nonce)
	}
	l.mu.Unlock()
	if flying && r.sent {
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
	room := min(outstandingPerSlot*l.slots, l.gauge.Allowed())
	if len(l.waiting) == 0 || len(l.flying) >= room {
		return nil
	}
	r := l.waiting[0]
	l.waiting[0] = nil
	l.waiting = l.waiting[1:]
	now := l.clock.Now()
	r.search.Remaining = max(r.expiry.Sub(now), 0).Microseconds()
	r.ticket = l.gauge.Send(now)
	r.sent = true
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
		return
	}
	l.leaving = a.GetLoad().GetLeaving()
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

// expected returns when one more request would be answered, its wait here
// included.
func (l *lane) expected(now time.Time) time.Duration {
	l.mu.Lock()
	waiting := len(l.waiting)
	l.mu.Unlock()
	return l.gauge.Finish(now) + l.gauge.Service()*time.Duration(waiting)/time.Duration(l.slots)
}

// left reports whether the target has said that it is leaving.
func (l *lane) left() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.leaving
}
