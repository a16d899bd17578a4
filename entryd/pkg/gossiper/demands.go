package gossiper

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"plantaincleat/tier/gen/peer"
)

// sumPrefix starts the daemon name under which the demand of a whole data
// centre travels to the others.
const sumPrefix = "@"

type demandKey struct {
	daemon      string
	institution string
}

type demand struct {
	value *peer.Demand
	heard time.Time
	left  int
	size  int
}

// demands holds the latest demand of each daemon of this data centre and the
// sums of the others.
type demands struct {
	byKey map[demandKey]*demand
	queue []demandKey
}

func newDemands() demands {
	return demands{
		byKey: make(map[demandKey]*demand),
	}
}

// later orders two demands of one daemon and institution: by beat, and by
// value for equal beats, so that every daemon keeps the same one.
func later(a, b *peer.Demand) bool {
	return cmp.Or(
		cmp.Compare(a.GetBeat(), b.GetBeat()),
		cmp.Compare(a.GetRate(), b.GetRate()),
		cmp.Compare(a.GetConcurrency(), b.GetConcurrency()),
	) > 0
}

// add stores d if it is later than what is known and reports whether it was.
func (s *demands) add(d *peer.Demand, copies int, now time.Time) bool {
	key := demandKey{
		daemon:      d.GetDaemon(),
		institution: d.GetInstitution(),
	}
	if key.daemon == "" || key.institution == "" {
		return false
	}
	old, ok := s.byKey[key]
	if ok && !later(d, old.value) {
		return false
	}
	const numbers = 36
	if !ok || old.left == 0 {
		s.queue = append(s.queue, key)
	}
	s.byKey[key] = &demand{
		value: d,
		heard: now,
		left:  copies,
		size:  numbers + len(key.daemon) + len(key.institution),
	}
	return true
}

// expire drops what has not been renewed for ttl.
func (s *demands) expire(now time.Time, ttl time.Duration) bool {
	changed := false
	for k, d := range s.byKey {
		if now.Sub(d.heard) >= ttl {
			delete(s.byKey, k)
			changed = true
		}
	}
	return changed
}

// take returns queued demands of at most limit bytes in all. Between data
// centres only the sums travel.
func (s *demands) take(limit int, remote bool) []*peer.Demand {
	var out []*peer.Demand
	n := len(s.queue)
	for range n {
		key := s.queue[0]
		d, ok := s.byKey[key]
		if !ok || d.left == 0 {
			s.queue = s.queue[1:]
			continue
		}
		if !remote || strings.HasPrefix(key.daemon, sumPrefix) {
			limit -= d.size
			if limit < 0 {
				break
			}
			out = append(out, d.value)
			d.left--
		}
		s.queue = s.queue[1:]
		if d.left > 0 {
			s.queue = append(s.queue, key)
		}
	}
	return out
}

// sum adds up what the daemons of one data centre demand, by institution.
func (s *demands) sum(datacentre string, beat uint64) []*peer.Demand {
	sums := make(map[string]*peer.Demand)
	for _, k := range s.keys() {
		if strings.HasPrefix(k.daemon, sumPrefix) {
			continue
		}
		out, ok := sums[k.institution]
		if !ok {
			out = &peer.Demand{
				Daemon:      sumPrefix + datacentre,
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

func (s *demands) keys() []demandKey {
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

// list returns the demands in a fixed order, without the sum of the own data
// centre, whose daemons stand in the list one by one.
func (s *demands) list(datacentre string) []*peer.Demand {
	out := make([]*peer.Demand, 0, len(s.byKey))
	for _, k := range s.keys() {
		if k.daemon != sumPrefix+datacentre {
			out = append(out, s.byKey[k].value)
		}
	}
	return out
}
