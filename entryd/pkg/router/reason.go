package router

import "plantaincleat/tier/gen/peer"

// chargedReasons holds the reasons after which a retry is charged to the budget: the
// failed attempt used capacity, or the targets have none to spare.
var chargedReasons = map[peer.Reason]bool{
	peer.Reason_REASON_SHED:   true,
	peer.Reason_REASON_FAILED: true,
	peer.Reason_REASON_BUDGET: true,
	peer.Reason_REASON_LATE:   true,
}

// mayHaveExecuted holds the reasons of attempts that may have run their units.
var mayHaveExecuted = map[peer.Reason]bool{
	peer.Reason_REASON_FAILED:         true,
	peer.Reason_REASON_LATE:           true,
	peer.Reason_REASON_UNACKNOWLEDGED: true,
}

// transientReasons holds the reasons that may not hold for the next attempt.
var transientReasons = map[peer.Reason]bool{
	peer.Reason_REASON_UNREACHABLE: true,
}

// reasonRank orders reasons by how much they explain: the highest one is reported.
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
	peer.Reason_REASON_QUARANTINED:    9,
}

func moreInformative(a, b peer.Reason) peer.Reason {
	if reasonRank[b] > reasonRank[a] {
		return b
	}
	return a
}
