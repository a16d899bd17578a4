package gossiper

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"plantaincleat/tier/gen/peer"
)

// record is a member with what this daemon keeps beside it.
type record struct {
	Member
	// copiesLeft is how many more messages carry the record.
	copiesLeft int
	// queued tells whether the record stands in the queue.
	queued bool
	// changedAt is when the state last changed here.
	changedAt time.Time
}

// table holds all known members and the queue of changes to pass on.
type table struct {
	records map[string]*record
	queue   []*record
	// index is built when it is asked for; nil means that it is out of date.
	index *index
	// hash is the exclusive or of the hashes of the present members.
	hash uint64
}

func newTable() table {
	return table{
		records: make(map[string]*record),
	}
}

// put stores m and queues it for copies messages.
func (t *table) put(m Member, copies int, now time.Time) *record {
	r, ok := t.records[m.id]
	if !ok {
		r = &record{}
		t.records[m.id] = r
	} else if r.present() {
		t.hash ^= r.hash()
	}
	if r.state != m.state || r.incarnation != m.incarnation {
		r.changedAt = now
	}
	r.Member = m
	if r.present() {
		t.hash ^= r.hash()
	}
	t.index = nil
	t.enqueue(r, copies)
	return r
}

// enqueue puts a record at the head of the queue, before those that were sent
// already.
func (t *table) enqueue(r *record, copies int) {
	r.copiesLeft = copies
	if copies == 0 {
		return
	}
	if r.queued {
		t.queue = slices.DeleteFunc(t.queue, func(o *record) bool { return o == r })
	}
	r.queued = true
	t.queue = slices.Insert(t.queue, 0, r)
}

// forget removes a member that is not present.
func (t *table) forget(id string) {
	r, ok := t.records[id]
	if !ok || r.present() {
		return
	}
	r.copiesLeft = 0
	t.index = nil
	delete(t.records, id)
}

// take returns queued records of at most limit bytes in all, the latest changes
// first and then those that were sent longest ago, and counts one copy of each
// as sent.
func (t *table) take(limit int) []Member {
	var out []Member
	n := len(t.queue)
	for range n {
		r := t.queue[0]
		if r.copiesLeft > 0 {
			limit -= r.encodedSize()
			if limit < 0 {
				break
			}
			out = append(out, r.Member)
			r.copiesLeft--
		}
		t.queue = t.queue[1:]
		r.queued = r.copiesLeft > 0
		if r.queued {
			t.queue = append(t.queue, r)
		}
	}
	if len(t.queue) == 0 {
		t.queue = nil
	}
	return out
}

// index holds the records in the orders in which they are asked for. It stays
// as it is until a record is put or forgotten.
type index struct {
	// all holds every record by id, so that whatever walks over the records
	// does so in the same order each time.
	all []*record
	// present holds the present members by id.
	present []*record
	// datacentres holds the names of all data centres in order.
	datacentres []string
	// presentIn holds the present members of each data centre by id.
	presentIn map[string][]*record
	// representatives holds the representatives of each data centre.
	representatives map[string][]*record
}

func (t *table) indexed() *index {
	if t.index != nil {
		return t.index
	}
	x := &index{
		all:             make([]*record, 0, len(t.records)),
		presentIn:       make(map[string][]*record),
		representatives: make(map[string][]*record),
	}
	for _, r := range t.records {
		x.all = append(x.all, r)
	}
	slices.SortFunc(x.all, func(a, b *record) int { return cmp.Compare(a.id, b.id) })
	for _, r := range x.all {
		if !slices.Contains(x.datacentres, r.datacentre) {
			x.datacentres = append(x.datacentres, r.datacentre)
		}
		if r.present() {
			x.present = append(x.present, r)
			x.presentIn[r.datacentre] = append(x.presentIn[r.datacentre], r)
		}
	}
	slices.Sort(x.datacentres)
	for dc, members := range x.presentIn {
		x.representatives[dc] = highestWeights(members, representativesPerDataCentre)
	}
	t.index = x
	return x
}

// highestWeights returns the n members with the highest rendezvous weights.
func highestWeights(members []*record, n int) []*record {
	best := slices.Clone(members)
	slices.SortFunc(best, func(a, b *record) int {
		return cmp.Compare(weight(b), weight(a))
	})
	return best[:min(len(best), n)]
}

// weight is the rendezvous weight of a daemon as a representative.
func weight(r *record) uint64 {
	return xxhash.Sum64String(r.datacentre + "/" + r.id)
}

// confirmationBitmap returns the bitmap of the present members that have adopted mark.
func (t *table) confirmationBitmap(mark uint64) []byte {
	order := t.indexed().present
	bits := make([]byte, (len(order)+7)/8)
	for i, r := range order {
		if r.revision >= mark {
			bits[i/8] |= 1 << (i % 8)
		}
	}
	return bits
}

// applyConfirmations raises the revision of the members whose bits are set to mark, but
// that of self, and reports whether any was lower.
func (t *table) applyConfirmations(mark uint64, bits []byte, self string) bool {
	changed := false
	for i, r := range t.indexed().present {
		if i/8 >= len(bits) {
			break
		}
		if bits[i/8]&(1<<(i%8)) != 0 && r.revision < mark && r.id != self {
			r.revision = mark
			changed = true
		}
	}
	return changed
}

// dead reports whether the state says that the member runs no more.
func dead(s peer.State) bool {
	return s == peer.State_STATE_DEAD || s == peer.State_STATE_LEFT
}
