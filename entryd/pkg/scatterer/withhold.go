package scatterer

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
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

// sample reports whether a unit may be sent to a target. It may not if all targets that
// could serve it have named limits, and the request is not among those that they allow.
func (j *job) sample(unit int, now time.Time) bool {
	if !j.route.Scattered() {
		return true
	}
	admitted, known := j.sampled[unit]
	if !known {
		admitted = j.pools[unit].Sample(now, j.request.ID)
		j.sampled[unit] = admitted
	}
	return admitted
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
// to, the reason says whether that is because of the targets' own announcements.
func (j *job) reason(unit int, now time.Time) peer.Reason {
	reason := j.query.Reason(unit)
	if reason != peer.Reason_REASON_UNREACHABLE {
		return reason
	}
	if admitted, known := j.sampled[unit]; known && !admitted {
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
	if w.Limited {
		return peer.Reason_REASON_LIMITED
	}
	return peer.Reason_REASON_PAUSED
}

// isWithheld reports whether a reason says that no target of a pool gets a request because
// of what the targets have announced.
func isWithheld(r peer.Reason) bool {
	return r == peer.Reason_REASON_PAUSED || r == peer.Reason_REASON_LIMITED
}

// lack returns the entry of a reply for a unit without an answer.
func (j *job) lack(unit int) *peer.ScatterLack {
	now := j.Clock.Now()
	out := &peer.ScatterLack{
		Shard:  uint32(unit),
		Reason: j.reason(unit, now),
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

// refuseWithheld returns a refusal if the targets of so many shards of the route are paused
// or have used up their limits that its floor cannot be reached, and nil otherwise. The
// caller may come back when enough of them get requests again.
func (s *Scatterer) refuseWithheld(route *cataloger.Route) *Result {
	pools, floor := route.Pools(), route.GetFloor()
	if !route.Scattered() {
		// A request goes to one of the pools, so that one of them is enough.
		floor = minReachable
	}
	wait, reason := s.untilServing(pools, floor, s.Clock.Now())
	if wait <= 0 {
		return nil
	}
	return refuse(route, reason, max(wait, minRetry))
}

// untilServing returns the time until the fraction floor of the pools has a target that may
// get requests, and the reason why it has none, or zero if it has one now.
func (s *Scatterer) untilServing(pools []*cataloger.Pool, floor float64, now time.Time) (time.Duration, peer.Reason) {
	reported := s.pauses.list(now)
	var ends []time.Time
	reason := peer.Reason_REASON_PAUSED
	for _, p := range pools {
		until, r := s.withheldUntil(p, reported, now)
		if until.IsZero() {
			continue
		}
		ends = append(ends, until)
		reason = max(reason, r)
	}
	slices.SortFunc(ends, time.Time.Compare)
	enough := max(floor, minReachable) * float64(len(pools))
	wait := time.Duration(0)
	for i, end := range ends {
		if float64(len(pools)-len(ends)+i) >= enough {
			break
		}
		wait = end.Sub(now)
	}
	return wait, reason
}

// withheldUntil returns the time until which all targets of a pool are withheld from this
// daemon, or from the owner that sends to them, and the reason. What this daemon may send
// within the targets' limits does not matter where an owner sends.
func (s *Scatterer) withheldUntil(p *cataloger.Pool, reported map[string]ownerPause, now time.Time) (time.Time, peer.Reason) {
	owner := s.firstOwner(p)
	if w := p.Withheld(now); !w.Until.IsZero() && (!w.Limited || owner == "" || owner == s.ID) {
		return w.Until, withheldReason(w)
	}
	if r, ok := reported[p.Name()]; ok && owner == r.owner {
		return r.until, r.reason
	}
	return time.Time{}, peer.Reason_REASON_UNSPECIFIED
}

// firstOwner returns the id of the first owner of a pool's shard, or an empty string if it
// has none.
func (s *Scatterer) firstOwner(p *cataloger.Pool) string {
	if s.Placement == nil {
		return ""
	}
	ranked := s.Placement.Owners().Ranked(p.Name())
	if len(ranked) == 0 {
		return ""
	}
	return ranked[0].ID
}

// ownerPause is the time until which a shard's targets get no requests of its owner, which
// has reported it with the reason.
type ownerPause struct {
	owner  string
	until  time.Time
	reason peer.Reason
}

// shardPauses holds what the owners of shards have reported. It does not hold for the owner
// that follows them. The zero value is empty. It is safe for concurrent use.
type shardPauses struct {
	mu      sync.Mutex
	byShard map[string]ownerPause
}

func (sp *shardPauses) record(shard string, p ownerPause) {
	sp.mu.Lock()
	defer sp.mu.Unlock()
	if sp.byShard == nil {
		sp.byShard = make(map[string]ownerPause)
	}
	sp.byShard[shard] = p
}

// list returns the pauses that are not over, by shard. It is nil if there are none.
func (sp *shardPauses) list(now time.Time) map[string]ownerPause {
	sp.mu.Lock()
	defer sp.mu.Unlock()
	if len(sp.byShard) == 0 {
		return nil
	}
	maps.DeleteFunc(sp.byShard, func(_ string, p ownerPause) bool { return !now.Before(p.until) })
	return maps.Clone(sp.byShard)
}
