package gatherer

import (
	"context"
	"errors"
	"time"

	"go.opentelemetry.io/otel/attribute"

	"plantaincleat/entryd/pkg/exchanger"
	"plantaincleat/entryd/pkg/merger"
	"plantaincleat/entryd/pkg/router"
	"plantaincleat/tier/gen/peer"
	"plantaincleat/tier/gen/target"
	"plantaincleat/tier/pkg/batcher"
	"plantaincleat/tier/pkg/digester"
	"plantaincleat/tier/pkg/indexer"
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
		digest:   digester.Query(task.GetQuery()),
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
	terms := router.Terms{
		Deadline: j.deadline,
		Hedging:  !task.GetSuspected(),
		Separate: true,
		First:    j.snapshot.Find(task.GetFirst()) + 1,
	}
	j.query = router.New(j.snapshot.Len(), terms, &selector{job: j}, g.budget, func() uint64 { return g.nonce.Add(1) })
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
	d := j.query.Wake().Sub(now)
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
			err:   exchanger.ErrNotSent,
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

// receive handles what became of one sub-request.
func (j *job) receive(r reply) {
	now := j.gatherer.clock.Now()
	f := j.flights[r.nonce]
	if f == nil {
		j.apply(j.query.Lost(r.nonce, peer.Reason_REASON_UNREACHABLE, now))
		return
	}
	delete(j.flights, r.nonce)
	reason := j.judge(f, r)
	if reason == peer.Reason_REASON_UNSPECIFIED {
		j.apply(j.query.Answer(r.nonce, []int{f.unit}, nil, true, now))
		return
	}
	j.apply(j.query.Answer(r.nonce, nil, []router.Lack{{
		Unit:   f.unit,
		Reason: reason,
	}}, true, now))
}

// judge verifies and merges an answer. It returns why the answer does not
// count, or REASON_UNSPECIFIED if it does.
func (j *job) judge(f *flight, r reply) peer.Reason {
	counts := &j.gatherer.counts
	if r.err != nil {
		j.conclude(f, target.Status_STATUS_UNSPECIFIED, r)
		switch {
		case errors.Is(r.err, errWaiting):
			counts.Sheds.Add(1)
			return peer.Reason_REASON_SHED
		case errors.Is(r.err, errQuarantined):
			return peer.Reason_REASON_QUARANTINED
		}
		if errors.Is(r.err, exchanger.ErrLost) {
			counts.Lost.Add(1)
			j.crashed = append(j.crashed, f.lane.id)
		}
		return peer.Reason_REASON_UNREACHABLE
	}
	a := r.answer
	j.conclude(f, a.GetStatus(), r)
	if a.GetLoad().GetLeaving() {
		j.gatherer.departures.Announce(f.lane.id, a.GetIncarnation())
	}
	if a.GetStatus() != target.Status_STATUS_DONE {
		if a.GetStatus() == target.Status_STATUS_SHED {
			counts.Sheds.Add(1)
		}
		if reason, ok := reasons[a.GetStatus()]; ok {
			return reason
		}
		return peer.Reason_REASON_FAILED
	}
	shard := j.wanted[f.unit].GetShard()
	if a.GetTarget() != f.lane.id || a.GetShard() != shard || (a.GetQuery() != 0 && a.GetQuery() != j.digest) {
		counts.Crossed.Add(1)
		return peer.Reason_REASON_UNREACHABLE
	}
	if err := j.merged.Merge(a.GetSnapshot(), []string{shard}, a.GetRecords()); err != nil {
		counts.Crossed.Add(1)
		f.attempt.Error = err.Error()
		return peer.Reason_REASON_UNREACHABLE
	}
	j.fresh = append(j.fresh, shard)
	return peer.Reason_REASON_UNSPECIFIED
}

var reasons = map[target.Status]peer.Reason{
	target.Status_STATUS_UNSPECIFIED: peer.Reason_REASON_FAILED,
	target.Status_STATUS_SHED:        peer.Reason_REASON_SHED,
	target.Status_STATUS_LEAVING:     peer.Reason_REASON_LEAVING,
	target.Status_STATUS_DROPPED:     peer.Reason_REASON_DROPPED,
	target.Status_STATUS_ABSENT:      peer.Reason_REASON_UNREACHABLE,
	target.Status_STATUS_CANCELLED:   peer.Reason_REASON_FAILED,
	target.Status_STATUS_FAILED:      peer.Reason_REASON_FAILED,
	target.Status_STATUS_EXPIRED:     peer.Reason_REASON_LATE,
}

func (j *job) conclude(f *flight, status target.Status, r reply) {
	f.attempt.Status = status
	f.attempt.End = j.gatherer.clock.Since(j.start).Microseconds()
	if !r.sent.IsZero() && !errors.Is(r.err, exchanger.ErrNotSent) {
		f.attempt.Sent = max(r.sent.Sub(j.start).Microseconds(), 1)
		j.sent++
	}
	if r.err != nil {
		f.attempt.Error = r.err.Error()
	}
	j.span(f)
}

// span records a concluded sub-request as a hop of the trace.
func (j *job) span(f *flight) {
	if !tracer.Sampled(j.ctx) {
		return
	}
	start := j.start.Add(time.Duration(f.attempt.GetStart()) * time.Microsecond)
	end := j.start.Add(time.Duration(f.attempt.GetEnd()) * time.Microsecond)
	tracer.Record(j.ctx, "subrequest", start, end,
		attribute.String("target", f.attempt.GetTarget()),
		attribute.String("shard", f.attempt.GetShard()),
		attribute.String("status", f.attempt.GetStatus().String()))
}

// flushAt returns the earliest time of the next partial that only reports
// covered shards.
func (j *job) flushAt() time.Time {
	if j.flushed.IsZero() {
		return j.start.Add(j.gatherer.pace.Late())
	}
	return j.flushed.Add(flushGap)
}

// flush emits a partial if the sub-plan is done, if shards became missing
// (the root may ask elsewhere), or if it is late.
func (j *job) flush(emit func(*peer.Partial)) {
	j.collectMissing()
	now := j.gatherer.clock.Now()
	done := j.query.Done()
	if !done && len(j.missing) == 0 && (len(j.fresh) == 0 || now.Before(j.flushAt())) {
		return
	}
	p := &peer.Partial{
		Nonce:     j.nonce,
		Daemon:    j.gatherer.id,
		Snapshot:  j.snapshot.ID(),
		Covered:   j.fresh,
		Missing:   j.missing,
		Records:   j.merged.Records(),
		Last:      done,
		Sent:      uint32(j.sent),
		Crashed:   j.crashed,
		Slow:      j.slow(now),
		Suspicion: j.suspicion(now),
	}
	if done {
		p.Attempts = j.attempts
	}
	j.fresh, j.missing, j.crashed = nil, nil, nil
	j.merged = j.newMerger()
	j.flushed = now
	emit(p)
}

// slow lists the wanted targets that would answer late.
func (j *job) slow(now time.Time) []*peer.Slow {
	limit := j.gatherer.pace.Slow()
	var out []*peer.Slow
	seen := make(map[string]bool, 2*len(j.wanted))
	for _, w := range j.wanted {
		for _, id := range w.GetTargets() {
			if seen[id] {
				continue
			}
			seen[id] = true
			l := j.gatherer.lane(id)
			if l == nil {
				continue
			}
			if d := l.expected(now); d > limit {
				out = append(out, &peer.Slow{
					Target:  id,
					Finish:  d.Microseconds(),
					Service: l.gauge.Service().Microseconds(),
					Limit:   limit.Microseconds(),
				})
			}
		}
	}
	return out
}

func (j *job) collectMissing() {
	for i := range j.reported {
		if j.reported[i] || j.query.Covered(i) || !j.query.Closed(i) && !j.query.Done() {
			continue
		}
		j.reported[i] = true
		j.missing = append(j.missing, &peer.Missing{
			Shard:  j.wanted[i].GetShard(),
			Reason: j.query.Reason(i),
		})
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
