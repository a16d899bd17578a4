package coordinator

import (
	"time"

	"plantaincleat/tier/gen/peer"
)

// queueTime returns the time that the query waited for capacity at its targets: the
// longest queue time of an attempt, hedges excluded. The queue time of a shard that
// was asked before the others is added.
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

// attemptQueueTime returns the time between the choice of a target and the send, in
// microseconds. If the request was not sent, it is the time until the attempt ended.
func attemptQueueTime(a *peer.Attempt) int64 {
	until := a.GetSent()
	if until == 0 {
		until = a.GetEnd()
	}
	return until - a.GetStart()
}
