// Package cataloger converts each accepted configuration into an immutable catalog
// of routes, pools and targets. It keeps what the daemon has learned about a target
// for as long as the target stays in the configuration.
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
	"plantaincleat/entryd/pkg/authenticator"
	"plantaincleat/entryd/pkg/estimator"
	"plantaincleat/entryd/pkg/httpsender"
	"plantaincleat/entryd/pkg/latencytracker"
	"plantaincleat/entryd/pkg/withholder"
	"plantaincleat/tier/gen/config"
)

// Target is a process that serves plain requests. A Target exists for as long as
// its process is in the configuration.
type Target struct {
	id         string
	address    string
	datacentre string
	slots      int
	started    int64
	pool       string

	estimator *estimator.Estimator
	client    *httpsender.Client
	// startedUntil is the end of the warm-up that began when the process started, and
	// storedUntil is until when the configuration's word counts that the target is cold. They
	// are zero if there is none. Only the Cataloger uses them.
	startedUntil, storedUntil time.Time
	// state is what the process has announced in its answers.
	state *withholder.State
	// replaced is true once another process has answered at the address.
	replaced atomic.Bool
	// usableUntil is the time in Unix nanoseconds from which the process gets no requests
	// according to the configuration in force, or 0 if there is none.
	usableUntil atomic.Int64
}

// ID returns the id of the target's process.
func (t *Target) ID() string { return t.id }

// Address returns the IP address and port of the target.
func (t *Target) Address() string { return t.address }

// DataCentre returns the target's data centre.
func (t *Target) DataCentre() string { return t.datacentre }

// Estimator returns the latency estimator of the target.
func (t *Target) Estimator() *estimator.Estimator { return t.estimator }

// Client returns the HTTP client of the target.
func (t *Target) Client() *httpsender.Client { return t.client }

// State returns what the target's process has announced in its answers.
func (t *Target) State() *withholder.State { return t.state }

// Process identifies the target's process.
func (t *Target) Process() withholder.Process {
	return withholder.Process{
		ID:          t.id,
		Incarnation: uint64(t.started),
	}
}

// MarkReplaced records that another process has answered at the target's address.
func (t *Target) MarkReplaced() { t.replaced.Store(true) }

// Replaced reports whether another process has answered at the target's address.
func (t *Target) Replaced() bool { return t.replaced.Load() }

// Ended reports whether the process gets no requests any more, whichever catalog a request was
// begun with: it drains, another process has its address, or it has vanished from the
// configuration in force and its time as a last resort has ended.
func (t *Target) Ended(now time.Time) bool {
	until := t.usableUntil.Load()
	return t.Replaced() || until != 0 && now.UnixNano() >= until
}

// past is a time before all others, until which a process is used that gets no requests any more.
var past = time.Unix(0, 1)

// setUsable sets the time until which the process is used. The zero time sets none.
func (t *Target) setUsable(until time.Time) {
	if until.IsZero() {
		t.usableUntil.Store(0)
		return
	}
	t.usableUntil.Store(until.UnixNano())
}

// Replica is a target in its role as a member of a pool in one catalog.
type Replica struct {
	*Target
	// draining is true if the configuration marks the target as leaving.
	draining bool
	// lastResortUntil is the time until which a target that has vanished from the
	// configuration may still be used as a last resort. It is zero for other targets.
	lastResortUntil time.Time
}

// Unavailable reports whether the target must get no new requests now. This is the case
// if its use has ended for good, or if requests are withheld from it because of its own
// announcement or because its data centre is evacuated.
func (r *Replica) Unavailable(now time.Time) bool {
	return r.Ended(now) || r.state.Withheld(now)
}

// Draining reports whether the configuration marks the target as leaving.
func (r *Replica) Draining() bool { return r.draining }

// Vanished reports whether the target has vanished from the configuration.
func (r *Replica) Vanished() bool { return !r.lastResortUntil.IsZero() }

// Pool is a set of interchangeable targets.
type Pool struct {
	name string
	// connections is the number of connections that the whole fleet may open to each
	// target. Zero or less still allows one per daemon.
	connections int
	// probePath is the path at which targets answer whether they are healthy, or empty.
	probePath string
	// warmup is the time for which a target is cold after its start. pace is the number of
	// requests a second that a cold target takes from all daemons, or zero if none is stated.
	warmup   time.Duration
	pace     float64
	replicas []*Replica
	budget   *Budget
	sampler  *withholder.Sampler
	// routed is true if a route refers to the pool.
	routed bool
}

// Name returns the name of the pool.
func (p *Pool) Name() string { return p.name }

// ProbePath returns the path at which targets answer whether they are healthy, or an empty
// string if they have none.
func (p *Pool) ProbePath() string { return p.probePath }

// Routed reports whether a route refers to the pool.
func (p *Pool) Routed() bool { return p.routed }

// Replicas returns the targets of the pool. The slice must not be modified.
func (p *Pool) Replicas() []*Replica { return p.replicas }

// Withholding tells why and until when all targets of a pool that could serve get no
// requests. The zero value means that one of them may get some, or that there is none.
type Withholding struct {
	// Until is when the first of them may get requests again.
	Until time.Time
	// Limited is true if one of them has used up its limit, or its rate while it is cold. The
	// others have asked for a pause that is not over.
	Limited bool
	// Evacuated is true if those that are left are all in evacuated data centres. Until is
	// then when callers may ask again, since nobody knows the end.
	Evacuated bool
}

// Withheld returns whether all targets of the pool that could serve are paused, have used up
// their limits or rates, or are evacuated. Evacuated ones do not count where there are others.
func (p *Pool) Withheld(now time.Time) Withholding {
	var out Withholding
	evacuated := false
	for _, r := range p.replicas {
		if r.Ended(now) || r.state.Leaving() {
			continue
		}
		if r.state.Evacuated() {
			evacuated = true
			continue
		}
		pause, limit := r.state.PausedUntil(now), r.state.LimitedUntil(now)
		until := pause
		if limit.After(until) {
			until = limit
		}
		if until.IsZero() {
			return Withholding{}
		}
		out.Limited = out.Limited || pause.IsZero()
		if out.Until.IsZero() || until.Before(out.Until) {
			out.Until = until
		}
	}
	if evacuated && out.Until.IsZero() {
		out.Evacuated, out.Until = true, now.Add(evacuatedRetry)
	}
	return out
}

// Sample reports whether a request that goes to many pools should be sent to this one. If all
// targets that could serve it have named limits or are cold, only so many requests are as these allow. It
// must be called once for each request.
func (p *Pool) Sample(now time.Time, id string) bool {
	rate, limited := p.limitedRate(now)
	switch {
	case p.sampler == nil:
		return true
	case limited:
		return p.sampler.Admit(now, id, rate)
	case p.pace > 0:
		// All targets may turn cold together. The demand has to be known then.
		p.sampler.Count(now)
	}
	return true
}

// limitedRate returns the rate in requests a second at which this daemon may send to the
// pool. limited is false if it may send any number.
func (p *Pool) limitedRate(now time.Time) (rate float64, limited bool) {
	for _, r := range p.replicas {
		if r.Unavailable(now) || r.Vanished() {
			continue
		}
		share, hasShare := r.state.Rate(now)
		if !hasShare {
			return 0, false
		}
		rate, limited = rate+share, true
	}
	return rate, limited
}

// Budget returns the daemon's budget of extra requests to the pool.
func (p *Pool) Budget() *Budget { return p.budget }

// Route maps requests to the pools that serve them.
type Route struct {
	*config.Route
	// pools holds the pool of each shard or, if the route has no shards, the pools
	// among which requests are divided by weight.
	pools []*Pool
	state *routeState
}

// routeState is the state of a route that is kept across catalogs.
type routeState struct {
	latencies latencytracker.Tracker
	picker    poolPicker
}

// Pools returns the pools of the route, in the order of its shards. The slice must
// not be modified.
func (r *Route) Pools() []*Pool { return r.pools }

// Scattered reports whether each request is sent to all pools of the route.
func (r *Route) Scattered() bool { return len(r.GetShards()) > 0 }

// Latencies returns the tracker of the latencies of the route's sub-requests.
func (r *Route) Latencies() *latencytracker.Tracker { return &r.state.latencies }

// NextPool returns the pool for the next request of a route without shards.
func (r *Route) NextPool() *Pool {
	if len(r.pools) == 1 {
		return r.pools[0]
	}
	return r.pools[r.state.picker.next(r.GetPools())]
}

// ReachableFraction returns the fraction of the route's pools that have a usable
// replica in a data centre. A replica is usable if it is neither unavailable nor
// suspected.
func (r *Route) ReachableFraction(now time.Time, datacentre string) float64 {
	n := 0
	for _, p := range r.pools {
		if slices.ContainsFunc(p.replicas, func(replica *Replica) bool {
			return replica.DataCentre() == datacentre && !replica.Unavailable(now) && !replica.estimator.Suspected()
		}) {
			n++
		}
	}
	return float64(n) / float64(max(len(r.pools), 1))
}

// Catalog is the immutable view of one configuration. The zero value has no routes.
type Catalog struct {
	revision uint64
	hosts    map[string][]*Route
	names    map[string]*Route
	pools    map[string]*Pool
	limits   *config.Limits
	keys     *authenticator.Table
	// evacuations are sorted by data centre.
	evacuations []Evacuation
}

// Revision returns the revision of the configuration, or 0 if there is none.
func (c *Catalog) Revision() uint64 { return c.revision }

// Limits returns the limits on callers' requests. The result may be nil; its getters
// accept a nil receiver.
func (c *Catalog) Limits() *config.Limits { return c.limits }

// Keys returns the table of the institutions and their keys.
func (c *Catalog) Keys() *authenticator.Table { return c.keys }

// Process returns the process of the target with an id that started last. If there is
// none, its incarnation is unknown.
func (c *Catalog) Process(id string) withholder.Process {
	out := withholder.Process{
		ID: id,
	}
	for _, p := range c.pools {
		for _, r := range p.replicas {
			if r.id == id {
				out.Incarnation = max(out.Incarnation, uint64(r.started))
			}
		}
	}
	return out
}

// Pools returns the pools by name. The map must not be modified.
func (c *Catalog) Pools() map[string]*Pool { return c.pools }

// Route returns the route with a name, or nil if there is none.
func (c *Catalog) Route(name string) *Route { return c.names[name] }

// Routes returns all routes in unspecified order.
func (c *Catalog) Routes() iter.Seq[*Route] { return maps.Values(c.names) }

// Pool returns the pool with a name, or an empty pool if there is none.
func (c *Catalog) Pool(name string) *Pool {
	if p := c.pools[name]; p != nil {
		return p
	}
	return &Pool{
		name:   name,
		budget: newBudget(ExtraLimit{}, fleetPosition{}),
	}
}

// Shards returns the shards of all routes, each once, with the data centres of their
// replicas.
func (c *Catalog) Shards() []assigner.ShardInput {
	seen := make(map[string]bool)
	var out []assigner.ShardInput
	for _, r := range c.names {
		for _, name := range r.GetShards() {
			if seen[name] {
				continue
			}
			seen[name] = true
			shard := assigner.ShardInput{Name: name}
			for _, t := range c.pools[name].replicas {
				shard.DataCentres = append(shard.DataCentres, t.datacentre)
			}
			out = append(out, shard)
		}
	}
	return out
}

// Match returns the route of a host with the longest prefix that matches the path,
// or nil if there is none.
func (c *Catalog) Match(host, path string) *Route {
	for _, r := range c.hosts[host] {
		if strings.HasPrefix(path, r.GetPrefix()) {
			return r
		}
	}
	return nil
}

// sortRoutes sorts the routes of each host by descending prefix length.
func (c *Catalog) sortRoutes() {
	for _, routes := range c.hosts {
		slices.SortStableFunc(routes, func(a, b *Route) int {
			return cmp.Compare(len(b.GetPrefix()), len(a.GetPrefix()))
		})
	}
}
