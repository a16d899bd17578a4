package gossiper

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"

	"plantaincleat/tier/gen/peer"
)

// totalPrefix starts the daemon name under which the total demand of a data
// centre is sent to other data centres.
const totalPrefix = "@"

type demandKey struct {
	daemon      string
	institution string
}

// demand is a daemon's use of an institution's quota, or the total use in a
// data centre, with the time at which it arrived, the number of messages in
// which it is still to be sent, and its size in bytes in a message.
type demand struct {
	value      *peer.Demand
	receivedAt time.Time
	copiesLeft int
	size       int
}

// demandSet holds the latest demand of each daemon of this data centre and the
// totals of the remote data centres.
type demandSet struct {
	byKey map[demandKey]*demand
	// queues[n] holds the keys of the demands that have n copies left to send. A
	// key is out of date, and is skipped, if its demand has another number of
	// copies left.
	queues [demandCopies + 1][]demandKey
}

func newDemandSet() demandSet {
	return demandSet{
		byKey: make(map[demandKey]*demand),
	}
}

// supersedesDemand reports whether a is later than b, a demand of the same
// daemon and institution. Demands are ordered by beat, the time in Unix
// milliseconds at which they were published, and for equal beats by value, so
// that all daemons keep the same one.
func supersedesDemand(a, b *peer.Demand) bool {
	return cmp.Or(
		cmp.Compare(a.GetBeat(), b.GetBeat()),
		cmp.Compare(a.GetRate(), b.GetRate()),
		cmp.Compare(a.GetConcurrency(), b.GetConcurrency()),
	) > 0
}

// add stores and queues d if it is later than the known demand.
func (s *demandSet) add(d *peer.Demand, now time.Time) {
	key := demandKey{
		daemon:      d.GetDaemon(),
		institution: d.GetInstitution(),
	}
	if key.daemon == "" || key.institution == "" {
		return
	}
	if old, ok := s.byKey[key]; ok && !supersedesDemand(d, old.value) {
		return
	}
	const fixedBytes = 30
	s.queues[demandCopies] = append(s.queues[demandCopies], key)
	s.byKey[key] = &demand{
		value:      d,
		receivedAt: now,
		copiesLeft: demandCopies,
		size:       fixedBytes + len(key.daemon) + len(key.institution),
	}
}

// expire removes the demands that have not been renewed for ttl.
func (s *demandSet) expire(now time.Time, ttl time.Duration) {
	for k, d := range s.byKey {
		if now.Sub(d.receivedAt) >= ttl {
			delete(s.byKey, k)
		}
	}
}

// take returns demands that have copies left to send, of at most limit bytes in
// total. Demands that were sent least often come first, so that new demands
// overtake those that most daemons already have. If remote is true, it returns
// only totals.
func (s *demandSet) take(limit int, remote bool) []*peer.Demand {
	var taken []demandKey
	for left := demandCopies; left > 0 && limit > 0; left-- {
		queue := s.queues[left]
		s.queues[left] = nil
		for i, key := range queue {
			d, ok := s.byKey[key]
			switch {
			case !ok || d.copiesLeft != left:
				continue
			case remote && !strings.HasPrefix(key.daemon, totalPrefix):
				s.queues[left] = append(s.queues[left], key)
				continue
			}
			limit -= d.size
			if limit < 0 {
				s.queues[left] = append(s.queues[left], queue[i:]...)
				break
			}
			d.copiesLeft--
			taken = append(taken, key)
		}
	}
	out := make([]*peer.Demand, 0, len(taken))
	for _, key := range taken {
		d := s.byKey[key]
		out = append(out, d.value)
		s.queues[d.copiesLeft] = append(s.queues[d.copiesLeft], key)
	}
	s.queues[0] = nil
	return out
}

// recentlySent reports whether a demand need not be sent again because the last
// one is recent and differs little.
func (s *demandSet) recentlySent(d *peer.Demand, now time.Time) bool {
	old, ok := s.byKey[demandKey{
		daemon:      d.GetDaemon(),
		institution: d.GetInstitution(),
	}]
	return ok && now.Sub(old.receivedAt) < demandRenewal &&
		withinTolerance(old.value.GetRate(), d.GetRate()) &&
		withinTolerance(float64(old.value.GetConcurrency()), float64(d.GetConcurrency()))
}

// withinTolerance reports whether b differs from a by at most a fifth of a.
func withinTolerance(a, b float64) bool {
	const tolerance = 0.2
	return math.Abs(a-b) <= tolerance*a
}

// totals returns the total demand of the daemons of this data centre for each
// institution.
func (s *demandSet) totals(datacentre string, beat uint64) []*peer.Demand {
	sums := make(map[string]*peer.Demand)
	for _, k := range s.keys() {
		if strings.HasPrefix(k.daemon, totalPrefix) {
			continue
		}
		out, ok := sums[k.institution]
		if !ok {
			out = &peer.Demand{
				Daemon:      totalPrefix + datacentre,
				Institution: k.institution,
				Beat:        beat,
			}
			sums[k.institution] = out
		}
		out.Rate += s.byKey[k].value.GetRate()
		out.Concurrency += s.byKey[k].value.GetConcurrency()
	}
	out := make([]*peer.Demand, 0, len(sums))
	for _, d := range sums {
		out = append(out, d)
	}
	slices.SortFunc(out, func(a, b *peer.Demand) int {
		return cmp.Compare(a.GetInstitution(), b.GetInstitution())
	})
	return out
}

func (s *demandSet) keys() []demandKey {
	keys := make([]demandKey, 0, len(s.byKey))
	for k := range s.byKey {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b demandKey) int {
		return cmp.Or(
			cmp.Compare(a.daemon, b.daemon),
			cmp.Compare(a.institution, b.institution),
		)
	})
	return keys
}

// list returns the demands of the daemons of this data centre, and for the
// remote data centres the total divided evenly among the members. members holds
// the present members of each data centre.
//
// The even split never gives this daemon a larger quota than the actual split
// would. Package admitter grants every daemon its demand up to a common bound. Of
// all splits of a total, the even one uses the most under such a bound, so it
// leaves the least for this daemon.
func (s *demandSet) list(datacentre string, members map[string][]*record) []*peer.Demand {
	out := make([]*peer.Demand, 0, len(s.byKey))
	for _, k := range s.keys() {
		d := s.byKey[k].value
		from, isTotal := strings.CutPrefix(k.daemon, totalPrefix)
		switch {
		case !isTotal:
			out = append(out, d)
		case from != datacentre:
			out = append(out, splitEvenly(d, members[from])...)
		}
	}
	return out
}

// splitEvenly divides the total demand of a data centre among its members.
func splitEvenly(d *peer.Demand, members []*record) []*peer.Demand {
	out := make([]*peer.Demand, 0, len(members))
	n := uint32(len(members))
	for _, r := range members {
		out = append(out, &peer.Demand{
			Daemon:      r.id,
			Institution: d.GetInstitution(),
			Rate:        d.GetRate() / float64(n),
			Concurrency: (d.GetConcurrency() + n - 1) / n,
			Beat:        d.GetBeat(),
		})
	}
	return out
}
