// Package crashtracker recognises plain requests that crash the targets that execute
// them, however often and with whatever ids they come again, and keeps them from further
// targets.
//
// A request is suspected once a target has ended while it had the request and no target
// of the same pool has answered it. Its next send goes to a single target first. If that
// target answers, the suspicion ends. If it ends as well, or may have executed the request and
// gives no answer, the number of crashes rises by one, and from refusalThreshold on the request
// is refused. What was sent before a crash was known does not raise the number further, so that
// several sends beside the one that crashes a target count as one. While many targets end that
// did not have the request, it stays suspected and is refused from certainThreshold on.
//
// Suspicions are kept for the content of a request, whoever sends it, and for the content
// with its caller. A caller may come from many addresses, so that the content alone decides.
// The answer to an equal request of another caller ends the suspicion of the content, and
// not that of the caller, whose headers may be what crashes the targets.
//
// The package quarantiner does the same for queries, whose targets each get all requests
// from one daemon. Targets of plain requests get them from many daemons, so that a
// daemon does not know what else a target executed when it ended. Only an answer or a
// series of crashes decides here.
//
// Suspicions are spread to all daemons by gossip. They merge to the same state in any
// order.
package crashtracker

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"plantaincleat/entryd/pkg/gossiper"
	"plantaincleat/tier/gen/peer"
)

const (
	// refusalThreshold is the number of crashes from which a request is refused.
	refusalThreshold = 3
	// certainThreshold is the number of crashes from which a request is refused also while
	// many other targets end.
	certainThreshold = 5
	// refusalPeriod is how long a request is refused after the last crash.
	refusalPeriod = 10 * time.Minute
	// unansweredRefusalPeriod is how long a request is refused after a send that no target
	// answered, which may be due to a slow target.
	unansweredRefusalPeriod = 30 * time.Second
	// suspicionPeriod is how long a suspicion lasts after the last crash. After the
	// refusalPeriod one more crash is enough to refuse the request again.
	suspicionPeriod = time.Hour
	// firstSuspicionPeriod is how long the suspicion lasts of a request that has not
	// been refused.
	firstSuspicionPeriod = 10 * time.Minute
)

// Plan tells how to serve a request.
type Plan struct {
	// Refused means that the request must not be sent to any target until Until.
	Refused bool
	Until   time.Time
	// Suspected means that the request must be sent to a single target of Pool first,
	// and not to another one if that target ends.
	Suspected bool
	Pool      string

	subject Subject
	// content and caller are what was known of the request's fingerprints, which is nil
	// if nothing was.
	content, caller *peer.Suspicion
}

// Crashes returns the number of crashes of the request that were known.
func (p *Plan) Crashes() int {
	return int(max(p.content.GetCrashes(), p.caller.GetCrashes()))
}

// Subject returns what identifies the request.
func (p *Plan) Subject() Subject { return p.subject }

// Tracker holds the suspicions that a daemon knows of. The zero value is ready for use.
// It is safe for concurrent use.
type Tracker struct {
	// count is the number of suspicions, with those that have expired and were not
	// removed yet. While it is zero, requests do not take mu.
	count atomic.Int64

	mu         sync.Mutex
	suspicions table
	publisher  Publisher
	ends       ends
	// refusals holds the refusals of the last massWindow, the oldest first.
	refusals []refusal
}

// refusal is the beginning of a refusal, here or as heard from another daemon.
type refusal struct {
	fingerprint uint64
	at          time.Time
}

// Plan returns how to serve a request.
func (t *Tracker) Plan(now time.Time, s Subject) Plan {
	p := Plan{
		subject: s,
	}
	if t.count.Load() == 0 {
		return p
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	p.content, p.caller = t.suspicions.find(now, s.content), t.suspicions.find(now, s.caller)
	for _, known := range []*peer.Suspicion{p.content, p.caller} {
		if known.GetCrashes() == 0 {
			continue
		}
		p.Suspected = true
		p.Pool = max(p.Pool, known.GetPool())
		if until := time.UnixMilli(known.GetUntil()); now.Before(until) && until.After(p.Until) {
			p.Refused, p.Until = true, until
		}
	}
	return p
}

// RecordEnd records that a target ended while it had a request. target identifies the
// target or, if that is not known, its pool.
func (t *Tracker) RecordEnd(now time.Time, target string, s Subject) {
	t.mu.Lock()
	t.ends.add(end{
		target:  target,
		subject: s,
		at:      now,
	})
	changed := t.revoke(now)
	publisher := t.publisher
	t.mu.Unlock()
	publish(publisher, changed)
}

// revoke ends the refusals of the last massWindow if many targets have ended that did not
// have the request. A daemon that sees them does so for one that does not. It returns the
// suspicions that remain. t.mu is held.
func (t *Tracker) revoke(now time.Time) []*peer.Suspicion {
	t.refusals = slices.DeleteFunc(t.refusals, func(r refusal) bool { return now.Sub(r.at) > massWindow })
	var changed []*peer.Suspicion
	for _, r := range t.refusals {
		known := t.suspicions.find(now, r.fingerprint)
		if !refused(known, now) || t.refuses(now, known) {
			continue
		}
		next := &peer.Suspicion{
			Fingerprint: r.fingerprint,
			Generation:  known.GetGeneration() + 1,
			Crashes:     known.GetCrashes(),
			Pool:        known.GetPool(),
			Expires:     known.GetExpires(),
		}
		t.put(now, next)
		changed = append(changed, next)
	}
	return changed
}

// RecordCrashes records that n targets of a pool ended while they had a request, each sent
// after the end of the one before was known, and that no target of the pool answered it.
// It returns the number of crashes of the request, and the time until which it is refused,
// which is zero if it is not refused.
func (t *Tracker) RecordCrashes(now time.Time, p *Plan, pool string, n int) (crashes int, until time.Time) {
	t.mu.Lock()
	changed := []*peer.Suspicion{
		t.raise(now, p.subject.caller, p.caller, pool, n, refusalPeriod),
		t.raise(now, p.subject.content, p.content, pool, n, refusalPeriod),
	}
	publisher := t.publisher
	t.mu.Unlock()
	publish(publisher, changed)
	return mostCrashes(changed)
}

// RecordUnanswered records that a target may have executed a suspected request and did not
// answer it, although it is not known to have ended: the caller left, or the deadline passed.
// That counts as a crash, with a shorter refusal. It returns what RecordCrashes returns.
func (t *Tracker) RecordUnanswered(now time.Time, p *Plan) (crashes int, until time.Time) {
	var changed []*peer.Suspicion
	t.mu.Lock()
	for _, known := range []*peer.Suspicion{p.content, p.caller} {
		// An answer since then says more than the lack of one.
		if known.GetCrashes() > 0 && t.suspicions.find(now, known.GetFingerprint()).GetGeneration() == known.GetGeneration() {
			changed = append(changed, t.raise(now, known.GetFingerprint(), known, known.GetPool(), 1, unansweredRefusalPeriod))
		}
	}
	publisher := t.publisher
	t.mu.Unlock()
	publish(publisher, changed)
	return mostCrashes(changed)
}

// mostCrashes returns the greatest number of crashes of some suspicions, and the latest time
// until which they are refused.
func mostCrashes(suspicions []*peer.Suspicion) (crashes int, until time.Time) {
	for _, s := range suspicions {
		crashes = max(crashes, int(s.GetCrashes()))
		if end := time.UnixMilli(s.GetUntil()); s.GetUntil() > 0 && end.After(until) {
			until = end
		}
	}
	return crashes, until
}

// raise records n crashes of a send that was planned when seen was known. A refusal
// lasts for a period. t.mu is held.
func (t *Tracker) raise(now time.Time, fingerprint uint64, seen *peer.Suspicion, pool string, n int, period time.Duration) *peer.Suspicion {
	known := t.suspicions.find(now, fingerprint)
	next := &peer.Suspicion{
		Fingerprint: fingerprint,
		Generation:  known.GetGeneration(),
		Crashes:     uint32(n),
		Pool:        pool,
		Expires:     now.Add(firstSuspicionPeriod).UnixMilli(),
	}
	if seen.GetGeneration() == known.GetGeneration() {
		next.Crashes += seen.GetCrashes()
	}
	if t.refuses(now, next) {
		next.Until = now.Add(period).UnixMilli()
		next.Expires = now.Add(suspicionPeriod).UnixMilli()
	}
	if known != nil {
		next = gossiper.MergeSuspicions(known, next)
	}
	t.put(now, next)
	t.noteRefusal(now, known, next)
	return next
}

// refuses reports whether a request is refused for its crashes. While many targets end that did
// not have it, it is not until certainThreshold. t.mu is held.
func (t *Tracker) refuses(now time.Time, s *peer.Suspicion) bool {
	if s.GetCrashes() >= certainThreshold {
		return true
	}
	return s.GetCrashes() >= refusalThreshold && !t.ends.many(now, s.GetFingerprint())
}

// noteRefusal keeps the beginning of a refusal for massWindow. t.mu is held.
func (t *Tracker) noteRefusal(now time.Time, before, after *peer.Suspicion) bool {
	if !refused(after, now) || refused(before, now) {
		return false
	}
	t.refusals = append(t.refusals, refusal{
		fingerprint: after.GetFingerprint(),
		at:          now,
	})
	return true
}

// RecordAnswer records that targets have answered a request. answered reports whether one
// of a pool has. It reports whether that ended a suspicion.
func (t *Tracker) RecordAnswer(now time.Time, p *Plan, answered func(pool string) bool) bool {
	if t.count.Load() == 0 {
		return false
	}
	var changed []*peer.Suspicion
	t.mu.Lock()
	for _, fingerprint := range []uint64{p.subject.content, p.subject.caller} {
		known := t.suspicions.find(now, fingerprint)
		if known.GetCrashes() == 0 || !answered(known.GetPool()) {
			continue
		}
		next := &peer.Suspicion{
			Fingerprint: fingerprint,
			Generation:  known.GetGeneration() + 1,
			Expires:     known.GetExpires(),
		}
		t.put(now, next)
		changed = append(changed, next)
	}
	publisher := t.publisher
	t.mu.Unlock()
	publish(publisher, changed)
	return len(changed) > 0
}

// Merge merges a suspicion of another daemon. It reports whether the requests are
// refused from now on and were not before. If this daemon has seen many other targets end,
// it revokes the refusal.
func (t *Tracker) Merge(now time.Time, s *peer.Suspicion) bool {
	if s.GetFingerprint() == 0 || expired(s, now) {
		return false
	}
	t.mu.Lock()
	known := t.suspicions.find(now, s.GetFingerprint())
	if known != nil {
		s = gossiper.MergeSuspicions(known, s)
	}
	t.put(now, s)
	var changed []*peer.Suspicion
	begins := t.noteRefusal(now, known, s)
	if begins {
		changed = t.revoke(now)
	}
	publisher := t.publisher
	t.mu.Unlock()
	publish(publisher, changed)
	return begins && len(changed) == 0
}

func refused(s *peer.Suspicion, now time.Time) bool { return now.UnixMilli() < s.GetUntil() }

// Counts returns the number of suspicions, and how many of them are refusals.
func (t *Tracker) Counts(now time.Time) (all, refusals int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.suspicions.byFingerprint {
		if s.GetCrashes() > 0 && !expired(s, now) {
			all++
			if refused(s, now) {
				refusals++
			}
		}
	}
	return all, refusals
}

// put stores a suspicion. t.mu is held.
func (t *Tracker) put(now time.Time, s *peer.Suspicion) {
	t.suspicions.put(now, s)
	t.count.Store(int64(len(t.suspicions.byFingerprint)))
}
