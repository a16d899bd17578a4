package scatterer

import (
	"time"

	"plantaincleat/entryd/pkg/cataloger"
	"plantaincleat/tier/gen/peer"
)

// minReachable is the minimum fraction of reachable pools for a route with a lower
// floor or none.
const minReachable = 0.01

// partitioned reports whether the daemon is partitioned from the remote data centres.
func (s *Scatterer) partitioned() bool {
	return s.PartitionDetector != nil && s.PartitionDetector.Partitioned()
}

// partitionedFrom reports whether the daemon is partitioned from a data centre.
func (s *Scatterer) partitionedFrom(datacentre string) bool {
	return datacentre != s.DataCentre && s.partitioned()
}

// routeUnreachable reports whether the daemon is partitioned from so many shards of a
// route that the route's floor cannot be reached.
func (s *Scatterer) routeUnreachable(route *cataloger.Route, now time.Time) bool {
	return s.partitioned() && route.ReachableFraction(now, s.DataCentre) < max(route.GetFloor(), minReachable)
}

// HasUnreachableRoute reports whether the daemon is partitioned and its own data
// centre holds too few shards of some route. Callers should then be sent to another
// data centre. If the own data centre holds enough shards, it continues to serve.
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

// refuseUnreachable returns a refusal if the request's route is unreachable, and nil
// otherwise. The caller is told to retry after a time in which the load balancer, which
// checks the readiness of daemons, can send the caller elsewhere.
func (s *Scatterer) refuseUnreachable(r *Request, route *cataloger.Route) *Result {
	now := s.Clock.Now()
	if !s.routeUnreachable(route, now) {
		return nil
	}
	return refuse(route, peer.Reason_REASON_UNREACHABLE, r.longestRetry(now))
}
