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
	// lateAckWeight and lateReply are the weights of an acknowledgement and of a reply
	// that did not come in time. From missLimit on, without a timely one between
	// them, an owner is out of service.
	lateAckWeight   = 2
	lateReplyWeight = 1
	missLimit       = 3
	// ownerProbeInterval is the time between two probes of an owner that is out of
	// service.
	ownerProbeInterval = 400 * time.Millisecond
	// ackTimeoutFactor times the 95th percentile of the time to an acknowledgement,
	// within the two bounds, is when one counts as late.
	ackTimeoutFactor = 3
	minAckTimeout    = 12 * time.Millisecond
	maxAckTimeout    = 50 * time.Millisecond
)

// owner is another daemon that asks the targets of some shards. A sound owner
// acknowledges each request at once and replies by the goal, whatever its
// targets do. It is safe for concurrent use.
type owner struct {
	id         string
	address    string
	datacentre string
	// ackEstimator learns the time to an acknowledgement.
	ackEstimator *estimator.Estimator

	mu        sync.Mutex
	misses    int
	lastProbe time.Time
}

// ackTimeout returns the time after which an acknowledgement is late.
func (o *owner) ackTimeout() time.Duration {
	return min(max(ackTimeoutFactor*o.ackEstimator.P95(), minAckTimeout), maxAckTimeout)
}

// recordMiss records that the owner did not do something in time.
func (o *owner) recordMiss(weight int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	before := o.misses
	o.misses = min(o.misses+weight, missLimit)
	if before < missLimit && o.misses == missLimit {
		slog.Info("owner is out of service", "owner", o.id, "misses", o.misses)
	}
}

// recordInTime records that the owner was in time.
func (o *owner) recordInTime() {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.misses == missLimit {
		slog.Info("owner is back in service", "owner", o.id)
	}
	o.misses = 0
}

// outOfService reports whether the owner is out of service.
func (o *owner) outOfService() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.misses >= missLimit
}

// probeDue reports whether an owner that is out of service is to be probed now. It is
// true for one caller in each interval.
func (o *owner) probeDue(now time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if now.Sub(o.lastProbe) < ownerProbeInterval {
		return false
	}
	o.lastProbe = now
	return true
}

// owners keeps what was learned of other daemons. The zero value is ready for
// use. It is safe for concurrent use.
type owners struct {
	mu        sync.Mutex
	group     estimator.Group
	byAddress map[string]*owner
}

// get returns what is known of a daemon.
func (o *owners) get(d assigner.Daemon) *owner {
	o.mu.Lock()
	defer o.mu.Unlock()
	one := o.byAddress[d.Address]
	if one != nil {
		return one
	}
	if o.byAddress == nil {
		o.byAddress = make(map[string]*owner)
	}
	one = &owner{
		id:         d.ID,
		address:    d.Address,
		datacentre: d.DataCentre,
		ackEstimator: o.group.New(estimator.Settings{
			Slots: ownerSlots,
		}),
	}
	o.byAddress[d.Address] = one
	return one
}
