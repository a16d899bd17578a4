package valuer

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// offer returns an offer of 20 ms work whose goal and deadline lie the given times after begin.
func offer(rank uint32, goal, deadline time.Duration) Offer {
	return Offer{
		Rank:     rank,
		Goal:     begin.Add(goal),
		Deadline: begin.Add(deadline),
		Work:     20 * ms,
		Bytes:    1,
	}
}

// TestQueueOrder guards against requests that are sent before others whose delay costs their
// callers more.
func TestQueueOrder(t *testing.T) {
	tests := []struct {
		name   string
		offers []Offer
		want   []int
	}{
		{name: "priority where not all make their goals", offers: []Offer{offer(2, 10*ms, time.Second), offer(1, 15*ms, time.Second), offer(0, 18*ms, time.Second)}, want: []int{2, 1, 0}},
		{name: "less urgent ones in the time that more urgent ones can spare", offers: []Offer{offer(2, 10*ms, time.Second), offer(1, 50*ms, time.Second)}, want: []int{0, 1}},
		{name: "no time to spare for the second of the more urgent ones", offers: []Offer{offer(2, 10*ms, time.Second), offer(1, 50*ms, time.Second), offer(1, 60*ms, time.Second)}, want: []int{1, 0, 2}},
		{name: "earliest goal of a kind", offers: []Offer{offer(1, 50*ms, time.Second), offer(1, 10*ms, time.Second)}, want: []int{1, 0}},
		{name: "passed goals after the others, then by priority", offers: []Offer{offer(2, -ms, time.Second), offer(1, -ms, time.Second), offer(1, 50*ms, time.Second), offer(2, 10*ms, time.Second)}, want: []int{3, 2, 1, 0}},
		{name: "past the deadline not at all", offers: []Offer{offer(1, -9*ms, 0), offer(2, 10*ms, time.Second)}, want: []int{1}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var q Queue[int]
			for i, o := range test.offers {
				q.Add(begin.Add(-10*ms), o, i)
			}
			for _, want := range test.want {
				if w, _ := q.Next(begin); w == nil || w.Value != want {
					t.Fatalf("next is %v, want request %d", w, want)
				}
			}
			if w, _ := q.Next(begin); w != nil {
				t.Errorf("request %d was sent", w.Value)
			}
		})
	}
}

// TestQueueMakesRoomForMoreUrgent guards against a burst of a less urgent kind that fills the
// queue, so that the more urgent one is turned away.
func TestQueueMakesRoomForMoreUrgent(t *testing.T) {
	q := Queue[int]{
		MaxLen: 4,
	}
	for i := range 10 {
		q.Add(begin, offer(2, 100*ms, time.Second), i)
	}
	w, dropped := q.Add(begin, offer(1, 100*ms, time.Second), 10)
	if w == nil || len(dropped) != 1 || dropped[0].Value != 3 {
		t.Fatalf("urgent request in queue: %v, turned away: %v; want the last of the less urgent ones turned away", w != nil, dropped)
	}
	if w, _ = q.Add(begin, offer(2, 100*ms, time.Second), 11); w != nil {
		t.Error("less urgent request was added to a full queue")
	}
}

// TestQueueTakesLargeRequest guards against a request with a body above the bound of the queue
// that is turned away although nothing else waits.
func TestQueueTakesLargeRequest(t *testing.T) {
	q := Queue[int]{
		MaxBytes: 100,
	}
	large := offer(1, 100*ms, time.Second)
	large.Bytes = 200
	if w, _ := q.Add(begin, large, 0); w == nil {
		t.Error("large request was turned away from an empty queue")
	}
	if w, _ := q.Add(begin, large, 1); w != nil {
		t.Error("second large request was added")
	}
}

// simulate returns the fractions of the requests of each kind that one target of the given
// service time answers by their goals. Arrivals of a kind begin at its start.
func simulate(service time.Duration, length time.Duration, kinds []burst) []float64 {
	q := Queue[int]{
		MaxLen: 32,
	}
	asked, inTime := make([]int, len(kinds)), make([]int, len(kinds))
	next := make([]time.Duration, len(kinds))
	for i, k := range kinds {
		next[i] = k.start
	}
	for at := time.Duration(0); at < length; at += service {
		for i, k := range kinds {
			for ; next[i] <= at && next[i] < k.end; next[i] += k.interval {
				asked[i]++
				o := offer(k.rank, next[i]+k.goal-service, next[i]+k.deadline)
				o.Work = service
				q.Add(begin.Add(at), o, i)
			}
		}
		now := begin.Add(at)
		if w, _ := q.Next(now); w != nil && w.offer.Goal.After(now) {
			inTime[w.Value]++
		}
	}
	out := make([]float64, len(kinds))
	for i := range kinds {
		out[i] = float64(inTime[i]) / float64(max(asked[i], 1))
	}
	return out
}

// burst describes the arrivals of one kind.
type burst struct {
	rank                                 uint32
	start, end, interval, goal, deadline time.Duration
}

// TestQueueUnderPatternsOfLoad guards against patterns of load in which the more urgent kind
// loses its room, or the less urgent one all of it.
func TestQueueUnderPatternsOfLoad(t *testing.T) {
	urgent := burst{rank: 1, end: 4 * time.Second, interval: 40 * ms, goal: 200 * ms, deadline: 2500 * ms}
	less := burst{rank: 2, end: 4 * time.Second, interval: 40 * ms, goal: 300 * ms, deadline: time.Second}
	with := func(b burst, change func(*burst)) burst {
		change(&b)
		return b
	}
	tests := []struct {
		name    string
		service time.Duration
		kinds   []burst
		// want holds the least fraction of each kind.
		want []float64
	}{
		{name: "wave: crest above the room for a second", service: 15 * ms, kinds: []burst{
			urgent, less, with(less, func(b *burst) { b.start, b.end, b.interval = time.Second, 2*time.Second, 10*ms }),
		}, want: []float64{0.95, 0.6, 0}},
		{name: "burst of the less urgent kind", service: 20 * ms, kinds: []burst{
			urgent, with(less, func(b *burst) { b.interval = 5 * ms }),
		}, want: []float64{0.95, 0.05}},
		{name: "burst of the more urgent kind", service: 20 * ms, kinds: []burst{
			with(urgent, func(b *burst) { b.interval = 10 * ms }), less,
		}, want: []float64{0.4, 0}},
		{name: "slow shards across: twice the service time", service: 40 * ms, kinds: []burst{
			with(urgent, func(b *burst) { b.interval = 60 * ms }), with(less, func(b *burst) { b.interval = 60 * ms }),
		}, want: []float64{0.9, 0}},
		{name: "hot institution of lower priority", service: 20 * ms, kinds: []burst{
			urgent, with(urgent, func(b *burst) { b.rank, b.interval = 2, 4*ms }),
		}, want: []float64{0.95, 0.05}},
		{name: "mass restart: a second of arrivals at once", service: 20 * ms, kinds: []burst{
			urgent, with(urgent, func(b *burst) { b.end, b.interval = ms, 50*time.Microsecond }), less,
		}, want: []float64{0.8, 0, 0.4}},
		{name: "data centre back: half of the service time after two seconds of too little room", service: 20 * ms, kinds: []burst{
			with(urgent, func(b *burst) { b.end, b.interval = 2*time.Second, 15*ms }), with(urgent, func(b *burst) { b.start = 2500 * ms }),
		}, want: []float64{0.6, 0.95}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got := simulate(test.service, 4*time.Second, test.kinds)
			for i, want := range test.want {
				if got[i] < want {
					t.Errorf("%.2f of the requests of kind %d answered in time, want %.2f (all: %.2f)", got[i], i, want, got)
				}
			}
		})
	}
}

// TestQueueProperties checks for random arrivals and sends that the order holds, that no kind
// is passed over more often than stated, and that the queue keeps its bounds.
func TestQueueProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const kinds = 3
		q := Queue[Offer]{
			MaxLen:   rapid.IntRange(1, 40).Draw(t, "length"),
			MaxBytes: rapid.IntRange(1, 200).Draw(t, "bytes"),
		}
		now := begin
		passed := make(map[uint32]int)
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 5).Draw(t, "ms")) * ms)
			if rapid.IntRange(0, 2).Draw(t, "add") > 0 {
				o := Offer{
					Rank:     uint32(rapid.IntRange(0, kinds-1).Draw(t, "rank")),
					Goal:     now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "goal")) * ms),
					Deadline: now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "deadline")) * ms),
					Work:     time.Duration(rapid.IntRange(0, 30).Draw(t, "work")) * ms,
					Bytes:    rapid.IntRange(0, 50).Draw(t, "size"),
				}
				before := places(&q, now)
				w, dropped := q.Add(now, o, o)
				checkDropped(t, &q, now, &o, w != nil, dropped, before)
				if q.Len() > q.MaxLen || q.Bytes() > q.MaxBytes && q.Len() > 1 {
					t.Fatalf("%d requests of %d bytes wait, want at most %d and %d", q.Len(), q.Bytes(), q.MaxLen, q.MaxBytes)
				}
				continue
			}
			checkNext(t, &q, now, passed, kinds)
		}
	})
}

// places returns the number of requests of each kind that wait and are not past their deadline.
func places(q *Queue[Offer], now time.Time) map[uint32]int {
	out := make(map[uint32]int)
	for _, w := range q.waiting {
		if !w.offer.expired(now) {
			out[w.offer.Rank]++
		}
	}
	return out
}

// checkDropped checks which requests were turned away for another one: those past their goals
// for one that can make its own, less urgent ones, and for a kind that has less than the places
// that it keeps, those of kinds that have more. No kind falls below them.
func checkDropped(t *rapid.T, q *Queue[Offer], now time.Time, o *Offer, added bool, dropped []*Waiter[Offer], before map[uint32]int) {
	kept := max(q.MaxLen/(maxPassed+1), 1)
	for _, d := range dropped {
		switch {
		case d.Value.expired(now):
			continue
		case !added:
			t.Fatalf("request of rank %d turned away for nothing", d.Value.Rank)
		case d.Value.Rank != o.Rank && before[o.Rank] < kept:
		case d.Value.late(now) && !o.late(now):
		case d.Value.Rank > o.Rank && d.Value.late(now) == o.late(now):
		default:
			t.Fatalf("request of rank %d, late %v, turned away for one of rank %d, late %v", d.Value.Rank, d.Value.late(now), o.Rank, o.late(now))
		}
	}
	after := places(q, now)
	for rank, n := range before {
		if rank != o.Rank && after[rank] < min(n, kept) {
			t.Fatalf("%d requests of rank %d are left of %d, want %d at least", after[rank], rank, n, min(n, kept))
		}
	}
}

// checkNext sends the next request and checks it against those that wait on.
func checkNext(t *rapid.T, q *Queue[Offer], now time.Time, passed map[uint32]int, kinds int) {
	w, _ := q.Next(now)
	if w == nil {
		clear(passed)
		return
	}
	if w.Value.expired(now) {
		t.Fatal("request past its deadline was sent")
	}
	waiting := make(map[uint32]bool)
	for _, other := range q.waiting {
		waiting[other.offer.Rank] = true
		inTime, otherInTime := w.offer.Goal.After(now), other.offer.Goal.After(now)
		mayStarve := passed[w.offer.Rank] >= maxPassed && other.offer.Rank != w.offer.Rank
		if otherInTime && !inTime && !mayStarve {
			t.Fatal("request that cannot make its goal was sent before one that can")
		}
		if !otherInTime && !inTime && other.offer.Rank < w.offer.Rank && !mayStarve {
			t.Fatalf("rank %d was sent before rank %d, both late, after %d sends", w.offer.Rank, other.offer.Rank, passed[w.offer.Rank])
		}
	}
	if passed[w.offer.Rank] < maxPassed {
		without, with := inTimeAbove(q, w.offer.Rank, now), inTimeAbove(q, w.offer.Rank, now.Add(w.offer.Work))
		if with < without {
			t.Fatalf("%d more urgent requests make their goals after one of rank %d, want %d", with, w.offer.Rank, without)
		}
	}
	for rank := range uint32(kinds) {
		if rank == w.offer.Rank {
			passed[rank] = 0
			continue
		}
		if !waiting[rank] {
			continue
		}
		if passed[rank]++; passed[rank] > maxPassed+kinds-2 {
			t.Fatalf("rank %d was passed over %d times in a row", rank, passed[rank])
		}
	}
}

// inTimeAbove returns the number of requests more urgent than a rank that make their goals if
// they alone are sent from a time on.
func inTimeAbove(q *Queue[Offer], rank uint32, from time.Time) int {
	var goals []Offer
	for _, w := range q.waiting {
		if w.offer.Rank < rank {
			goals = append(goals, w.offer)
		}
	}
	slices.SortFunc(goals, func(a, b Offer) int { return a.Goal.Compare(b.Goal) })
	n := 0
	for _, o := range goals {
		if o.Goal.After(from) {
			n++
			from = from.Add(o.Work)
		}
	}
	return n
}

// TestLessUrgentKindKeepsPlaces guards against a burst of one kind that takes all places of a
// queue, so that the less urgent kind is turned away on arrival and starves.
func TestLessUrgentKindKeepsPlaces(t *testing.T) {
	const ms = time.Millisecond
	now := time.Unix(1000, 0)
	q := Queue[string]{
		MaxLen: 32,
	}
	sent := make(map[string]int)
	for i := range 1000 {
		at := now.Add(time.Duration(i) * 8 * ms)
		q.Add(at, Offer{Goal: at.Add(100 * ms), Deadline: at.Add(time.Second), Work: 20 * ms}, "urgent")
		if i%5 == 0 {
			q.Add(at, Offer{Rank: 1, Goal: at.Add(200 * ms), Deadline: at.Add(2 * time.Second), Work: 20 * ms}, "other")
		}
		if i%5 == 0 || i%5 == 2 {
			if w, _ := q.Next(at); w != nil {
				sent[w.Value]++
			}
		}
	}
	// A send in 16 is the less urgent kind's at least.
	if least := (sent["urgent"] + sent["other"]) / 17; sent["other"] < least {
		t.Errorf("%d of the less urgent kind sent beside %d, want at least %d", sent["other"], sent["urgent"], least)
	}
}

// TestLateRequestsYieldPlaces guards against a queue full of requests past their goals that
// turns away one that can still make its own, and against a late one that takes the place of
// one in time.
func TestLateRequestsYieldPlaces(t *testing.T) {
	const ms = time.Millisecond
	now := time.Unix(1000, 0)
	late := Offer{Goal: now.Add(-ms), Deadline: now.Add(time.Second)}
	inTime := Offer{Rank: 1, Goal: now.Add(100 * ms), Deadline: now.Add(time.Second)}
	for _, test := range []struct {
		name         string
		waits, comes Offer
		want         bool
	}{
		{name: "late and urgent ones wait, one in time comes", waits: late, comes: inTime, want: true},
		{name: "ones in time wait, a late and urgent one comes", waits: inTime, comes: late},
	} {
		t.Run(test.name, func(t *testing.T) {
			q := Queue[int]{
				MaxLen: 32,
			}
			for range 30 {
				q.Add(now, test.waits, 0)
			}
			for range 2 {
				q.Add(now, test.comes, 0)
			}
			w, dropped := q.Add(now, test.comes, 1)
			if got := w != nil; got != test.want || len(dropped) > 1 {
				t.Errorf("added %v, %d turned away; want added %v, one at most", got, len(dropped), test.want)
			}
		})
	}
}
