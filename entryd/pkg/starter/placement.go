package starter

import (
	"context"
	"maps"
	"time"

	"plantaincleat/entryd/pkg/assigner"
)

// pruneInterval is the longest time between two looks for connections that are
// of no more use.
const pruneInterval = time.Minute

// prune closes what leads to daemons that the fleet has forgotten and to targets
// that are not configured any more. Hosts are replaced every day, so that these
// would pile up.
func (d *Daemon) prune() {
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

// place computes the placement anew whenever the live daemons or the
// configuration change, until ctx ends.
func (d *Daemon) place(ctx context.Context) {
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
		d.prune()
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
