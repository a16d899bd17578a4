package scatterer

import (
	"time"

	"plantaincleat/entryd/pkg/cataloger"
	"plantaincleat/tier/gen/peer"
)

// minReachable is the fraction of pools without which a route without a floor is out
// of reach.
const minReachable = 0.01

// partitioned reports whether the daemon is cut off from other data centres.
func (s *Scatterer) partitioned() bool {
	return s.PartitionDetector != nil && s.PartitionDetector.Partitioned()
}

// partitionedFrom reports whether the daemon is cut off from a data centre.
func (s *Scatterer) partitionedFrom(datacentre string) bool {
	return datacentre != s.DataCentre && s.partitioned()
}

// routeUnreachable reports whether the daemon is cut off from too many of the shards of
// a route.
func (s *Scatterer) routeUnreachable(route *cataloger.Route, now time.Time) bool {
	return s.partitioned() && route.ReachableFraction(now, s.DataCentre) < max(route.GetFloor(), minReachable)
}

// HasUnreachableRoute reports whether callers are better served elsewhere: the daemon is cut
// off, and what its own data centre holds does not do for some route over shards.
// If it does, the data centre goes on serving.
func (s *Scatterer) HasUnreachableRoute() bool {
	if !s.partitioned() {
		return false
	}
	now := s.Clock.Now()
	for route := range s.Catalogs.Catalog().Routes() {
		if route.Scattered() && s.routeUnreachable(route, now) {
			return true
		}
	}
	return false
}

// refuseUnreachable refuses a request at once if its route is out of reach. The
// caller is told to come back when the balancer, which asks for readiness, has had
// time to send it elsewhere.
func (s *Scatterer) refuseUnreachable(r *Request, route *cataloger.Route) *Result {
	now := s.Clock.Now()
	if !s.routeUnreachable(route, now) {
		return nil
	}
	return &Result{
		Outcome:    Refused,
		Shards:     len(route.Pools()),
		Reason:     peer.Reason_REASON_UNREACHABLE,
		RetryAfter: r.longestRetry(now),
	}
}
