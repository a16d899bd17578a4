package cataloger

import (
	"time"

	"plantaincleat/entryd/pkg/sharer"
	"plantaincleat/entryd/pkg/withholder"
	"plantaincleat/tier/gen/config"
)

const (
	// settleTime is the time for which a daemon must have had a place among those that send
	// before it uses that place for cold targets. It is longer than the time in which the
	// daemons of both sides of a cut, or of a fleet that grows, learn of it.
	settleTime = 5 * time.Second
	// maxClockSkew is the difference between the clocks of hosts that is allowed for.
	maxClockSkew = 15 * time.Second
	// seedTime is the time after the start from which a daemon has a place without having
	// seen most of its seeds. Some of them may be gone.
	seedTime = time.Minute
	// The store's word that a target is cold counts for storedFactor times its warm-up, or for
	// storedTime if that is not stated. Its end may not be heard of while the store is down.
	storedFactor = 4
	storedTime   = time.Minute
)

// seat is the daemon's rank among the owners of a pool's shard.
type seat struct {
	// rank is the present one, or -1, and since is when it got better last. It had the rank
	// before, or worse, until then.
	rank, before int
	since        time.Time
}

// settled returns the rank that the daemon uses.
func (s *seat) settled(now time.Time) int {
	if now.Sub(s.since) < settleTime {
		return s.before
	}
	return s.rank
}

// seater decides on the daemon's place among those that send to cold targets. The rates of
// these must hold in a fleet that is cut, or whose daemons do not know each other yet.
// A daemon therefore counts all that it has heard of and that have not left, uses a better
// place only after settleTime, and none among the owners of a shard where it does not see most
// of them. After a start, it has none before it has seen most of its seeds live: it may be on
// the smaller side of a cut. The zero value has no place.
type seater struct {
	// started is when the daemon first knew of the fleet.
	started time.Time
	// known are the daemons that have not left, and live is the number of those that are live.
	known *sharer.Members
	live  int
	// metSeeds is true if the daemon has seen most of its seeds live at a time, or has none.
	metSeeds bool
	seats    map[string]*seat
}

// setFleet sets the daemons that are known and the number of those that are live.
func (s *seater) setFleet(now time.Time, known *sharer.Members, live int) {
	if s.started.IsZero() {
		s.started = now
	}
	s.known, s.live = known, live
}

// setRank sets the daemon's rank among the owners of a pool's shard, or -1.
func (s *seater) setRank(now time.Time, pool string, rank int) {
	if s.seats == nil {
		s.seats = make(map[string]*seat)
	}
	have := s.seats[pool]
	if have == nil {
		have = &seat{
			rank:   -1,
			before: -1,
		}
		s.seats[pool] = have
	}
	switch {
	case rank == have.rank:
	case better(rank, have.rank):
		if now.Sub(have.since) >= settleTime {
			have.before = have.rank
		}
		have.rank, have.since = rank, now
	default:
		have.rank = rank
		if better(have.before, rank) {
			have.before = rank
		}
	}
}

// better reports whether the first rank comes before the second. -1 is the worst.
func better(a, b int) bool { return a >= 0 && (b < 0 || a < b) }

// position returns the daemon's place among those that send to a cold target of a pool.
func (s *seater) position(now time.Time, target, pool string, owned bool) sharer.Position {
	out := sharer.Position{
		Target:  target,
		Owned:   owned,
		Rank:    -1,
		Members: s.known,
	}
	switch {
	case s.known == nil || now.Sub(s.started) < settleTime, !s.metSeeds && now.Sub(s.started) < seedTime, !s.metSeeds && len(s.known.IDs) <= 1:
		// Without a place.
		out.Owned = true
	case owned && 2*s.live > len(s.known.IDs):
		if seat := s.seats[pool]; seat != nil {
			out.Rank = seat.settled(now)
		}
	}
	return out
}

// SetKnown sets the ids of all daemons that have not left, live or not, this one included, and
// whether most of the daemons are live that the settings name as seeds. It takes effect with
// the next call of SetFleet.
func (c *Cataloger) SetKnown(ids []string, seesSeeds bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.known = ids
	c.seater.metSeeds = c.seater.metSeeds || seesSeeds
}

// seat sets the daemon's place among those that send to cold targets. The caller holds c.mu.
func (c *Cataloger) seat(self string, live int) {
	now := c.options.Clock.Now()
	known := c.known
	if len(known) == 0 {
		known = c.members.current.IDs
	}
	c.seater.setFleet(now, &sharer.Members{
		Self: self,
		IDs:  known,
	}, live)
	for name := range c.Catalog().pools {
		c.seater.setRank(now, name, c.owners.Rank(name))
	}
}

// warming returns what is known of the warm-up of a target of a pool. The caller holds c.mu.
func (c *Cataloger) warming(now time.Time, t *Target, p *Pool) withholder.Warming {
	return withholder.Warming{
		Pace:         p.pace,
		Duration:     p.warmup,
		StartedUntil: t.startedUntil,
		StoredUntil:  t.storedUntil,
		Tolerance:    c.options.Tolerance,
		Position:     c.seater.position(now, t.id, p.name, c.owners.HasOwners(p.name)),
	}
}

// hasCold reports whether a target of a pool with a rate is cold, so that the daemon's place
// among those that send to it matters. The caller holds c.mu.
func (c *Cataloger) hasCold(now time.Time) bool {
	for _, p := range c.Catalog().pools {
		for _, r := range p.replicas {
			if pace, _ := r.state.Pace(now); pace > 0 {
				return true
			}
		}
	}
	return false
}

// startedUntil returns the end of the warm-up of a process that is new to the daemon, or the
// zero time. The clocks of hosts differ. A process that came into the configuration while the
// daemon had one has started lately, unless its start is long ago by any clock.
func (c *Cataloger) startedUntil(now time.Time, t *config.Target, warmup time.Duration) time.Time {
	if t.GetStarted() <= 0 || warmup <= 0 {
		return time.Time{}
	}
	age := now.Sub(time.UnixMilli(t.GetStarted()))
	switch {
	case age >= warmup+maxClockSkew, c.Catalog().revision == 0 && age >= warmup:
		return time.Time{}
	case c.Catalog().revision == 0:
		return now.Add(warmup - max(age, 0))
	}
	return now.Add(warmup)
}

// setStored records whether the configuration says that the target is cold.
func (t *Target) setStored(now time.Time, cold bool, warmup time.Duration) {
	switch {
	case !cold:
		t.storedUntil = time.Time{}
	case t.storedUntil.IsZero():
		life := storedTime
		if warmup > 0 {
			life = storedFactor * warmup
		}
		t.storedUntil = now.Add(life)
	}
}
