package soaker

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"plantaincleat/prover/pkg/deployer"
	"plantaincleat/standin/pkg/platformsimulator"
)

const (
	// recoveryLimit is the time after the last disruption by which all is served.
	recoveryLimit = 15 * time.Second
	// inForceLimit is the time by which a change is in force everywhere.
	inForceLimit = 5 * time.Second
	// drainLimit is the time by which a target that leaves gets no new work.
	drainLimit = 5 * time.Second
	// closeSlack is added to a caller's time limit before it hangs up.
	closeSlack = 500 * time.Millisecond
	// servedPeriod is how long every request has to be answered in full at the end.
	servedPeriod = time.Second
	// pollInterval lies between two looks of what watches.
	pollInterval = 200 * time.Millisecond
	// callersPerDaemon is the load.
	callersPerDaemon = 2
)

// Options set up a Soak.
type Options struct {
	// Program is the daemon's.
	Program string
	// Directory gets settings and logs.
	Directory string
	Daemons   int
	// Seed decides which disruptions come when.
	Seed uint64
	// Kinds is the number of kinds of disruption, from the first, that the seed
	// chooses from: a seed that was found with fewer of them stays what it was. Zero
	// takes all.
	Kinds int
	// Duration is how long disruptions come.
	Duration time.Duration
	// MeanGap is the mean time between the begins of two disruptions.
	MeanGap time.Duration
}

// Soak is one run.
type Soak struct {
	options   Options
	fleet     *fleet
	ledger    ledger
	storeMu   sync.Mutex
	resharded atomic.Bool

	// mu guards the world, which is changed by one at a time.
	mu sync.Mutex
	// version counts the accepted configurations, and accepted is when the last
	// one was.
	version  atomic.Int64
	accepted atomic.Pointer[time.Time]
	// events is what was done, in order.
	events []string
}

// Run runs one soak and returns what it found wrong and what was done.
func Run(o Options) (findings, story []string, err error) {
	s := &Soak{
		options: o,
	}
	if s.fleet, err = newFleet(o.Program, o.Directory, o.Daemons, replicas); err != nil {
		return nil, nil, err
	}
	defer s.fleet.close()
	stop := make(chan struct{})
	var wg sync.WaitGroup
	s.startProbers(&wg, stop)
	if !s.waitUntilReady(time.Now()) {
		s.ledger.addFinding("the fleet did not come up")
	}
	s.acceptChange()
	s.startCallers(&wg, stop)
	s.disrupt()
	if s.checkRecovery() {
		s.checkDrainAndStop()
	}
	close(stop)
	wg.Wait()
	s.ledger.check(s.fleet.platform)
	s.events = append(s.events, s.ledger.summary())
	return s.ledger.findings, s.events, nil
}

// startCallers starts the callers.
func (s *Soak) startCallers(wg *sync.WaitGroup, stop <-chan struct{}) {
	for i := range callersPerDaemon * len(s.fleet.daemons) {
		c := &caller{
			soak:   s,
			number: i,
			random: rand.New(rand.NewPCG(s.options.Seed, uint64(i))),
		}
		wg.Go(func() { c.run(stop) })
	}
}

// pickDaemon returns a daemon for a new connection, as a balancer does.
func (s *Soak) pickDaemon(r *rand.Rand) *daemon {
	ready := slices.Clone(s.fleet.daemons)
	ready = slices.DeleteFunc(ready, func(d *daemon) bool { return !d.ready.Load() })
	if len(ready) == 0 {
		ready = s.fleet.daemons
	}
	return ready[r.IntN(len(ready))]
}

// disrupt starts disruptions by the seed and waits until all are over.
func (s *Soak) disrupt() {
	r := rand.New(rand.NewPCG(s.options.Seed, s.options.Seed))
	kinds := cmp.Or(s.options.Kinds, len(disruptions))
	begin := time.Now()
	var wg sync.WaitGroup
	for time.Since(begin) < s.options.Duration {
		time.Sleep(time.Duration(r.ExpFloat64() * float64(s.options.MeanGap)))
		kind := disruptions[r.IntN(kinds)]
		lasts := minDisruption + time.Duration(r.Int64N(int64(maxDisruption-minDisruption)))
		own := rand.New(rand.NewPCG(r.Uint64(), s.options.Seed))
		s.events = append(s.events, fmt.Sprintf("%v %s for %v", time.Since(begin).Round(time.Millisecond), kind.name, lasts.Round(time.Millisecond)))
		wg.Go(func() { kind.run(s, own, lasts) })
	}
	wg.Wait()
}

// acceptChange accepts another configuration.
func (s *Soak) acceptChange() { s.updateConfig(func(*platformsimulator.Config) {}) }

// updateConfig accepts a changed configuration. Version n holds a route for itself and
// one for the version before.
func (s *Soak) updateConfig(change func(d *platformsimulator.Config)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.version.Load() + 1
	err := s.fleet.platform.UpdateConfig(func(d *platformsimulator.Config) {
		change(d)
		d.Routes = slices.DeleteFunc(d.Routes, func(r platformsimulator.Route) bool { return r.Prefix == versionPath(n-2) })
		d.Routes = append(d.Routes, platformsimulator.Route{
			Name:                fmt.Sprintf("version-%d", n),
			Host:                platformsimulator.RouteHost,
			Prefix:              versionPath(n),
			Type:                "idempotent",
			TimeoutMillis:       int(callerDeadline.Milliseconds()),
			TargetLatencyMillis: 300,
			MaxAttempts:         maxExecutions,
			Service:             "single",
		})
	})
	if err != nil {
		s.ledger.addFinding("configuration %d: %v", n, err)
	}
	now := time.Now()
	s.accepted.Store(&now)
	s.version.Store(n)
}

func versionPath(n int64) string { return fmt.Sprintf("/version-%d/", n) }

func (s *Soak) register(t *platformsimulator.Target, state string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.fleet.platform.RegisterTarget(t, state); err != nil {
		s.ledger.addFinding("entry of %s: %v", t.ID(), err)
	}
}

// startProbers polls readiness and the configuration in force at each daemon.
func (s *Soak) startProbers(wg *sync.WaitGroup, stop <-chan struct{}) {
	for _, d := range s.fleet.daemons {
		p := &prober{
			soak:   s,
			daemon: d,
			client: &http.Client{
				Timeout: callerDeadline,
			},
		}
		wg.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(pollInterval):
					p.probe()
				}
			}
		})
	}
}

// waitUntilReady waits until every daemon is ready and has the last configuration. It
// returns false if that takes longer than the time to recover.
func (s *Soak) waitUntilReady(since time.Time) bool {
	for time.Since(since) < recoveryLimit {
		ready := true
		for _, d := range s.fleet.daemons {
			ready = ready && d.ready.Load() && d.shouldRun.Load()
		}
		if ready {
			return true
		}
		time.Sleep(pollInterval)
	}
	return false
}

// checkRecovery checks that all is served again in time after the last disruption.
func (s *Soak) checkRecovery() bool {
	begin := time.Now()
	if !s.waitUntilReady(begin) {
		s.ledger.addFinding("not every daemon is ready %v after the last disruption", recoveryLimit)
		return false
	}
	var unserved *callRecord
	for time.Since(begin) < recoveryLimit {
		time.Sleep(servedPeriod)
		if unserved = s.findUnserved(time.Now().Add(-servedPeriod)); unserved == nil {
			return true
		}
	}
	s.ledger.addFinding("request %s on daemon %d: status %d, %v, missing %q, %v after the last disruption",
		unserved.id, unserved.daemon, unserved.status, unserved.err, unserved.header.Get("Missing-Parts"), recoveryLimit)
	return false
}

// findUnserved returns a call since a time that was not answered in full.
func (s *Soak) findUnserved(since time.Time) *callRecord {
	calls := s.ledger.callsSince(since)
	for _, c := range calls {
		if c.status != http.StatusOK || c.route == routeAll && c.header.Get("Missing-Parts") != "0" {
			return c
		}
	}
	if len(calls) == 0 {
		return &callRecord{}
	}
	return nil
}

// checkDrainAndStop checks, under load and without disruptions, that a target that leaves
// gets no new work, and that a stop cuts no request.
func (s *Soak) checkDrainAndStop() {
	draining := s.fleet.platform.ServiceTargets(firstPrefix + "03")[0]
	if s.resharded.Load() {
		draining = s.fleet.platform.ServiceTargets(newPrefix + "03")[0]
	}
	s.register(draining, "draining")
	time.Sleep(drainLimit)
	before := draining.Arrivals()
	time.Sleep(servedPeriod)
	if after := draining.Arrivals(); after > before {
		s.ledger.addFinding("%d requests were sent to %s, which has been leaving for %v", after-before, draining.ID(), drainLimit)
	}
	begin := time.Now()
	d := s.fleet.daemons[int(s.options.Seed)%len(s.fleet.daemons)]
	s.withProcess(d, func(p *deployer.Process) { s.stopProcess(d, p) })
	for _, c := range s.ledger.callsSince(begin) {
		if c.status == 0 && c.daemon == d.number && s.executed(c.id) {
			s.ledger.addFinding("request %s was run and cut by the stop of daemon %d: %v", c.id, d.number, c.err)
		}
	}
}

// executed reports whether a target has run a request.
func (s *Soak) executed(id string) bool {
	return slices.ContainsFunc(s.fleet.platform.AllTargets(), func(t *platformsimulator.Target) bool { return t.Executions(id) > 0 })
}
