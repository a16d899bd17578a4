package cataloger

import "plantaincleat/entryd/pkg/sharer"

const (
	// connectionFraction is the fraction of a target's connections that is divided among
	// the daemons. The rest is a reserve for daemons that do not know each other yet.
	connectionFraction = 0.9
	// connectionsPerSlot is the maximum number of connections that a daemon opens to a
	// target, per slot of the target.
	connectionsPerSlot = 2
)

// divideTargets divides the connections and the limits of all targets. The caller holds
// c.mu.
func (c *Cataloger) divideTargets() {
	for _, p := range c.Catalog().pools {
		for _, r := range p.replicas {
			c.divideTarget(r.Target, p)
		}
	}
}

// divideTarget sets this daemon's part of the connections, of the limit and of the rate of a
// target of a pool.
func (c *Cataloger) divideTarget(t *Target, p *Pool) {
	t.client.SetMaxConnections(min(max(c.maxConnections(p), 1), connectionsPerSlot*t.slots))
	now := c.options.Clock.Now()
	t.state.SetWarming(now, c.warming(now, t, p))
	t.state.SetPosition(now, sharer.Position{
		Target:  t.id,
		Owned:   c.owners.HasOwners(p.name),
		Rank:    c.owners.Rank(p.name),
		Members: c.members.current,
	})
}

// maxConnections returns the number of connections that this daemon may open to each
// target of a pool.
func (c *Cataloger) maxConnections(p *Pool) int {
	total := connectionFraction * float64(p.connections)
	if !c.owners.HasOwners(p.name) {
		return int(total / float64(c.daemons))
	}
	rank := c.owners.Rank(p.name)
	if rank < 0 {
		return 1
	}
	return int(total * ownerConnectionFractions[rank])
}

// ownerConnectionFractions are the fractions of a target's connections that the
// owners of its shard may open, by rank. The rest is for the other daemons.
var ownerConnectionFractions = []float64{0.4, 0.3}
