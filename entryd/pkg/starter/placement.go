package starter

import (
	"context"

	"plantaincleat/entryd/pkg/placer"
)

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
		if ix.Revision() > 0 && (view.Live() != live || ix.Revision() != revision) {
			live, revision = view.Live(), ix.Revision()
			d.placement.Store(placer.New(placer.Input{
				Self:    d.cfg.GetId(),
				Daemons: d.liveDaemons(),
				Config:  ix.Accepted().GetConfig(),
			}))
		}
		select {
		case <-changed:
		case <-adopted:
		case <-ctx.Done():
			return
		}
	}
}

func (d *Daemon) liveDaemons() []placer.Daemon {
	var out []placer.Daemon
	for _, m := range d.gossip.View().Members() {
		if !m.Live() {
			continue
		}
		out = append(out, placer.Daemon{
			ID:         m.ID(),
			Address:    m.Address(),
			DataCentre: m.DataCentre(),
		})
	}
	return out
}
