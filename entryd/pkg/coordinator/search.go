package coordinator

import (
	"context"
	"time"

	"go.opentelemetry.io/otel/attribute"

	"plantaincleat/entryd/pkg/estimator"
	"plantaincleat/entryd/pkg/merger"
	"plantaincleat/entryd/pkg/router"
	"plantaincleat/tier/gen/peer"
	"plantaincleat/tier/pkg/batcher"
	"plantaincleat/tier/pkg/indexer"
	"plantaincleat/tier/pkg/tracer"
)

// event is a partial of a sub-plan, or the error that ended the sub-plan.
type event struct {
	nonce   uint64
	partial *peer.Partial
	err     error
}

// openSubPlan is one sub-plan in flight.
type openSubPlan struct {
	path Path
	// units maps the ids of the shards to their units.
	units map[string]int
	// logIndex is the index of the sub-plan in search.subPlans.
	logIndex int
	cancel   context.CancelFunc
	// targets holds the ids of the targets that the gatherer may send requests to.
	targets []string
	peer    *peerDaemon
	// local is true if the root is the gatherer.
	local  bool
	ticket estimator.Ticket
	// responded is true once the gatherer has sent a partial.
	responded bool
	// reportedSent is the number of sub-requests that the last partial reported.
	reportedSent uint32
}

// search runs a query once on one snapshot.
type search struct {
	root     *Coordinator
	request  *Request
	index    *indexer.Index
	snapshot *indexer.Snapshot
	paths    *pathTable
	start    time.Time

	ctx    context.Context
	query  *router.Query[Path]
	merged *merger.Merger
	events batcher.Queue[event]
	// open maps the nonces of the open sub-plans to their state.
	open map[uint64]*openSubPlan
	// responded holds, for each shard, whether a gatherer that was asked for it has
	// sent a partial.
	responded []bool
	// subPlans logs all sub-plans in the order of their start.
	subPlans []SubPlan
	attempts []*peer.Attempt
	// crashed holds the ids of the targets that crashed.
	crashed []string
	// refused is true if the request is quarantined and must not be executed. halted is
	// true if it crashed a target of its first shard and must not be sent to further
	// shards.
	refused, halted bool
	// sent is the number of sub-requests sent to targets.
	sent int
	// snapshotDropped is true if no replica of some shard has the snapshot any more.
	snapshotDropped bool
}

func newSearch(c *Coordinator, r *Request, ix *indexer.Index, snapshot *indexer.Snapshot) *search {
	s := &search{
		root:      c,
		request:   r,
		index:     ix,
		snapshot:  snapshot,
		paths:     c.pathTable(snapshot),
		start:     c.Clock.Now(),
		merged:    merger.New(snapshot, int(r.Query.GetLimit())),
		open:      map[uint64]*openSubPlan{},
		responded: make([]bool, snapshot.ShardCount()),
	}
	options := router.Options{
		Deadline:  r.Deadline,
		Goal:      r.Goal,
		Floor:     r.Floor,
		Hedging:   !r.Suspected,
		FirstUnit: canary(r, snapshot),
	}
	ch := &chooser{
		root:    c,
		paths:   s.paths,
		avoided: map[string]bool{},
	}
	s.query = router.New(snapshot.ShardCount(), options, ch, c.Budget, func() uint64 { return c.nonce.Add(1) })
	return s
}

// canary returns the index plus one of the shard to ask first, or 0 to ask all shards at
// once.
func canary(r *Request, snapshot *indexer.Snapshot) int {
	if !r.Canary || snapshot.ShardCount() == 0 {
		return 0
	}
	if i := snapshot.IndexOf(r.FirstShard); i >= 0 {
		return i + 1
	}
	return int(r.Fingerprint%uint64(snapshot.ShardCount())) + 1
}

// reason returns the reason why a shard is missing. A late shard whose gatherers did
// not respond counts as unreachable, because lateness would indicate a lack of
// capacity.
func (s *search) reason(unit int) peer.Reason {
	r := s.query.Reason(unit)
	if r == peer.Reason_REASON_LATE && !s.responded[unit] {
		return peer.Reason_REASON_UNREACHABLE
	}
	return r
}

// quarantined reports whether the request was refused or some shard was not asked
// because the request is quarantined.
func (s *search) quarantined() bool {
	if s.refused {
		return true
	}
	for i := range s.snapshot.ShardCount() {
		if s.query.Reason(i) == peer.Reason_REASON_QUARANTINED {
			return true
		}
	}
	return false
}

// run runs the query to its end. Only the calling goroutine accesses the state of the
// search, except for events.
func (s *search) run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.ctx = ctx
	clock := s.root.Clock
	s.apply(s.query.Start(s.start))
	timer := clock.NewTimer(s.query.NextTick().Sub(clock.Now()))
	defer timer.Stop()
	ready := s.events.Ready()
	for !s.query.Done() && !s.snapshotDropped && !s.refused && !s.halted {
		timer.Reset(max(s.query.NextTick().Sub(clock.Now()), 0))
		select {
		case <-ready:
			for _, e := range s.events.Drain() {
				s.receive(e)
			}
		case <-timer.Chan():
			s.apply(s.query.Tick(clock.Now()))
		case <-ctx.Done():
			s.cancelAll()
			return
		}
	}
	s.cancelAll()
}

// apply carries out the actions of the query, unless the request was refused or must not
// be sent to further shards.
func (s *search) apply(actions []router.Action[Path]) {
	if s.refused {
		return
	}
	if s.spreadsCrash(actions) {
		s.halted = true
		return
	}
	for _, a := range actions {
		if a.Cancel {
			s.cancelSubPlan(a.Nonce)
			continue
		}
		s.send(a)
	}
}

// send starts a sub-plan and sends it to its gatherer, which may be the root itself.
func (s *search) send(a router.Action[Path]) {
	p := &openSubPlan{
		path:     a.Path,
		units:    make(map[string]int, len(a.Units)),
		logIndex: len(s.subPlans),
	}
	ids := make([]string, 0, len(a.Units))
	for _, u := range a.Units {
		id := s.snapshot.Shard(u).ID()
		p.units[id] = u
		ids = append(ids, id)
	}
	s.subPlans = append(s.subPlans, SubPlan{
		Daemon:     a.Path.Daemon.ID,
		DataCentre: a.Path.DataCentre,
		Shards:     ids,
		Hedge:      a.Hedge,
		Start:      s.root.Clock.Since(s.start).Microseconds(),
	})
	s.open[a.Nonce] = p
	ctx, span := tracer.StartSpan(s.ctx, "subplan", attribute.String("daemon", a.Path.Daemon.ID))
	ctx, cancel := context.WithCancel(ctx)
	p.cancel = func() {
		cancel()
		span.End()
	}
	task := s.task(ctx, a)
	p.targets = targetsOf(task)
	p.peer = s.root.peer(a.Path.Daemon.Address)
	p.ticket = p.peer.estimator.Send(s.root.Clock.Now())
	p.local = a.Path.Daemon.ID == s.root.ID
	if p.local {
		go s.root.Gatherer.Run(ctx, a.Nonce, task, func(partial *peer.Partial) {
			s.events.Put(event{
				nonce:   a.Nonce,
				partial: partial,
			})
		})
		return
	}
	p.peer.link.Send(a.Nonce, &peer.Task{
		Nonce: a.Nonce,
		Body: &peer.Task_Gather{
			Gather: task,
		},
	}, func(partial *peer.Partial, err error) {
		s.events.Put(event{
			nonce:   a.Nonce,
			partial: partial,
			err:     err,
		})
	})
}

// task returns the sub-plan of an action as it is sent to the gatherer.
func (s *search) task(ctx context.Context, a router.Action[Path]) *peer.Gather {
	g := &peer.Gather{
		Revision:    s.index.Revision(),
		Collection:  s.snapshot.Collection(),
		Version:     s.snapshot.Version(),
		Snapshot:    s.snapshot.ID(),
		Query:       s.request.Query,
		Remaining:   s.request.Deadline.Sub(s.root.Clock.Now()).Microseconds(),
		Trace:       tracer.Inject(ctx),
		Fingerprint: s.request.Fingerprint,
		Institution: s.request.Institution,
		Suspected:   s.request.Suspected,
		Shards:      make([]*peer.Wanted, 0, len(a.Units)),
	}
	for _, u := range a.Units {
		shard := s.snapshot.Shard(u)
		g.Shards = append(g.Shards, &peer.Wanted{
			Shard:   shard.ID(),
			From:    shard.From(),
			To:      shard.To(),
			Targets: s.targets(u, a.Path.DataCentre),
		})
	}
	s.addSuspicion(g)
	return g
}

// targets returns the ids of the replicas of a shard that a sub-plan may send requests
// to. While the query asks only its first shard, this is one replica, so that the
// request can crash at most one target of that shard.
func (s *search) targets(unit int, dataCentre string) []string {
	ids := s.paths.targets(unit, dataCentre)
	if s.query.OnlyFirstSent() {
		ids = ids[:1]
	}
	return ids
}

// hedges returns the number of hedges of the root and of those that gatherers reported.
func (s *search) hedges() int {
	n := s.query.Hedges()
	for _, a := range s.attempts {
		if a.GetHedge() {
			n++
		}
	}
	return n
}

// loggedSubPlans returns all sub-plans in the order of their start.
func (s *search) loggedSubPlans() []SubPlan { return s.subPlans }
