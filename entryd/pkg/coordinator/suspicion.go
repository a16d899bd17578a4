package coordinator

import (
	"slices"
	"time"

	"plantaincleat/entryd/pkg/quarantiner"
	"plantaincleat/entryd/pkg/router"
	"plantaincleat/tier/gen/peer"
)

// addSuspicion adds to a sub-plan the quarantine notice of the request, if the request
// is suspected to crash targets.
func (s *search) addSuspicion(g *peer.Gather) {
	n := s.root.Gatherer.Quarantine().Notice(s.root.Clock.Now(), s.request.Fingerprint)
	if n == nil {
		return
	}
	g.Suspicion = n
	g.Suspected = true
}

// mergeSuspicion merges the quarantine notice of a gatherer into the own state, and
// stops the query if the request is now refused.
func (s *search) mergeSuspicion(n *peer.Quarantine, now time.Time) {
	if n == nil {
		return
	}
	q := s.root.Gatherer.Quarantine()
	q.Merge(now, n)
	s.refused = s.refused || q.Plan(now, s.request.Fingerprint).Mode == quarantiner.Refused
}

// spreadsCrash reports whether actions would send the request to further shards after
// it crashed a target of the shard that was asked first. The query then ends without
// its other shards.
func (s *search) spreadsCrash(actions []router.Action[Path]) bool {
	first := s.query.FirstUnit()
	if first == 0 || len(s.crashed) == 0 || s.merged.Covered(first-1) {
		return false
	}
	return slices.ContainsFunc(actions, func(a router.Action[Path]) bool {
		return !a.Cancel && !slices.Contains(a.Units, first-1)
	})
}
