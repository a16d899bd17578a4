package gossiper

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"plantaincleat/tier/gen/peer"
)

// noticeKey identifies the subject of a notice. Notices with the same key are
// merged.
type noticeKey struct {
	target      string
	incarnation uint64
	fingerprint uint64
	// request is the fingerprint of a suspicion.
	request uint64
	// daemon is the daemon of an isolation.
	daemon string
}

// noticeEntry is a notice with its content hash, its size in bytes in a
// message, and the number of messages in which it is still to be sent.
type noticeEntry struct {
	notice     *peer.Notice
	hash       uint64
	size       int
	copiesLeft int
}

// noticeSet holds the notices that have not expired.
type noticeSet struct {
	byKey map[noticeKey]*noticeEntry
	keys  []noticeKey
	// cursor is the index in keys at which the next message starts.
	cursor int
	hash   uint64
}

func newNoticeSet() noticeSet {
	return noticeSet{
		byKey: make(map[noticeKey]*noticeEntry),
	}
}

// noticeKeyOf returns the key of a notice, and false if the notice names no
// subject.
func noticeKeyOf(n *peer.Notice) (noticeKey, bool) {
	switch body := n.GetBody().(type) {
	case *peer.Notice_Leaving:
		return noticeKey{
			target:      body.Leaving.GetTarget(),
			incarnation: body.Leaving.GetIncarnation(),
		}, body.Leaving.GetTarget() != ""
	case *peer.Notice_Quarantine:
		return noticeKey{
			fingerprint: body.Quarantine.GetFingerprint(),
		}, body.Quarantine.GetFingerprint() != 0
	case *peer.Notice_Suspicion:
		return noticeKey{
			request: body.Suspicion.GetFingerprint(),
		}, body.Suspicion.GetFingerprint() != 0
	case *peer.Notice_Isolation:
		return noticeKey{
			daemon: body.Isolation.GetDaemon(),
		}, body.Isolation.GetDaemon() != ""
	}
	return noticeKey{}, false
}

// expiry returns the time in Unix milliseconds after which a notice is dropped.
func expiry(n *peer.Notice) int64 {
	switch body := n.GetBody().(type) {
	case *peer.Notice_Leaving:
		return body.Leaving.GetExpires()
	case *peer.Notice_Suspicion:
		return body.Suspicion.GetExpires()
	case *peer.Notice_Isolation:
		return body.Isolation.GetExpires()
	}
	return n.GetQuarantine().GetExpires()
}

// MergeNotices returns the least upper bound of two notices about the same
// incarnation of a target, the same daemon, or the same fingerprint and kind. It is
// commutative, associative and idempotent, and the expiry never decreases. Of two
// quarantines the higher epoch wins; within an epoch a cleared one wins.
func MergeNotices(a, b *peer.Notice) *peer.Notice {
	if l := a.GetLeaving(); l != nil {
		if l.GetExpires() >= b.GetLeaving().GetExpires() {
			return a
		}
		return b
	}
	if s := a.GetSuspicion(); s != nil {
		return &peer.Notice{
			Body: &peer.Notice_Suspicion{
				Suspicion: MergeSuspicions(s, b.GetSuspicion()),
			},
		}
	}
	if i := a.GetIsolation(); i != nil {
		return &peer.Notice{
			Body: &peer.Notice_Isolation{
				Isolation: mergeIsolations(i, b.GetIsolation()),
			},
		}
	}
	qa, qb := a.GetQuarantine(), b.GetQuarantine()
	expires := max(qa.GetExpires(), qb.GetExpires())
	out := &peer.Quarantine{
		Fingerprint: qa.GetFingerprint(),
		Expires:     expires,
	}
	switch compareEpochs(qa, qb) {
	case 1:
		copyQuarantine(out, qa)
	case -1:
		copyQuarantine(out, qb)
	default:
		copyQuarantine(out, qa)
		out.Targets = union(qa.GetTargets(), qb.GetTargets())
		out.Institution = max(qa.GetInstitution(), qb.GetInstitution())
	}
	return &peer.Notice{
		Body: &peer.Notice_Quarantine{
			Quarantine: out,
		},
	}
}

// mergeIsolations returns the least upper bound of two notices about the same daemon.
// Within a sequence, the one that the daemon is not isolated holds.
func mergeIsolations(a, b *peer.Isolation) *peer.Isolation {
	if c := cmp.Compare(a.GetSequence(), b.GetSequence()); c < 0 || c == 0 && a.GetIsolated() {
		a, b = b, a
	}
	return &peer.Isolation{
		Daemon:   a.GetDaemon(),
		Expires:  max(a.GetExpires(), b.GetExpires()),
		Sequence: a.GetSequence(),
		Isolated: a.GetIsolated(),
	}
}

func copyQuarantine(dst, src *peer.Quarantine) {
	dst.Epoch = src.GetEpoch()
	dst.Cleared = src.GetCleared()
	dst.Targets = union(src.GetTargets(), nil)
	dst.Institution = src.GetInstitution()
}

// compareEpochs orders two quarantines by epoch, and within an epoch a cleared
// one after one that is not.
func compareEpochs(a, b *peer.Quarantine) int {
	if c := cmp.Compare(a.GetEpoch(), b.GetEpoch()); c != 0 {
		return c
	}
	switch {
	case a.GetCleared() && !b.GetCleared():
		return 1
	case b.GetCleared() && !a.GetCleared():
		return -1
	}
	return 0
}

func union(a, b []string) []string {
	out := slices.Concat(a, b)
	slices.Sort(out)
	return slices.Compact(out)
}

// maxIsolationLife is the longest time for which the notice of an isolation may hold. A
// daemon renews its notice; one that would hold for longer is not well-formed.
const maxIsolationLife = time.Minute

// outlastsLimit reports whether a notice would hold for longer than it may.
func outlastsLimit(n *peer.Notice, now time.Time) bool {
	i := n.GetIsolation()
	return i != nil && i.GetExpires() > now.Add(maxIsolationLife).UnixMilli()
}

// add merges a notice and reports whether the set has changed.
func (f *noticeSet) add(n *peer.Notice, copies int, now time.Time) bool {
	key, ok := noticeKeyOf(n)
	if !ok || expiry(n) <= now.UnixMilli() || outlastsLimit(n, now) {
		return false
	}
	old, known := f.byKey[key]
	if known {
		n = MergeNotices(old.notice, n)
	} else if s := n.GetSuspicion(); s != nil && !f.admitSuspicion(s) {
		return false
	}
	data, err := proto.MarshalOptions{
		Deterministic: true,
	}.Marshal(n)
	if err != nil {
		return false
	}
	h := xxhash.Sum64(data)
	if known && h == old.hash {
		return false
	}
	if known {
		f.hash ^= old.hash
	} else {
		f.keys = append(f.keys, key)
	}
	f.hash ^= h
	f.byKey[key] = &noticeEntry{
		notice:     n,
		hash:       h,
		size:       len(data) + binary.MaxVarintLen16,
		copiesLeft: copies,
	}
	return true
}

// expire removes the expired notices and reports whether there were any.
func (f *noticeSet) expire(now time.Time) bool {
	ms := now.UnixMilli()
	n := len(f.keys)
	f.keys = slices.DeleteFunc(f.keys, func(k noticeKey) bool {
		old := f.byKey[k]
		if expiry(old.notice) > ms {
			return false
		}
		f.hash ^= old.hash
		delete(f.byKey, k)
		return true
	})
	return len(f.keys) != n
}

// remove removes the notice with a key.
func (f *noticeSet) remove(key noticeKey) {
	f.hash ^= f.byKey[key].hash
	delete(f.byKey, key)
	f.keys = slices.DeleteFunc(f.keys, func(k noticeKey) bool { return k == key })
}

// take returns notices of at most limit bytes in total. If all is false, it
// returns only notices that have copies left to send.
func (f *noticeSet) take(limit int, all bool) []*peer.Notice {
	var out []*peer.Notice
	n := len(f.keys)
	for i := range n {
		at := (f.cursor + i) % n
		entry := f.byKey[f.keys[at]]
		if entry.copiesLeft == 0 && !all {
			continue
		}
		limit -= entry.size
		if limit < 0 {
			f.cursor = at
			break
		}
		out = append(out, entry.notice)
		entry.copiesLeft = max(0, entry.copiesLeft-1)
	}
	return out
}

// list returns the notices in a fixed order.
func (f *noticeSet) list() []*peer.Notice {
	keys := slices.Clone(f.keys)
	slices.SortFunc(keys, func(a, b noticeKey) int {
		return cmp.Or(
			cmp.Compare(a.target, b.target),
			cmp.Compare(a.incarnation, b.incarnation),
			cmp.Compare(a.fingerprint, b.fingerprint),
			cmp.Compare(a.request, b.request),
			cmp.Compare(a.daemon, b.daemon),
		)
	})
	out := make([]*peer.Notice, 0, len(keys))
	for _, k := range keys {
		out = append(out, f.byKey[k].notice)
	}
	return out
}
