// Package quarantiner finds requests that crash the targets that run them, and
// keeps them from further targets.
//
// A target whose connection is closed by it, or that comes back with another
// incarnation, is lost. Every request that was in flight there is suspected,
// but for those that completed on the same shard before, if there are others.
// A suspect runs next alone on another target, and on one target at a time. If
// it completes on the shard of the loss, it is exonerated; if on another one, it is
// restrained on the shard of the loss only. If that target is lost too, the request is
// quarantined, once it is clear that the loss was not one of many, as in a
// network partition. So a request that shares a crash with its cause runs
// again and is not refused.
//
// Quarantines and suspicions are exchanged between daemons as notices, which
// merge to the same state in any order. A root passes what it knows with each
// sub-plan, and learns from the partials, because the replicas of a shard may
// belong to different gatherers.
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
	// DefaultPeriod is the time for which a quarantine lasts.
	DefaultPeriod = 10 * time.Minute
	// DefaultCapacity is the number of fingerprints that are kept.
	DefaultCapacity = 4096

	// suspicionPeriod is the time for which a suspicion lasts.
	suspicionPeriod = 30 * time.Second
	// settle is the time before and after a loss in which other losses are
	// counted.
	settle = 500 * time.Millisecond
	// manyLosses is the number of distinct targets lost within a settle time
	// that no single request explains.
	manyLosses = 5
	// reservePeriod is the time for which a target is kept free for a
	// suspect that has not asked again.
	reservePeriod = 50 * time.Millisecond
	// maxNotices bounds the suspicions in one list of notices.
	maxNotices = 64
)

// Settings configure a Quarantiner. Zero fields take defaults.
type Settings struct {
	// Period is the time for which a quarantine lasts.
	Period time.Duration
	// Capacity is the number of fingerprints that are kept.
	Capacity int
	// Canary makes Plan ask for one shard first for every request that has
	// not completed before ("canary requests": Dean and Barroso, "The Tail
	// at Scale", CACM 2013).
	Canary bool
}

// Mode is how a request may be spread over its shards.
type Mode int

// Modes of a request.
const (
	// Unrestricted asks all shards at once.
	Unrestricted Mode = iota
	// Canary asks one shard first, and the others once it has completed.
	Canary
	// Refused runs nothing.
	Refused
)

// Plan tells how to run a request.
type Plan struct {
	Mode Mode
	// Shard is the one to ask first if the request is suspected there. It
	// is empty if any will do.
	Shard string
	// Suspected forbids hedges.
	Suspected bool
	// Expires is the end of the refusal.
	Expires time.Time
}

// Quarantiner holds what one daemon knows. It is safe for concurrent use.
type Quarantiner struct {
	period   atomic.Int64
	capacity int
	canary   bool
	proofs   proofs
	// effective is the number of entries that restrain requests. While it is
	// zero, requests take no common lock.
	effective atomic.Int64

	mu      sync.Mutex
	entries map[uint64]*entry
	targets map[string]*Target
	losses  []loss
}

// loss is the time at which a target was lost.
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

// SetPeriod changes how long later quarantines last.
func (q *Quarantiner) SetPeriod(d time.Duration) {
	if d <= 0 {
		d = DefaultPeriod
	}
	q.period.Store(int64(d))
}

// Plan tells how to run a request.
func (q *Quarantiner) Plan(now time.Time, fingerprint uint64) Plan {
	if q.effective.Load() > 0 {
		q.mu.Lock()
		defer q.mu.Unlock()
		if e := q.find(now, fingerprint); e != nil && e.effective() {
			return e.plan()
		}
	}
	if q.canary && !q.proofs.has(fingerprint, "") {
		return Plan{
			Mode: Canary,
		}
	}
	return Plan{}
}

// plan tells how to run a restrained request.
func (e *entry) plan() Plan {
	p := Plan{
		Mode:      Refused,
		Suspected: true,
		Expires:   e.expires,
	}
	if e.state == charged {
		p.Expires = e.judged
	}
	if e.state >= charged {
		return p
	}
	return Plan{
		Mode:      Canary,
		Shard:     e.shard,
		Suspected: true,
	}
}

// RecordCompletion remembers that a request was answered by all of its shards.
func (q *Quarantiner) RecordCompletion(fingerprint uint64) {
	q.proofs.add(fingerprint, "")
}

// Suspected reports whether a request is suspected or quarantined. It must
// then not be hedged.
func (q *Quarantiner) Suspected(now time.Time, fingerprint uint64) bool {
	if q.effective.Load() == 0 {
		return false
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	e := q.find(now, fingerprint)
	return e != nil && e.effective()
}

// Merge takes a notice from another daemon and reports whether it changed
// anything.
func (q *Quarantiner) Merge(now time.Time, n *peer.Quarantine) bool {
	if !valid(n) || !now.Before(time.UnixMilli(n.GetExpires())) {
		return false
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	e := q.find(now, n.GetFingerprint())
	if e != nil && !e.yields(n) {
		return e.join(n)
	}
	if e == nil {
		if e = q.insert(now, n.GetFingerprint()); e == nil {
			return false
		}
	}
	e.take(n)
	_, s := stateOf(n)
	q.set(e, s)
	if s == charged {
		// The daemon that made the charge judges first.
		e.charged, e.judged = now, now.Add(2*settle)
	}
	return true
}

// Notice returns what is known of a request that is suspected, charged or
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

// Notices returns what other daemons have to know: all quarantines and
// clearances, and the latest suspicions.
func (q *Quarantiner) Notices(now time.Time) []*peer.Quarantine {
	q.mu.Lock()
	defer q.mu.Unlock()
	var out, suspicions []*peer.Quarantine
	for _, e := range q.sorted(now) {
		switch e.state {
		case cleared, quarantined:
			out = append(out, e.notice())
		case suspected, charged:
			suspicions = append(suspicions, e.notice())
		}
	}
	slices.SortStableFunc(suspicions, func(x, y *peer.Quarantine) int {
		return cmp.Compare(y.GetExpires(), x.GetExpires())
	})
	return append(out, suspicions[:min(len(suspicions), maxNotices)]...)
}

// List returns the quarantines in force, by fingerprint.
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
// there was one. The clearance has a higher epoch, so that older notices do
// not bring the quarantine back.
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
	q.set(e, cleared)
	return true
}
