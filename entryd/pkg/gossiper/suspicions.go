package gossiper

import (
	"cmp"

	"plantaincleat/tier/gen/peer"
)

// MaxSuspicions is the number of suspicions that a daemon keeps and spreads. A suspicion
// has some 40 bytes in a message.
const MaxSuspicions = 1024

// MergeSuspicions returns the least upper bound of two suspicions with the same
// fingerprint. It is commutative, associative and idempotent, and the expiry never
// decreases.
func MergeSuspicions(a, b *peer.Suspicion) *peer.Suspicion {
	c := cmp.Or(cmp.Compare(a.GetGeneration(), b.GetGeneration()), cmp.Compare(a.GetCrashes(), b.GetCrashes()))
	if c < 0 {
		a, b = b, a
	}
	out := &peer.Suspicion{
		Fingerprint: a.GetFingerprint(),
		Expires:     max(a.GetExpires(), b.GetExpires()),
		Generation:  a.GetGeneration(),
		Crashes:     a.GetCrashes(),
		Pool:        a.GetPool(),
		Until:       a.GetUntil(),
	}
	if a.GetGeneration() == b.GetGeneration() {
		out.Until = max(a.GetUntil(), b.GetUntil())
	}
	if c == 0 {
		out.Pool = max(a.GetPool(), b.GetPool())
	}
	return out
}

// CompareSuspicions orders suspicions by how much is lost if a daemon forgets them: by
// the crashes, and for the same number by the expiry.
func CompareSuspicions(a, b *peer.Suspicion) int {
	return cmp.Or(cmp.Compare(a.GetCrashes(), b.GetCrashes()), cmp.Compare(a.GetExpires(), b.GetExpires()))
}

// admitSuspicion reports whether the set has room for one more suspicion. If it is
// full, it removes the lowest one in the order of CompareSuspicions, unless the new one
// is lower.
func (f *noticeSet) admitSuspicion(s *peer.Suspicion) bool {
	n := 0
	var lowest *peer.Suspicion
	for _, e := range f.byKey {
		known := e.notice.GetSuspicion()
		if known == nil {
			continue
		}
		n++
		if lowest == nil || CompareSuspicions(known, lowest) < 0 {
			lowest = known
		}
	}
	if n < MaxSuspicions {
		return true
	}
	if CompareSuspicions(s, lowest) <= 0 {
		return false
	}
	f.remove(noticeKey{
		request: lowest.GetFingerprint(),
	})
	return true
}
