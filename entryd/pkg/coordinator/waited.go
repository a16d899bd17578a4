package coordinator

import (
	"time"

	"plantaincleat/tier/gen/peer"
)

// waited returns how long the query waited for places at targets: the longest
// wait of an attempt, hedges excluded. A shard that was asked before the others
// adds its own wait.
func (s *search) waited() time.Duration {
	alone := ""
	if first := s.query.FirstUnit(); first > 0 {
		alone = s.snapshot.Shard(first - 1).ID()
	}
	var before, beside int64
	for _, a := range s.attempts {
		switch {
		case a.GetHedge():
		case a.GetShard() == alone:
			before = max(before, waitOf(a))
		default:
			beside = max(beside, waitOf(a))
		}
	}
	return time.Duration(before+beside) * time.Microsecond
}

// waitOf returns the microseconds between the choice of a target and the send.
func waitOf(a *peer.Attempt) int64 {
	until := a.GetSent()
	if until == 0 {
		until = a.GetEnd()
	}
	return until - a.GetStart()
}
