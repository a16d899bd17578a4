package starter

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"plantaincleat/entryd/pkg/coordinator"
	"plantaincleat/entryd/pkg/gossiper"
)

// placement ranks the live daemons of a data centre by rendezvous hashing. A
// data centre without live daemons is gathered by the root's own.
type placement struct {
	views interface{ View() *gossiper.View }
}

// Gatherers implements coordinator.Placement.
func (p *placement) Gatherers(dataCentre, group string) []coordinator.Daemon {
	view := p.views.View()
	members := view.Within(dataCentre)
	if len(members) == 0 {
		members = view.Within(view.Self().DataCentre())
	}
	out := make([]coordinator.Daemon, 0, len(members))
	for _, m := range members {
		out = append(out, coordinator.Daemon{
			ID:         m.ID(),
			Address:    m.Address(),
			DataCentre: m.DataCentre(),
		})
	}
	score := func(d coordinator.Daemon) uint64 { return xxhash.Sum64String(d.ID + "/" + group) }
	slices.SortFunc(out, func(a, b coordinator.Daemon) int { return cmp.Compare(score(b), score(a)) })
	return out
}

// Version implements coordinator.Placement.
func (p *placement) Version() uint64 { return p.views.View().Live() }
