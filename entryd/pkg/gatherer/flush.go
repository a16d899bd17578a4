package gatherer

import (
	"time"

	"plantaincleat/tier/gen/peer"
)

// nextFlush returns the earliest time of the next partial that only reports
// covered shards.
func (j *job) nextFlush() time.Time {
	if j.lastFlush.IsZero() {
		return j.start.Add(j.gatherer.latencies.LateAfter())
	}
	return j.lastFlush.Add(minFlushInterval)
}

// flush emits a partial if the sub-plan is done, if shards became missing
// (the root may ask elsewhere), or if it is late.
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

// slowTargets lists the wanted targets that would answer late.
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
