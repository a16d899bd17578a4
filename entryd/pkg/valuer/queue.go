package valuer

import (
	"cmp"
	"slices"
	"time"
)

// maxPassed is the number of sends in a row that may pass over a waiting kind of request.
// It bounds what the less urgent kinds take from the more urgent ones to one send in 16.
const maxPassed = 15

// Offer is what the order of a queue depends on.
type Offer struct {
	// Rank is the priority of the request, 0 for the highest. The requests of one rank are
	// a kind.
	Rank uint32
	// Goal is the latest time at which the request can be sent and still be answered before
	// its latency goal.
	Goal time.Time
	// Work is the time for which the request delays those behind it.
	Work time.Duration
	// Deadline is the time from which the request is not sent any more. Zero means none.
	Deadline time.Time
	// Bytes is the size of the request.
	Bytes int
}

// late reports whether the request misses its goal if it is sent now.
func (o *Offer) late(now time.Time) bool { return !o.Goal.After(now) }

func (o *Offer) expired(now time.Time) bool {
	return !o.Deadline.IsZero() && !now.Before(o.Deadline)
}

// Waiter is a request in a Queue.
type Waiter[T any] struct {
	// Value identifies the request to the caller.
	Value T
	offer Offer
}

// Queue holds the requests that wait for a target, in the order of their arrival. The zero
// value is empty and has no bounds. It is not safe for concurrent use.
type Queue[T any] struct {
	// MaxLen and MaxBytes bound the number and the size of the requests. Zero means no
	// bound. A request that waits alone may be larger than MaxBytes.
	MaxLen, MaxBytes int

	waiting []*Waiter[T]
	bytes   int
	// passed holds, for each kind, the number of sends since its last one during which it
	// waited. It also counts if its requests have left the queue at their deadlines in between.
	passed map[uint32]int
}

// Len returns the number of requests.
func (q *Queue[T]) Len() int { return len(q.waiting) }

// Bytes returns the size of the requests.
func (q *Queue[T]) Bytes() int { return q.bytes }

// LessUrgent returns the number of requests that wait behind those of a rank.
func (q *Queue[T]) LessUrgent(rank uint32) int {
	n := 0
	for _, w := range q.waiting {
		if w.offer.Rank > rank {
			n++
		}
	}
	return n
}

// Add adds a request. If there is no room for it, Add makes room by turning away requests that
// yield to it: those past their goals first, then the least urgent and latest. If that is not
// enough, or if the deadline has passed, it adds nothing and returns no waiter. The requests in
// dropped have been removed.
func (q *Queue[T]) Add(now time.Time, o Offer, value T) (w *Waiter[T], dropped []*Waiter[T]) {
	if o.expired(now) {
		return nil, nil
	}
	dropped = q.RemoveExpired(now)
	victims, ok := q.victims(now, &o)
	if !ok {
		return nil, dropped
	}
	for _, v := range victims {
		q.Remove(v)
	}
	w = &Waiter[T]{
		Value: value,
		offer: o,
	}
	q.waiting = append(q.waiting, w)
	q.bytes += o.Bytes
	return w, append(dropped, victims...)
}

// victims returns the requests that have to be turned away to make room for another one, and
// false if not enough requests yield to it. Each kind keeps the places that its share of the
// sends needs, so that none starves.
func (q *Queue[T]) victims(now time.Time, o *Offer) (victims []*Waiter[T], ok bool) {
	n, bytes := len(q.waiting)+1, q.bytes+o.Bytes
	fits := func() bool {
		return (q.MaxLen <= 0 || n <= q.MaxLen) && (q.MaxBytes <= 0 || bytes <= q.MaxBytes || len(q.waiting) == 0)
	}
	if fits() {
		return nil, true
	}
	places := make(map[uint32]int)
	for _, w := range q.waiting {
		places[w.offer.Rank]++
	}
	kept := max(q.MaxLen/(maxPassed+1), 1)
	needsPlace := places[o.Rank] < kept
	for _, c := range q.candidates(now) {
		if c.offer.Rank != o.Rank && places[c.offer.Rank] <= kept {
			continue
		}
		if !yields(now, &c.offer, o, needsPlace) {
			continue
		}
		victims = append(victims, c)
		places[c.offer.Rank]--
		n--
		bytes -= c.offer.Bytes
		if fits() {
			return victims, true
		}
	}
	return nil, false
}

// candidates returns the requests in the order in which they are turned away.
func (q *Queue[T]) candidates(now time.Time) []*Waiter[T] {
	out := slices.Clone(q.waiting)
	slices.Reverse(out)
	slices.SortStableFunc(out, func(a, b *Waiter[T]) int {
		if a.offer.late(now) != b.offer.late(now) {
			if a.offer.late(now) {
				return -1
			}
			return 1
		}
		return cmp.Compare(b.offer.Rank, a.offer.Rank)
	})
	return out
}

// yields reports whether a request that waits gives its place to another one, of whose kind
// there may be fewer than the places that it keeps. Requests that miss their goals yield to
// those that can make theirs, and less urgent ones to more urgent ones.
func yields(now time.Time, c, o *Offer, needsPlace bool) bool {
	switch {
	case needsPlace && c.Rank != o.Rank:
		return true
	case c.late(now) != o.late(now):
		return c.late(now)
	}
	return c.Rank > o.Rank
}

// Remove removes a request and reports whether it was still in the queue.
func (q *Queue[T]) Remove(w *Waiter[T]) bool {
	i := slices.Index(q.waiting, w)
	if i < 0 {
		return false
	}
	q.waiting = slices.Delete(q.waiting, i, i+1)
	q.bytes -= w.offer.Bytes
	return true
}

// RemoveExpired removes and returns the requests that are past their deadline.
func (q *Queue[T]) RemoveExpired(now time.Time) []*Waiter[T] {
	var out []*Waiter[T]
	for _, w := range q.waiting {
		if w.offer.expired(now) {
			out = append(out, w)
		}
	}
	for _, w := range out {
		q.Remove(w)
	}
	return out
}

// Next removes and returns the request to be sent next, or nil if none waits. Requests whose
// goals have not passed go first, the earliest goal before the others, unless that would take
// from a more urgent request more than it can spare. If all goals have passed, it is the request of the most urgent kind
// that has waited longest: requests that will be late anyway get only the room that the others
// leave. A kind that was passed over maxPassed times goes before all of these. The requests in
// expired have been removed because they are past their deadline.
func (q *Queue[T]) Next(now time.Time) (w *Waiter[T], expired []*Waiter[T]) {
	expired = q.RemoveExpired(now)
	if len(q.waiting) == 0 {
		clear(q.passed)
		return nil, expired
	}
	if rank, ok := q.starvedRank(); ok {
		w = first(q.waiting, now, func(o *Offer) bool { return o.Rank == rank })
	} else {
		w = q.best(now)
	}
	q.countPassed(w.offer.Rank)
	q.Remove(w)
	return w, expired
}

// best returns the first request that takes no more from the more urgent ones than they can
// spare.
func (q *Queue[T]) best(now time.Time) *Waiter[T] {
	w := first(q.waiting, now, func(*Offer) bool { return true })
	for w.offer.Goal.After(now) && q.displaces(w, now) {
		rank := w.offer.Rank
		w = first(q.waiting, now, func(o *Offer) bool { return o.Rank < rank })
	}
	return w
}

// displaces reports whether a request that went first would take from a more urgent one more
// than it can spare: of the time until its goal, maxWaitFraction may be spent waiting, since
// the times of targets are not known exactly. A request that would miss its goal anyway has
// nothing to lose.
func (q *Queue[T]) displaces(w *Waiter[T], now time.Time) bool {
	var urgent []*Waiter[T]
	for _, c := range q.waiting {
		if c.offer.Rank < w.offer.Rank && c.offer.Goal.After(now) {
			urgent = append(urgent, c)
		}
	}
	slices.SortStableFunc(urgent, func(a, b *Waiter[T]) int { return a.offer.Goal.Compare(b.offer.Goal) })
	sendAt := now
	for _, u := range urgent {
		if !u.offer.Goal.After(sendAt) {
			// It would miss its goal anyway, so that it is sent later.
			continue
		}
		spare := time.Duration(maxWaitFraction * float64(u.offer.Goal.Sub(now)))
		if now.Add(spare).Before(sendAt.Add(w.offer.Work)) {
			return true
		}
		sendAt = sendAt.Add(u.offer.Work)
	}
	return false
}

// first returns the first request of those that are allowed, by goals and, among those whose
// goals have passed, by rank and arrival. It returns nil if none is allowed.
func first[T any](waiting []*Waiter[T], now time.Time, allowed func(*Offer) bool) *Waiter[T] {
	var w *Waiter[T]
	for _, c := range waiting {
		if allowed(&c.offer) && (w == nil || before(&c.offer, &w.offer, now)) {
			w = c
		}
	}
	return w
}

// before reports whether a request goes before one that arrived earlier.
func before(o, earlier *Offer, now time.Time) bool {
	inTime, earlierInTime := o.Goal.After(now), earlier.Goal.After(now)
	switch {
	case inTime != earlierInTime:
		return inTime
	case !inTime:
		return o.Rank < earlier.Rank
	case o.Goal.Equal(earlier.Goal):
		return o.Rank < earlier.Rank
	}
	return o.Goal.Before(earlier.Goal)
}

// starvedRank returns the waiting kind that was passed over most often, if that was maxPassed
// times or more. Of kinds that were passed over equally often, it is the most urgent one.
func (q *Queue[T]) starvedRank() (starved uint32, found bool) {
	most := maxPassed
	for _, w := range q.waiting {
		rank := w.offer.Rank
		n := q.passed[rank]
		if n > most || n == most && (!found || rank < starved) {
			starved, most, found = rank, n, true
		}
	}
	return starved, found
}

// countPassed counts a send for the waiting kinds that it passes over.
func (q *Queue[T]) countPassed(sent uint32) {
	if q.passed == nil {
		q.passed = make(map[uint32]int)
	}
	kinds := make(map[uint32]bool)
	for _, w := range q.waiting {
		kinds[w.offer.Rank] = true
	}
	for rank := range kinds {
		q.passed[rank]++
	}
	q.passed[sent] = 0
}
