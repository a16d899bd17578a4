package scatterer

import (
	"log/slog"
	"sync"
	"time"

	"plantaincleat/entryd/pkg/assigner"
	"plantaincleat/entryd/pkg/estimator"
)

const (
	// ownerSlots is the number of requests that a daemon is assumed to acknowledge
	// concurrently.
	ownerSlots = 64
	// lateAckWeight is the weight of a late acknowledgement and of a failed request,
	// lateReplyWeight that of a late reply. An owner is out of service once the sum of
	// the weights since the last acknowledgement in time reaches missLimit.
	lateAckWeight   = 2
	lateReplyWeight = 1
	missLimit       = 3
	// ownerProbeInterval is the time between two probes of an owner that is out of
	// service.
	ownerProbeInterval = 400 * time.Millisecond
	// ackTimeoutFactor times the p95 latency of acknowledgements is the time after which
	// an acknowledgement is late. minAckTimeout and maxAckTimeout bound that time.
	ackTimeoutFactor = 3
	minAckTimeout    = 12 * time.Millisecond
	maxAckTimeout    = 50 * time.Millisecond
)

// owner is another daemon that sends the sub-requests for some shards to their
// targets. A working owner acknowledges each request immediately and replies before
// the goal, even if its targets do not answer. It is safe for concurrent use.
type owner struct {
	id         string
	address    string
	datacentre string
	// ackEstimator estimates the latency of acknowledgements.
	ackEstimator *estimator.Estimator

	mu sync.Mutex
	// misses is the sum of the weights of late messages and failed requests, limited to
	// missLimit.
	misses    int
	lastProbe time.Time
}

// ackTimeout returns the time after which an acknowledgement is late.
func (o *owner) ackTimeout() time.Duration {
	return min(max(ackTimeoutFactor*o.ackEstimator.P95(), minAckTimeout), maxAckTimeout)
}

// recordMiss records a late acknowledgement, a late reply or a failed request with its
// weight.
func (o *owner) recordMiss(weight int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	before := o.misses
	o.misses = min(o.misses+weight, missLimit)
	if before < missLimit && o.misses == missLimit {
		slog.Info("owner is out of service after late acknowledgements, late replies or failed requests", "owner", o.id, "misses", o.misses)
	}
}

// recordInTime records that the owner acknowledged in time, and puts it back in service.
func (o *owner) recordInTime() {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.misses == missLimit {
		slog.Info("owner is back in service after an acknowledgement in time", "owner", o.id)
	}
	o.misses = 0
}

func (o *owner) outOfService() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.misses >= missLimit
}

// probeDue reports whether an owner that is out of service should be probed now. It
// returns true for one caller in each interval.
func (o *owner) probeDue(now time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if now.Sub(o.lastProbe) < ownerProbeInterval {
		return false
	}
	o.lastProbe = now
	return true
}

// owners holds the state of other daemons by address. The zero value is ready for
// use. It is safe for concurrent use.
type owners struct {
	mu        sync.Mutex
	group     estimator.Group
	byAddress map[string]*owner
}

// get returns the state of a daemon and creates it if necessary.
func (o *owners) get(d assigner.Daemon) *owner {
	o.mu.Lock()
	defer o.mu.Unlock()
	known := o.byAddress[d.Address]
	if known != nil {
		return known
	}
	if o.byAddress == nil {
		o.byAddress = make(map[string]*owner)
	}
	known = &owner{
		id:         d.ID,
		address:    d.Address,
		datacentre: d.DataCentre,
		ackEstimator: o.group.New(estimator.Settings{
			Slots: ownerSlots,
		}),
	}
	o.byAddress[d.Address] = known
	return known
}
