package router

import "plantaincleat/tier/gen/peer"

// costly holds the reasons after which a retry is charged to the budget: the
// failed attempt used capacity, or the targets have none to spare.
var costly = map[peer.Reason]bool{
	peer.Reason_REASON_SHED:   true,
	peer.Reason_REASON_FAILED: true,
	peer.Reason_REASON_BUDGET: true,
	peer.Reason_REASON_LATE:   true,
}

// mayRun holds the reasons of attempts that may have run their units.
var mayRun = map[peer.Reason]bool{
	peer.Reason_REASON_FAILED:         true,
	peer.Reason_REASON_LATE:           true,
	peer.Reason_REASON_UNACKNOWLEDGED: true,
}

// passing holds the reasons that may not hold for the next attempt.
var passing = map[peer.Reason]bool{
	peer.Reason_REASON_UNREACHABLE: true,
}

// rank orders reasons by how much they explain: the highest one is reported.
var rank = map[peer.Reason]int{
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

func worse(a, b peer.Reason) peer.Reason {
	if rank[b] > rank[a] {
		return b
	}
	return a
}
