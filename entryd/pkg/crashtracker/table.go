package crashtracker

import (
	"maps"
	"slices"
	"time"

	"plantaincleat/entryd/pkg/gossiper"
	"plantaincleat/tier/gen/peer"
)

// table holds at most gossiper.MaxSuspicions suspicions by fingerprint. The zero value is
// empty.
type table struct {
	byFingerprint map[uint64]*peer.Suspicion
}

// find returns the suspicion with a fingerprint, or nil if there is none that has not
// expired.
func (t *table) find(now time.Time, fingerprint uint64) *peer.Suspicion {
	s := t.byFingerprint[fingerprint]
	if s == nil || expired(s, now) {
		return nil
	}
	return s
}

// put stores a suspicion. If there are too many, it removes those that have expired or, if
// there are none, the lowest one in the order of gossiper.CompareSuspicions.
func (t *table) put(now time.Time, s *peer.Suspicion) {
	if t.byFingerprint == nil {
		t.byFingerprint = make(map[uint64]*peer.Suspicion)
	}
	t.byFingerprint[s.GetFingerprint()] = s
	if len(t.byFingerprint) > gossiper.MaxSuspicions {
		t.evict(now)
	}
}

func (t *table) evict(now time.Time) {
	maps.DeleteFunc(t.byFingerprint, func(_ uint64, s *peer.Suspicion) bool { return expired(s, now) })
	if len(t.byFingerprint) > gossiper.MaxSuspicions {
		lowest := slices.MinFunc(slices.Collect(maps.Values(t.byFingerprint)), gossiper.CompareSuspicions)
		delete(t.byFingerprint, lowest.GetFingerprint())
	}
}

func expired(s *peer.Suspicion, now time.Time) bool { return now.UnixMilli() >= s.GetExpires() }
