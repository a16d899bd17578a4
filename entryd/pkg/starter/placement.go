package starter

import (
	"context"
	"maps"
	"time"

	"plantaincleat/entryd/pkg/assigner"
)

// pruneInterval is the longest time between two searches for connections that are no
// longer used.
const pruneInterval = time.Minute

// pruneConnections closes the connections to daemons that are no longer members of the
// fleet and to targets that are no longer configured. Hosts are replaced every day, so
// such connections would accumulate.
func (d *Daemon) pruneConnections() {
	daemons := map[string]bool{}
	for _, m := range d.gossip.View().Members() {
		daemons[m.Address()] = true
	}
	d.coordinator.RetainLinks(daemons)
	keep := maps.Clone(daemons)
	for _, t := range d.configs.Index().Accepted().GetConfig().GetTargets() {
		keep[t.GetAddress()] = true
	}
	for _, address := range append(d.gatherer.Prune(), d.cfg.GetSeeds()...) {
		keep[address] = true
	}
	d.dialer.CloseExcept(keep)
}

// followPlacement recomputes the placement when the live daemons or the configuration
// change, and prunes connections, until ctx is done.
func (d *Daemon) followPlacement(ctx context.Context) {
	changed, stop := d.gossip.Subscribe()
	defer stop()
	adopted, stopAdopted := d.adopter.Subscribe()
	defer stopAdopted()
	var live, revision uint64
	for {
		view, ix := d.gossip.View(), d.configs.Index()
		if ix.Revision() > 0 && (view.LiveHash() != live || ix.Revision() != revision) {
			live, revision = view.LiveHash(), ix.Revision()
			d.placement.Store(assigner.New(assigner.Input{
				Self:    d.cfg.GetId(),
				Daemons: d.liveDaemons(),
				Config:  ix.Accepted().GetConfig(),
			}))
		}
		d.pruneConnections()
		select {
		case <-changed:
		case <-adopted:
		case <-d.clock.After(pruneInterval):
		case <-ctx.Done():
			return
		}
	}
}

func (d *Daemon) liveDaemons() []assigner.Daemon {
	var out []assigner.Daemon
	for _, m := range d.gossip.View().Members() {
		if !m.Live() {
			continue
		}
		out = append(out, assigner.Daemon{
			ID:         m.ID(),
			Address:    m.Address(),
			DataCentre: m.DataCentre(),
		})
	}
	return out
}
