package cataloger

import (
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"plantaincleat/entryd/pkg/assigner"
	"plantaincleat/entryd/pkg/authenticator"
	"plantaincleat/entryd/pkg/estimator"
	"plantaincleat/entryd/pkg/httpsender"
	"plantaincleat/entryd/pkg/withholder"
	"plantaincleat/tier/gen/config"
)

const (
	// lastResortTime is how long a target remains a last resort after it has vanished
	// from the configuration without draining. It may come back, and until then it may
	// be the only target that serves its shard.
	lastResortTime = 1500 * time.Millisecond
)

// Options configure a Cataloger.
type Options struct {
	Clock clockwork.Clock
	Dial  httpsender.Dial
	// Headers names the headers of the protocol between daemons and targets.
	Headers *httpsender.Headers
	// ExtraLimit bounds the extra requests of the fleet to each pool.
	ExtraLimit ExtraLimit
	// Connections counts the connections to all targets, and bounds them. It may be nil.
	Connections *httpsender.Connections
	// Tolerance is what the rates of cold targets tolerate.
	Tolerance withholder.Tolerance
}

// processKey identifies a process of a target.
type processKey struct {
	id      string
	address string
	started int64
}

// Cataloger builds a Catalog from each accepted configuration. It is safe for
// concurrent use. The method Catalog takes no lock.
type Cataloger struct {
	options    Options
	group      estimator.Group
	withholder withholder.Table
	current    atomic.Pointer[Catalog]

	mu       sync.Mutex
	targets  map[processKey]*Target
	vanished map[processKey]time.Time
	budgets  map[string]*Budget
	samplers map[string]*withholder.Sampler
	routes   map[string]*routeState
	accepted *config.Accepted
	daemons  int
	members  memberHolder
	// evacuatedSince holds when this daemon has heard of each evacuation in force, by data
	// centre.
	evacuatedSince map[string]time.Time
	owners         *assigner.Owners
	known          []string
	seater         seater
}

// New returns a Cataloger with an empty catalog.
func New(o Options) *Cataloger {
	c := &Cataloger{
		options:  o,
		targets:  make(map[processKey]*Target),
		vanished: make(map[processKey]time.Time),
		budgets:  make(map[string]*Budget),
		samplers: make(map[string]*withholder.Sampler),
		routes:   make(map[string]*routeState),
		daemons:  1,
		owners:   &assigner.Owners{},
	}
	c.current.Store(&Catalog{})
	return c
}

// Catalog returns the current catalog.
func (c *Cataloger) Catalog() *Catalog { return c.current.Load() }

// Withholder returns what the targets have announced.
func (c *Cataloger) Withholder() *withholder.Table { return &c.withholder }

// SetFleet sets the id of this daemon, the live daemons and the owners of the shards.
// Connections, the slack of the budgets and the limits of targets are divided according to
// them.
func (c *Cataloger) SetFleet(self string, live []assigner.Daemon, owners *assigner.Owners) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.daemons, c.owners = max(len(live), 1), owners
	c.members.setLive(c.options.Clock.Now(), self, live)
	c.seat(self, c.daemons)
	for name, b := range c.budgets {
		b.setPosition(c.options.ExtraLimit, c.fleetPosition(name))
	}
	c.divideTargets()
}

// Resume is to be called when this daemon was frozen. Others may have used its part of the budgets
// meanwhile, so that it begins with the tokens of a daemon that has just started.
func (c *Cataloger) Resume() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, b := range c.budgets {
		b.resume(c.options.ExtraLimit, c.fleetPosition(name))
	}
}

// Adopt builds a catalog from a configuration, unless the current one has the same
// or a higher revision.
func (c *Cataloger) Adopt(accepted *config.Accepted) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if accepted.GetHead().GetRevision() <= c.accepted.GetHead().GetRevision() {
		return
	}
	c.recordVanished(accepted)
	c.accepted = accepted
	before := c.Catalog()
	c.build()
	c.logEvacuations(before)
}

// recordVanished records the targets that are missing from a new configuration and
// were not draining in the current one. A target with the same id but another
// address or start time does not count as missing: the process was restarted.
func (c *Cataloger) recordVanished(accepted *config.Accepted) {
	present := make(map[processKey]bool)
	ids := make(map[string]bool)
	for _, t := range accepted.GetConfig().GetTargets() {
		present[processKeyOf(t)] = true
		ids[t.GetId()] = true
	}
	now := c.options.Clock.Now()
	for _, t := range c.accepted.GetConfig().GetTargets() {
		k := processKeyOf(t)
		if !present[k] && !ids[t.GetId()] && !t.GetLeaving() {
			c.vanished[k] = now.Add(lastResortTime)
			slog.Info("target vanished from the configuration without draining; keeping it as a last resort", "target", t.GetId(), "pool", t.GetPool(), "revision", accepted.GetHead().GetRevision())
		}
	}
	for k := range c.vanished {
		if present[k] || ids[k.id] {
			delete(c.vanished, k)
		}
	}
}

func processKeyOf(t *config.Target) processKey {
	return processKey{
		id:      t.GetId(),
		address: t.GetAddress(),
		started: t.GetStarted(),
	}
}

// build builds a catalog from the accepted configuration and the state of the
// cataloger, and makes it the current one. The caller holds c.mu.
func (c *Cataloger) build() {
	cfg := c.accepted.GetConfig()
	out := &Catalog{
		revision: c.accepted.GetHead().GetRevision(),
		hosts:    make(map[string][]*Route),
		names:    make(map[string]*Route),
		pools:    make(map[string]*Pool, len(cfg.GetPools())),
		limits:   cfg.GetLimits(),
		keys:     authenticator.NewTable(cfg.GetInstitutions()),
	}
	for _, p := range cfg.GetPools() {
		out.pools[p.GetName()] = c.pool(p)
	}
	c.addReplicas(out, cfg.GetTargets())
	for _, r := range cfg.GetRoutes() {
		one := c.route(out, r)
		out.names[r.GetName()] = one
		out.hosts[r.GetHost()] = append(out.hosts[r.GetHost()], one)
	}
	out.sortRoutes()
	c.evacuate(out, cfg.GetPolicy().GetEvacuations())
	c.current.Store(out)
	c.dropUnused(out)
}

func (c *Cataloger) pool(p *config.Pool) *Pool {
	return &Pool{
		name:        p.GetName(),
		connections: int(p.GetConnections()),
		probePath:   p.GetProbe(),
		warmup:      p.GetWarmup().AsDuration(),
		pace:        max(p.GetPace(), 0),
		budget:      c.budget(p.GetName()),
		sampler:     c.sampler(p.GetName()),
	}
}

// sampler returns the sampler of a pool, which is kept across configurations.
func (c *Cataloger) sampler(pool string) *withholder.Sampler {
	s := c.samplers[pool]
	if s == nil {
		s = &withholder.Sampler{}
		c.samplers[pool] = s
	}
	return s
}

// budget returns the budget of a pool, which is kept across configurations.
func (c *Cataloger) budget(pool string) *Budget {
	b := c.budgets[pool]
	if b == nil {
		b = newBudget(c.options.ExtraLimit, c.fleetPosition(pool))
		c.budgets[pool] = b
	}
	return b
}

// fleetPosition returns the daemon's position in the fleet for a pool.
func (c *Cataloger) fleetPosition(pool string) fleetPosition {
	return fleetPosition{
		daemons:   c.daemons,
		hasOwners: c.owners.HasOwners(pool),
		rank:      c.owners.Rank(pool),
	}
}

// addReplicas adds the targets of the configuration to their pools, and after them
// the vanished targets that are still a last resort.
func (c *Cataloger) addReplicas(out *Catalog, targets []*config.Target) {
	for _, t := range targets {
		p := out.pools[t.GetPool()]
		if p == nil {
			continue
		}
		known := c.target(t, p)
		var until time.Time
		if t.GetLeaving() {
			until = past
		}
		known.setUsable(until)
		p.replicas = append(p.replicas, &Replica{
			Target:   known,
			draining: t.GetLeaving(),
		})
	}
	now := c.options.Clock.Now()
	for k, until := range c.vanished {
		t := c.targets[k]
		if t == nil || !now.Before(until) {
			delete(c.vanished, k)
			continue
		}
		t.setUsable(until)
		if p := out.pools[t.pool]; p != nil {
			p.replicas = append(p.replicas, &Replica{
				Target:          t,
				lastResortUntil: until,
			})
		}
	}
}

// target returns the state of a target and creates it if the process is new.
func (c *Cataloger) target(t *config.Target, p *Pool) *Target {
	k := processKeyOf(t)
	known := c.targets[k]
	if known == nil {
		known = &Target{
			id:         t.GetId(),
			address:    t.GetAddress(),
			datacentre: t.GetDatacentre(),
			slots:      int(max(t.GetSlots(), 1)),
			started:    t.GetStarted(),
			pool:       t.GetPool(),
			estimator: c.group.New(estimator.Settings{
				Slots: int(t.GetSlots()),
			}),
			client: httpsender.NewClient(t.GetAddress(), c.options.Headers, c.options.Dial, c.options.Clock),
		}
		if c.options.Connections != nil {
			known.client.Share(c.options.Connections)
		}
		now := c.options.Clock.Now()
		known.state = c.withholder.Use(now, known.Process())
		known.startedUntil = c.startedUntil(now, t, p.warmup)
		c.targets[k] = known
	}
	known.setStored(c.options.Clock.Now(), t.GetCold(), p.warmup)
	c.divideTarget(known, p)
	return known
}

func (c *Cataloger) route(out *Catalog, r *config.Route) *Route {
	state := c.routes[r.GetName()]
	if state == nil {
		state = &routeState{}
		c.routes[r.GetName()] = state
	}
	names := r.GetShards()
	if len(names) == 0 {
		for _, s := range r.GetPools() {
			names = append(names, s.GetPool())
		}
	}
	route := &Route{
		Route: r,
		state: state,
	}
	for _, name := range names {
		p := out.pools[name]
		if p == nil {
			p = &Pool{
				name:   name,
				budget: c.budget(name),
			}
			out.pools[name] = p
		}
		p.routed = true
		route.pools = append(route.pools, p)
	}
	return route
}

// dropUnused removes the state of targets and pools that are not in the new catalog.
func (c *Cataloger) dropUnused(out *Catalog) {
	now := c.options.Clock.Now()
	used := make(map[*Target]bool)
	for _, p := range out.pools {
		for _, r := range p.replicas {
			used[r.Target] = true
		}
	}
	for k, t := range c.targets {
		if !used[t] {
			t.setUsable(past)
			t.client.Close()
			c.withholder.Release(now, t.Process())
			delete(c.targets, k)
		}
	}
	for name := range c.budgets {
		if out.pools[name] == nil {
			delete(c.budgets, name)
			delete(c.samplers, name)
			delete(c.seater.seats, name)
		}
	}
}

// Sweep closes the connections to targets that have been idle for too long, and all idle
// ones to targets that are leaving. It also refreshes the table of announcements, and divides
// the limits of targets again once daemons that have left do not count any more.
func (c *Cataloger) Sweep() {
	now := c.options.Clock.Now()
	c.mu.Lock()
	if c.members.forget(now) || c.hasCold(now) {
		c.divideTargets()
	}
	c.mu.Unlock()
	var leaving []withholder.Process
	for _, p := range c.Catalog().pools {
		for _, r := range p.replicas {
			if !r.state.Leaving() {
				r.client.Sweep(now)
				continue
			}
			r.client.CloseIdle()
			if !r.draining {
				leaving = append(leaving, r.Process())
			}
		}
	}
	c.withholder.Refresh(now, leaving)
}
