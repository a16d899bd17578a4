package gatherer

import (
	"context"
	"time"

	"plantaincleat/entryd/pkg/merger"
	"plantaincleat/entryd/pkg/multiplexer"
	"plantaincleat/entryd/pkg/router"
	"plantaincleat/tier/gen/peer"
	"plantaincleat/tier/gen/target"
	"plantaincleat/tier/pkg/batcher"
	"plantaincleat/tier/pkg/indexer"
	"plantaincleat/tier/pkg/queryhasher"
	"plantaincleat/tier/pkg/tracer"
)

const (
	// returnMargin is the part of the remaining time that is reserved for sending the
	// last partial to the root.
	returnMargin = 2 * time.Millisecond
	// minFlushInterval is the least time between two partials of a late sub-plan that
	// report only covered shards.
	minFlushInterval = time.Millisecond
)

// subRequest is one sub-request of a job that is waiting or in flight.
type subRequest struct {
	unit    int
	queue   *targetQueue
	attempt *peer.Attempt
	request request
}

// job answers one sub-plan. Only the goroutine of run accesses it, except for events.
type job struct {
	gatherer *Gatherer
	nonce    uint64
	task     *peer.Gather
	// ctx holds the span of the sub-plan.
	ctx context.Context
	// trace is the trace context that sub-requests carry.
	trace string
	// queryHash is the hash of the query. Answers may contain it for verification.
	queryHash uint64
	start     time.Time
	deadline  time.Time

	// snapshot contains only the shards of the sub-plan. The index of a shard is its
	// unit.
	snapshot *indexer.Snapshot
	// wanted holds the shards in the order of the units.
	wanted []*peer.Wanted
	// query identifies a path by the id of its target.
	query  *router.Query[string]
	events batcher.Queue[reply]
	// sink adds a reply to events.
	sink func(reply)
	// pending maps nonces to sub-requests that are waiting or in flight.
	pending map[uint64]*subRequest

	// merged holds the records that were merged since the last partial.
	merged *merger.Merger
	// newlyCovered and missing hold the shards to report in the next partial.
	newlyCovered []string
	missing      []*peer.Missing
	// reported holds, for each unit, whether it was reported as missing.
	reported []bool
	attempts []*peer.Attempt
	// crashed holds the ids of targets that crashed since the last partial.
	crashed []string
	// sent is the number of sub-requests that were sent to a target.
	sent int
	// lastFlush is the time of the last partial, zero before the first.
	lastFlush time.Time
}

// newJob returns the job of a sub-plan. It merges the quarantine notice of the sub-plan.
func newJob(ctx context.Context, g *Gatherer, nonce uint64, task *peer.Gather) *job {
	now := g.clock.Now()
	j := &job{
		gatherer:     g,
		nonce:        nonce,
		task:         task,
		ctx:          ctx,
		trace:        tracer.Inject(ctx),
		queryHash:    queryhasher.Hash(task.GetQuery()),
		start:        now,
		deadline:     now.Add(time.Duration(task.GetRemaining())*time.Microsecond - returnMargin),
		pending:      make(map[uint64]*subRequest, len(task.GetShards())),
		newlyCovered: make([]string, 0, len(task.GetShards())),
		attempts:     make([]*peer.Attempt, 0, len(task.GetShards())),
	}
	j.sink = func(r reply) { j.events.Put(r) }
	j.mergeSuspicion(now)
	j.buildSnapshot()
	j.merged = j.newMerger()
	options := router.Options{
		Deadline:      j.deadline,
		Hedging:       !task.GetSuspected(),
		SeparateUnits: true,
		FirstUnit:     j.snapshot.IndexOf(task.GetFirst()) + 1,
	}
	j.query = router.New(j.snapshot.ShardCount(), options, &selector{job: j}, g.budget, func() uint64 { return g.nonce.Add(1) })
	return j
}

// buildSnapshot builds a snapshot of the shards of the sub-plan. Units are in key order.
func (j *job) buildSnapshot() {
	shards := make([]indexer.Shard, 0, len(j.task.GetShards()))
	byID := make(map[string]*peer.Wanted, len(j.task.GetShards()))
	for _, w := range j.task.GetShards() {
		shards = append(shards, indexer.NewShard(w.GetShard(), w.GetFrom(), w.GetTo()))
		byID[w.GetShard()] = w
	}
	j.snapshot = indexer.NewSnapshot(j.task.GetCollection(), j.task.GetVersion(), j.task.GetSnapshot(), shards)
	j.wanted = make([]*peer.Wanted, len(shards))
	for i := range j.wanted {
		j.wanted[i] = byID[j.snapshot.Shard(i).ID()]
	}
	j.reported = make([]bool, len(shards))
}

func (j *job) newMerger() *merger.Merger {
	return merger.New(j.snapshot, int(j.task.GetQuery().GetLimit()))
}

// run answers the sub-plan until the query is done or ctx ends.
func (j *job) run(ctx context.Context, emit func(*peer.Partial)) {
	j.gatherer.counts.Tasks.Add(1)
	j.apply(j.query.Start(j.start))
	timer := j.gatherer.clock.NewTimer(j.untilNextEvent())
	defer timer.Stop()
	ready := j.events.Ready()
	for {
		j.flush(emit)
		if j.query.Done() {
			break
		}
		timer.Reset(j.untilNextEvent())
		select {
		case <-ready:
			for _, r := range j.events.Drain() {
				j.receive(r)
			}
		case <-timer.Chan():
			j.apply(j.query.Tick(j.gatherer.clock.Now()))
		case <-ctx.Done():
			j.cancelAll()
			return
		}
	}
}

// untilNextEvent returns the time until the next tick of the query or the next flush.
func (j *job) untilNextEvent() time.Duration {
	now := j.gatherer.clock.Now()
	d := j.query.NextTick().Sub(now)
	if len(j.newlyCovered) > 0 {
		d = min(d, j.nextFlush().Sub(now))
	}
	return max(d, 0)
}

// apply carries out the actions of the query.
func (j *job) apply(actions []router.Action[string]) {
	for _, a := range actions {
		if a.Cancel {
			if sub := j.pending[a.Nonce]; sub != nil {
				delete(j.pending, a.Nonce)
				sent := sub.queue.cancel(a.Nonce, j.deadlinePassed())
				j.recordAttempt(sub, target.Status_STATUS_CANCELLED, reply{
					sent: sent,
				})
			}
			continue
		}
		j.send(a)
	}
}

// send submits one sub-request to the queue of its target.
func (j *job) send(a router.Action[string]) {
	unit := a.Units[0]
	now := j.gatherer.clock.Now()
	q := j.gatherer.queue(a.Path)
	if q == nil {
		j.events.Put(reply{
			nonce: a.Nonce,
			err:   multiplexer.ErrNotSent,
		})
		return
	}
	sub := &subRequest{
		unit:  unit,
		queue: q,
		attempt: &peer.Attempt{
			Shard:  j.wanted[unit].GetShard(),
			Target: a.Path,
			Hedge:  a.Hedge,
			Start:  now.Sub(j.start).Microseconds(),
		},
		request: request{
			nonce:       a.Nonce,
			search:      j.search(unit),
			deadline:    j.deadline,
			fingerprint: j.task.GetFingerprint(),
			institution: j.task.GetInstitution(),
			sink:        j.sink,
		},
	}
	j.attempts = append(j.attempts, sub.attempt)
	j.pending[a.Nonce] = sub
	j.gatherer.counts.Sent.Add(1)
	if a.Hedge {
		j.gatherer.counts.Hedges.Add(1)
	}
	q.submit(&sub.request)
}

// search returns the request to a target for one unit.
func (j *job) search(unit int) *target.Search {
	return &target.Search{
		Collection: j.task.GetCollection(),
		Version:    j.task.GetVersion(),
		Snapshot:   j.task.GetSnapshot(),
		Shard:      j.wanted[unit].GetShard(),
		Query:      j.task.GetQuery(),
		Trace:      j.trace,
	}
}

// deadlinePassed reports whether the deadline of the sub-plan has passed.
func (j *job) deadlinePassed() bool { return !j.gatherer.clock.Now().Before(j.deadline) }

// cancelAll cancels all sub-requests after the root has cancelled the sub-plan or its
// stream has ended.
func (j *job) cancelAll() {
	for nonce, sub := range j.pending {
		sub.queue.cancel(nonce, j.deadlinePassed())
	}
}
