package withholder

import (
	"cmp"
	"errors"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"plantaincleat/tier/gen/peer"
)

const (
	// noticeLifetime is the time after which a notice to other daemons expires unless a
	// daemon renews it.
	noticeLifetime = 30 * time.Second
	// renewalInterval is the time between two renewals of a notice. Expiries are multiples
	// of it, so that the notices of all daemons that renew at the same time are equal.
	renewalInterval = noticeLifetime / 2
	// retention is how long an announcement of a process outside the configuration is kept.
	// The process may come into it.
	retention = 10 * time.Minute
	// maxRetained bounds the processes that are kept without being in the configuration.
	maxRetained = 4096
)

// NoticeBoard distributes notices to the daemons of the fleet.
type NoticeBoard interface {
	Publish(n *peer.Notice)
}

// entry is the state of a process in the table.
type entry struct {
	state *State
	// uses counts the calls of Use without Release. A process has two for a moment when its
	// entry states another address.
	uses int
	// unusedSince is when uses became zero, or when the process was first heard of.
	unusedSince time.Time
	// noticeExpiry is the latest expiry of the notices that say that it is leaving.
	noticeExpiry time.Time
}

// Table holds the state of the processes of all targets. The zero value is empty. It is
// safe for concurrent use.
type Table struct {
	mu      sync.Mutex
	entries map[Process]*entry
	board   NoticeBoard

	leaves, pauses, limits, invalid atomic.Int64
}

// Counts are the announcements that the daemon has received.
type Counts struct {
	// Leaves and Pauses count the announcements that have changed a state.
	Leaves, Pauses int64
	// Limits counts the limits that were named, and those that were changed.
	Limits int64
	// Invalid counts the headers that were ignored, the pauses that were shortened and the
	// limits that were raised.
	Invalid int64
}

// Counts returns the announcements received so far.
func (t *Table) Counts() Counts {
	return Counts{
		Leaves:  t.leaves.Load(),
		Pauses:  t.pauses.Load(),
		Limits:  t.limits.Load(),
		Invalid: t.invalid.Load(),
	}
}

// PublishTo makes the table publish which targets are leaving.
func (t *Table) PublishTo(b NoticeBoard) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.board = b
}

// Use returns the state of a process that is in the configuration. It is the same until as
// many calls of Release.
func (t *Table) Use(now time.Time, p Process) *State {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.find(now, p)
	e.uses++
	return e.state
}

// Release takes back one call of Use. What a process has announced is kept for a time after
// the last one, since it may come back into the configuration.
func (t *Table) Release(now time.Time, p Process) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.find(now, p)
	if e.uses--; e.uses > 0 {
		return
	}
	e.unusedSince = now
	if !e.state.Withheld(now) {
		delete(t.entries, p)
	}
}

// find returns the entry of a process, and creates it if there is none. t.mu is held.
func (t *Table) find(now time.Time, p Process) *entry {
	if t.entries == nil {
		t.entries = make(map[Process]*entry)
	}
	e := t.entries[p]
	if e == nil {
		e = &entry{
			state:       &State{},
			unusedSince: now,
		}
		t.entries[p] = e
	}
	return e
}

// Record records what an answer of a process has announced. err is the error of
// ParseAnnouncement. request is the id of the request that was answered.
func (t *Table) Record(now time.Time, p Process, a Announcement, err error, request string) {
	t.mu.Lock()
	state := t.find(now, p).state
	t.mu.Unlock()
	if err != nil {
		t.RecordInvalid(p, state, err, request)
	}
	if a.Leaving {
		t.recordLeaving(p, state, "answer", request)
	}
	if until := now.Add(a.Pause); a.Pause > 0 && state.pause(now, until) {
		t.pauses.Add(1)
		slog.Info("target asked for a pause", "target", p.ID, "until", until, "id", request)
	}
	if a.Cold > 0 {
		state.announceCold(now, a.Cold)
	}
	if a.Limit > 0 && state.setLimit(now, a.Limit) {
		t.limits.Add(1)
		_, share := state.Limit()
		slog.Info("target named a limit", "target", p.ID, "limit", a.Limit, "share", share, "id", request)
	}
}

// RecordNoLimit records that a process has answered a request that was sent at a time
// without naming a limit.
func (t *Table) RecordNoLimit(p Process, state *State, sent time.Time, request string) {
	if state.liftLimit(sent) {
		slog.Info("target names no limit any more", "target", p.ID, "id", request)
	}
}

// RecordInvalid counts an invalid announcement, which need not be one of this package, and
// logs the first one of each process.
func (t *Table) RecordInvalid(p Process, state *State, err error, request string) {
	t.invalid.Add(1)
	if state.invalid.Swap(true) {
		return
	}
	effect := "ignored"
	switch {
	case errors.Is(err, ErrPauseTooLong):
		effect = "shortened"
	case errors.Is(err, ErrLimitTooLow):
		effect = "raised"
	}
	slog.Warn("announcement of a target is invalid", "target", p.ID, "effect", effect, "id", request, "err", err.Error())
}

// recordLeaving marks a process as leaving. source says who has announced it.
func (t *Table) recordLeaving(p Process, state *State, source, request string) {
	if state.leave() {
		t.leaves.Add(1)
		slog.Info("target announced that it is leaving", "target", p.ID, "incarnation", p.Incarnation, "from", source, "id", request)
	}
}

// Merge marks the processes as leaving that another daemon has heard of. source is the
// id of that daemon.
func (t *Table) Merge(now time.Time, notices []*peer.Leaving, source string) {
	for _, l := range notices {
		expires := time.UnixMilli(l.GetExpires())
		if !now.Before(expires) {
			continue
		}
		p := Process{
			ID:          l.GetTarget(),
			Incarnation: l.GetIncarnation(),
		}
		t.mu.Lock()
		e := t.find(now, p)
		if expires.After(e.noticeExpiry) {
			e.noticeExpiry = expires
		}
		t.mu.Unlock()
		t.recordLeaving(p, e.state, source, "")
	}
}

// MergeNotices is like Merge for the notices of the whole fleet.
func (t *Table) MergeNotices(now time.Time, notices []*peer.Notice) {
	var leaving []*peer.Leaving
	for _, n := range notices {
		if l := n.GetLeaving(); l != nil {
			leaving = append(leaving, l)
		}
	}
	t.Merge(now, leaving, "gossip")
}

// LeavingNotice returns the notice that a process is leaving.
func LeavingNotice(now time.Time, p Process) *peer.Leaving {
	return &peer.Leaving{
		Target:      p.ID,
		Incarnation: p.Incarnation,
		Expires:     nextExpiry(now).UnixMilli(),
	}
}

// nextExpiry returns the expiry of a notice that is published now.
func nextExpiry(now time.Time) time.Time {
	return now.Truncate(renewalInterval).Add(noticeLifetime)
}

// Refresh must be called regularly with the processes that have announced that they are
// leaving and that the configuration does not mark as draining. It publishes this and renews
// the notices, so that daemons that start later know it too. It logs which targets have turned
// cold or warm, and forgets processes that have long left the configuration.
func (t *Table) Refresh(now time.Time, leaving []Process) {
	for _, n := range t.dueNotices(now, leaving) {
		t.publish(n)
	}
	t.logWarming(now)
	t.forget(now)
}

// logWarming logs which targets have turned cold or warm.
func (t *Table) logWarming(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for p, e := range t.entries {
		e.state.logWarming(now, p)
	}
}

// dueNotices returns the notices to publish.
func (t *Table) dueNotices(now time.Time, leaving []Process) []*peer.Leaving {
	t.mu.Lock()
	defer t.mu.Unlock()
	var due []*peer.Leaving
	for _, p := range leaving {
		e := t.entries[p]
		if e == nil || e.noticeExpiry.Sub(now) > renewalInterval {
			continue
		}
		e.noticeExpiry = nextExpiry(now)
		due = append(due, LeavingNotice(now, p))
	}
	return due
}

func (t *Table) publish(l *peer.Leaving) {
	t.mu.Lock()
	b := t.board
	t.mu.Unlock()
	if b == nil {
		return
	}
	b.Publish(&peer.Notice{
		Body: &peer.Notice_Leaving{
			Leaving: l,
		},
	})
}

// forget removes the processes that have long been unused, and the oldest of them if there
// are too many.
func (t *Table) forget(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var unused []Process
	for p, e := range t.entries {
		switch {
		case e.uses > 0:
		case now.Sub(e.unusedSince) >= retention:
			delete(t.entries, p)
		default:
			unused = append(unused, p)
		}
	}
	if len(unused) <= maxRetained {
		return
	}
	slices.SortFunc(unused, func(a, b Process) int { return t.entries[a].unusedSince.Compare(t.entries[b].unusedSince) })
	for _, p := range unused[:len(unused)-maxRetained] {
		delete(t.entries, p)
	}
}

// Withheld describes a process that gets no requests, or not as many as there are.
type Withheld struct {
	Process Process
	// Leaving is true if the process is leaving.
	Leaving bool
	// Until is the end of its pause, or zero.
	Until time.Time
	// Limit is the limit that it names, or zero, and Share this daemon's part of it, in
	// requests a second.
	Limit, Share float64
	// Cold is the end of its warm-up, or zero, and Source who says so. Pace is the rate that it
	// takes until then from all daemons, or zero if none is stated, and PaceShare this daemon's
	// part of it, in requests a second.
	Cold            time.Time
	Source          string
	Pace, PaceShare float64
}

// CountRestricted returns the number of processes that get no requests, or only so many.
func (t *Table) CountRestricted(now time.Time) int {
	n := 0
	for _, w := range t.List(now) {
		if w.Leaving || !w.Until.IsZero() || w.Limit > 0 || w.Pace > 0 {
			n++
		}
	}
	return n
}

// CountCold returns the number of processes that are cold.
func (t *Table) CountCold(now time.Time) int {
	n := 0
	for _, w := range t.List(now) {
		if !w.Cold.IsZero() {
			n++
		}
	}
	return n
}

// List returns the processes that get no requests, have named a limit or are cold, sorted by
// id.
func (t *Table) List(now time.Time) []Withheld {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Withheld
	for p, e := range t.entries {
		w := Withheld{
			Process: p,
			Leaving: e.state.Leaving(),
			Until:   e.state.PausedUntil(now),
		}
		w.Limit, w.Share = e.state.Limit()
		w.Cold, w.Source = e.state.ColdUntil(now)
		w.Pace, w.PaceShare = e.state.Pace(now)
		if w.Leaving || !w.Until.IsZero() || w.Limit > 0 || !w.Cold.IsZero() {
			out = append(out, w)
		}
	}
	slices.SortFunc(out, func(a, b Withheld) int {
		return cmp.Or(cmp.Compare(a.Process.ID, b.Process.ID), cmp.Compare(a.Process.Incarnation, b.Process.Incarnation))
	})
	return out
}
