// Package gatherer answers sub-plans of roots. It keeps a queue for each of its
// targets, selects replicas, hedges sub-requests and merges the answers of the targets.
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

// Configs provides the index of the current configuration.
type Configs interface {
	Index() *indexer.Index
}

// DrainTracker tracks the targets that are draining and accept no new requests.
type DrainTracker interface {
	// Draining reports whether a target is known to be draining.
	Draining(target string) bool
	// Announce tells all daemons that one incarnation of a target is draining.
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
	onTargetLost func()

	nonce  atomic.Uint64
	counts Counts

	estimators estimator.Group
	limiters   limiter.Group
	latencies  latencytracker.Tracker
	startedAt  time.Time

	running   atomic.Int64
	drained   chan struct{}
	drainOnce sync.Once

	mu     sync.RWMutex
	queues map[queueKey]*targetQueue
}

// Options are the identity and the dependencies of a Gatherer.
type Options struct {
	// ID is the id of this daemon. Partials contain it.
	ID           string
	Configs      Configs
	DrainTracker DrainTracker
	Dial         multiplexer.Dialer
	Connector    Connector
	Clock        clockwork.Clock
	Budget       router.Budget
	Quarantine   *quarantiner.Quarantiner
	// OnTargetLost is called after the connection to a target was lost while it
	// executed a request. The quarantiner may suspect that request since then.
	OnTargetLost func()
}

// New returns a Gatherer.
func New(o Options) *Gatherer {
	g := &Gatherer{
		startedAt:    o.Clock.Now(),
		id:           o.ID,
		configs:      o.Configs,
		drainTracker: o.DrainTracker,
		dial:         o.Dial,
		connector:    o.Connector,
		clock:        o.Clock,
		budget:       o.Budget,
		quarantine:   o.Quarantine,
		onTargetLost: o.OnTargetLost,
		queues:       map[queueKey]*targetQueue{},
		drained:      make(chan struct{}),
	}
	// A random start keeps nonces unique across restarts of a daemon and across
	// daemons.
	g.nonce.Store(rand.Uint64())
	return g
}

// Counts returns the counters of the gatherer.
func (g *Gatherer) Counts() *Counts { return &g.counts }

// Run answers one sub-plan. It calls emit with one or more partials, the last of which
// has Last set. It returns after the last partial, or without it when ctx ends.
func (g *Gatherer) Run(ctx context.Context, nonce uint64, task *peer.Gather, emit func(*peer.Partial)) {
	g.running.Add(1)
	defer g.running.Add(-1)
	ctx, span := tracer.StartSpan(tracer.Extract(ctx, task.GetTrace()), "gather")
	defer span.End()
	j := newJob(ctx, g, nonce, task)
	j.run(ctx, emit)
}

// Serve answers the sub-plans of one Gather stream. It returns when the peer ends the
// stream or the gatherer is drained, and always returns nil.
func (g *Gatherer) Serve(stream peer.Peer_GatherServer) error {
	s := newSession(g, stream)
	return s.run()
}

// queueKey identifies a target at one address.
type queueKey struct {
	id      string
	address string
}

// queue returns the queue of a target, or nil if the current configuration does not
// contain the target. It creates the queue if it does not exist.
func (g *Gatherer) queue(id string) *targetQueue {
	t := g.configs.Index().Target(id)
	if t == nil {
		return nil
	}
	key := queueKey{
		id:      id,
		address: t.GetAddress(),
	}
	g.mu.RLock()
	q := g.queues[key]
	g.mu.RUnlock()
	if q != nil {
		return q
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if q = g.queues[key]; q == nil {
		q = newTargetQueue(g, t)
		g.queues[key] = q
	}
	return q
}

const (
	// drainQuietTime is the time without sub-plans after which a drain ends.
	drainQuietTime = 300 * time.Millisecond
	// noticeInterval is the time between two renewals of the notices of draining
	// targets.
	noticeInterval = 5 * time.Second
)

// Drain waits until no sub-plan has run for drainQuietTime or ctx ends, and then ends
// the streams. Other daemons send no sub-plans to a daemon that has left, so that the
// sub-plans run out.
func (g *Gatherer) Drain(ctx context.Context) {
	defer g.drainOnce.Do(func() { close(g.drained) })
	tasks := g.counts.Tasks.Load()
	for {
		select {
		case <-g.clock.After(drainQuietTime):
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

// RenewNotices announces, every noticeInterval until ctx ends, the targets that are
// still draining.
func (g *Gatherer) RenewNotices(ctx context.Context) {
	for {
		select {
		case <-g.clock.After(noticeInterval):
		case <-ctx.Done():
			return
		}
		g.mu.RLock()
		queues := slices.Collect(maps.Values(g.queues))
		g.mu.RUnlock()
		for _, q := range queues {
			if incarnation, draining := q.draining(); draining {
				g.drainTracker.Announce(q.id, incarnation)
			}
		}
	}
}

// Prune closes the queues of targets that the current configuration does not contain
// at that address, once no request waits or is in flight. It returns the addresses of
// the remaining queues.
func (g *Gatherer) Prune() []string {
	ix := g.configs.Index()
	g.mu.Lock()
	defer g.mu.Unlock()
	var kept []string
	for key, q := range g.queues {
		if ix.Target(q.id).GetAddress() == q.address || q.hasRequests() {
			kept = append(kept, q.address)
			continue
		}
		delete(g.queues, key)
		q.close()
		if ix.Target(q.id) == nil {
			g.quarantine.Forget(q.id)
		}
	}
	return kept
}

// Saturated reports whether nearly all capacity of the targets is in use, so that none is
// left for additional sub-requests.
func (g *Gatherer) Saturated() bool { return g.limiters.Saturated() }

// Close closes the links to all targets.
func (g *Gatherer) Close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, q := range g.queues {
		q.link.Close()
	}
}

// Counts are the counters of a Gatherer since its start.
type Counts struct {
	// Tasks counts sub-plans.
	Tasks atomic.Int64
	// Sent counts sub-requests, including those that never left the queue of their
	// target.
	Sent    atomic.Int64
	Hedges  atomic.Int64
	Retries atomic.Int64
	// Mismatched counts answers that do not match their request: another target,
	// shard, query or snapshot, or records that do not belong to the shard.
	Mismatched atomic.Int64
	// Sheds counts sub-requests that a target or a full queue refused.
	Sheds atomic.Int64
	// LostAttempts counts sub-requests whose connection was lost while they were in
	// flight.
	LostAttempts atomic.Int64
}
