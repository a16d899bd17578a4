package coordinator

import (
	"slices"
	"time"

	"plantaincleat/entryd/pkg/assigner"
)

const (
	// minHedgeDelay and maxHedgeDelay bound the hedge delay: the time to wait for
	// the first partial of a sub-plan before it is also sent to a second gatherer.
	minHedgeDelay = 5 * time.Millisecond
	maxHedgeDelay = 150 * time.Millisecond
	// hedgeFactor is the ratio of the hedge delay to the 95th percentile of the
	// time to a gatherer's first partial. A live gatherer sends a partial before
	// that, even if its targets are late.
	hedgeFactor = 1.5
	// farPathRatio applies if all paths lead to slow targets. A later path is then
	// preferred to an earlier one if its expected latency is less than farPathRatio
	// times that of the earlier one.
	farPathRatio = 0.8
)

// chooser selects the paths of one query.
type chooser struct {
	root  *Coordinator
	paths *pathTable
	// avoided records by daemon id whether a daemon is avoided. This is decided
	// once in a query.
	avoided map[string]bool
}

// Choose implements router.Chooser. It returns the first path whose daemon is
// responsive and whose targets are not all slow. If there is none, it returns a path
// with a responsive daemon, chosen by expected latency according to farPathRatio. If
// no daemon is responsive, it returns the first path. A first attempt may instead
// probe the slow targets of a path.
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

// firstNonNil returns a, or b if a is nil.
func firstNonNil(a, b *shardPath) *shardPath {
	if a != nil {
		return a
	}
	return b
}

// wasTried reports whether a path was tried, whether as a probe or not.
func wasTried(tried []Path, p Path) bool {
	return slices.ContainsFunc(tried, func(t Path) bool {
		return t.Daemon.ID == p.Daemon.ID && t.DataCentre == p.DataCentre
	})
}

// pathSlow reports whether all targets of a path are slow. If so, it also returns the
// lowest expected latency of these targets and whether this query has to probe them.
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

// avoid reports whether this query avoids a daemon: it is suspected, and this query
// does not probe it. The root itself is never avoided.
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

// HedgeDelay implements router.Chooser. The delay is 0 for probes and for suspected
// daemons, so that their units are sent on another path at once.
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

// Prompt implements router.Chooser. It reports whether the path has a target that is not
// slow.
func (ch *chooser) Prompt(unit int, p Path, now time.Time) bool {
	for i := range ch.paths.shards[unit] {
		if sp := &ch.paths.shards[unit][i]; wasTried([]Path{p}, sp.path) {
			_, isSlow, _ := ch.pathSlow(sp, now)
			return !isSlow
		}
	}
	return true
}

// Failed implements router.Chooser. It reports whether the daemon is suspected. The root
// itself never is.
func (ch *chooser) Failed(p Path, _ time.Time) bool {
	return p.Daemon.ID != ch.root.ID && ch.root.peer(p.Daemon.Address).estimator.Suspected()
}
