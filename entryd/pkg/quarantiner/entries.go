package quarantiner

import (
	"cmp"
	"slices"
	"time"
)

// find returns the entry of a fingerprint, or nil. It forgets an entry that
// has expired, and decides on a charge that is due.
func (q *Quarantiner) find(now time.Time, fingerprint uint64) *entry {
	e := q.entries[fingerprint]
	if e == nil {
		return nil
	}
	if e.state == charged && !now.Before(e.judged) {
		q.judge(e)
	}
	if !now.Before(e.expires) {
		q.remove(e)
		return nil
	}
	return e
}

// judge ends a charge: in a quarantine, or in a mere suspicion if many targets
// were lost about that time.
func (q *Quarantiner) judge(e *entry) {
	if q.lost(e.charged.Add(-settle), e.charged.Add(settle)) >= manyLosses {
		e.generation++
		e.targets = e.targets[:1]
		q.set(e, suspected)
		return
	}
	e.expires = e.charged.Add(time.Duration(q.period.Load()))
	q.set(e, quarantined)
}

// insert adds an entry, if need be in place of the suspicion or clearance that
// ends first. It returns nil if all entries are quarantines.
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

// evict makes room for an entry.
func (q *Quarantiner) evict(now time.Time) {
	var first *entry
	for _, e := range q.sorted(now) {
		if e.state < charged && (first == nil || e.expires.Before(first.expires)) {
			first = e
		}
	}
	if first != nil && len(q.entries) >= q.capacity {
		q.remove(first)
	}
}

// sorted returns the entries that have not expired, by fingerprint.
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

// set changes an entry's state.
func (q *Quarantiner) set(e *entry, s state) {
	before := e.effective()
	e.state = s
	q.count(before, e.effective())
}

// remove forgets an entry.
func (q *Quarantiner) remove(e *entry) {
	q.count(e.effective(), false)
	delete(q.entries, e.fingerprint)
}

// count keeps the number of effective entries.
func (q *Quarantiner) count(before, after bool) {
	switch {
	case after && !before:
		q.effective.Add(1)
	case before && !after:
		q.effective.Add(-1)
	}
}

// suspect records that a request was in flight on a lost target.
func (q *Quarantiner) suspect(now time.Time, r Attempt, target string) {
	e := q.find(now, r.fingerprint)
	if e == nil {
		if e = q.insert(now, r.fingerprint); e == nil {
			return
		}
	}
	if e.effective() && e.state != suspected {
		return
	}
	if e.state != suspected {
		e.institution = r.institution
		e.targets = []string{target}
		e.shard = r.shard
		q.set(e, suspected)
	}
	e.narrow = false
	e.expires = now.Add(suspicionPeriod)
}

// lose records the loss of a target and forgets old ones.
func (q *Quarantiner) lose(now time.Time, target string) {
	q.losses = slices.DeleteFunc(q.losses, func(l loss) bool {
		return l.target == target || now.Sub(l.at) > 4*settle
	})
	q.losses = append(q.losses, loss{
		target: target,
		at:     now,
	})
}

// lost returns the number of distinct targets lost within two times.
func (q *Quarantiner) lost(from, to time.Time) int {
	n := 0
	for _, l := range q.losses {
		if !l.at.Before(from) && !l.at.After(to) {
			n++
		}
	}
	return n
}
