package gatherer

import (
	"time"

	"plantaincleat/tier/gen/peer"
)

// nextFlush returns the earliest time at which a partial may report covered shards
// while the sub-plan is still open. Partials with missing shards are sent earlier.
func (j *job) nextFlush() time.Time {
	if j.lastFlush.IsZero() {
		return j.start.Add(j.gatherer.latencies.LateAfter())
	}
	return j.lastFlush.Add(minFlushInterval)
}

// flush emits a partial in one of three cases: the sub-plan is done; shards became
// missing, so that the root may send them to another gatherer; or the sub-plan is late
// and has newly covered shards.
func (j *job) flush(emit func(*peer.Partial)) {
	j.collectMissing()
	now := j.gatherer.clock.Now()
	done := j.query.Done()
	if !done && len(j.missing) == 0 && (len(j.newlyCovered) == 0 || now.Before(j.nextFlush())) {
		return
	}
	p := &peer.Partial{
		Nonce:     j.nonce,
		Daemon:    j.gatherer.id,
		Snapshot:  j.snapshot.ID(),
		Covered:   j.newlyCovered,
		Missing:   j.missing,
		Records:   j.merged.Records(),
		Last:      done,
		Sent:      uint32(j.sent),
		Crashed:   j.crashed,
		Slow:      j.slowTargets(now),
		Suspicion: j.suspicion(now),
	}
	if done {
		p.Attempts = j.attempts
	}
	j.newlyCovered, j.missing, j.crashed = nil, nil, nil
	j.merged = j.newMerger()
	j.lastFlush = now
	emit(p)
}

// slowTargets returns the targets of the sub-plan whose expected latency exceeds the
// threshold for slow targets.
func (j *job) slowTargets(now time.Time) []*peer.Slow {
	limit := j.gatherer.latencies.SlowThreshold()
	var out []*peer.Slow
	seen := make(map[string]bool, 2*len(j.wanted))
	for _, w := range j.wanted {
		for _, id := range w.GetTargets() {
			if seen[id] {
				continue
			}
			seen[id] = true
			q := j.gatherer.queue(id)
			if q == nil {
				continue
			}
			if d := q.expectedLatency(now); d > limit {
				out = append(out, &peer.Slow{
					Target:  id,
					Finish:  d.Microseconds(),
					Service: q.estimator.Service().Microseconds(),
					Limit:   limit.Microseconds(),
				})
			}
		}
	}
	return out
}

// collectMissing adds the shards that were closed since the last partial to the next
// one. Once the query is done, these are all shards that are not covered.
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
