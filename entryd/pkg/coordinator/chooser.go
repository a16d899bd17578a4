package coordinator

import (
	"slices"
	"time"

	"plantaincleat/entryd/pkg/assigner"
)

const (
	// minHedgeDelay and maxHedgeDelay bound the wait for the first partial of
	// a sub-plan before it is sent to a second gatherer.
	minHedgeDelay = 5 * time.Millisecond
	maxHedgeDelay = 150 * time.Millisecond
	// hedgeFactor times the 95th percentile of the time to a gatherer's first
	// partial is that wait. A gatherer that is alive reports before, even if
	// its targets are late.
	hedgeFactor = 1.5
	// nearShare is how much sooner, as a fraction, slow targets further away
	// must answer to be preferred to nearer ones.
	nearShare = 0.8
)

// chooser picks paths for one query. Whether a daemon is avoided is decided
// once in a query.
type chooser struct {
	root    *Coordinator
	plan    *plan
	avoided map[string]bool
}

// Choose implements router.Chooser: the first path whose daemon answers and
// whose targets are not slow, else the one whose daemon answers and whose
// targets are the least slow, else any.
func (ch *chooser) Choose(unit int, tried []Path, now time.Time) (Path, bool) {
	var slow, dead *way
	var least time.Duration
	ways := ch.plan.ways[unit]
	for i := range ways {
		w := &ways[i]
		if taken(tried, w.path) {
			continue
		}
		if ch.avoid(w.path.Daemon, now) {
			dead = first(dead, w)
			continue
		}
		expected, late, probe := ch.late(w, now)
		if probe && len(tried) == 0 {
			p := w.path
			p.Probe = true
			return p, true
		}
		if !late {
			return w.path, true
		}
		if slow == nil || expected < time.Duration(nearShare*float64(least)) {
			slow, least = w, expected
		}
	}
	if w := first(slow, dead); w != nil {
		return w.path, true
	}
	return Path{}, false
}

func first(a, b *way) *way {
	if a != nil {
		return a
	}
	return b
}

// taken reports whether a path was tried, as a probe or not.
func taken(tried []Path, p Path) bool {
	return slices.ContainsFunc(tried, func(t Path) bool {
		return t.Daemon.ID == p.Daemon.ID && t.DataCentre == p.DataCentre
	})
}

// late reports whether all targets of a way are slow, in what time the best of
// them would answer, and whether this query is to probe them.
func (ch *chooser) late(w *way, now time.Time) (expected time.Duration, late, probe bool) {
	for _, id := range w.targets {
		e := ch.root.slow.find(id)
		if e == nil || !e.late(now) {
			return 0, false, false
		}
		if d := e.expected(now); expected == 0 || d < expected {
			expected = d
		}
		if e.claimProbe(now) {
			probe = true
		}
	}
	return expected, true, probe
}

func (ch *chooser) avoid(d assigner.Daemon, now time.Time) bool {
	if d.ID == ch.root.ID {
		return false
	}
	avoided, known := ch.avoided[d.ID]
	if !known {
		gauge := ch.root.neighbour(d.Address).gauge
		avoided = gauge.Suspected() && !gauge.Probe(now)
		ch.avoided[d.ID] = avoided
	}
	return avoided
}

// HedgeDelay implements router.Chooser. Probes, and requests to a daemon that
// has fallen silent, are sent elsewhere at once as well.
func (ch *chooser) HedgeDelay(p Path) time.Duration {
	if p.Probe || ch.Failed(p, time.Time{}) {
		return 0
	}
	if p.Daemon.ID == ch.root.ID {
		return maxHedgeDelay
	}
	d := time.Duration(hedgeFactor * float64(ch.root.neighbour(p.Daemon.Address).gauge.P95()))
	if d == 0 {
		return maxHedgeDelay
	}
	return min(max(d, minHedgeDelay), maxHedgeDelay)
}

// Prompt implements router.Chooser.
func (ch *chooser) Prompt(unit int, p Path, now time.Time) bool {
	for i := range ch.plan.ways[unit] {
		if w := &ch.plan.ways[unit][i]; taken([]Path{p}, w.path) {
			_, late, _ := ch.late(w, now)
			return !late
		}
	}
	return true
}

// Failed implements router.Chooser.
func (ch *chooser) Failed(p Path, _ time.Time) bool {
	return p.Daemon.ID != ch.root.ID && ch.root.neighbour(p.Daemon.Address).gauge.Suspected()
}
