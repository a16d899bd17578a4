package soaker

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"time"

	"plantaincleat/prover/pkg/deployer"
	"plantaincleat/standin/pkg/httpresponder"
	"plantaincleat/standin/pkg/platformsimulator"
	"plantaincleat/standin/pkg/relayer"
)

const (
	// minFault and maxFault bound how long a disruption lasts.
	minFault = 200 * time.Millisecond
	maxFault = 3 * time.Second
	// faultShare is the part of its requests that a faulty target spoils.
	faultShare = 0.3
	// startPoll lies between two looks whether a daemon listens.
	startPoll = 10 * time.Millisecond
	// maxDelay bounds the delay of a slow link, in microseconds.
	maxDelay = 60_000
)

// fault is one kind of disruption. It runs until it is over; d is how long it is
// to last.
type fault struct {
	name string
	run  func(s *Soak, r *rand.Rand, d time.Duration)
}

// faults are all kinds. New ones are appended.
var faults = []fault{
	{name: "kill", run: (*Soak).kill},
	{name: "stop", run: (*Soak).stop},
	{name: "stop, frozen", run: (*Soak).stopFrozen},
	{name: "stop, killed", run: (*Soak).stopKilled},
	{name: "freeze", run: (*Soak).freeze},
	{name: "kill all", run: (*Soak).killAll},
	{name: "reload", run: (*Soak).reload},
	{name: "store", run: (*Soak).storeFault},
	{name: "store link", run: linkFault(storeLink)},
	{name: "peer link", run: linkFault(peerLink)},
	{name: "caller link", run: linkFault(callerLink)},
	{name: "target link", run: (*Soak).targetLink},
	{name: "target", run: (*Soak).targetFault},
	{name: "data centre", run: (*Soak).zoneCut},
	{name: "history", run: (*Soak).compact},
	{name: "change", run: (*Soak).changes},
	{name: "leave", run: (*Soak).leaveAndReturn},
	{name: "cut anew", run: (*Soak).reshard},
}

func (s *Soak) anyDaemon(r *rand.Rand) *daemon {
	return s.fleet.daemons[r.IntN(len(s.fleet.daemons))]
}

// all returns the numbers of all daemons.
func (s *Soak) all() []int {
	var out []int
	for _, d := range s.fleet.daemons {
		out = append(out, d.number)
	}
	return out
}

// restart starts a daemon that has ended and was told to, and waits until it
// listens: before that, it cannot have taken a signal in.
func (s *Soak) restart(d *daemon) {
	if err := s.fleet.start(d); err != nil {
		s.ledger.find("daemon %d does not start: %v", d.number, err)
		return
	}
	for begin := time.Now(); time.Since(begin) < recovery; time.Sleep(startPoll) {
		if conn, err := net.Dial("tcp", s.fleet.address(d, portAdmin)); err == nil {
			_ = conn.Close()
			return
		}
	}
	s.ledger.find("daemon %d does not listen %v after its start", d.number, recovery)
}

// hold runs f while nothing else signals a daemon, which counts as disrupted.
func (s *Soak) hold(d *daemon, f func(p *deployer.Process)) {
	if !d.busy.TryLock() {
		return
	}
	defer d.busy.Unlock()
	defer s.ledger.disrupted(s.all()...)()
	f(d.process.Load())
}

func (s *Soak) kill(r *rand.Rand, lasts time.Duration) {
	s.killOne(s.anyDaemon(r), lasts)
}

func (s *Soak) killAll(_ *rand.Rand, lasts time.Duration) {
	for _, d := range s.fleet.daemons {
		go s.killOne(d, lasts)
	}
	time.Sleep(lasts)
}

// killOne kills a daemon and starts it again after a while.
func (s *Soak) killOne(d *daemon, lasts time.Duration) {
	s.hold(d, func(p *deployer.Process) {
		d.up.Store(false)
		p.Kill()
		time.Sleep(lasts)
		s.restart(d)
	})
}

func (s *Soak) stop(r *rand.Rand, _ time.Duration) {
	d := s.anyDaemon(r)
	s.hold(d, func(p *deployer.Process) { s.stopProcess(d, p) })
}

// stopProcess stops a daemon, checks how it ends, and starts it again.
func (s *Soak) stopProcess(d *daemon, p *deployer.Process) {
	d.up.Store(false)
	if code := p.Stop(grace + graceSlack); code != 0 {
		s.ledger.find("daemon %d ended with code %d upon SIGTERM, -1 means not within %v", d.number, code, grace)
	}
	s.restart(d)
}

func (s *Soak) stopFrozen(r *rand.Rand, lasts time.Duration) {
	d := s.anyDaemon(r)
	s.hold(d, func(p *deployer.Process) {
		d.up.Store(false)
		p.Signal(syscall.SIGTERM)
		time.Sleep(time.Duration(r.Int64N(int64(lasts))))
		p.Freeze()
		time.Sleep(min(lasts, grace/2))
		p.Resume()
		s.stopProcess(d, p)
	})
}

func (s *Soak) stopKilled(r *rand.Rand, lasts time.Duration) {
	d := s.anyDaemon(r)
	s.hold(d, func(p *deployer.Process) {
		d.up.Store(false)
		p.Signal(syscall.SIGTERM)
		time.Sleep(lasts)
		p.Kill()
		s.restart(d)
	})
}

func (s *Soak) freeze(r *rand.Rand, lasts time.Duration) {
	d := s.anyDaemon(r)
	s.hold(d, func(p *deployer.Process) {
		p.Freeze()
		time.Sleep(lasts)
		p.Resume()
	})
}

// reload rewrites a settings file, now and then with a fault in it, and mostly
// tells the daemon.
func (s *Soak) reload(r *rand.Rand, lasts time.Duration) {
	d := s.anyDaemon(r)
	s.hold(d, func(p *deployer.Process) {
		file := s.fleet.settings(d)
		sound, err := os.ReadFile(file)
		if err != nil {
			s.ledger.find("settings: %v", err)
			return
		}
		changed := strings.Replace(string(sound), `"grace"`, `"capacity": 0.5, "grace"`, 1)
		if r.IntN(2) == 0 {
			changed = changed[:len(changed)/2]
		}
		s.rewrite(file, []byte(changed))
		if r.IntN(3) > 0 {
			p.Signal(syscall.SIGHUP)
		}
		time.Sleep(lasts)
		s.rewrite(file, sound)
	})
}

func (s *Soak) rewrite(file string, content []byte) {
	if err := os.WriteFile(file, content, fileMode); err != nil {
		s.ledger.find("settings: %v", err)
	}
}

func (s *Soak) storeFault(r *rand.Rand, lasts time.Duration) {
	if !s.storeBusy.TryLock() {
		return
	}
	defer s.storeBusy.Unlock()
	defer s.ledger.disrupted(s.all()...)()
	kinds := []platformsimulator.Fault{
		platformsimulator.Unavailable,
		platformsimulator.TooManyRequests,
		platformsimulator.Reset,
		platformsimulator.Unresponsive,
		platformsimulator.LoseWriteAnswers,
	}
	s.fleet.world.Store().SetFault(kinds[r.IntN(len(kinds))])
	time.Sleep(lasts)
	s.fleet.world.Store().SetFault(platformsimulator.NoFault)
}

// rule returns a random disruption of the links that match a pattern.
func rule(r *rand.Rand, pattern string) relayer.Rule {
	rules := []relayer.Rule{
		{Link: pattern, Action: relayer.Reset},
		{Link: pattern, Action: relayer.Cut},
		{Link: pattern, Action: relayer.Cut, Direction: relayer.Up},
		{Link: pattern, Action: relayer.Cut, Direction: relayer.Down},
		{Link: pattern, Action: relayer.Pass, DelayMicros: 1 + r.Int64N(maxDelay)},
	}
	return rules[r.IntN(len(rules))]
}

// linkFault disrupts a link of some daemons.
func linkFault(name func(int) string) func(*Soak, *rand.Rand, time.Duration) {
	return func(s *Soak, r *rand.Rand, lasts time.Duration) {
		defer s.ledger.disrupted(s.all()...)()
		for range 1 + r.IntN(2) {
			defer s.fleet.disrupt(rule(r, name(s.anyDaemon(r).number)))()
		}
		time.Sleep(lasts)
	}
}

// targetLink disrupts the links to some targets, or to all replicas of a shard.
func (s *Soak) targetLink(r *rand.Rand, lasts time.Duration) {
	pattern := fmt.Sprintf("target-shard-%02d-%d", r.IntN(shards), r.IntN(replicas))
	switch r.IntN(4) {
	case 0:
		pattern = fmt.Sprintf("target-shard-%02d-*", r.IntN(shards))
	case 1:
		pattern = "target-single-0"
	}
	defer s.fleet.disrupt(rule(r, pattern))()
	time.Sleep(lasts)
}

// targetFault makes some targets spoil a part of what they are asked.
func (s *Soak) targetFault(r *rand.Rand, lasts time.Duration) {
	all := s.fleet.world.AllTargets()
	kind := httpresponder.Fault(1 + r.IntN(int(httpresponder.Unresponsive)))
	for range 1 + r.IntN(3) {
		t := all[r.IntN(len(all))]
		t.SetFault(func(*http.Request) httpresponder.Fault {
			if rand.Float64() < faultShare {
				return kind
			}
			return httpresponder.NoFault
		})
		defer t.SetFault(func(*http.Request) httpresponder.Fault { return httpresponder.NoFault })
	}
	time.Sleep(lasts)
}

// zoneCut cuts a data centre's daemons off from the others.
func (s *Soak) zoneCut(r *rand.Rand, lasts time.Duration) {
	defer s.ledger.disrupted(s.all()...)()
	action := []relayer.Action{relayer.Cut, relayer.Reset}[r.IntN(2)]
	defer s.fleet.disrupt(s.fleet.zoneRules(r.IntN(len(zones)), action)...)()
	time.Sleep(lasts)
}

// zoneRules cut a data centre off from the others. The store stays in reach.
func (f *fleet) zoneRules(zone int, action relayer.Action) []relayer.Rule {
	var rules []relayer.Rule
	for _, d := range f.daemons {
		for from := range zones {
			if own := d.number % len(zones); own != from && (own == zone || from == zone) {
				rules = append(rules, relayer.Rule{
					Link:   peerLink(d.number),
					From:   zonePrefix(from),
					Action: action,
				})
			}
		}
	}
	for _, t := range f.world.AllTargets() {
		for from, name := range zones {
			if t.DataCentre != name && (t.DataCentre == zones[zone] || from == zone) {
				rules = append(rules, relayer.Rule{
					Link:   "target-" + t.ID(),
					From:   zonePrefix(from),
					Action: action,
				})
			}
		}
	}
	return rules
}

func (s *Soak) compact(_ *rand.Rand, _ time.Duration) { s.fleet.world.Store().Memory().Compact() }

// changes accepts some configurations in quick succession.
func (s *Soak) changes(r *rand.Rand, _ time.Duration) {
	for range 1 + r.IntN(4) {
		s.change()
		time.Sleep(time.Duration(r.Int64N(int64(minFault))))
	}
}

// reshard starts the targets of another set of shards, brings it into force, and
// takes the first set away. It is done once.
func (s *Soak) reshard(_ *rand.Rand, lasts time.Duration) {
	if s.resharded.Swap(true) {
		return
	}
	old := s.fleet.world.AllTargets()
	var names []string
	for i := range laterShards {
		names = append(names, fmt.Sprintf("%s%02d", laterPrefix, i))
	}
	if err := s.addServices(names); err != nil {
		s.ledger.find("services of the later set: %v", err)
		return
	}
	time.Sleep(lasts)
	s.apply(func(d *platformsimulator.Config) {
		for i, r := range d.Routes {
			if r.Prefix == routeAll {
				d.Routes[i].Shards = names
			}
		}
	})
	time.Sleep(inForce)
	for _, t := range old {
		if strings.HasPrefix(t.Service, firstPrefix) {
			s.register(t, "draining")
		}
	}
}

// addServices starts services with their targets.
func (s *Soak) addServices(names []string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, name := range names {
		if err := s.fleet.world.AddService(name, replicas, zones); err != nil {
			return err
		}
	}
	return nil
}

// leaveAndReturn announces that a target leaves, and that it is back.
func (s *Soak) leaveAndReturn(r *rand.Rand, lasts time.Duration) {
	t := s.fleet.world.ServiceTargets(fmt.Sprintf("shard-%02d", r.IntN(shards)))[0]
	s.register(t, "draining")
	time.Sleep(lasts)
	if !s.resharded.Load() {
		s.register(t, "ready")
	}
}
