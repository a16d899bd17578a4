package coordinator

import (
	"time"

	"plantaincleat/tier/gen/peer"
)

// queueTime returns how long the query waited for places at targets: the longest
// wait of an attempt, hedges excluded. A shard that was asked before the others
// adds its own wait.
func (s *search) queueTime() time.Duration {
	canaryShard := ""
	if first := s.query.FirstUnit(); first > 0 {
		canaryShard = s.snapshot.Shard(first - 1).ID()
	}
	var canaryWait, otherWait int64
	for _, a := range s.attempts {
		switch {
		case a.GetHedge():
		case a.GetShard() == canaryShard:
			canaryWait = max(canaryWait, attemptQueueTime(a))
		default:
			otherWait = max(otherWait, attemptQueueTime(a))
		}
	}
	return time.Duration(canaryWait+otherWait) * time.Microsecond
}

// attemptQueueTime returns the microseconds between the choice of a target and the send.
func attemptQueueTime(a *peer.Attempt) int64 {
	until := a.GetSent()
	if until == 0 {
		until = a.GetEnd()
	}
	return until - a.GetStart()
}
