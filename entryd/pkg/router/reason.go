package router

import "plantaincleat/tier/gen/peer"

// chargedReasons holds the reasons after which a retry is charged to the budget: the
// failed attempt used capacity, or the targets have no spare capacity.
var chargedReasons = map[peer.Reason]bool{
	peer.Reason_REASON_SHED:   true,
	peer.Reason_REASON_FAILED: true,
	peer.Reason_REASON_BUDGET: true,
	peer.Reason_REASON_LATE:   true,
}

// mayHaveExecuted holds the reasons for which a failed attempt may have executed its
// units.
var mayHaveExecuted = map[peer.Reason]bool{
	peer.Reason_REASON_FAILED:         true,
	peer.Reason_REASON_LATE:           true,
	peer.Reason_REASON_UNACKNOWLEDGED: true,
	peer.Reason_REASON_CRASHED:        true,
}

// finalReasons holds the reasons after which a unit is not sent again.
var finalReasons = map[peer.Reason]bool{
	peer.Reason_REASON_CRASHED:     true,
	peer.Reason_REASON_QUARANTINED: true,
	peer.Reason_REASON_PAUSED:      true,
	peer.Reason_REASON_LIMITED:     true,
	peer.Reason_REASON_EVACUATED:   true,
}

// transientReasons holds the reasons that may no longer apply to a later attempt on
// the same path.
var transientReasons = map[peer.Reason]bool{
	peer.Reason_REASON_UNREACHABLE: true,
}

// reasonRank orders the reasons of the attempts for a unit. The one with the highest
// rank explains most and is reported.
var reasonRank = map[peer.Reason]int{
	peer.Reason_REASON_UNSPECIFIED:    0,
	peer.Reason_REASON_UNREACHABLE:    1,
	peer.Reason_REASON_UNACKNOWLEDGED: 2,
	peer.Reason_REASON_LEAVING:        3,
	peer.Reason_REASON_LATE:           4,
	peer.Reason_REASON_FAILED:         5,
	peer.Reason_REASON_SHED:           6,
	peer.Reason_REASON_BUDGET:         7,
	peer.Reason_REASON_DROPPED:        8,
	peer.Reason_REASON_CRASHED:        9,
	peer.Reason_REASON_PAUSED:         10,
	peer.Reason_REASON_LIMITED:        11,
	peer.Reason_REASON_EVACUATED:      12,
	peer.Reason_REASON_QUARANTINED:    13,
}

// moreInformative returns the reason with the higher rank.
func moreInformative(a, b peer.Reason) peer.Reason {
	if reasonRank[b] > reasonRank[a] {
		return b
	}
	return a
}
