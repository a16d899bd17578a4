package scatterer

import (
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

// recordAnnouncement records what an answer announces of the process that sent it, which
// need not be the target: another process may have its address. It reports whether the
// target has asked for a pause. err is the error with which the answer was returned.
func (j *job) recordAnnouncement(target *cataloger.Target, answer *httpsender.Answer, err error, now time.Time) bool {
	a, parseErr := withholder.ParseAnnouncement(now, answer.Status, answer.Header, j.LeavingHeader)
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

// reason returns the reason why a unit is not covered. If there was no target to send it
// to, the reason says whether that is because of the targets' own announcements.
func (j *job) reason(unit int, now time.Time) peer.Reason {
	reason := j.query.Reason(unit)
	if reason != peer.Reason_REASON_UNREACHABLE {
		return reason
	}
	pool := j.pools[unit]
	if !pool.PausedUntil(now).IsZero() {
		return peer.Reason_REASON_PAUSED
	}
	replicas := pool.Replicas()
	if len(replicas) > 0 && !slices.ContainsFunc(replicas, func(r *cataloger.Replica) bool { return !r.State().Leaving() }) {
		return peer.Reason_REASON_LEAVING
	}
	return reason
}

// lack returns the entry of a reply for a unit without an answer.
func (j *job) lack(unit int) *peer.ScatterLack {
	now := j.Clock.Now()
	out := &peer.ScatterLack{
		Shard:  uint32(unit),
		Reason: j.reason(unit, now),
	}
	if out.GetReason() == peer.Reason_REASON_PAUSED {
		out.Pause = uint32(max(j.pools[unit].PausedUntil(now).Sub(now).Milliseconds(), 1))
	}
	return out
}

// recordWithheld records which targets get no requests according to an owner's reply: this
// daemon does not send to them in the owner's place.
func (j *job) recordWithheld(a *attempt, reply *peer.ScatterReply, now time.Time) {
	j.Catalogs.Withholder().Merge(now, reply.GetLeaving(), a.dest.owner.id)
	for _, l := range reply.GetLacks() {
		if l.GetReason() == peer.Reason_REASON_PAUSED && int(l.GetShard()) < len(a.units) {
			pause := min(time.Duration(l.GetPause())*time.Millisecond, withholder.MaxPause)
			j.pauses.record(j.pools[a.units[l.GetShard()]].Name(), ownerPause{
				owner: a.dest.owner.id,
				until: now.Add(pause),
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
	return j.untilUnpaused(j.pools, floor, now)
}

// refusePaused returns a refusal if so many shards of the route are paused that its floor
// cannot be reached, and nil otherwise. The caller may come back when enough of them are
// not paused any more.
func (s *Scatterer) refusePaused(route *cataloger.Route) *Result {
	pools, floor := route.Pools(), route.GetFloor()
	if !route.Scattered() {
		// A request goes to one of the pools, so that one of them is enough.
		floor = minReachable
	}
	wait := s.untilUnpaused(pools, floor, s.Clock.Now())
	if wait <= 0 {
		return nil
	}
	return refuse(route, peer.Reason_REASON_PAUSED, max(wait, minRetry))
}

// untilUnpaused returns the time until the fraction floor of the pools is not paused, or
// zero if that is so now.
func (s *Scatterer) untilUnpaused(pools []*cataloger.Pool, floor float64, now time.Time) time.Duration {
	reported := s.pauses.list(now)
	var ends []time.Time
	for _, p := range pools {
		until := p.PausedUntil(now)
		if r, ok := reported[p.Name()]; until.IsZero() && ok && s.firstOwner(p) == r.owner {
			until = r.until
		}
		if !until.IsZero() {
			ends = append(ends, until)
		}
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
	return wait
}

// firstOwner returns the id of the first owner of a pool's shard, or an empty string if it
// has none.
func (s *Scatterer) firstOwner(p *cataloger.Pool) string {
	ranked := s.Placement.Owners().Ranked(p.Name())
	if len(ranked) == 0 {
		return ""
	}
	return ranked[0].ID
}

// ownerPause is the pause of a shard's targets that its owner has reported.
type ownerPause struct {
	owner string
	until time.Time
}

// shardPauses holds the pauses that the owners of shards have reported. The targets have
// asked the owner for them, so that they do not hold for the owner that follows it. The
// zero value is empty. It is safe for concurrent use.
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
