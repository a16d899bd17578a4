package scatterer

import (
	"slices"
	"time"

	"plantaincleat/entryd/pkg/cataloger"
	"plantaincleat/tier/gen/peer"
)

// refuseWithheld returns a refusal if the targets of so many shards of the route are paused,
// have used up their limits or are evacuated that its floor cannot be reached, and nil
// otherwise. The
// caller may come back when enough of them get requests again.
func (s *Scatterer) refuseWithheld(route *cataloger.Route) *Result {
	pools, floor := route.Pools(), route.GetFloor()
	if !route.Scattered() {
		// A request goes to one of the pools, so that one of them is enough.
		floor = minReachable
	}
	wait, reason := s.untilServing(pools, floor, s.Clock.Now())
	if wait <= 0 {
		return nil
	}
	return refuse(route, reason, max(wait, minRetry))
}

// untilServing returns the time until the fraction floor of the pools has a target that may
// get requests, and the reason why it has none, or zero if it has one now.
func (s *Scatterer) untilServing(pools []*cataloger.Pool, floor float64, now time.Time) (time.Duration, peer.Reason) {
	reported := s.pauses.list(now)
	var ends []time.Time
	reason := peer.Reason_REASON_PAUSED
	for _, p := range pools {
		until, r := s.withheldUntil(p, reported, now)
		if until.IsZero() {
			continue
		}
		ends = append(ends, until)
		reason = max(reason, r)
	}
	slices.SortFunc(ends, time.Time.Compare)
	enough := max(floor, minReachable) * float64(len(pools))
	wait := time.Duration(0)
	for i, end := range ends {
		if float64(len(pools)-len(ends)+i) >= enough {
			break
		}
		wait = end.Sub(now)
	}
	return wait, reason
}

// withheldUntil returns the time until which all targets of a pool are withheld from this
// daemon, or from the owner that sends to them, and the reason. What this daemon may send
// within the targets' limits does not matter where an owner sends.
func (s *Scatterer) withheldUntil(p *cataloger.Pool, reported map[string]ownerPause, now time.Time) (time.Time, peer.Reason) {
	sender := s.sender(p, now)
	if w := p.Withheld(now); !w.Until.IsZero() && (!w.Limited || sender == s.ID) {
		return w.Until, withheldReason(w)
	}
	if r, ok := reported[p.Name()]; ok && sender == r.owner {
		return r.until, r.reason
	}
	return time.Time{}, peer.Reason_REASON_UNSPECIFIED
}
