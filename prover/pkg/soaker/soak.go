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
	// recoveryLimit is the time after the last disruption, and after the start,
	// within which all daemons must serve in full.
	recoveryLimit = 15 * time.Second
	// inForceLimit is the time within which an accepted configuration must be
	// in force in every daemon that is not disrupted.
	inForceLimit = 5 * time.Second
	// drainLimit is the time after which a draining target must not get new
	// work.
	drainLimit = 5 * time.Second
	// closeSlack is the time that a caller waits beyond the deadline before it
	// closes the connection.
	closeSlack = 500 * time.Millisecond
	// servedPeriod is the time over which every request must be answered in
	// full at the end.
	servedPeriod = time.Second
	// pollInterval is the time between two checks of the probers and of other
	// polls.
	pollInterval = 200 * time.Millisecond
	// callersPerDaemon is the number of concurrent callers for each daemon.
	callersPerDaemon = 2
)

// Options configures a run.
type Options struct {
	// Program is the path of the platform's daemon.
	Program string
	// Earlier is the path of an earlier build, which all daemons run until they are replaced
	// one after the other. Empty means that all run Program from the start.
	Earlier string
	// Directory receives the settings files and logs of the daemons.
	Directory string
	Daemons   int
	// Seed decides which disruptions start when.
	Seed uint64
	// Kinds is the number of kinds of disruption that the seed picks from, in
	// their order. A seed found when there were fewer kinds gives the same run
	// with that number. 0 means all.
	Kinds int
	// Duration is the time over which disruptions are started.
	Duration time.Duration
	// MeanGap is the mean time between the starts of two disruptions.
	MeanGap time.Duration
	// RotateKeys is true if keys are rotated one after the other besides the disruptions.
	RotateKeys bool
}

// Soak is one run: a fleet under load and disruptions.
type Soak struct {
	options   Options
	fleet     *fleet
	ledger    ledger
	storeMu   sync.Mutex
	resharded atomic.Bool

	// mu serialises changes of the simulated platform.
	mu sync.Mutex
	// version is the number of configurations accepted so far, and accepted the
	// time of the last one.
	version  atomic.Int64
	accepted atomic.Pointer[time.Time]
	// events lists the disruptions in the order of their starts.
	events []string

	// ended is closed at the end of the run, and background waits for what runs until
	// then. crashSenders is guarded by mu.
	ended        chan struct{}
	background   sync.WaitGroup
	crashSenders []*crashSender
	// leavingTargets counts the targets that announce that they are leaving. It is guarded
	// by mu.
	leavingTargets int
	evacuations    evacuations
	keys           keys
}

// Run does one run. It returns the checks that failed and the events of the
// run.
func Run(o Options) (findings, events []string, err error) {
	s := &Soak{
		options: o,
		ended:   make(chan struct{}),
	}
	if s.fleet, err = newFleet(o.Program, o.Earlier, o.Directory, o.Daemons, replicas); err != nil {
		return nil, nil, err
	}
	defer s.fleet.close()
	s.startProbers()
	if !s.waitUntilReady(time.Now()) {
		s.ledger.addFinding("not every daemon became ready after the start")
	}
	s.addInstitutions()
	s.startCallers()
	s.startKeyedCaller()
	s.disrupt()
	if s.checkRecovery() {
		s.checkEvacuation()
		s.checkKeysSettled()
		s.checkDrainAndStop()
	}
	close(s.ended)
	s.background.Wait()
	s.ledger.check(s.fleet.platform)
	s.checkCrashSenders()
	s.checkAnnouncements()
	s.checkLimits()
	s.checkEvacuations()
	s.checkIdentities()
	s.events = append(s.events, s.ledger.summary())
	return s.ledger.findings, s.events, nil
}

// startCallers starts callers that send requests until the end of the run.
func (s *Soak) startCallers() {
	for i := range callersPerDaemon * len(s.fleet.daemons) {
		c := &caller{
			soak:   s,
			number: i,
			random: rand.New(rand.NewPCG(s.options.Seed, uint64(i))),
		}
		s.background.Go(func() { c.run(s.ended) })
	}
}

// pickDaemon returns a random ready daemon for a new connection, as a balancer
// does, or any daemon if none is ready.
func (s *Soak) pickDaemon(r *rand.Rand) *daemon {
	ready := slices.Clone(s.fleet.daemons)
	ready = slices.DeleteFunc(ready, func(d *daemon) bool { return !d.ready.Load() })
	if len(ready) == 0 {
		ready = s.fleet.daemons
	}
	return ready[r.IntN(len(ready))]
}

// disrupt starts disruptions that the seed decides and waits until all are
// over.
func (s *Soak) disrupt() {
	r := rand.New(rand.NewPCG(s.options.Seed, s.options.Seed))
	kinds := cmp.Or(s.options.Kinds, len(disruptions))
	begin := time.Now()
	var wg sync.WaitGroup
	if s.options.RotateKeys {
		wg.Go(func() { s.rotateKeys(begin.Add(s.options.Duration)) })
	}
	if s.options.Earlier != "" {
		wg.Go(s.replaceEarlier)
	}
	for time.Since(begin) < s.options.Duration {
		time.Sleep(time.Duration(r.ExpFloat64() * float64(s.options.MeanGap)))
		kind := disruptions[r.IntN(kinds)]
		duration := minDisruption + time.Duration(r.Int64N(int64(maxDisruption-minDisruption)))
		kindRandom := rand.New(rand.NewPCG(r.Uint64(), s.options.Seed))
		s.events = append(s.events, fmt.Sprintf("%v %s for %v", time.Since(begin).Round(time.Millisecond), kind.name, duration.Round(time.Millisecond)))
		wg.Go(func() { kind.run(s, kindRandom, duration) })
	}
	wg.Wait()
}

// acceptChange accepts a configuration that differs from the last one only in
// its version routes.
func (s *Soak) acceptChange() { s.updateConfig(func(*platformsimulator.Config) {}) }

// updateConfig accepts a changed configuration. Version n has a route for
// itself and one for version n-1, by which the probers recognise the version in
// force.
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
			AuthExempt:          true,
		})
	})
	if err != nil {
		s.ledger.addFinding("update to configuration %d: %v", n, err)
	}
	now := time.Now()
	s.accepted.Store(&now)
	s.version.Store(n)
}

func versionPath(n int64) string { return fmt.Sprintf("/version-%d/", n) }

func (s *Soak) register(t *platformsimulator.Target, state string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t.Ended() {
		return
	}
	if err := s.fleet.platform.RegisterTarget(t, state); err != nil {
		s.ledger.addFinding("register target %s: %v", t.ID(), err)
	}
}

// startProbers starts a prober for each daemon until the end of the run.
func (s *Soak) startProbers() {
	for _, d := range s.fleet.daemons {
		p := &prober{
			soak:   s,
			daemon: d,
			client: &http.Client{
				Timeout: callerDeadline,
			},
		}
		s.background.Go(func() {
			for {
				select {
				case <-s.ended:
					return
				case <-time.After(pollInterval):
					p.probe()
				}
			}
		})
	}
}

// waitUntilReady waits until every daemon runs and is ready. It returns false
// once recoveryLimit has passed since the given time.
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

// checkRecovery checks that, within recoveryLimit after the last disruption,
// every daemon is ready and all requests of a servedPeriod are answered in
// full.
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

// findUnserved returns a call since the given time that was not answered in
// full, an empty one if there was no call, and nil otherwise.
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

// checkDrainAndStop checks, under load and without disruptions, that a draining
// target gets no new work and that a graceful stop aborts no request.
func (s *Soak) checkDrainAndStop() {
	service := firstPrefix + "03"
	if s.resharded.Load() {
		service = newPrefix + "03"
	}
	targets := s.fleet.platform.ServiceTargets(service)
	if len(targets) == 0 {
		s.ledger.addFinding("no target of %s runs", service)
		return
	}
	draining := targets[0]
	s.register(draining, "draining")
	time.Sleep(drainLimit)
	before := draining.Arrivals()
	time.Sleep(servedPeriod)
	if after := draining.Arrivals(); after > before {
		s.ledger.addFinding("%d requests were sent to %s, which has been draining for %v", after-before, draining.ID(), drainLimit)
	}
	begin := time.Now()
	d := s.fleet.daemons[int(s.options.Seed)%len(s.fleet.daemons)]
	s.withProcess(d, func(p *deployer.Process) { s.stopProcess(d, p) })
	for _, c := range s.ledger.callsSince(begin) {
		if c.status == 0 && c.daemon == d.number && s.executed(c.id) {
			s.ledger.addFinding("request %s was executed but aborted by the stop of daemon %d: %v", c.id, d.number, c.err)
		}
	}
}

// executed reports whether a target has executed a request.
func (s *Soak) executed(id string) bool {
	return s.fleet.platform.Executions(id) > 0
}
