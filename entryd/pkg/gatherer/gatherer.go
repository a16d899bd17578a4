// Package gatherer answers sub-plans: it owns the queues of some targets,
// chooses replicas, hedges, and merges what the targets return.
package gatherer

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"plantaincleat/entryd/pkg/estimator"
	"plantaincleat/entryd/pkg/latencytracker"
	"plantaincleat/entryd/pkg/limiter"
	"plantaincleat/entryd/pkg/multiplexer"
	"plantaincleat/entryd/pkg/quarantiner"
	"plantaincleat/entryd/pkg/router"
	"plantaincleat/tier/gen/peer"
	"plantaincleat/tier/pkg/indexer"
	"plantaincleat/tier/pkg/tracer"
)

// Configs returns the configuration in force.
type Configs interface {
	Index() *indexer.Index
}

// DrainTracker tells which targets take no new work.
type DrainTracker interface {
	// Draining reports whether a target is known to be leaving.
	Draining(target string) bool
	// Announce tells the fleet that one incarnation of a target is leaving.
	Announce(target string, incarnation uint64)
}

// Gatherer answers sub-plans. It is safe for concurrent use.
type Gatherer struct {
	id           string
	configs      Configs
	drainTracker DrainTracker
	dial         multiplexer.Dialer
	connector    Connector
	clock        clockwork.Clock
	budget       router.Budget
	quarantine   *quarantiner.Quarantiner
	onLoss       func()

	nonce  atomic.Uint64
	counts Counts

	gauges estimator.Group
	limits limiter.Group
	pace   latencytracker.Tracker
	origin time.Time

	running atomic.Int64
	drained chan struct{}
	drain   sync.Once

	mu    sync.RWMutex
	lanes map[laneKey]*lane
}

// Options are the collaborators of a Gatherer.
type Options struct {
	// ID is the daemon's id, which partials carry.
	ID           string
	Configs      Configs
	DrainTracker DrainTracker
	Dial         multiplexer.Dialer
	Connector    Connector
	Clock        clockwork.Clock
	Budget       router.Budget
	Quarantine   *quarantiner.Quarantiner
	// OnTargetLost is called after a target was lost, when suspicions may have
	// changed.
	OnTargetLost func()
}

// New returns a gatherer.
func New(o Options) *Gatherer {
	g := &Gatherer{
		origin:       o.Clock.Now(),
		id:           o.ID,
		configs:      o.Configs,
		drainTracker: o.DrainTracker,
		dial:         o.Dial,
		connector:    o.Connector,
		clock:        o.Clock,
		budget:       o.Budget,
		quarantine:   o.Quarantine,
		onLoss:       o.OnTargetLost,
		lanes:        map[laneKey]*lane{},
		drained:      make(chan struct{}),
	}
	// Nonces of two lives of a daemon, or of two daemons, do not meet.
	g.nonce.Store(rand.Uint64())
	return g
}

// Counts returns the gatherer's counters.
func (g *Gatherer) Counts() *Counts { return &g.counts }

// Run answers one sub-plan. It calls emit with one or more partials, the last
// of which is marked, and returns when that is done or ctx ends.
func (g *Gatherer) Run(ctx context.Context, nonce uint64, task *peer.Gather, emit func(*peer.Partial)) {
	g.running.Add(1)
	defer g.running.Add(-1)
	ctx, span := tracer.StartSpan(tracer.Extract(ctx, task.GetTrace()), "gather")
	defer span.End()
	j := newJob(ctx, g, nonce, task)
	j.run(ctx, emit)
}

// Serve answers the sub-plans of one stream.
func (g *Gatherer) Serve(stream peer.Peer_GatherServer) error {
	s := newSession(g, stream)
	return s.run()
}

// laneKey names a target at one address.
type laneKey struct {
	id      string
	address string
}

// lane returns the lane of a target, or nil if the configuration in force
// does not have it.
func (g *Gatherer) lane(id string) *lane {
	t := g.configs.Index().Target(id)
	if t == nil {
		return nil
	}
	key := laneKey{
		id:      id,
		address: t.GetAddress(),
	}
	g.mu.RLock()
	l := g.lanes[key]
	g.mu.RUnlock()
	if l != nil {
		return l
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if l = g.lanes[key]; l == nil {
		l = newLane(g, t)
		g.lanes[key] = l
	}
	return l
}

const (
	// quietTime is how long no sub-plan may run before a drain ends.
	quietTime = 300 * time.Millisecond
	// renewInterval is the time between two renewals of leaving notices.
	renewInterval = 5 * time.Second
)

// Drain waits until no sub-plan has run for a while, since others send none to
// a daemon that has left, and ends the streams.
func (g *Gatherer) Drain(ctx context.Context) {
	defer g.drain.Do(func() { close(g.drained) })
	tasks := g.counts.Tasks.Load()
	for {
		select {
		case <-g.clock.After(quietTime):
		case <-ctx.Done():
			return
		}
		now := g.counts.Tasks.Load()
		if g.running.Load() == 0 && now == tasks {
			return
		}
		tasks = now
	}
}

// Running returns the number of sub-plans in progress.
func (g *Gatherer) Running() int64 { return g.running.Load() }

// RenewNotices renews the notices of targets that are still draining, until ctx ends.
func (g *Gatherer) RenewNotices(ctx context.Context) {
	for {
		select {
		case <-g.clock.After(renewInterval):
		case <-ctx.Done():
			return
		}
		g.mu.RLock()
		lanes := slices.Collect(maps.Values(g.lanes))
		g.mu.RUnlock()
		for _, l := range lanes {
			if incarnation, leaving := l.departure(); leaving {
				g.drainTracker.Announce(l.id, incarnation)
			}
		}
	}
}

// Prune closes the lanes of targets that the configuration in force does not
// have, once nothing is on its way to them. It returns the addresses of the
// lanes that remain.
func (g *Gatherer) Prune() []string {
	ix := g.configs.Index()
	g.mu.Lock()
	defer g.mu.Unlock()
	var kept []string
	for key, l := range g.lanes {
		if ix.Target(l.id).GetAddress() == l.address || l.busy() {
			kept = append(kept, l.address)
			continue
		}
		delete(g.lanes, key)
		l.close()
		if ix.Target(l.id) == nil {
			g.quarantine.Forget(l.id)
		}
	}
	return kept
}

// Saturated reports whether the targets have no capacity left for extra
// sub-requests.
func (g *Gatherer) Saturated() bool { return g.limits.Saturated() }

// Close ends the links to targets.
func (g *Gatherer) Close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, l := range g.lanes {
		l.link.Close()
	}
}

// Counts are the counters of a gatherer.
type Counts struct {
	Tasks   atomic.Int64
	Sent    atomic.Int64
	Hedges  atomic.Int64
	Retries atomic.Int64
	// Mismatched counts answers whose stamp was not that of the request.
	Mismatched   atomic.Int64
	Sheds        atomic.Int64
	LostAttempts atomic.Int64
}
