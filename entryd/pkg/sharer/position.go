package sharer

import (
	"slices"

	"plantaincleat/tier/pkg/hasher"
)

// Members are the daemons among which limits are divided. It is immutable.
type Members struct {
	// Self is the id of this daemon, and IDs are the ids of all, this one included.
	Self string
	IDs  []string
}

// Split is how a limit is divided. The fractions leave room for the time in which the
// daemons do not agree yet on who sends.
type Split struct {
	// OwnerRates are the fractions of the limit that the owners may use, by rank. The other
	// daemons may use none.
	OwnerRates []float64
	// OwnerBurstTime and OwnerBurst are the tokens that the first owner may save: what the
	// limit allows in a time, in seconds, and a number. The other owners may save one.
	OwnerBurstTime, OwnerBurst float64
	// FleetBurstTime and FleetBurst are the same for all daemons together, where there are no
	// owners.
	FleetBurstTime, FleetBurst float64
}

// Position is the place of a daemon among those that send to a target. The zero value is
// that of a single daemon.
type Position struct {
	// Target is the id of the target.
	Target string
	// Owned is true if the target's shard has owners. Rank is then the daemon's index among
	// them, or -1 if it is none of them.
	Owned bool
	Rank  int
	// Members may be nil.
	Members *Members
}

// Share returns the rate at which the daemon may send to a target with a limit, in requests
// a second, and the number of requests that it may save. Both are zero if it may not send.
func (p Position) Share(limit float64, s *Split) (rate, burst float64) {
	if !p.Owned {
		return p.equalShare(limit, s)
	}
	if p.Rank < 0 || p.Rank >= len(s.OwnerRates) {
		return 0, 0
	}
	burst = 1
	if p.Rank == 0 {
		burst = s.OwnerBurst + s.OwnerBurstTime*limit
	}
	return s.OwnerRates[p.Rank] * limit, burst
}

// equalShare divides a limit evenly among the daemons, or among so many of them that each
// may save one request. A daemon that is none of them, since it leaves the fleet, has no share:
// the others have divided its own.
func (p Position) equalShare(limit float64, s *Split) (rate, burst float64) {
	if p.Members != nil && len(p.Members.IDs) > 0 && !slices.Contains(p.Members.IDs, p.Members.Self) {
		return 0, 0
	}
	burst = s.FleetBurst + s.FleetBurstTime*limit
	senders := 1
	if p.Members != nil {
		senders = max(len(p.Members.IDs), 1)
	}
	if most := int(burst); senders > most {
		senders = most
		if p.memberRank() >= senders {
			return 0, 0
		}
	}
	return limit / float64(senders), burst / float64(senders)
}

// memberRank returns the daemon's index in an order of the daemons that is different for
// each target.
func (p Position) memberRank() int {
	own := hasher.Strings(p.Target, p.Members.Self)
	rank := 0
	for _, id := range p.Members.IDs {
		if hasher.Strings(p.Target, id) > own {
			rank++
		}
	}
	return rank
}
