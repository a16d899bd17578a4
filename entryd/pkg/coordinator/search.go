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

// event is a partial, or the error that ended a sub-plan.
type event struct {
	nonce   uint64
	partial *peer.Partial
	err     error
}

// subplan is one sub-plan in flight.
type subplan struct {
	path   Path
	units  map[string]int
	order  int
	cancel context.CancelFunc
	asked  []string
	peer   *neighbour
	local  bool
	ticket estimator.Ticket
	heard  bool
	sent   uint32
}

// search is one try of a query on one snapshot.
type search struct {
	root     *Coordinator
	request  *Request
	index    *indexer.Index
	snapshot *indexer.Snapshot
	plan     *plan
	start    time.Time

	ctx      context.Context
	query    *router.Query[Path]
	merged   *merger.Merger
	events   batcher.Queue[event]
	subplans map[uint64]*subplan
	// reported tells for each shard whether a gatherer that was asked for it
	// has given a sign of life.
	reported []bool
	log      []SubPlan
	attempts []*peer.Attempt
	crashed  []string
	// refused tells that the request must not run, and halted that it is not
	// spread any further.
	refused, halted bool
	// sent counts the sub-requests to targets.
	sent    int
	dropped bool
}

func newSearch(c *Coordinator, r *Request, ix *indexer.Index, snapshot *indexer.Snapshot) *search {
	s := &search{
		root:     c,
		request:  r,
		index:    ix,
		snapshot: snapshot,
		plan:     c.plan(snapshot),
		start:    c.Clock.Now(),
		merged:   merger.New(snapshot, int(r.Query.GetLimit())),
		subplans: map[uint64]*subplan{},
		reported: make([]bool, snapshot.ShardCount()),
	}
	terms := router.Options{
		Deadline:  r.Deadline,
		Goal:      r.Goal,
		Floor:     r.Floor,
		Hedging:   !r.Suspected,
		FirstUnit: canary(r, snapshot),
	}
	ch := &chooser{
		root:    c,
		plan:    s.plan,
		avoided: map[string]bool{},
	}
	s.query = router.New(snapshot.ShardCount(), terms, ch, c.Budget, func() uint64 { return c.nonce.Add(1) })
	return s
}

// canary returns one more than the shard to ask first, 0 for all at once.
func canary(r *Request, snapshot *indexer.Snapshot) int {
	if !r.Canary || snapshot.ShardCount() == 0 {
		return 0
	}
	if i := snapshot.IndexOf(r.FirstShard); i >= 0 {
		return i + 1
	}
	return int(r.Fingerprint%uint64(snapshot.ShardCount())) + 1
}

// reason tells why a shard is missing. A shard whose gatherers gave no sign of
// life was not late for want of capacity.
func (s *search) reason(unit int) peer.Reason {
	r := s.query.Reason(unit)
	if r == peer.Reason_REASON_LATE && !s.reported[unit] {
		return peer.Reason_REASON_UNREACHABLE
	}
	return r
}

// quarantined reports whether targets were kept from the request.
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

// run drives the query to its end. All of its state belongs to the calling
// goroutine.
func (s *search) run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.ctx = ctx
	clock := s.root.Clock
	s.apply(s.query.Start(s.start))
	timer := clock.NewTimer(s.query.NextTick().Sub(clock.Now()))
	defer timer.Stop()
	ready := s.events.Ready()
	for !s.query.Done() && !s.dropped && !s.refused && !s.halted {
		timer.Reset(max(s.query.NextTick().Sub(clock.Now()), 0))
		select {
		case <-ready:
			for _, e := range s.events.Drain() {
				s.receive(e)
			}
		case <-timer.Chan():
			s.apply(s.query.Tick(clock.Now()))
		case <-ctx.Done():
			s.abandon()
			return
		}
	}
	s.abandon()
}

func (s *search) apply(actions []router.Action[Path]) {
	if s.refused {
		return
	}
	if s.halts(actions) {
		s.halted = true
		return
	}
	for _, a := range actions {
		if a.Cancel {
			s.withdraw(a.Nonce)
			continue
		}
		s.send(a)
	}
}

func (s *search) send(a router.Action[Path]) {
	p := &subplan{
		path:  a.Path,
		units: make(map[string]int, len(a.Units)),
		order: len(s.log),
	}
	ids := make([]string, 0, len(a.Units))
	for _, u := range a.Units {
		id := s.snapshot.Shard(u).ID()
		p.units[id] = u
		ids = append(ids, id)
	}
	s.log = append(s.log, SubPlan{
		Daemon:     a.Path.Daemon.ID,
		DataCentre: a.Path.DataCentre,
		Shards:     ids,
		Hedge:      a.Hedge,
		Start:      s.root.Clock.Since(s.start).Microseconds(),
	})
	s.subplans[a.Nonce] = p
	ctx, span := tracer.StartSpan(s.ctx, "subplan", attribute.String("daemon", a.Path.Daemon.ID))
	ctx, cancel := context.WithCancel(ctx)
	p.cancel = func() {
		cancel()
		span.End()
	}
	task := s.task(ctx, a)
	p.asked = targetsOf(task)
	p.peer = s.root.neighbour(a.Path.Daemon.Address)
	p.ticket = p.peer.gauge.Send(s.root.Clock.Now())
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
	s.suspect(g)
	return g
}

// targets returns the replicas of a shard that a sub-plan may ask: one while the
// query asks one shard only, so that it can crash no more.
func (s *search) targets(unit int, dataCentre string) []string {
	ids := s.plan.targets(unit, dataCentre)
	if s.query.Holding() {
		ids = ids[:1]
	}
	return ids
}

// hedges returns the hedges of the root and those that gatherers reported.
func (s *search) hedges() int {
	n := s.query.Hedges()
	for _, a := range s.attempts {
		if a.GetHedge() {
			n++
		}
	}
	return n
}

func (s *search) plans() []SubPlan { return s.log }
