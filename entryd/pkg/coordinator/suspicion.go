package coordinator

import (
	"slices"
	"time"

	"plantaincleat/entryd/pkg/quarantiner"
	"plantaincleat/entryd/pkg/router"
	"plantaincleat/tier/gen/peer"
)

// suspect adds to a sub-plan what is known of a suspected request.
func (s *search) suspect(g *peer.Gather) {
	n := s.root.Gatherer.Quarantine().Notice(s.root.Clock.Now(), s.request.Fingerprint)
	if n == nil {
		return
	}
	g.Suspicion = n
	g.Suspected = true
}

// learn takes what a gatherer knows of a suspected request, and stops the query
// if the request must not go on.
func (s *search) learn(n *peer.Quarantine, now time.Time) {
	if n == nil {
		return
	}
	q := s.root.Gatherer.Quarantine()
	q.Merge(now, n)
	s.refused = s.refused || q.Plan(now, s.request.Fingerprint).Mode == quarantiner.Refused
}

// halts reports whether actions would spread a request that has crashed the
// targets of the shard that was asked first. The query then ends without its
// other shards.
func (s *search) halts(actions []router.Action[Path]) bool {
	first := s.query.FirstUnit()
	if first == 0 || len(s.crashed) == 0 || s.merged.Covered(first-1) {
		return false
	}
	return slices.ContainsFunc(actions, func(a router.Action[Path]) bool {
		return !a.Cancel && !slices.Contains(a.Units, first-1)
	})
}
