// Package reachdetector detects that this daemon is isolated: it runs, and callers and other
// daemons reach it, but it reaches no target.
//
// The sign is that nothing was heard from any target for a while, although several of them
// have had requests for longer than they usually need, or have lost their connections. A
// pause of the daemon itself looks the same, so that probes decide.
package reachdetector

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"plantaincleat/entryd/pkg/cataloger"
	"plantaincleat/entryd/pkg/httpsender"
)

const (
	// minQuiet is the time without an answer of any target from which a partition is
	// suspected.
	minQuiet = 60 * time.Millisecond
	// minSilent is the number of silent targets that a suspicion requires.
	minSilent = 2
	// patienceFactor times the p95 latency of a target is the time after which an unanswered
	// request makes it silent.
	patienceFactor = 2
	// silenceLife is the time after which an unanswered request says nothing any more.
	silenceLife = 5 * time.Second
	// probeTimeout bounds one probe.
	probeTimeout = 150 * time.Millisecond
	// firstProbes is the number of targets that are probed first, and confirmProbes that of
	// which none answers if the daemon is isolated. The others are probed if there is no
	// answer within firstWait.
	firstProbes   = 2
	confirmProbes = 6
	firstWait     = 20 * time.Millisecond
	// minProbed is the number of probes without an answer that an isolation requires. With
	// fewer targets, their failure is as likely.
	minProbed = 3
	// recoveryProbes is the number of targets that are probed in each recoveryInterval from
	// then on.
	recoveryProbes   = 2
	recoveryInterval = 250 * time.Millisecond
	// recoveryRounds is the number of successive rounds with an answer that end an isolation,
	// and confirmInterval the time between them.
	recoveryRounds  = 2
	confirmInterval = 50 * time.Millisecond
	// refutedInterval is the time after a refuted suspicion in which there is no other.
	refutedInterval = 500 * time.Millisecond
)

// Catalogs provides the current catalog.
type Catalogs interface {
	Catalog() *cataloger.Catalog
}

// Options configure a Detector. Clock and Catalogs are required.
type Options struct {
	Clock    clockwork.Clock
	Catalogs Catalogs
	// ProcessHeader is the header in which an answer names the process that gave it.
	ProcessHeader string
	// OnAnswer is called with the answers to probes, in which targets may announce something.
	// It may be nil.
	OnAnswer func(target *cataloger.Target, answer *httpsender.Answer)
	// OnChange is called when an isolation begins or ends. It may be nil.
	OnChange func(isolated bool)
}

// record is what is known of the requests to one target.
type record struct {
	// waiting is the number of requests in flight.
	waiting int
	// silentSince is when the target began to leave requests unanswered.
	silentSince time.Time
	// patience is the time after which the target is silent.
	patience time.Duration
	// failed is true if the last connection could not be opened or was lost.
	failed bool
}

// end records that a request has ended. Those that were sent before an isolation are not
// counted.
func (r *record) end() { r.waiting = max(r.waiting-1, 0) }

// Detector detects an isolation of this daemon. It is safe for concurrent use.
type Detector struct {
	Options
	// suspected wakes Run.
	suspected chan struct{}

	mu sync.Mutex
	// records holds the targets that have left requests unanswered.
	records map[string]*record
	// heard is when any target was last heard from.
	heard time.Time
	// refuted is when probes last refuted a suspicion.
	refuted time.Time
	// lost is closed when an isolation begins, and replaced when it ends.
	lost chan struct{}

	// doubtful and isolated change only while mu is held.
	doubtful, isolated atomic.Bool
}

// New returns a Detector. It probes nothing before Run.
func New(o Options) *Detector {
	return &Detector{
		Options:   o,
		suspected: make(chan struct{}, 1),
		records:   make(map[string]*record),
		lost:      make(chan struct{}),
	}
}

// Isolated reports whether the daemon reaches no target.
func (d *Detector) Isolated() bool { return d.isolated.Load() }

// Doubtful reports whether the daemon may be isolated: what it observes of targets may be
// due to its own links.
func (d *Detector) Doubtful() bool { return d.isolated.Load() || d.doubtful.Load() }

// Lost returns a channel that is closed while the daemon is isolated.
func (d *Detector) Lost() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.lost
}

// RecordSent records that a request is sent to a target with the given p95 latency. Exactly
// one call of RecordHeard, RecordFailed or RecordDropped must follow.
func (d *Detector) RecordSent(target string, p95 time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Clock.Now()
	r := d.record(target)
	r.waiting++
	r.patience = max(patienceFactor*p95, minQuiet)
	if r.silentSince.IsZero() {
		r.silentSince = now
	}
	d.suspect(now)
}

// RecordHeard records that a target has answered a request, in whatever way.
func (d *Detector) RecordHeard(target string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Clock.Now()
	d.heard = now
	r := d.record(target)
	r.end()
	r.failed = false
	r.silentSince = now
	if r.waiting == 0 {
		delete(d.records, target)
	}
}

// RecordFailed records that a request has lost its connection.
func (d *Detector) RecordFailed(target string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.record(target).end()
	d.recordFailure(target)
}

// RecordUnreachable records that no connection to a target could be opened, for a request
// that was not sent.
func (d *Detector) RecordUnreachable(target string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.recordFailure(target)
}

// RecordDropped records that a request was given up. The target still counts as silent.
func (d *Detector) RecordDropped(target string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.record(target).end()
}

func (d *Detector) recordFailure(target string) {
	now := d.Clock.Now()
	r := d.record(target)
	r.failed = true
	if r.silentSince.IsZero() {
		r.silentSince = now
	}
	d.suspect(now)
}

// record returns the record of a target. The caller holds d.mu.
func (d *Detector) record(target string) *record {
	r := d.records[target]
	if r == nil {
		r = &record{}
		d.records[target] = r
	}
	return r
}

// suspect wakes Run if the daemon may be isolated. The caller holds d.mu.
func (d *Detector) suspect(now time.Time) {
	if d.Doubtful() || now.Sub(d.heard) < minQuiet || now.Sub(d.refuted) < refutedInterval {
		return
	}
	silent := 0
	for id, r := range d.records {
		since := now.Sub(r.silentSince)
		switch {
		case since > silenceLife && r.waiting <= 0:
			delete(d.records, id)
		case r.failed || since > r.patience:
			silent++
		}
	}
	if silent < minSilent {
		return
	}
	d.doubtful.Store(true)
	select {
	case d.suspected <- struct{}{}:
	default:
	}
}

// Run examines suspicions until ctx ends.
func (d *Detector) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.suspected:
			d.examine(ctx)
		}
	}
}

// examine decides by probes whether the daemon is isolated and, if it is, returns when it
// reaches targets again.
func (d *Detector) examine(ctx context.Context) {
	begin := d.Clock.Now()
	tried, reached := d.probe(ctx, confirmProbes)
	if ctx.Err() != nil {
		return
	}
	if tried < minProbed || reached > 0 || d.heardSince(begin) {
		d.refute()
		return
	}
	slog.Warn("daemon is isolated: no probe of a target is answered", "probes", tried, "quiet_ms", d.quiet(begin).Milliseconds())
	d.setIsolated(true)
	if d.awaitReach(ctx) {
		slog.Info("isolation of daemon has ended: targets answer probes", "lasted_ms", d.Clock.Since(begin).Milliseconds())
		d.setIsolated(false)
	}
}

// awaitReach probes targets until recoveryRounds successive rounds have an answer. It returns
// false if ctx ends first.
func (d *Detector) awaitReach(ctx context.Context) bool {
	wait := recoveryInterval
	for rounds := 0; rounds < recoveryRounds; {
		if !d.sleep(ctx, wait) {
			return false
		}
		rounds, wait = rounds+1, confirmInterval
		if _, reached := d.probe(ctx, recoveryProbes); reached == 0 {
			rounds, wait = 0, recoveryInterval
		}
	}
	return true
}

func (d *Detector) quiet(now time.Time) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return now.Sub(d.heard)
}

// refute ends a suspicion.
func (d *Detector) refute() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.doubtful.Store(false)
	d.refuted = d.Clock.Now()
}

// setIsolated begins or ends an isolation. What was observed of targets in an isolation says
// nothing about them, so that it is forgotten at the end.
func (d *Detector) setIsolated(isolated bool) {
	d.mu.Lock()
	d.isolated.Store(isolated)
	d.doubtful.Store(false)
	if isolated {
		close(d.lost)
	} else {
		d.lost = make(chan struct{})
		d.heard = d.Clock.Now()
		clear(d.records)
	}
	d.mu.Unlock()
	if !isolated {
		for _, p := range d.Catalogs.Catalog().Pools() {
			for _, r := range p.Replicas() {
				r.Estimator().ClearSuspicion()
			}
		}
	}
	if d.OnChange != nil {
		d.OnChange(isolated)
	}
}

// heardSince reports whether a target was heard from after a time.
func (d *Detector) heardSince(since time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.heard.After(since)
}
