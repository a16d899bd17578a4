package adopter

import (
	"plantaincleat/entryd/pkg/gossiper"
)

// gossipFleet implements Fleet with the members known by gossip.
type gossipFleet struct {
	*gossiper.Runner
}

// NewFleet returns a Fleet of the members known to r.
func NewFleet(r *gossiper.Runner) Fleet {
	return gossipFleet{Runner: r}
}

// Live implements Fleet.
func (f gossipFleet) Live() []Member {
	all := f.View().Members()
	live := make([]Member, 0, len(all))
	for _, m := range all {
		if !m.Live() {
			continue
		}
		live = append(live, Member{
			ID:         m.ID(),
			Address:    m.Address(),
			DataCentre: m.DataCentre(),
			Revision:   m.Revision(),
		})
	}
	return live
}
