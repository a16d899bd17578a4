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
	// returnMargin is taken off the remaining time for the way back.
	returnMargin = 2 * time.Millisecond
	// flushGap is the least time between two partials of a late sub-plan.
	flushGap = time.Millisecond
)

// flight is one sub-request of a job.
type flight struct {
	unit    int
	lane    *lane
	attempt *peer.Attempt
	request request
}

// job answers one sub-plan.
type job struct {
	gatherer *Gatherer
	nonce    uint64
	task     *peer.Gather
	// ctx holds the span of the sub-plan.
	ctx      context.Context
	trace    string
	digest   uint64
	start    time.Time
	deadline time.Time

	snapshot *indexer.Snapshot
	wanted   []*peer.Wanted
	query    *router.Query[string]
	events   batcher.Queue[reply]
	sink     func(reply)
	flights  map[uint64]*flight

	merged   *merger.Merger
	fresh    []string
	missing  []*peer.Missing
	reported []bool
	attempts []*peer.Attempt
	crashed  []string
	// sent counts the sub-requests that left for a target.
	sent    int
	flushed time.Time
}

func newJob(ctx context.Context, g *Gatherer, nonce uint64, task *peer.Gather) *job {
	now := g.clock.Now()
	j := &job{
		gatherer: g,
		nonce:    nonce,
		task:     task,
		ctx:      ctx,
		trace:    tracer.Inject(ctx),
		digest:   queryhasher.Hash(task.GetQuery()),
		start:    now,
		deadline: now.Add(time.Duration(task.GetRemaining())*time.Microsecond - returnMargin),
		flights:  make(map[uint64]*flight, len(task.GetShards())),
		fresh:    make([]string, 0, len(task.GetShards())),
		attempts: make([]*peer.Attempt, 0, len(task.GetShards())),
	}
	j.sink = func(r reply) { j.events.Put(r) }
	j.learn(now)
	j.index()
	j.merged = j.newMerger()
	terms := router.Options{
		Deadline:      j.deadline,
		Hedging:       !task.GetSuspected(),
		SeparateUnits: true,
		FirstUnit:     j.snapshot.IndexOf(task.GetFirst()) + 1,
	}
	j.query = router.New(j.snapshot.ShardCount(), terms, &selector{job: j}, g.budget, func() uint64 { return g.nonce.Add(1) })
	return j
}

// index builds the snapshot of the wanted shards, with units in key order.
func (j *job) index() {
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

func (j *job) run(ctx context.Context, emit func(*peer.Partial)) {
	j.gatherer.counts.Tasks.Add(1)
	j.apply(j.query.Start(j.start))
	timer := j.gatherer.clock.NewTimer(j.wait())
	defer timer.Stop()
	ready := j.events.Ready()
	for {
		j.flush(emit)
		if j.query.Done() {
			break
		}
		timer.Reset(j.wait())
		select {
		case <-ready:
			for _, r := range j.events.Drain() {
				j.receive(r)
			}
		case <-timer.Chan():
			j.apply(j.query.Tick(j.gatherer.clock.Now()))
		case <-ctx.Done():
			j.abandon()
			return
		}
	}
}

// wait returns the time until the query or the next flush is due.
func (j *job) wait() time.Duration {
	now := j.gatherer.clock.Now()
	d := j.query.NextTick().Sub(now)
	if len(j.fresh) > 0 {
		d = min(d, j.flushAt().Sub(now))
	}
	return max(d, 0)
}

// apply carries out the actions of the query.
func (j *job) apply(actions []router.Action[string]) {
	for _, a := range actions {
		if a.Cancel {
			if f := j.flights[a.Nonce]; f != nil {
				delete(j.flights, a.Nonce)
				sent := f.lane.withdraw(a.Nonce, j.late())
				j.conclude(f, target.Status_STATUS_CANCELLED, reply{
					sent: sent,
				})
			}
			continue
		}
		j.send(a)
	}
}

func (j *job) send(a router.Action[string]) {
	unit := a.Units[0]
	now := j.gatherer.clock.Now()
	l := j.gatherer.lane(a.Path)
	if l == nil {
		j.events.Put(reply{
			nonce: a.Nonce,
			err:   multiplexer.ErrNotSent,
		})
		return
	}
	f := &flight{
		unit: unit,
		lane: l,
		attempt: &peer.Attempt{
			Shard:  j.wanted[unit].GetShard(),
			Target: a.Path,
			Hedge:  a.Hedge,
			Start:  now.Sub(j.start).Microseconds(),
		},
		request: request{
			nonce:       a.Nonce,
			search:      j.search(unit),
			expiry:      j.deadline,
			fingerprint: j.task.GetFingerprint(),
			institution: j.task.GetInstitution(),
			sink:        j.sink,
		},
	}
	j.attempts = append(j.attempts, f.attempt)
	j.flights[a.Nonce] = f
	j.gatherer.counts.Sent.Add(1)
	if a.Hedge {
		j.gatherer.counts.Hedges.Add(1)
	}
	l.submit(&f.request)
}

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

// late reports whether the deadline has passed.
func (j *job) late() bool { return !j.gatherer.clock.Now().Before(j.deadline) }

// abandon withdraws what is in flight after the root lost interest.
func (j *job) abandon() {
	for nonce, f := range j.flights {
		f.lane.withdraw(nonce, j.late())
	}
}
