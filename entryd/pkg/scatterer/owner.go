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
	// the weights reaches missLimit. An acknowledgement in time takes back late
	// acknowledgements and failures, and a reply in time the late replies: it is sent before a
	// target is asked, so that it says nothing of replies.
	lateAckWeight   = 2
	lateReplyWeight = 1
	missLimit       = 3
	// ownerProbeInterval is the time between two probes of an owner that is out of
	// service.
	ownerProbeInterval = 400 * time.Millisecond
	// lateRepliesLife is the time without a late reply after which the late replies do not
	// count any more, so that an owner which gets no requests because of them is tried again.
	lateRepliesLife = time.Second
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
	// lateAcks is the sum of the weights of late acknowledgements and failed requests, and
	// lateReplies that of late replies. Both are limited to missLimit.
	lateAcks, lateReplies int
	lastLateReply         time.Time
	lastProbe             time.Time
}

// ackTimeout returns the time after which an acknowledgement is late.
func (o *owner) ackTimeout() time.Duration {
	return min(max(ackTimeoutFactor*o.ackEstimator.P95(), minAckTimeout), maxAckTimeout)
}

// recordLateAck records a late acknowledgement or a failed request.
func (o *owner) recordLateAck(now time.Time) {
	o.record(now, func() { o.lateAcks = min(o.lateAcks+lateAckWeight, missLimit) })
}

// recordLateReply records a reply that did not come by the goal.
func (o *owner) recordLateReply(now time.Time) {
	o.record(now, func() {
		o.expireLateReplies(now)
		o.lateReplies = min(o.lateReplies+lateReplyWeight, missLimit)
		o.lastLateReply = now
	})
}

// recordAckInTime records that the owner acknowledged in time.
func (o *owner) recordAckInTime(now time.Time) { o.record(now, func() { o.lateAcks = 0 }) }

// recordReplyInTime records that the owner replied by the goal.
func (o *owner) recordReplyInTime(now time.Time) { o.record(now, func() { o.lateReplies = 0 }) }

// record changes the sums and logs whether the owner is out of service because of it.
func (o *owner) record(now time.Time, change func()) {
	o.mu.Lock()
	defer o.mu.Unlock()
	before := o.missed(now)
	change()
	switch after := o.missed(now); {
	case after && !before:
		slog.Info("owner is out of service after late acknowledgements, late replies or failed requests", "owner", o.id, "late_acks", o.lateAcks, "late_replies", o.lateReplies)
	case before && !after:
		slog.Info("owner is back in service after an acknowledgement or a reply in time", "owner", o.id)
	}
}

// expireLateReplies forgets late replies that are too old. The caller holds o.mu.
func (o *owner) expireLateReplies(now time.Time) {
	if now.Sub(o.lastLateReply) >= lateRepliesLife {
		o.lateReplies = 0
	}
}

// missed reports whether the owner is out of service. The caller holds o.mu.
func (o *owner) missed(now time.Time) bool {
	o.expireLateReplies(now)
	return o.lateAcks+o.lateReplies >= missLimit
}

func (o *owner) outOfService(now time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.missed(now)
}

// unresponsive reports whether the owner does not acknowledge in time, whatever its replies.
func (o *owner) unresponsive() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.lateAcks >= missLimit
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
