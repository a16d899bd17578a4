package gatherer

import (
	"time"

	"plantaincleat/tier/gen/peer"
)

// flushAt returns the earliest time of the next partial that only reports
// covered shards.
func (j *job) flushAt() time.Time {
	if j.flushed.IsZero() {
		return j.start.Add(j.gatherer.pace.LateAfter())
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
	limit := j.gatherer.pace.SlowThreshold()
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
