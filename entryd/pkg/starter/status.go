package starter

import (
	"expvar"
	"runtime"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"plantaincleat/entryd/pkg/adminserver"
	"plantaincleat/entryd/pkg/gatekeeper"
)

// neverConfirmed is the reported staleness of a configuration that was never confirmed
// to be the newest.
const neverConfirmed = -1

// Status implements adminserver.Reporter.
func (d *Daemon) Status() adminserver.Status {
	ix := d.configs.Index()
	s := adminserver.Status{
		ID:           d.cfg.GetId(),
		DataCentre:   d.cfg.GetDatacentre(),
		Revision:     ix.Revision(),
		Ready:        d.ready(),
		StaleSeconds: neverConfirmed,
		Draining:     append([]string{}, d.drainTracker.ListDraining()...),
	}
	if age, ok := d.adopter.Staleness(); ok {
		s.StaleSeconds = age.Seconds()
	}
	for _, m := range d.gossip.View().Members() {
		state := strings.ToLower(strings.TrimPrefix(m.State().String(), "STATE_"))
		if !m.Reachable() {
			state = "unreachable"
		}
		s.Members = append(s.Members, adminserver.Member{
			ID:         m.ID(),
			DataCentre: m.DataCentre(),
			State:      state,
			Revision:   m.Revision(),
			Admin:      m.AdminAddress(),
		})
	}
	return s
}

// ready reports whether the daemon can answer queries: it has a configuration, its view
// of the fleet is in sync, and the placement of shards is computed.
func (d *Daemon) ready() bool {
	return d.configs.Index().Revision() > 0 && d.gossip.Synced() && d.placement.Version() > 0
}

var metricsPublished atomic.Bool

// publishMetrics registers the daemon's metrics with expvar. Their names are global, so
// only the first daemon of a process is published.
func (d *Daemon) publishMetrics() {
	if !metricsPublished.CompareAndSwap(false, true) {
		return
	}
	c, g := d.coordinator.Counts(), d.gatherer.Counts()
	ints := []struct {
		name string
		v    *atomic.Int64
	}{
		{"queries", &c.Queries},
		{"partial", &c.PartialResults},
		{"restarts", &c.Restarts},
		{"hedges", &c.Hedges},
		{"retries", &c.Retries},
		{"late", &c.LateAnswers},
		{"mismatched", &c.Mismatched},
		{"tasks", &g.Tasks},
		{"sent", &g.Sent},
		{"crossed", &g.Mismatched},
		{"sheds", &g.Sheds},
		{"lost", &g.LostAttempts},
	}
	for _, i := range ints {
		expvar.Publish(i.name, expvar.Func(func() any { return i.v.Load() }))
	}
	keepers := []struct {
		name string
		k    *gatekeeper.Keeper
	}{
		{"callers", d.keepers.callers},
		{"callers_peers", d.keepers.peers},
		{"callers_operators", d.keepers.admin},
	}
	for _, i := range keepers {
		expvar.Publish(i.name, expvar.Func(func() any { return i.k.Counts() }))
	}
	expvar.Publish("refusals", &d.handler.Counts().Refusals)
	expvar.Publish("answers", &d.handler.Counts().Answers)
	expvar.Publish("claims", d.bucketWriter.Counts())
	expvar.Publish("mutations", d.dispatcher.Counts())
	expvar.Publish("configuration", expvar.Func(func() any { return d.adopter.Status().Counters }))
	expvar.Publish("adopted", expvar.Func(func() any { return d.configs.adopted.Load() }))
	expvar.Publish("received", expvar.Func(func() any { return d.peerBytes.Received() }))
	expvar.Publish("transmitted", expvar.Func(func() any { return d.peerBytes.Sent() }))
	expvar.Publish("limit", expvar.Func(func() any { return d.admission.admitter.Stats().Limit }))
	expvar.Publish("flight", expvar.Func(func() any { return d.admission.admitter.Stats().InFlight }))
	expvar.Publish("revision", expvar.Func(func() any { return d.configs.Index().Revision() }))
	expvar.Publish("exchanges", expvar.Func(func() any { return d.gossip.Exchanges() }))
	expvar.Publish("goroutines", expvar.Func(func() any { return runtime.NumGoroutine() }))
	expvar.Publish("cpu", expvar.Func(func() any { return processorTime().Seconds() }))
}

// processorTime returns the user and system CPU time of the process, or zero if it is
// not known.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
