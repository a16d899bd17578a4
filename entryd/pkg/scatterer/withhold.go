package scatterer

import (
	"context"
	"errors"
	"slices"
	"time"

	"plantaincleat/entryd/pkg/cataloger"
	"plantaincleat/entryd/pkg/httpsender"
	"plantaincleat/entryd/pkg/withholder"
	"plantaincleat/tier/gen/peer"
)

// wordTimeout bounds the time in which owners tell that they have sent a request to no target.
const wordTimeout = 20 * time.Millisecond

// recordAnnouncement records what an answer announces of the process that sent it, which
// need not be the target: another process may have its address. It reports whether the
// target has asked for a pause. err is the error with which the answer was returned, and
// sent is when the attempt began.
func (j *job) recordAnnouncement(target *cataloger.Target, answer *httpsender.Answer, err error, sent, now time.Time) bool {
	a, parseErr := withholder.ParseAnnouncement(now, answer.Status, answer.Header, j.Announcements)
	if err == nil && a.Limit == 0 && parseErr == nil {
		j.Catalogs.Withholder().RecordNoLimit(target.Process(), target.State(), sent, j.request.ID)
	}
	if a == (withholder.Announcement{}) && parseErr == nil {
		return false
	}
	p := target.Process()
	if errors.Is(err, httpsender.ErrWrongTarget) {
		id := answer.Header.Get(j.InstanceHeader)
		if id == "" {
			return false
		}
		p = j.Catalogs.Catalog().Process(id)
	}
	j.Catalogs.Withholder().Record(now, p, a, parseErr, j.request.ID)
	return a.Pause > 0
}

// RecordProbe records what the answer of a target to a probe announces, and its load. Without
// an announcement it says nothing, since targets need not announce limits in such answers.
func (s *Scatterer) RecordProbe(target *cataloger.Target, answer *httpsender.Answer) {
	now := s.Clock.Now()
	source := "probe of " + target.ID()
	id := answer.Header.Get(s.InstanceHeader)
	own := id == "" || id == target.ID()
	if own {
		s.recordProbedLoad(now, target, answer, source)
	}
	a, err := withholder.ParseAnnouncement(now, answer.Status, answer.Header, s.Announcements)
	if a == (withholder.Announcement{}) && err == nil {
		return
	}
	p := target.Process()
	if !own {
		p = s.Catalogs.Catalog().Process(id)
	}
	s.Catalogs.Withholder().Record(now, p, a, err, source)
}

// leavingTargets returns the targets of the request's pools that have announced that
// they are leaving, unless the configuration says so as well.
func (j *job) leavingTargets(now time.Time) []*peer.Leaving {
	var out []*peer.Leaving
	for _, p := range j.pools {
		for _, r := range p.Replicas() {
			if r.State().Leaving() && !r.Draining() {
				out = append(out, withholder.LeavingNotice(now, r.Process()))
			}
		}
	}
	return out
}

// awaitWithheld waits for the replies of the owners that are left if the request cannot be
// served because targets are paused or have used up their limits. The owners withhold it for
// the same reason and say so at once, so that the caller can be told that no target has
// executed it.
func (j *job) awaitWithheld(ctx context.Context) {
	if !j.root || !j.unserved() {
		return
	}
	timer := j.Clock.NewTimer(wordTimeout)
	defer timer.Stop()
	for j.awaitsOwner() {
		select {
		case e := <-j.events:
			j.handle(e)
		case <-timer.Chan():
			return
		case <-ctx.Done():
			return
		}
	}
}

// unserved reports whether too few units are covered and targets of one are withheld.
func (j *job) unserved() bool {
	now, covered, withheld := j.Clock.Now(), 0, false
	for u := range j.pools {
		if j.query.Covered(u) {
			covered++
		} else {
			withheld = withheld || isWithheld(j.reason(u, now))
		}
	}
	return withheld && float64(covered) < j.route.GetFloor()*float64(len(j.pools))
}

// awaitsOwner reports whether an owner has not replied yet, and no attempt before has been
// executed, so that its reply matters.
func (j *job) awaitsOwner() bool {
	awaits := false
	for _, a := range j.attempts {
		_, open := j.open[a.nonce]
		switch {
		case a.notExecuted:
		case open && a.dest.owner != nil:
			awaits = true
		case !open:
			return false
		}
	}
	return awaits
}

// reason returns the reason why a unit is not covered. If there was no target to send it
// to, the reason says whether that is because of the targets' own announcements or of an
// evacuation.
func (j *job) reason(unit int, now time.Time) peer.Reason {
	reason := j.query.Reason(unit)
	if reason != peer.Reason_REASON_UNREACHABLE {
		return reason
	}
	if j.samples[unit] == heldBack {
		return peer.Reason_REASON_LIMITED
	}
	pool := j.pools[unit]
	if w := pool.Withheld(now); !w.Until.IsZero() {
		return withheldReason(w)
	}
	replicas := pool.Replicas()
	if len(replicas) > 0 && !slices.ContainsFunc(replicas, func(r *cataloger.Replica) bool { return !r.State().Leaving() }) {
		return peer.Reason_REASON_LEAVING
	}
	return reason
}

// withheldReason returns the reason why no target of a pool gets a request.
func withheldReason(w cataloger.Withholding) peer.Reason {
	switch {
	case w.Evacuated:
		return peer.Reason_REASON_EVACUATED
	case w.Limited:
		return peer.Reason_REASON_LIMITED
	}
	return peer.Reason_REASON_PAUSED
}

// isWithheld reports whether a reason says that no target of a pool gets a request because
// of what the targets have announced or because they are evacuated.
func isWithheld(r peer.Reason) bool {
	return r == peer.Reason_REASON_PAUSED || r == peer.Reason_REASON_LIMITED || r == peer.Reason_REASON_EVACUATED
}

// lack returns the entry of a reply for a unit without an answer.
func (j *job) lack(unit int) *peer.ScatterLack {
	now := j.Clock.Now()
	out := &peer.ScatterLack{
		Shard:      uint32(unit),
		Reason:     j.reason(unit, now),
		Executions: uint32(max(j.query.Executions(unit), 0)),
	}
	if isWithheld(out.GetReason()) {
		out.Pause = uint32(max(j.pools[unit].Withheld(now).Until.Sub(now).Milliseconds(), 1))
	}
	return out
}

// recordWithheld records which targets get no requests according to an owner's reply: this
// daemon does not send to them in the owner's place.
func (j *job) recordWithheld(a *attempt, reply *peer.ScatterReply, now time.Time) {
	j.Catalogs.Withholder().Merge(now, reply.GetLeaving(), a.dest.owner.id)
	for _, l := range reply.GetLacks() {
		if isWithheld(l.GetReason()) && int(l.GetShard()) < len(a.units) {
			pause := min(time.Duration(l.GetPause())*time.Millisecond, withholder.MaxPause)
			j.pauses.record(j.pools[a.units[l.GetShard()]].Name(), ownerPause{
				owner:  a.dest.owner.id,
				until:  now.Add(pause),
				reason: l.GetReason(),
			})
		}
	}
}

// untilServed returns the time until the targets that were withheld from the request can
// serve it, or zero if it was refused for other reasons.
func (j *job) untilServed(now time.Time) time.Duration {
	floor := 1.0
	if j.route.Scattered() {
		floor = j.route.GetFloor()
	}
	wait, _ := j.untilServing(j.pools, floor, now)
	return wait
}
