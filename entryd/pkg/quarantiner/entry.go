package quarantiner

import (
	"slices"
	"time"

	"plantaincleat/tier/gen/peer"
)

// state is what is known of a fingerprint. Within a generation it only
// increases through notices. Locally a suspected fingerprint may also become
// completed.
type state int

const (
	// cleared means that an operator has lifted the quarantine or suspicion.
	cleared state = iota
	// completed means that the request has completed on the shard of the loss
	// while it was suspected. This state is not sent to other daemons.
	completed
	// suspected means that the request was in flight on a target that was lost.
	suspected
	// pending means that a second target was lost while the suspected request
	// ran alone on it. It becomes quarantined unless many targets are lost
	// around the same time.
	pending
	// quarantined means that the request is refused.
	quarantined
)

// entry is the state of one fingerprint.
type entry struct {
	fingerprint uint64
	institution string
	// generation counts the clearances, and the pending states that ended
	// without a quarantine.
	generation uint64
	state      state
	targets    []string
	shard      string
	expires    time.Time
	// pendingSince is the time of the second loss, or of the notice of it.
	// pendingUntil is when the pending state is resolved. Both are valid in
	// state pending.
	pendingSince, pendingUntil time.Time
	// shardOnly tells that the suspected request has completed alone on another
	// shard. This daemon then restrains only its attempts on the suspected
	// shard.
	shardOnly bool
	// isolatedOn is the target on which the suspected request runs alone, if
	// any.
	isolatedOn *Target
}

// effective reports whether the entry is suspected, pending or quarantined.
func (e *entry) effective() bool {
	return e.state >= suspected
}

// restrains reports whether an attempt on a shard is refused, delayed or
// isolated.
func (e *entry) restrains(shard string) bool {
	elsewhere := e.state == suspected && e.shardOnly && shard != e.shard
	return e.effective() && !elsewhere
}

// rank returns the number that stands for the state in the epoch of a notice.
// Within a generation the state with the higher rank wins.
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

// statesByRank lists the states in order of rank.
var statesByRank = [...]state{cleared, suspected, pending, quarantined}

// decodeEpoch returns the generation and the state that the epoch of a notice
// encodes.
func decodeEpoch(n *peer.Quarantine) (generation uint64, s state) {
	ranks := uint64(len(statesByRank))
	return n.GetEpoch() / ranks, statesByRank[n.GetEpoch()%ranks]
}

// validNotice reports whether a notice has a fingerprint, a cleared flag that
// agrees with its epoch, and at least one target unless it is cleared.
func validNotice(n *peer.Quarantine) bool {
	_, s := decodeEpoch(n)
	return n.GetFingerprint() != 0 && n.GetCleared() == (s == cleared) && (s == cleared || len(n.GetTargets()) > 0)
}

// notice returns the entry as a notice for other daemons.
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

// replacedBy reports whether a notice replaces the entry. A higher generation
// wins, and within a generation the higher rank. An entry that is completed
// here becomes suspected again only by a notice that expires later.
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

// extend takes the expiry of a notice with the same generation and state if it
// is later, and reports whether it did.
func (e *entry) extend(n *peer.Quarantine) bool {
	generation, s := decodeEpoch(n)
	if generation != e.generation || s != e.state || n.GetExpires() <= e.expires.UnixMilli() {
		return false
	}
	e.expires = time.UnixMilli(n.GetExpires())
	return true
}

// replace takes the contents of a notice, except the state.
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
