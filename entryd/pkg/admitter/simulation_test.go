package admitter_test

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// event is a function that the simulation calls at a time.
type event struct {
	at    time.Duration
	order int
	run   func()
}

// events is a heap ordered by time, then by order of scheduling.
type events []event

func (e events) Len() int { return len(e) }

func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}

func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

func (e *events) Push(x any) { *e = append(*e, x.(event)) }

func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// simulation is a discrete-event clock.
type simulation struct {
	at     time.Duration
	order  int
	events events
	random *rand.Rand
}

var origin = time.Unix(1_700_000_000, 0)

func (s *simulation) now() time.Time { return origin.Add(s.at) }

func (s *simulation) after(d time.Duration, run func()) {
	s.order++
	heap.Push(&s.events, event{
		at:    s.at + d,
		order: s.order,
		run:   run,
	})
}

func (s *simulation) runUntil(end time.Duration) {
	for len(s.events) > 0 && s.events[0].at <= end {
		e := heap.Pop(&s.events).(event)
		s.at = e.at
		e.run()
	}
	s.at = end
}

const (
	fakeSlots   = 2
	fakeQueue   = 64
	fakeService = 10 * time.Millisecond
	fakeOneWay  = time.Millisecond
)

// call is one sub-request to a fake target.
type call struct {
	deadline  time.Duration
	cancelled bool
	answer    func(outcome, queue int)
}

// Outcomes of a call.
const (
	answered = iota
	shed
	expired
)

// fakeTarget is a target with slots, a bounded queue and exponentially distributed
// service times. It drops calls that are cancelled or past their deadline when they
// leave the queue.
type fakeTarget struct {
	sim        *simulation
	slowFactor time.Duration
	busy       int
	queue      []*call
}

func (t *fakeTarget) send(c *call) {
	t.sim.after(fakeOneWay, func() {
		if t.busy >= fakeSlots && len(t.queue) >= fakeQueue {
			t.reply(c, shed)
			return
		}
		t.queue = append(t.queue, c)
		t.next()
	})
}

func (t *fakeTarget) next() {
	for t.busy < fakeSlots && len(t.queue) > 0 {
		c := t.queue[0]
		t.queue = t.queue[1:]
		if c.cancelled || t.sim.at >= c.deadline {
			t.reply(c, expired)
			continue
		}
		t.busy++
		service := time.Duration(t.sim.random.ExpFloat64() * float64(fakeService) * float64(max(t.slowFactor, 1)))
		t.sim.after(service, func() {
			t.busy--
			t.reply(c, answered)
			t.next()
		})
	}
}

func (t *fakeTarget) reply(c *call, outcome int) {
	queue := len(t.queue)
	t.sim.after(fakeOneWay, func() { c.answer(outcome, queue) })
}
