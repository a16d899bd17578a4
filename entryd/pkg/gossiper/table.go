package gossiper

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"plantaincleat/tier/gen/peer"
)

// record is a member with the state that this daemon keeps about it.
type record struct {
	Member
	// copiesLeft is the number of messages in which the record is still to be
	// sent.
	copiesLeft int
	// queued tells whether the record is in the queue.
	queued bool
	// changedAt is when the state or the incarnation last changed in this
	// table.
	changedAt time.Time
}

// table holds all known members and the queue of changed records to send.
type table struct {
	records map[string]*record
	queue   []*record
	// index is built on demand; nil means that it is out of date.
	index *index
	// hash is the exclusive or of the hashes of the members that are alive or
	// suspected.
	hash uint64
}

func newTable() table {
	return table{
		records: make(map[string]*record),
	}
}

// put stores m and queues it for the given number of messages.
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

// enqueue puts a record at the head of the queue, before the records that have
// already been sent.
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

// forget removes a member that has died or left.
func (t *table) forget(id string) {
	r, ok := t.records[id]
	if !ok || r.present() {
		return
	}
	r.copiesLeft = 0
	t.index = nil
	delete(t.records, id)
}

// take returns queued records of at most limit bytes in total and counts one
// copy of each as sent. The latest changes come first, then the records that
// were sent longest ago.
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

// index holds the records in sorted order and by data centre. It is valid until
// a record is put or removed.
type index struct {
	// all holds every record, sorted by id, so that loops over the records have
	// the same order each time.
	all []*record
	// present holds the members that are alive or suspected, sorted by id.
	present []*record
	// datacentres holds the sorted names of all data centres.
	datacentres []string
	// presentIn holds the members of each data centre that are alive or
	// suspected, sorted by id.
	presentIn map[string][]*record
	// representatives holds the representatives of each data centre.
	representatives map[string][]*record
}

// indexed returns the index and builds it if it is out of date.
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

// weight returns the rendezvous weight of a daemon as a representative.
func weight(r *record) uint64 {
	return xxhash.Sum64String(r.datacentre + "/" + r.id)
}

// confirmationBitmap returns a bitmap of the present members in order of id. A
// bit is set if the member has adopted at least the given revision.
func (t *table) confirmationBitmap(revision uint64) []byte {
	order := t.indexed().present
	bits := make([]byte, (len(order)+7)/8)
	for i, r := range order {
		if r.revision >= revision {
			bits[i/8] |= 1 << (i % 8)
		}
	}
	return bits
}

// applyConfirmations raises the revision of the members whose bits are set,
// except self, and reports whether any changed.
func (t *table) applyConfirmations(revision uint64, bits []byte, self string) bool {
	changed := false
	for i, r := range t.indexed().present {
		if i/8 >= len(bits) {
			break
		}
		if bits[i/8]&(1<<(i%8)) != 0 && r.revision < revision && r.id != self {
			r.revision = revision
			changed = true
		}
	}
	return changed
}

// dead reports whether the state says that the member no longer runs.
func dead(s peer.State) bool {
	return s == peer.State_STATE_DEAD || s == peer.State_STATE_LEFT
}
