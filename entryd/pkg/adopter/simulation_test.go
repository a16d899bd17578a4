package adopter

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"plantaincleat/tier/gen/config"
)

const (
	// applyBound is the time within which an accepted change has to be in force at each daemon that
	// reaches the store and that nothing was done to.
	applyBound = 3 * time.Second
	// orderLength is the time that an order of events takes.
	orderLength = 24 * time.Second
	// troubleFrom and troubleUntil bound the times of disturbances and changes.
	troubleFrom, troubleUntil = 5 * time.Second, 16 * time.Second
	// simulatedCallTimeout is the time after which a call to the store without an answer fails, and
	// simulatedPollMargin that after the wait of a poll.
	simulatedCallTimeout = 1200 * time.Millisecond
	simulatedPollMargin  = 600 * time.Millisecond
	// simulatedPollWait is the longest time for which the store delays the answer to a poll while nothing
	// changes, and simulatedPollInterval the least time between two polls.
	simulatedPollWait     = 1200 * time.Millisecond
	simulatedPollInterval = 600 * time.Millisecond
)

// moment is an event of a simulated fleet.
type moment struct {
	at    time.Time
	order int
	do    func()
}

type moments []moment

func (q moments) Len() int { return len(q) }
func (q moments) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].order < q[j].order
}
func (q moments) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *moments) Push(x any)   { *q = append(*q, x.(moment)) }
func (q *moments) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// span is a time in which something is wrong.
type span struct {
	from, until time.Time
}

func (s span) holds(t time.Time) bool { return !t.Before(s.from) && t.Before(s.until) }

// simulatedDaemon is a Machine with what is wrong with its host and links.
type simulatedDaemon struct {
	Member
	m *Machine
	// dark is a loss of power, frozen a freeze, unlinked a cut from the store, and lonely a cut from
	// all other daemons.
	dark, frozen, unlinked, lonely span
	// live is what the daemon knows of the others by gossip.
	live map[string]Member
	// copied is the daemon's copy of the store, which confirms as of copiedAsOf. While a watch runs and has
	// reported recently, checks are answered from it.
	copied     *config.Accepted
	copiedAsOf time.Time
	watching   bool
	watch      int
	progress   time.Time
	reads      int
}

// untouched reports whether nothing was done to the daemon before t.
func (d *simulatedDaemon) untouched(t time.Time) bool {
	for _, s := range []span{d.dark, d.frozen, d.unlinked} {
		if s.from.Before(t) && s.until.After(s.from) {
			return false
		}
	}
	return true
}

// simulatedFleet plays one order of events over Machines, a store and gossip.
type simulatedFleet struct {
	rng     *rand.Rand
	now     time.Time
	queue   moments
	order   int
	daemons []*simulatedDaemon
	// newest is the content of the store, and waiting holds the polls to answer once it changes.
	newest  *config.Accepted
	waiting []func()
	// late describes the daemons at which a change was not in force in time.
	late []string
}

// between returns a random time in a range.
func (f *simulatedFleet) between(low, high time.Duration) time.Duration {
	return low + time.Duration(f.rng.Int64N(int64(high-low)))
}

func (f *simulatedFleet) after(d time.Duration, do func()) {
	f.order++
	heap.Push(&f.queue, moment{
		at:    f.now.Add(d),
		order: f.order,
		do:    do,
	})
}

// newSimulatedFleet returns a fleet of one to most daemons in each of three data centres, all of which have
// adopted the first configuration.
func newSimulatedFleet(seed uint64, most int) *simulatedFleet {
	f := &simulatedFleet{
		rng:    rand.New(rand.NewPCG(seed, 1)),
		now:    start,
		newest: accepted(1, 1),
	}
	for _, datacentre := range []string{"wlg", "akl", "chc"} {
		for i := range 1 + f.rng.IntN(most) {
			d := &simulatedDaemon{
				Member: Member{
					ID:         fmt.Sprintf("%s%d", datacentre, i),
					DataCentre: datacentre,
					Revision:   1,
				},
				live: map[string]Member{},
			}
			d.m = New(Config{
				ID:            d.ID,
				DataCentre:    datacentre,
				Readers:       1,
				CheckInterval: 600 * time.Millisecond,
				TakeoverAfter: 2200 * time.Millisecond,
				LookAfter:     2500 * time.Millisecond,

				LookRetryInterval: 3 * time.Second,
			}, start)
			f.daemons = append(f.daemons, d)
		}
	}
	for _, d := range f.daemons {
		for _, other := range f.daemons {
			d.live[other.ID] = other.Member
		}
		d.copied = f.newest
		f.step(d, f.members(d))
		f.step(d, StoreRead{
			Accepted: f.newest,
			At:       start,
		})
		f.after(f.between(0, tickInterval), func() { f.tick(d) })
	}
	return f
}

func (f *simulatedFleet) members(d *simulatedDaemon) MembersChanged {
	live := make([]Member, 0, len(d.live))
	for _, m := range d.live {
		live = append(live, m)
	}
	slices.SortFunc(live, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	return MembersChanged{Live: live}
}

func (f *simulatedFleet) tick(d *simulatedDaemon) {
	f.step(d, Tick{})
	f.after(tickInterval, func() { f.tick(d) })
}

// step passes an event to a daemon and carries out the actions.
func (f *simulatedFleet) step(d *simulatedDaemon, event Event) {
	if d.dark.holds(f.now) {
		return
	}
	if d.frozen.holds(f.now) {
		if _, ok := event.(Tick); !ok {
			f.after(d.frozen.until.Sub(f.now), func() { f.step(d, event) })
		}
		return
	}
	for _, a := range d.m.Step(f.now, event) {
		switch a := a.(type) {
		case CheckHead:
			f.check(d)
		case ReadStore:
			read := StoreRead{
				Accepted: d.copied,
				At:       d.copiedAsOf,
			}
			f.after(0, func() { f.step(d, read) })
		case StartWatch:
			d.watching, d.progress = true, f.now
			d.watch++
			f.poll(d, d.watch, f.now)
		case StopWatch:
			d.watching = false
		case Pull:
			f.pull(d, a)
		case Adopt:
			f.spread(d, a.Accepted.Head.Revision)
		}
	}
}

// check answers a check, from the copy if a watch runs.
func (f *simulatedFleet) check(d *simulatedDaemon) {
	if d.watching && f.now.Sub(d.progress) <= simulatedPollWait+simulatedPollMargin {
		f.after(0, func() { f.step(d, d.headRead()) })
		return
	}
	d.reads++
	begun := f.now
	f.callStore(d, 0, simulatedCallTimeout, func() { f.step(d, CheckFailed{}) }, func(newest *config.Accepted) {
		d.copied, d.copiedAsOf = newest, begun
		f.step(d, d.headRead())
	})
}

func (d *simulatedDaemon) headRead() HeadRead {
	return HeadRead{
		Observation:   d.observation(),
		StoreRevision: int64(d.copied.Head.Revision),
	}
}

func (d *simulatedDaemon) observation() Observation {
	return Observation{
		Head: d.copied.Head,
		At:   d.copiedAsOf,
	}
}

// poll makes the polls of a watch, one after the other. What the watch knows is as of a time.
func (f *simulatedFleet) poll(d *simulatedDaemon, watch int, asOf time.Time) {
	if !d.watching || d.watch != watch || d.dark.holds(f.now) {
		return
	}
	if d.frozen.holds(f.now) {
		f.after(d.frozen.until.Sub(f.now), func() { f.poll(d, watch, asOf) })
		return
	}
	begun, known := f.now, f.newest
	wait := max(0, simulatedPollWait-f.now.Sub(asOf))
	failed := func() {
		d.watching = false
		f.step(d, WatchEnded{})
	}
	f.callStore(d, wait, wait+simulatedPollMargin, failed, func(newest *config.Accepted) {
		asOf := begun
		if newest == known {
			asOf = begun.Add(wait)
		}
		d.copied, d.copiedAsOf, d.progress = newest, asOf, f.now
		f.step(d, HeadChanged{Observation: d.observation()})
		f.after(max(0, begun.Add(simulatedPollInterval).Sub(f.now)), func() { f.poll(d, watch, asOf) })
	})
}

// callStore calls the store, which answers after a wait, or sooner if it then holds something else than when it got
// the call. The call fails after a timeout if the daemon does not reach the store. A frozen daemon gets either when it
// wakes.
func (f *simulatedFleet) callStore(d *simulatedDaemon, wait, timeout time.Duration, failed func(), answered func(newest *config.Accepted)) {
	there, back := f.between(time.Millisecond, 60*time.Millisecond), f.between(time.Millisecond, 60*time.Millisecond)
	expired := f.now.Add(timeout)
	var awake func(do func())
	awake = func(do func()) {
		if d.frozen.holds(f.now) {
			f.after(d.frozen.until.Sub(f.now), func() { awake(do) })
			return
		}
		do()
	}
	fail := func() { f.after(expired.Sub(f.now), func() { awake(failed) }) }
	f.after(there, func() {
		f.answerLater(f.newest, f.now.Add(wait), func(newest *config.Accepted) {
			if d.unlinked.holds(f.now) {
				fail()
				return
			}
			f.after(back, func() { awake(func() { answered(newest) }) })
		})
	})
}

// answerLater gives the content of the store to do at a time, or as soon as it is not known any more.
func (f *simulatedFleet) answerLater(known *config.Accepted, at time.Time, do func(newest *config.Accepted)) {
	answered := false
	answer := func() {
		if !answered {
			answered = true
			do(f.newest)
		}
	}
	if f.newest != known || !f.now.Before(at) {
		answer()
		return
	}
	f.waiting = append(f.waiting, answer)
	f.after(at.Sub(f.now), answer)
}

// pull answers a pull, unless the peer is gone, frozen or cut off.
func (f *simulatedFleet) pull(d *simulatedDaemon, a Pull) {
	peer := f.daemon(a.Peer.ID)
	there, back := f.between(time.Millisecond, 40*time.Millisecond), f.between(time.Millisecond, 40*time.Millisecond)
	f.after(there, func() {
		gone := peer.dark.holds(f.now) || peer.frozen.holds(f.now) || peer.lonely.holds(f.now) || d.lonely.holds(f.now)
		if gone {
			f.after(pullTimeout-there, func() { f.step(d, PullFailed{Peer: a.Peer.ID}) })
			return
		}
		out := &config.Accepted{Head: peer.m.Current().GetHead()}
		if peer.m.Revision() > a.Have {
			out.Config = peer.m.Current().Config
		}
		if at := peer.m.Confirmed(); !at.IsZero() {
			age := f.now.Sub(at).Milliseconds()
			out.Age = &age
		}
		f.after(back, func() {
			f.step(d, PeerAnswered{
				Peer:     a.Peer.ID,
				Accepted: out,
			})
		})
	})
}

func (f *simulatedFleet) daemon(id string) *simulatedDaemon {
	return f.daemons[slices.IndexFunc(f.daemons, func(d *simulatedDaemon) bool { return d.ID == id })]
}

// spread tells the others by gossip of a revision that a daemon has adopted. Some hear of it late.
func (f *simulatedFleet) spread(d *simulatedDaemon, revision uint64) {
	for _, other := range f.daemons {
		f.after(f.between(time.Millisecond, 2*time.Second), func() {
			known, ok := other.live[d.ID]
			if !ok || known.Revision >= revision || d.dark.holds(f.now) || d.lonely.holds(f.now) || other.lonely.holds(f.now) {
				return
			}
			known.Revision = revision
			other.live[d.ID] = known
			f.step(other, f.members(other))
		})
	}
}

// change accepts a new configuration and looks after applyBound whether it is in force.
func (f *simulatedFleet) change() {
	revision := f.newest.Head.Revision + 1
	f.newest = accepted(revision, uint32(revision))
	accepted, waiting := f.now, f.waiting
	f.waiting = nil
	for _, answer := range waiting {
		answer()
	}
	f.after(applyBound, func() {
		for _, d := range f.daemons {
			if d.untouched(f.now) && d.m.Revision() < revision {
				f.late = append(f.late, fmt.Sprintf("%s has revision %d in force %v after revision %d was accepted at %v, confirmed %v ago, rank %d",
					d.ID, d.m.Revision(), applyBound, revision, accepted.Sub(start), f.now.Sub(d.m.Confirmed()), d.m.fleet.rank))
			}
		}
	})
}

// disturb draws what is wrong with the daemons of one order: some lose power at the same moment, and others are
// frozen, cut off from the store or from all other daemons. The first in rank are hit most often.
func (f *simulatedFleet) disturb() {
	dark := start.Add(f.between(troubleFrom, troubleUntil))
	share := f.rng.Float64()
	for _, d := range f.daemons {
		hit := share
		if d.m.fleet.rank < 3 {
			hit = max(share, 0.7)
		}
		if f.rng.Float64() > hit {
			continue
		}
		from := start.Add(f.between(troubleFrom, troubleUntil))
		s := span{
			from:  from,
			until: from.Add(f.between(time.Second, 8*time.Second)),
		}
		switch f.rng.IntN(4) {
		case 0:
			d.dark = span{
				from:  dark,
				until: start.Add(2 * orderLength),
			}
			f.forget(d, dark)
		case 1:
			d.frozen = s
			f.forget(d, from)
		case 2:
			d.unlinked = s
		case 3:
			d.lonely = s
			f.forget(d, from)
		}
	}
}

// forget makes gossip declare a daemon dead, at each of the others after another time.
func (f *simulatedFleet) forget(d *simulatedDaemon, from time.Time) {
	for _, other := range f.daemons {
		f.after(from.Sub(f.now)+f.between(3*time.Second, 8*time.Second), func() {
			if other == d || !d.dark.holds(f.now) && !d.frozen.holds(f.now) && !d.lonely.holds(f.now) {
				return
			}
			delete(other.live, d.ID)
			f.step(other, f.members(other))
		})
	}
}

// play carries out all events of an order.
func (f *simulatedFleet) play() {
	end := start.Add(orderLength)
	for f.queue.Len() > 0 {
		next := heap.Pop(&f.queue).(moment)
		if next.at.After(end) {
			return
		}
		f.now = next.at
		next.do()
	}
}
