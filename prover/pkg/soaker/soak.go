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
	// recovery is the time after the last disruption by which all is served.
	recovery = 15 * time.Second
	// inForce is the time by which a change is in force everywhere.
	inForce = 5 * time.Second
	// drained is the time by which a target that leaves gets no new work.
	drained = 5 * time.Second
	// hangSlack is added to a caller's time limit before it hangs up.
	hangSlack = 500 * time.Millisecond
	// settled is how long every request has to be answered in full at the end.
	settled = time.Second
	// tick lies between two looks of what watches.
	tick = 200 * time.Millisecond
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
	// Length is how long disruptions come.
	Length time.Duration
	// Gap is the mean time between the begins of two disruptions.
	Gap time.Duration
}

// Soak is one run.
type Soak struct {
	options   Options
	fleet     *fleet
	ledger    ledger
	storeBusy sync.Mutex
	resharded atomic.Bool

	// mu guards the world, which is changed by one at a time.
	mu sync.Mutex
	// version counts the accepted configurations, and accepted is when the last
	// one was.
	version  atomic.Int64
	accepted atomic.Pointer[time.Time]
	// story is what was done, in order.
	story []string
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
	s.watch(&wg, stop)
	if !s.whole(time.Now()) {
		s.ledger.find("the fleet did not come up")
	}
	s.change()
	s.load(&wg, stop)
	s.disrupt()
	if s.settle() {
		s.finale()
	}
	close(stop)
	wg.Wait()
	s.ledger.check(s.fleet.world)
	s.story = append(s.story, s.ledger.summary())
	return s.ledger.findings, s.story, nil
}

// load starts the callers.
func (s *Soak) load(wg *sync.WaitGroup, stop <-chan struct{}) {
	for i := range callersPerDaemon * len(s.fleet.daemons) {
		c := &caller{
			soak:   s,
			number: i,
			random: rand.New(rand.NewPCG(s.options.Seed, uint64(i))),
		}
		wg.Go(func() { c.run(stop) })
	}
}

// pick returns a daemon for a new connection, as a balancer does.
func (s *Soak) pick(r *rand.Rand) *daemon {
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
	kinds := cmp.Or(s.options.Kinds, len(faults))
	begin := time.Now()
	var wg sync.WaitGroup
	for time.Since(begin) < s.options.Length {
		time.Sleep(time.Duration(r.ExpFloat64() * float64(s.options.Gap)))
		one := faults[r.IntN(kinds)]
		lasts := minFault + time.Duration(r.Int64N(int64(maxFault-minFault)))
		own := rand.New(rand.NewPCG(r.Uint64(), s.options.Seed))
		s.story = append(s.story, fmt.Sprintf("%v %s for %v", time.Since(begin).Round(time.Millisecond), one.name, lasts.Round(time.Millisecond)))
		wg.Go(func() { one.run(s, own, lasts) })
	}
	wg.Wait()
}

// change accepts another configuration.
func (s *Soak) change() { s.apply(func(*platformsimulator.Config) {}) }

// apply accepts a changed configuration. Version n holds a route for itself and
// one for the version before.
func (s *Soak) apply(change func(d *platformsimulator.Config)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.version.Load() + 1
	err := s.fleet.world.UpdateConfig(func(d *platformsimulator.Config) {
		change(d)
		d.Routes = slices.DeleteFunc(d.Routes, func(r platformsimulator.Route) bool { return r.Prefix == versionPath(n-2) })
		d.Routes = append(d.Routes, platformsimulator.Route{
			Name:                fmt.Sprintf("version-%d", n),
			Host:                platformsimulator.RouteHost,
			Prefix:              versionPath(n),
			Type:                "idempotent",
			TimeoutMillis:       int(patience.Milliseconds()),
			TargetLatencyMillis: 300,
			MaxAttempts:         attempts,
			Service:             "single",
		})
	})
	if err != nil {
		s.ledger.find("configuration %d: %v", n, err)
	}
	now := time.Now()
	s.accepted.Store(&now)
	s.version.Store(n)
}

func versionPath(n int64) string { return fmt.Sprintf("/version-%d/", n) }

func (s *Soak) register(t *platformsimulator.Target, state string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.fleet.world.RegisterTarget(t, state); err != nil {
		s.ledger.find("entry of %s: %v", t.ID(), err)
	}
}

// watch polls readiness and the configuration in force at each daemon.
func (s *Soak) watch(wg *sync.WaitGroup, stop <-chan struct{}) {
	for _, d := range s.fleet.daemons {
		p := &prober{
			soak:   s,
			daemon: d,
			client: &http.Client{
				Timeout: patience,
			},
		}
		wg.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(tick):
					p.look()
				}
			}
		})
	}
}

// whole waits until every daemon is ready and has the last configuration. It
// returns false if that takes longer than the time to recover.
func (s *Soak) whole(since time.Time) bool {
	for time.Since(since) < recovery {
		sound := true
		for _, d := range s.fleet.daemons {
			sound = sound && d.ready.Load() && d.up.Load()
		}
		if sound {
			return true
		}
		time.Sleep(tick)
	}
	return false
}

// settle checks that all is served again in time after the last disruption.
func (s *Soak) settle() bool {
	begin := time.Now()
	if !s.whole(begin) {
		s.ledger.find("not every daemon is ready %v after the last disruption", recovery)
		return false
	}
	var worst *call
	for time.Since(begin) < recovery {
		time.Sleep(settled)
		if worst = s.unserved(time.Now().Add(-settled)); worst == nil {
			return true
		}
	}
	s.ledger.find("request %s on daemon %d: status %d, %v, missing %q, %v after the last disruption",
		worst.id, worst.daemon, worst.status, worst.err, worst.header.Get("Missing-Parts"), recovery)
	return false
}

// unserved returns a call since a time that was not answered in full.
func (s *Soak) unserved(since time.Time) *call {
	calls := s.ledger.last(since)
	for _, c := range calls {
		if c.status != http.StatusOK || c.route == routeAll && c.header.Get("Missing-Parts") != "0" {
			return c
		}
	}
	if len(calls) == 0 {
		return &call{}
	}
	return nil
}

// finale checks, under load and without disruptions, that a target that leaves
// gets no new work, and that a stop cuts no request.
func (s *Soak) finale() {
	leaving := s.fleet.world.ServiceTargets(firstPrefix + "03")[0]
	if s.resharded.Load() {
		leaving = s.fleet.world.ServiceTargets(laterPrefix + "03")[0]
	}
	s.register(leaving, "draining")
	time.Sleep(drained)
	before := leaving.Arrivals()
	time.Sleep(settled)
	if after := leaving.Arrivals(); after > before {
		s.ledger.find("%d requests were sent to %s, which has been leaving for %v", after-before, leaving.ID(), drained)
	}
	begin := time.Now()
	d := s.fleet.daemons[int(s.options.Seed)%len(s.fleet.daemons)]
	s.hold(d, func(p *deployer.Process) { s.stopProcess(d, p) })
	for _, c := range s.ledger.last(begin) {
		if c.status == 0 && c.daemon == d.number && s.ran(c.id) {
			s.ledger.find("request %s was run and cut by the stop of daemon %d: %v", c.id, d.number, c.err)
		}
	}
}

// ran reports whether a target has run a request.
func (s *Soak) ran(id string) bool {
	return slices.ContainsFunc(s.fleet.world.AllTargets(), func(t *platformsimulator.Target) bool { return t.Executions(id) > 0 })
}
