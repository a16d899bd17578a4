package sharer

import (
	"slices"
	"strings"
	"time"

	"plantaincleat/tier/pkg/hasher"
)

const (
	// standbysPerDataCentre is the number of daemons of a data centre that stand in for a
	// lender that does not answer. Two would have reserves of less than a token.
	standbysPerDataCentre = 1
	// restartStep is the least difference, in milliseconds, of the incarnations of two processes
	// of a daemon, or of one before and after a freeze. Otherwise a process raises its
	// incarnation by small steps.
	restartStep = 500
	// ContactTimeout is the time without a message from any other daemon after which a daemon
	// counts as cut off from all of them. It is the time for which a daemon is suspected before
	// others take it for dead, so that it ends before another one lends in its place.
	ContactTimeout = 2 * time.Second
	// settleTime is the time within which all daemons have heard of one that has joined. It is
	// added to the window before a daemon takes itself for one that lends, and before the
	// part of the rate grows.
	settleTime = 1500 * time.Millisecond
)

// Daemon describes a daemon of the fleet.
type Daemon struct {
	ID         string
	DataCentre string
	// Incarnation is the time at which the process started or was last frozen in Unix
	// milliseconds, or shortly after.
	Incarnation uint64
	Live        bool
}

// Role is what a daemon is for an institution.
type Role int

// Roles of a daemon.
const (
	// Borrower is a daemon that asks others for tokens.
	Borrower Role = iota
	// Standby is a daemon that lends its reserve while the lender does not answer.
	Standby
	// LenderRole is the daemon that lends the institution's tokens.
	LenderRole
)

var roleNames = []string{"borrower", "standby", "lender"}

// String returns the name of the role as used in logs.
func (r Role) String() string { return roleNames[r] }

// Fleet decides which daemons lend. A daemon lends only when it has been live for a window:
// whatever was lent before it was, by the daemon that lent in its place or by its own last
// process, has then left all windows. Fleet is not safe for concurrent use.
type Fleet struct {
	self, dataCentre string
	least            int
	window           time.Duration
	// started is when this daemon has started, or Resume was called last.
	started time.Time
	leaving bool
	// apart is true while this daemon hears from no other.
	apart bool
	known map[string]*knownDaemon
	view  *View
}

type knownDaemon struct {
	Daemon
	hash uint64
	// since is when the daemon has become live.
	since time.Time
}

// NewFleet returns the fleet of a daemon that has just started and knows no others. least is
// the number of daemons that the fleet has at least. If that is more than one, a daemon that
// knows no others lends nothing.
func NewFleet(now time.Time, self, dataCentre string, least int, q Quota) *Fleet {
	f := &Fleet{
		self:       self,
		dataCentre: dataCentre,
		least:      least,
		window:     q.window(),
		started:    now,
		known:      make(map[string]*knownDaemon),
	}
	f.Observe(now, nil)
	return f
}

// View returns the view as of the last call of Observe, Resume or Leave.
func (f *Fleet) View() *View { return f.view }

// Resume is to be called when this daemon was frozen or cut off. Another one may lend in its place,
// of which its view does not tell. It is then like a daemon that has just started.
func (f *Fleet) Resume(now time.Time) {
	f.started, f.apart = now, false
	f.view = f.build(now)
}

// Part is to be called when this daemon has heard from no other for ContactTimeout. Whatever its
// view tells, it then reaches itself only. Resume is to be called when it hears from one again.
func (f *Fleet) Part(now time.Time) {
	f.apart = true
	f.view = f.build(now)
}

// Leave is to be called when this daemon begins to leave the fleet: as soon as the others know,
// another one lends in its place. It lends no more, unless it has always been alone.
func (f *Fleet) Leave(now time.Time) {
	f.leaving = true
	f.view = f.build(now)
}

// Observe takes all daemons that have not left the fleet, and reports whether the view has
// changed. It should be called about twice a second even if nothing has changed.
func (f *Fleet) Observe(now time.Time, daemons []Daemon) bool {
	seen := make(map[string]bool, len(daemons))
	for _, d := range daemons {
		seen[d.ID] = true
		f.observe(now, d)
	}
	for id := range f.known {
		if !seen[id] {
			delete(f.known, id)
		}
	}
	if f.known[f.self] == nil {
		f.observe(now, Daemon{
			ID:         f.self,
			DataCentre: f.dataCentre,
			Live:       true,
		})
	}
	next := f.build(now)
	if f.view != nil && next.equal(f.view) {
		return false
	}
	f.view = next
	return true
}

func (f *Fleet) observe(now time.Time, d Daemon) {
	k := f.known[d.ID]
	switch {
	case k == nil:
		k = &knownDaemon{
			hash:  hasher.Strings(d.ID),
			since: now,
		}
		if d.ID != f.self && now.Sub(f.started) < f.window {
			// How long the daemon has been live is not known to one that has just started.
			k.since = f.started.Add(-f.window - settleTime)
		}
		f.known[d.ID] = k
	case d.Live && !k.Live, d.ID != f.self && d.Incarnation >= k.Incarnation+restartStep:
		k.since = now
	}
	k.Daemon = d
}

// alone reports whether this daemon is the only one of its fleet.
func (f *Fleet) alone() bool { return len(f.known) == 1 && f.least <= 1 }

// build returns the view at a time. A daemon that has just started does not lend to itself
// if there is another.
func (f *Fleet) build(now time.Time) *View {
	v := &View{
		self:       f.self,
		dataCentre: f.dataCentre,
		selfHash:   f.known[f.self].hash,
		since:      now,
		young:      now.Sub(f.started) < f.window+settleTime,
		leaving:    f.leaving && !f.alone(),
	}
	reached := 0
	for _, k := range f.known {
		live := now.Sub(k.since)
		if k.ID == f.self || !f.apart && k.Live && live >= f.window+settleTime {
			reached++
		}
		if k.ID == f.self && !v.young && !v.leaving || k.ID != f.self && k.Live && live >= f.window {
			v.candidates = append(v.candidates, candidate{
				id:         k.ID,
				dataCentre: k.DataCentre,
				hash:       k.hash,
			})
		}
	}
	slices.SortFunc(v.candidates, func(a, b candidate) int { return strings.Compare(a.id, b.id) })
	if len(f.known) > 1 || f.least <= 1 {
		v.fraction = float64(reached) / float64(max(len(f.known), f.least))
	}
	return v
}

type candidate struct {
	id, dataCentre string
	hash           uint64
}

// View tells which daemons lend. It is immutable.
type View struct {
	self, dataCentre string
	selfHash         uint64
	candidates       []candidate
	fraction         float64
	since            time.Time
	young, leaving   bool
}

func (v *View) equal(o *View) bool {
	return v.fraction == o.fraction && v.young == o.young && v.leaving == o.leaving && slices.Equal(v.candidates, o.candidates)
}

// Fraction returns the part of the known daemons that can be reached, and with it the part
// of a limit that they may use. The parts of a fleet that is cut add up to one at most.
func (v *View) Fraction() float64 { return v.fraction }

// Order returns the daemons to ask for tokens of an institution: the lender, then its
// standbys of the own data centre. A daemon that has just started asks itself last: it may
// be the one that the others ask. The order is empty if no daemon lends.
func (v *View) Order(institution string) []string {
	out := v.order(hasher.Strings(institution), v.candidates)
	if v.young && !v.leaving {
		out = append(out, v.self)
	}
	return out
}

func (v *View) order(key uint64, candidates []candidate) []string {
	if len(candidates) == 0 {
		return nil
	}
	out := []string{top(key, candidates, func(candidate) bool { return true })}
	for range standbysPerDataCentre {
		id := top(key, candidates, func(c candidate) bool {
			return c.dataCentre == v.dataCentre && !slices.Contains(out, c.id)
		})
		if id == "" {
			break
		}
		out = append(out, id)
	}
	return out
}

// top returns the candidate with the greatest weight for a key, or the empty string.
func top(key uint64, candidates []candidate, accept func(candidate) bool) string {
	best, id := uint64(0), ""
	for _, c := range candidates {
		if w := mix(key, c.hash); (id == "" || w > best) && accept(c) {
			best, id = w, c.id
		}
	}
	return id
}

// mix combines two hashes into a weight with the 64-bit finaliser of MurmurHash3.
func mix(a, b uint64) uint64 {
	h := a ^ (b<<31 | b>>33)
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

// Role returns what this daemon is for an institution when another asks it.
func (v *View) Role(institution string) Role {
	if v.leaving {
		return Borrower
	}
	candidates := v.candidates
	if v.young {
		candidates = append(slices.Clone(candidates), candidate{
			id:         v.self,
			dataCentre: v.dataCentre,
			hash:       v.selfHash,
		})
	}
	switch slices.Index(v.order(hasher.Strings(institution), candidates), v.self) {
	case 0:
		return LenderRole
	case -1:
		return Borrower
	}
	return Standby
}
