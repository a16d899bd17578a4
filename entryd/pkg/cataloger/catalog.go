// Package cataloger turns each configuration in force into an immutable catalog
// of routes, pools and targets, and keeps what a daemon has learned of a target
// while it stays in the configuration.
package cataloger

import (
	"cmp"
	"iter"
	"maps"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"plantaincleat/entryd/pkg/assigner"
	"plantaincleat/entryd/pkg/estimator"
	"plantaincleat/entryd/pkg/httpsender"
	"plantaincleat/entryd/pkg/latencytracker"
	"plantaincleat/tier/gen/config"
)

// Target is one process that serves plain requests. It lives as long as its
// process is in the configuration.
type Target struct {
	id         string
	address    string
	datacentre string
	slots      int
	started    int64
	pool       string

	estimator *estimator.Estimator
	client    *httpsender.Client
	// replaced is true once another process has answered at the address.
	replaced atomic.Bool
}

// ID returns the name of the target's process.
func (t *Target) ID() string { return t.id }

// Address returns the IP address and port of the target.
func (t *Target) Address() string { return t.address }

// DataCentre returns the target's data centre.
func (t *Target) DataCentre() string { return t.datacentre }

// Estimator returns the estimator of the target.
func (t *Target) Estimator() *estimator.Estimator { return t.estimator }

// Client returns the connections to the target.
func (t *Target) Client() *httpsender.Client { return t.client }

// MarkReplaced records that another process has answered at the target's address.
func (t *Target) MarkReplaced() { t.replaced.Store(true) }

// Replaced reports whether another process has answered at the target's address.
func (t *Target) Replaced() bool { return t.replaced.Load() }

// Replica is a target as a member of a pool in one catalog.
type Replica struct {
	*Target
	// draining is true if the target takes no new work.
	draining bool
	// lastResortUntil is the end of the time in which a target that has vanished from
	// the configuration is a last resort. Zero for the others.
	lastResortUntil time.Time
}

// Unavailable reports whether the target takes no new work.
func (r *Replica) Unavailable(now time.Time) bool {
	return r.draining || r.Replaced() || r.Vanished() && !now.Before(r.lastResortUntil)
}

// Vanished reports whether the target has vanished from the configuration.
func (r *Replica) Vanished() bool { return !r.lastResortUntil.IsZero() }

// Pool is a set of interchangeable targets.
type Pool struct {
	name        string
	connections int
	replicas    []*Replica
	budget      *Budget
	// routed is true if a route names the pool.
	routed bool
}

// Name returns the name of the pool.
func (p *Pool) Name() string { return p.name }

// Routed reports whether a route names the pool.
func (p *Pool) Routed() bool { return p.routed }

// Replicas returns the targets. The slice must not be changed.
func (p *Pool) Replicas() []*Replica { return p.replicas }

// Budget returns the budget of extra requests to the pool.
func (p *Pool) Budget() *Budget { return p.budget }

// Route tells how requests are served.
type Route struct {
	*config.Route
	// pools holds the pool of each shard, or of each part of a division.
	pools []*Pool
	state *routeState
}

// routeState is what outlives a catalog.
type routeState struct {
	latencies latencytracker.Tracker
	picker    poolPicker
}

// Pools returns the pools of the route's shards, in their order. The slice must
// not be changed.
func (r *Route) Pools() []*Pool { return r.pools }

// Scattered reports whether each request goes to all pools.
func (r *Route) Scattered() bool { return len(r.GetShards()) > 0 }

// Latencies returns the latencies of the route's sub-requests.
func (r *Route) Latencies() *latencytracker.Tracker { return &r.state.latencies }

// NextPool returns the pool to which the next request goes.
func (r *Route) NextPool() *Pool {
	if len(r.pools) == 1 {
		return r.pools[0]
	}
	return r.pools[r.state.picker.next(r.GetPools())]
}

// ReachableFraction returns the fraction of the route's pools that have a replica in a data
// centre which is neither leaving nor suspected.
func (r *Route) ReachableFraction(now time.Time, datacentre string) float64 {
	n := 0
	for _, p := range r.pools {
		if slices.ContainsFunc(p.replicas, func(one *Replica) bool {
			return one.DataCentre() == datacentre && !one.Unavailable(now) && !one.estimator.Suspected()
		}) {
			n++
		}
	}
	return float64(n) / float64(max(len(r.pools), 1))
}

// Catalog is one configuration in force. The zero value has no route.
type Catalog struct {
	revision uint64
	hosts    map[string][]*Route
	names    map[string]*Route
	pools    map[string]*Pool
	limits   *config.Limits
}

// Revision returns the revision of the configuration, 0 for none.
func (c *Catalog) Revision() uint64 { return c.revision }

// Limits returns what callers may send. It may be nil; its getters work on nil.
func (c *Catalog) Limits() *config.Limits { return c.limits }

// Pools returns the pools by name. The map must not be changed.
func (c *Catalog) Pools() map[string]*Pool { return c.pools }

// Route returns a route by name, nil if there is none.
func (c *Catalog) Route(name string) *Route { return c.names[name] }

// Routes returns all routes, in no order.
func (c *Catalog) Routes() iter.Seq[*Route] { return maps.Values(c.names) }

// Pool returns a pool by name, an empty one if there is none.
func (c *Catalog) Pool(name string) *Pool {
	if p := c.pools[name]; p != nil {
		return p
	}
	return &Pool{
		name:   name,
		budget: newBudget(ExtraLimit{}, fleetPosition{}),
	}
}

// Shards returns the pools that hold a shard of a route, with the data centres
// of their replicas.
func (c *Catalog) Shards() []assigner.ShardInput {
	seen := make(map[string]bool)
	var out []assigner.ShardInput
	for _, r := range c.names {
		for _, name := range r.GetShards() {
			if seen[name] {
				continue
			}
			seen[name] = true
			one := assigner.ShardInput{Name: name}
			for _, t := range c.pools[name].replicas {
				one.DataCentres = append(one.DataCentres, t.datacentre)
			}
			out = append(out, one)
		}
	}
	return out
}

// Match returns the route with the longest prefix that begins the path, nil if
// there is none.
func (c *Catalog) Match(host, path string) *Route {
	for _, r := range c.hosts[host] {
		if strings.HasPrefix(path, r.GetPrefix()) {
			return r
		}
	}
	return nil
}

// sortRoutes puts the longest prefixes first.
func (c *Catalog) sortRoutes() {
	for _, routes := range c.hosts {
		slices.SortStableFunc(routes, func(a, b *Route) int {
			return cmp.Compare(len(b.GetPrefix()), len(a.GetPrefix()))
		})
	}
}
