package quarantiner

import (
	"cmp"
	"strings"
	"time"

	"plantaincleat/tier/gen/peer"
)

// state is what is known of a fingerprint. Within an epoch it only rises in
// gossip; locally a suspicion may also end in an exoneration.
type state int

const (
	// cleared was lifted by an operator.
	cleared state = iota
	// exonerated completed while suspected. It is known to this daemon only.
	exonerated
	// suspected was in flight on a target that was lost.
	suspected
	// charged was lost with a second target while alone there. It becomes
	// quarantined unless many targets are lost about that time.
	charged
	// quarantined is refused.
	quarantined
)

// entry is one fingerprint.
type entry struct {
	fingerprint uint64
	institution string
	epoch       uint64
	state       state
	targets     []string
	shard       string
	expires     time.Time
	// charged is the time of the second loss, or of the notice of it, in state
	// charged. judged is when the charge ends.
	charged, judged time.Time
	// running is the target on which a suspect runs alone.
	running *Target
}

// effective reports whether the entry restrains requests.
func (e *entry) effective() bool {
	return e.state >= suspected
}

// notice returns the entry as gossiped.
func (e *entry) notice() *peer.Quarantine {
	n := &peer.Quarantine{
		Fingerprint: e.fingerprint,
		Expires:     e.expires.UnixMilli(),
		Epoch:       e.epoch,
		Cleared:     e.state == cleared,
		Institution: e.institution,
	}
	switch e.state {
	case quarantined:
		n.Targets = e.targets
	case charged:
		n.Targets = e.targets
		n.Shard = e.shard
		n.Charged = true
	case suspected:
		n.Targets = e.targets[:1]
		n.Shard = e.shard
	}
	return n
}

// stateOf returns the state that a notice describes.
func stateOf(n *peer.Quarantine) state {
	switch {
	case n.GetCleared():
		return cleared
	case n.GetCharged():
		return charged
	case len(n.GetTargets()) > 1:
		return quarantined
	}
	return suspected
}

// compare orders notices of one fingerprint: the greater one holds. It is a
// total order on content, so that daemons agree whatever the order of arrival.
func compare(x, y *peer.Quarantine) int {
	steps := []int{
		cmp.Compare(x.GetEpoch(), y.GetEpoch()),
		cmp.Compare(stateOf(x), stateOf(y)),
		cmp.Compare(x.GetExpires(), y.GetExpires()),
		strings.Compare(strings.Join(x.GetTargets(), " "), strings.Join(y.GetTargets(), " ")),
		strings.Compare(x.GetShard(), y.GetShard()),
		strings.Compare(x.GetInstitution(), y.GetInstitution()),
	}
	for _, s := range steps {
		if s != 0 {
			return s
		}
	}
	return 0
}
