package scatterer

import (
	"log/slog"
	"sync"
	"time"

	"plantaincleat/entryd/pkg/assigner"
	"plantaincleat/entryd/pkg/estimator"
)

const (
	// ownerSlots is the number of requests that a daemon acknowledges at once.
	ownerSlots = 64
	// lateAck and lateReply are the weights of an acknowledgement and of a reply
	// that did not come in time. From missLimit on, without a timely one between
	// them, an owner is out of service.
	lateAck   = 2
	lateReply = 1
	missLimit = 3
	// ownerProbe is the time between two probes of an owner that is out of
	// service.
	ownerProbe = 400 * time.Millisecond
	// ownerFactor times the 95th percentile of the time to an acknowledgement,
	// within the two bounds, is when one counts as late.
	ownerFactor  = 3
	minOwnerLate = 12 * time.Millisecond
	maxOwnerLate = 50 * time.Millisecond
)

// owner is another daemon that asks the targets of some shards. A sound owner
// acknowledges each request at once and replies by the goal, whatever its
// targets do. It is safe for concurrent use.
type owner struct {
	id         string
	address    string
	datacentre string
	// acks learns the time to an acknowledgement.
	acks *estimator.Estimator

	mu     sync.Mutex
	misses int
	probed time.Time
}

// late returns the time after which an acknowledgement is late.
func (o *owner) late() time.Duration {
	return min(max(ownerFactor*o.acks.P95(), minOwnerLate), maxOwnerLate)
}

// miss records that the owner did not do something in time.
func (o *owner) miss(weight int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	before := o.misses
	o.misses = min(o.misses+weight, missLimit)
	if before < missLimit && o.misses == missLimit {
		slog.Info("owner is out of service", "owner", o.id, "misses", o.misses)
	}
}

// heard records that the owner was in time.
func (o *owner) heard() {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.misses == missLimit {
		slog.Info("owner is back in service", "owner", o.id)
	}
	o.misses = 0
}

// failed reports whether the owner is out of service.
func (o *owner) failed() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.misses >= missLimit
}

// due reports whether an owner that is out of service is to be probed now. It is
// true for one caller in each interval.
func (o *owner) due(now time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if now.Sub(o.probed) < ownerProbe {
		return false
	}
	o.probed = now
	return true
}

// owners keeps what was learned of other daemons. The zero value is ready for
// use. It is safe for concurrent use.
type owners struct {
	mu    sync.Mutex
	group estimator.Group
	all   map[string]*owner
}

// get returns what is known of a daemon.
func (o *owners) get(d assigner.Daemon) *owner {
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
		id:         d.ID,
		address:    d.Address,
		datacentre: d.DataCentre,
		acks: o.group.New(estimator.Settings{
			Slots: ownerSlots,
		}),
	}
	o.all[d.Address] = one
	return one
}
