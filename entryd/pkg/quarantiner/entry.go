package quarantiner

import (
	"slices"
	"time"

	"plantaincleat/tier/gen/peer"
)

// state is what is known of a fingerprint. Within an epoch it only rises in
// gossip; locally a suspicion may also end in an exoneration.
type state int

const (
	// cleared was lifted by an operator.
	cleared state = iota
	// completed completed while suspected. It is known to this daemon only.
	completed
	// suspected was in flight on a target that was lost.
	suspected
	// pending was lost with a second target while alone there. It becomes
	// quarantined unless many targets are lost about that time.
	pending
	// quarantined is refused.
	quarantined
)

// entry is one fingerprint.
type entry struct {
	fingerprint uint64
	institution string
	// generation counts clearances and dropped charges.
	generation uint64
	state      state
	targets    []string
	shard      string
	expires    time.Time
	// pendingSince is the time of the second loss, or of the notice of it, in state
	// charged. judged is when the charge ends.
	pendingSince, pendingUntil time.Time
	// shardOnly tells that a suspect has completed alone on another shard. Only
	// its runs on the suspected shard are then restrained here.
	shardOnly bool
	// isolatedOn is the target on which a suspect runs alone.
	isolatedOn *Target
}

// effective reports whether the entry restrains requests.
func (e *entry) effective() bool {
	return e.state >= suspected
}

// restrains reports whether a run on a shard is held back or isolated.
func (e *entry) restrains(shard string) bool {
	elsewhere := e.state == suspected && e.shardOnly && shard != e.shard
	return e.effective() && !elsewhere
}

// rank returns the state's place among those of one generation in gossip.
func (s state) rank() uint64 {
	switch s {
	case cleared:
		return 0
	case completed, suspected:
		return 1
	case pending:
		return 2
	}
	return 3
}

// statesByRank are the states by rank.
var statesByRank = [...]state{cleared, suspected, pending, quarantined}

// decodeEpoch returns the generation and the state that a notice describes.
func decodeEpoch(n *peer.Quarantine) (generation uint64, s state) {
	ranks := uint64(len(statesByRank))
	return n.GetEpoch() / ranks, statesByRank[n.GetEpoch()%ranks]
}

// validNotice reports whether a notice can be taken.
func validNotice(n *peer.Quarantine) bool {
	_, s := decodeEpoch(n)
	return n.GetFingerprint() != 0 && n.GetCleared() == (s == cleared) && (s == cleared || len(n.GetTargets()) > 0)
}

// notice returns the entry as gossiped.
func (e *entry) notice() *peer.Quarantine {
	return &peer.Quarantine{
		Fingerprint: e.fingerprint,
		Expires:     e.expires.UnixMilli(),
		Epoch:       e.generation*uint64(len(statesByRank)) + e.state.rank(),
		Cleared:     e.state == cleared,
		Targets:     e.targets,
		Institution: e.institution,
		Shard:       e.shard,
	}
}

// replacedBy reports whether a notice replaces the entry. Of one generation the
// higher rank holds. A suspicion that has ended here comes back with a later
// one only.
func (e *entry) replacedBy(n *peer.Quarantine) bool {
	generation, s := decodeEpoch(n)
	switch {
	case generation != e.generation:
		return generation > e.generation
	case s.rank() != e.state.rank():
		return s.rank() > e.state.rank()
	}
	return e.state == completed && n.GetExpires() > e.expires.UnixMilli()
}

// extend takes what a notice of the same rank adds, and reports whether it did.
func (e *entry) extend(n *peer.Quarantine) bool {
	generation, s := decodeEpoch(n)
	if generation != e.generation || s != e.state || n.GetExpires() <= e.expires.UnixMilli() {
		return false
	}
	e.expires = time.UnixMilli(n.GetExpires())
	return true
}

// replace replaces the entry by a notice.
func (e *entry) replace(n *peer.Quarantine) {
	generation, s := decodeEpoch(n)
	e.generation = generation
	e.institution = n.GetInstitution()
	e.shard = n.GetShard()
	e.expires = time.UnixMilli(n.GetExpires())
	e.shardOnly = false
	e.targets = slices.Clone(n.GetTargets())
	if s == suspected {
		e.targets = e.targets[:1]
	}
}
