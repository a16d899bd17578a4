package quarantiner

import (
	"cmp"
	"slices"
	"time"
)

// find returns the entry of a fingerprint, or nil if there is none. It removes
// an expired entry and resolves a pending one that is due. q.mu is held.
func (q *Quarantiner) find(now time.Time, fingerprint uint64) *entry {
	e := q.entries[fingerprint]
	if e == nil {
		return nil
	}
	if e.state == pending && !now.Before(e.pendingUntil) {
		q.resolve(e)
	}
	if !now.Before(e.expires) {
		q.remove(e)
		return nil
	}
	return e
}

// resolve ends the pending state of an entry. It becomes quarantined, or
// suspected again if many targets were lost around the same time.
func (q *Quarantiner) resolve(e *entry) {
	if q.countLosses(e.pendingSince.Add(-lossWindow), e.pendingSince.Add(lossWindow)) >= massLossThreshold {
		e.generation++
		e.targets = e.targets[:1]
		q.setState(e, suspected)
		return
	}
	e.expires = e.pendingSince.Add(time.Duration(q.period.Load()))
	q.setState(e, quarantined)
}

// insert adds an entry. If the Quarantiner is full, it replaces the entry that
// expires first among those that are neither pending nor quarantined. It
// returns nil if there is no such entry.
func (q *Quarantiner) insert(now time.Time, fingerprint uint64) *entry {
	if len(q.entries) >= q.capacity {
		q.evict(now)
	}
	if len(q.entries) >= q.capacity {
		return nil
	}
	e := &entry{
		fingerprint: fingerprint,
	}
	q.entries[fingerprint] = e
	return e
}

// evict removes the entry that expires first among those that are neither
// pending nor quarantined.
func (q *Quarantiner) evict(now time.Time) {
	var first *entry
	for _, e := range q.sorted(now) {
		if e.state < pending && (first == nil || e.expires.Before(first.expires)) {
			first = e
		}
	}
	if first != nil && len(q.entries) >= q.capacity {
		q.remove(first)
	}
}

// sorted returns the entries that have not expired, ordered by fingerprint.
func (q *Quarantiner) sorted(now time.Time) []*entry {
	out := make([]*entry, 0, len(q.entries))
	for f := range q.entries {
		if e := q.find(now, f); e != nil {
			out = append(out, e)
		}
	}
	slices.SortFunc(out, func(x, y *entry) int {
		return cmp.Compare(x.fingerprint, y.fingerprint)
	})
	return out
}

// setState changes an entry's state and updates the count of effective entries.
func (q *Quarantiner) setState(e *entry, s state) {
	before := e.effective()
	e.state = s
	q.countEffective(before, e.effective())
}

// remove removes an entry.
func (q *Quarantiner) remove(e *entry) {
	q.countEffective(e.effective(), false)
	delete(q.entries, e.fingerprint)
}

// countEffective updates the number of effective entries after an entry has
// changed from before to after.
func (q *Quarantiner) countEffective(before, after bool) {
	switch {
	case after && !before:
		q.effective.Add(1)
	case before && !after:
		q.effective.Add(-1)
	}
}

// suspect records that a request was in flight on a lost target.
func (q *Quarantiner) suspect(now time.Time, a Attempt, target string) {
	e := q.find(now, a.fingerprint)
	if e == nil {
		if e = q.insert(now, a.fingerprint); e == nil {
			return
		}
	}
	if e.effective() && e.state != suspected {
		return
	}
	if e.state != suspected {
		e.institution = a.institution
		e.targets = []string{target}
		e.shard = a.shard
		q.setState(e, suspected)
	}
	e.shardOnly = false
	e.expires = now.Add(suspicionPeriod)
}

// addLoss records the loss of a target. It removes old losses and earlier ones
// of the same target.
func (q *Quarantiner) addLoss(now time.Time, target string) {
	q.losses = slices.DeleteFunc(q.losses, func(l loss) bool {
		return l.target == target || now.Sub(l.at) > 4*lossWindow
	})
	q.losses = append(q.losses, loss{
		target: target,
		at:     now,
	})
}

// countLosses returns the number of distinct targets lost between two times,
// both included.
func (q *Quarantiner) countLosses(from, to time.Time) int {
	n := 0
	for _, l := range q.losses {
		if !l.at.Before(from) && !l.at.After(to) {
			n++
		}
	}
	return n
}
