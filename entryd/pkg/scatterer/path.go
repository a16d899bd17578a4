package scatterer

import (
	"sync"

	"plantaincleat/entryd/pkg/cataloger"
	"plantaincleat/entryd/pkg/estimator"
	"plantaincleat/entryd/pkg/placer"
)

// path is where units are sent: to a replica, or to the daemon that asks the
// replicas. Exactly one of the fields is set.
type path struct {
	replica *cataloger.Replica
	owner   *owner
}

// owner is another daemon that asks the targets of some shards.
type owner struct {
	id      string
	address string
	// gauge learns from the acknowledgements.
	gauge *estimator.Estimator
}

// owners keeps what was learned of other daemons. The zero value is ready for
// use. It is safe for concurrent use.
type owners struct {
	mu    sync.Mutex
	group estimator.Group
	all   map[string]*owner
}

// get returns what is known of a daemon.
func (o *owners) get(d placer.Daemon) *owner {
	o.mu.Lock()
	defer o.mu.Unlock()
	one := o.all[d.Address]
	if one != nil {
		return one
	}
	if o.all == nil {
		o.all = make(map[string]*owner)
	}
	one = &owner{
		id:      d.ID,
		address: d.Address,
		gauge: o.group.New(estimator.Settings{
			Slots: ownerSlots,
		}),
	}
	o.all[d.Address] = one
	return one
}

// ownerSlots is the number of requests that a daemon acknowledges at once.
const ownerSlots = 64
