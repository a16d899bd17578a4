package starter

import (
	"expvar"
	"runtime"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"plantaincleat/entryd/pkg/adminserver"
)

// neverConfirmed is the staleness of a configuration that was never confirmed.
const neverConfirmed = -1

// Status implements administrator.Reporter.
func (d *Daemon) Status() adminserver.Status {
	ix := d.configs.Index()
	s := adminserver.Status{
		ID:           d.cfg.GetId(),
		DataCentre:   d.cfg.GetDatacentre(),
		Revision:     ix.Revision(),
		Ready:        d.ready(),
		StaleSeconds: neverConfirmed,
		Draining:     append([]string{}, d.drainer.ListDraining()...),
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

// ready reports whether the daemon can answer queries: it has a configuration,
// knows the fleet, and has placed the shards on it.
func (d *Daemon) ready() bool {
	return d.configs.Index().Revision() > 0 && d.gossip.Synced() && d.placement.Version() > 0
}

var published atomic.Bool

// publish registers the daemon's metrics. Only the first daemon of a process
// is published.
func (d *Daemon) publish() {
	if !published.CompareAndSwap(false, true) {
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
	expvar.Publish("refusals", &d.handler.Counts().Refusals)
	expvar.Publish("answers", &d.handler.Counts().Answers)
	expvar.Publish("claims", d.keeper.Counts())
	expvar.Publish("mutations", d.dispatcher.Counts())
	expvar.Publish("configuration", expvar.Func(func() any { return d.adopter.Status().Counters }))
	expvar.Publish("adopted", expvar.Func(func() any { return d.configs.adopted.Load() }))
	expvar.Publish("received", expvar.Func(func() any { return d.bytes.Received() }))
	expvar.Publish("transmitted", expvar.Func(func() any { return d.bytes.Sent() }))
	expvar.Publish("limit", expvar.Func(func() any { return d.admission.admitter.Stats().Limit }))
	expvar.Publish("flight", expvar.Func(func() any { return d.admission.admitter.Stats().Flight }))
	expvar.Publish("revision", expvar.Func(func() any { return d.configs.Index().Revision() }))
	expvar.Publish("exchanges", expvar.Func(func() any { return d.gossip.Exchanges() }))
	expvar.Publish("goroutines", expvar.Func(func() any { return runtime.NumGoroutine() }))
	expvar.Publish("cpu", expvar.Func(func() any { return processorTime().Seconds() }))
}

// processorTime returns the processor time that the process has used.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
