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
	// farPathRatio is how much sooner, as a fraction, slow targets further away
	// must answer to be preferred to nearer ones.
	farPathRatio = 0.8
)

// chooser picks paths for one query. Whether a daemon is avoided is decided
// once in a query.
type chooser struct {
	root    *Coordinator
	paths   *pathTable
	avoided map[string]bool
}

// Choose implements router.Chooser: the first path whose daemon answers and
// whose targets are not slow, else the one whose daemon answers and whose
// targets are the least slow, else any.
func (ch *chooser) Choose(unit int, tried []Path, now time.Time) (Path, bool) {
	var slow, unresponsive *shardPath
	var least time.Duration
	paths := ch.paths.shards[unit]
	for i := range paths {
		sp := &paths[i]
		if wasTried(tried, sp.path) {
			continue
		}
		if ch.avoid(sp.path.Daemon, now) {
			unresponsive = firstNonNil(unresponsive, sp)
			continue
		}
		expected, isSlow, probe := ch.pathSlow(sp, now)
		if probe && len(tried) == 0 {
			p := sp.path
			p.Probe = true
			return p, true
		}
		if !isSlow {
			return sp.path, true
		}
		if slow == nil || expected < time.Duration(farPathRatio*float64(least)) {
			slow, least = sp, expected
		}
	}
	if sp := firstNonNil(slow, unresponsive); sp != nil {
		return sp.path, true
	}
	return Path{}, false
}

func firstNonNil(a, b *shardPath) *shardPath {
	if a != nil {
		return a
	}
	return b
}

// wasTried reports whether a path was tried, as a probe or not.
func wasTried(tried []Path, p Path) bool {
	return slices.ContainsFunc(tried, func(t Path) bool {
		return t.Daemon.ID == p.Daemon.ID && t.DataCentre == p.DataCentre
	})
}

// pathSlow reports whether all targets of a way are slow, in what time the best of
// them would answer, and whether this query is to probe them.
func (ch *chooser) pathSlow(sp *shardPath, now time.Time) (expected time.Duration, isSlow, probe bool) {
	for _, id := range sp.targets {
		e := ch.root.slow.find(id)
		if e == nil || !e.isSlow(now) {
			return 0, false, false
		}
		if d := e.expectedLatency(now); expected == 0 || d < expected {
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
		estimator := ch.root.peer(d.Address).estimator
		avoided = estimator.Suspected() && !estimator.Probe(now)
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
	d := time.Duration(hedgeFactor * float64(ch.root.peer(p.Daemon.Address).estimator.P95()))
	if d == 0 {
		return maxHedgeDelay
	}
	return min(max(d, minHedgeDelay), maxHedgeDelay)
}

// Prompt implements router.Chooser.
func (ch *chooser) Prompt(unit int, p Path, now time.Time) bool {
	for i := range ch.paths.shards[unit] {
		if sp := &ch.paths.shards[unit][i]; wasTried([]Path{p}, sp.path) {
			_, isSlow, _ := ch.pathSlow(sp, now)
			return !isSlow
		}
	}
	return true
}

// Failed implements router.Chooser.
func (ch *chooser) Failed(p Path, _ time.Time) bool {
	return p.Daemon.ID != ch.root.ID && ch.root.peer(p.Daemon.Address).estimator.Suspected()
}
