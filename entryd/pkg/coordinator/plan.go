package coordinator

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"plantaincleat/entryd/pkg/placer"
	"plantaincleat/tier/gen/config"
	"plantaincleat/tier/pkg/indexer"
)

// Path leads to the targets of one data centre through one daemon.
type Path struct {
	Daemon     placer.Daemon
	DataCentre string
}

// plan holds, for each shard of a snapshot, its paths in order of preference.
// It is immutable.
type plan struct {
	paths [][]Path
}

// planCache holds the plans made under one placement.
type planCache struct {
	version uint64
	plans   sync.Map // *indexer.Snapshot to *plan
}

// plan returns the plan of a snapshot under the placement now in force.
func (c *Coordinator) plan(s *indexer.Snapshot) *plan {
	version := c.Placement.Version()
	cache := c.plans.Load()
	if cache == nil || cache.version != version {
		cache = &planCache{
			version: version,
		}
		c.plans.Store(cache)
	}
	if p, ok := cache.plans.Load(s); ok {
		return p.(*plan)
	}
	p := c.makePlan(s)
	cache.plans.Store(s, p)
	return p
}

func (c *Coordinator) makePlan(s *indexer.Snapshot) *plan {
	p := &plan{
		paths: make([][]Path, s.Len()),
	}
	for i := range s.Len() {
		p.paths[i] = c.paths(s.Shard(i))
	}
	return p
}

// paths orders the ways to a shard: the first gatherer of each data centre
// that has a replica, nearest first, then the second gatherers, and so on.
func (c *Coordinator) paths(shard *indexer.Shard) []Path {
	groups := groupReplicas(shard.Replicas())
	centres := make([]string, 0, len(groups))
	for dc := range groups {
		centres = append(centres, dc)
	}
	slices.SortFunc(centres, func(a, b string) int { return c.nearer(a, b, shard.ID()) })
	ranked := make([][]placer.Daemon, len(centres))
	longest := 0
	for i, dc := range centres {
		ranked[i] = c.Placement.Gatherers(dc, groups[dc])
		longest = max(longest, len(ranked[i]))
	}
	var out []Path
	for rank := range longest {
		for i, dc := range centres {
			if rank < len(ranked[i]) {
				out = append(out, Path{
					Daemon:     ranked[i][rank],
					DataCentre: dc,
				})
			}
		}
	}
	return out
}

// nearer puts the root's own data centre first and spreads the others over
// roots and shards.
func (c *Coordinator) nearer(a, b, shard string) int {
	if (a == c.DataCentre) != (b == c.DataCentre) {
		if a == c.DataCentre {
			return -1
		}
		return 1
	}
	ha, hb := xxhash.Sum64String(c.ID+"/"+shard+"/"+a), xxhash.Sum64String(c.ID+"/"+shard+"/"+b)
	switch {
	case ha < hb:
		return -1
	case ha > hb:
		return 1
	}
	return strings.Compare(a, b)
}

// groupReplicas returns the name of the shard group in each data centre.
func groupReplicas(replicas []*config.Target) map[string]string {
	groups := map[string]string{}
	for _, t := range replicas {
		dc := t.GetDatacentre()
		if _, ok := groups[dc]; !ok {
			groups[dc] = placer.Name(replicasIn(replicas, dc))
		}
	}
	return groups
}

const (
	// minHedgeDelay and maxHedgeDelay bound the wait before a sub-plan is
	// sent to a second gatherer.
	minHedgeDelay = 5 * time.Millisecond
	maxHedgeDelay = 150 * time.Millisecond
	// hedgeFactor times the 95th percentile of a gatherer's sub-plans is that
	// wait. It leaves the gatherer time to hedge and to report first.
	hedgeFactor = 2
)

// chooser picks paths for one query. Whether a daemon is avoided is decided
// once in a query.
type chooser struct {
	root    *Coordinator
	plan    *plan
	avoided map[string]bool
}

// Choose implements router.Chooser.
func (ch *chooser) Choose(unit int, tried []Path, now time.Time) (Path, bool) {
	var spare Path
	found := false
	for _, p := range ch.plan.paths[unit] {
		if slices.Contains(tried, p) {
			continue
		}
		if !ch.avoid(p.Daemon, now) {
			return p, true
		}
		if !found {
			spare, found = p, true
		}
	}
	return spare, found
}

func (ch *chooser) avoid(d placer.Daemon, now time.Time) bool {
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

// HedgeDelay implements router.Chooser.
func (ch *chooser) HedgeDelay(p Path) time.Duration {
	if p.Daemon.ID == ch.root.ID {
		return maxHedgeDelay
	}
	d := hedgeFactor * ch.root.neighbour(p.Daemon.Address).gauge.P95()
	if d == 0 {
		return maxHedgeDelay
	}
	return min(max(d, minHedgeDelay), maxHedgeDelay)
}

// Failed implements router.Chooser.
func (ch *chooser) Failed(p Path, _ time.Time) bool {
	return p.Daemon.ID != ch.root.ID && ch.root.neighbour(p.Daemon.Address).gauge.Suspected()
}
