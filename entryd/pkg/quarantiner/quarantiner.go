// Package quarantiner detects requests that crash the targets that execute
// them, and keeps them from further targets.
//
// A target counts as lost if it closes its connection or comes back with
// another incarnation. The requests that were in flight on it are suspected:
// those that have not completed on the same shard before or, if there are none,
// all of them. The next attempt of a suspected request runs alone on another
// target, and on one target at a time. If the attempt completes on the shard of
// the loss, the suspicion ends. If it completes on another shard, the request
// remains restrained on the shard of the loss only. If the target of the attempt
// is lost as well, the request is quarantined after a short wait, unless many
// targets are lost around the same time, as in a network partition. A request
// that was only in flight beside the one that caused a crash is therefore sent
// again and not refused.
//
// Quarantines and suspicions are exchanged between daemons as notices, which
// merge to the same state in any order. A root also sends its notice of a
// request with each sub-plan and merges the notices in the partials, because the
// replicas of a shard may belong to different gatherers.
package quarantiner

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"plantaincleat/tier/gen/peer"
)

const (
	// DefaultPeriod is how long a quarantine lasts by default.
	DefaultPeriod = 10 * time.Minute
	// DefaultCapacity is the number of fingerprints that are kept by default.
	DefaultCapacity = 4096

	// suspicionPeriod is how long a suspicion lasts.
	suspicionPeriod = 30 * time.Second
	// lossWindow is the time before and after a loss within which other losses
	// are counted.
	lossWindow = 500 * time.Millisecond
	// massLossThreshold is the number of distinct targets lost within a
	// lossWindow that cannot be explained by a single request.
	massLossThreshold = 5
	// reservationPeriod is how long a target is reserved for a suspected
	// request that has not asked again.
	reservationPeriod = 50 * time.Millisecond
	// maxSuspicions bounds the number of suspicions in one list of notices.
	maxSuspicions = 64
)

// Settings configures a Quarantiner. Zero fields take the defaults.
type Settings struct {
	// Period is how long a quarantine lasts.
	Period time.Duration
	// Capacity is the number of fingerprints that are kept.
	Capacity int
	// Canary makes Plan ask for one shard first for every request that has
	// not completed before ("canary requests": Dean and Barroso, "The Tail
	// at Scale", CACM 2013).
	Canary bool
}

// Mode is how a request may be distributed over its shards.
type Mode int

// Modes of a request.
const (
	// Unrestricted sends the request to all shards at once.
	Unrestricted Mode = iota
	// Canary asks one shard first, and the others once it has completed.
	Canary
	// Refused sends the request to no shard.
	Refused
)

// Plan describes how a request is to be executed.
type Plan struct {
	Mode Mode
	// Shard is the shard to ask first if the request is suspected there. It is
	// empty if any shard may be first.
	Shard string
	// Suspected tells that the request is suspected, pending or quarantined. Such
	// a request must not be hedged.
	Suspected bool
	// Expires is when the refusal ends.
	Expires time.Time
}

// Quarantiner holds the suspicions and quarantines that one daemon knows of. It
// is safe for concurrent use.
type Quarantiner struct {
	period      atomic.Int64
	capacity    int
	canary      bool
	completions completions
	// effective is the number of entries that are suspected, pending or
	// quarantined. Only these restrain requests. While the number is zero,
	// requests do not take mu.
	effective atomic.Int64

	mu      sync.Mutex
	entries map[uint64]*entry
	targets map[string]*Target
	losses  []loss
}

// loss records when a target was lost.
type loss struct {
	target string
	at     time.Time
}

// New returns a Quarantiner without entries.
func New(s Settings) *Quarantiner {
	q := &Quarantiner{
		capacity: s.Capacity,
		canary:   s.Canary,
		entries:  map[uint64]*entry{},
		targets:  map[string]*Target{},
	}
	if q.capacity <= 0 {
		q.capacity = DefaultCapacity
	}
	q.SetPeriod(s.Period)
	return q
}

// SetPeriod changes how long quarantines that start later last. Zero or less
// means DefaultPeriod.
func (q *Quarantiner) SetPeriod(d time.Duration) {
	if d <= 0 {
		d = DefaultPeriod
	}
	q.period.Store(int64(d))
}

// Plan returns how to execute a request.
func (q *Quarantiner) Plan(now time.Time, fingerprint uint64) Plan {
	if q.effective.Load() > 0 {
		q.mu.Lock()
		defer q.mu.Unlock()
		if e := q.find(now, fingerprint); e != nil && e.effective() {
			return e.plan()
		}
	}
	if q.canary && !q.completions.has(fingerprint, "") {
		return Plan{
			Mode: Canary,
		}
	}
	return Plan{}
}

// plan returns how to execute a request that the entry restrains.
func (e *entry) plan() Plan {
	p := Plan{
		Mode:      Refused,
		Suspected: true,
		Expires:   e.expires,
	}
	if e.state == pending {
		p.Expires = e.pendingUntil
	}
	if e.state >= pending {
		return p
	}
	return Plan{
		Mode:      Canary,
		Shard:     e.shard,
		Suspected: true,
	}
}

// RecordCompletion records that a request was answered by all of its shards.
func (q *Quarantiner) RecordCompletion(fingerprint uint64) {
	q.completions.add(fingerprint, "")
}

// Suspected reports whether a request is suspected, pending or quarantined.
// Such a request must not be hedged.
func (q *Quarantiner) Suspected(now time.Time, fingerprint uint64) bool {
	if q.effective.Load() == 0 {
		return false
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	e := q.find(now, fingerprint)
	return e != nil && e.effective()
}

// Merge merges a notice from another daemon and reports whether anything has
// changed.
func (q *Quarantiner) Merge(now time.Time, n *peer.Quarantine) bool {
	if !validNotice(n) || !now.Before(time.UnixMilli(n.GetExpires())) {
		return false
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	e := q.find(now, n.GetFingerprint())
	if e != nil && !e.replacedBy(n) {
		return e.extend(n)
	}
	if e == nil {
		if e = q.insert(now, n.GetFingerprint()); e == nil {
			return false
		}
	}
	e.replace(n)
	_, s := decodeEpoch(n)
	q.setState(e, s)
	if s == pending {
		// The daemon that recorded the loss resolves its entry after one
		// lossWindow. This daemon waits longer, so that the notice of the result
		// can arrive first.
		e.pendingSince, e.pendingUntil = now, now.Add(2*lossWindow)
	}
	return true
}

// Notice returns the notice of a request that is suspected, pending or
// quarantined, and nil for any other.
func (q *Quarantiner) Notice(now time.Time, fingerprint uint64) *peer.Quarantine {
	if q.effective.Load() == 0 {
		return nil
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	e := q.find(now, fingerprint)
	if e == nil || !e.effective() {
		return nil
	}
	return e.notice()
}

// Notices returns the notices for other daemons: all quarantines and
// clearances, and the suspicions that expire last.
func (q *Quarantiner) Notices(now time.Time) []*peer.Quarantine {
	q.mu.Lock()
	defer q.mu.Unlock()
	var out, suspicions []*peer.Quarantine
	for _, e := range q.sorted(now) {
		switch e.state {
		case cleared, quarantined:
			out = append(out, e.notice())
		case suspected, pending:
			suspicions = append(suspicions, e.notice())
		}
	}
	slices.SortStableFunc(suspicions, func(x, y *peer.Quarantine) int {
		return cmp.Compare(y.GetExpires(), x.GetExpires())
	})
	return append(out, suspicions[:min(len(suspicions), maxSuspicions)]...)
}

// List returns the quarantines in force, ordered by fingerprint.
func (q *Quarantiner) List(now time.Time) []*peer.Quarantine {
	q.mu.Lock()
	defer q.mu.Unlock()
	var out []*peer.Quarantine
	for _, e := range q.sorted(now) {
		if e.state == quarantined {
			out = append(out, e.notice())
		}
	}
	return out
}

// Clear lifts the suspicion or quarantine of a fingerprint and reports whether
// there was one. The clearance has a higher epoch, so that older notices do not
// restore the quarantine.
func (q *Quarantiner) Clear(now time.Time, fingerprint uint64) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	e := q.find(now, fingerprint)
	if e == nil || !e.effective() {
		return false
	}
	e.generation++
	e.targets, e.shard = nil, ""
	e.expires = now.Add(time.Duration(q.period.Load()))
	q.setState(e, cleared)
	return true
}
