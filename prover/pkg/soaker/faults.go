package soaker

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"strings"
	"syscall"
	"time"

	"plantaincleat/prover/pkg/deployer"
	"plantaincleat/standin/pkg/httpresponder"
	"plantaincleat/standin/pkg/platformsimulator"
)

const (
	// minDisruption and maxDisruption bound how long a disruption lasts.
	minDisruption = 200 * time.Millisecond
	maxDisruption = 3 * time.Second
	// faultFraction is the fraction of its requests that a faulty target
	// spoils.
	faultFraction = 0.3
	// listenPollInterval is the time between two checks whether a started
	// daemon listens.
	listenPollInterval = 10 * time.Millisecond
)

// disruption is one kind of disruption. run returns when the disruption is
// over, which takes about d for kinds with a duration.
type disruption struct {
	name string
	run  func(s *Soak, r *rand.Rand, d time.Duration)
}

// disruptions are all kinds. A seed picks kinds by their index and
// Options.Kinds counts them from the first, so new ones are appended.
var disruptions = []disruption{
	{name: "kill", run: (*Soak).kill},
	{name: "stop", run: (*Soak).stop},
	{name: "stop and freeze", run: (*Soak).stopFrozen},
	{name: "stop and kill", run: (*Soak).stopKilled},
	{name: "freeze", run: (*Soak).freeze},
	{name: "kill all", run: (*Soak).killAll},
	{name: "reload", run: (*Soak).reload},
	{name: "store", run: (*Soak).storeFault},
	{name: "store link", run: linkFault(storeLink)},
	{name: "peer link", run: linkFault(peerLink)},
	{name: "caller link", run: linkFault(callerLink)},
	{name: "target link", run: (*Soak).targetLink},
	{name: "target", run: (*Soak).targetFault},
	{name: "data centre", run: (*Soak).partitionDataCentre},
	{name: "store compaction", run: (*Soak).compactStore},
	{name: "change", run: (*Soak).acceptChanges},
	{name: "target draining", run: (*Soak).drainAndReturn},
	{name: "reshard", run: (*Soak).reshard},
	{name: "crashing request", run: (*Soak).crashTargets},
	{name: "leaving announced", run: (*Soak).announceLeaving},
	{name: "pauses", run: (*Soak).askForPauses},
	{name: "store copy", run: (*Soak).returnStoreFromCopy},
	{name: "limits", run: (*Soak).nameLimits},
	{name: "isolation", run: (*Soak).isolateDaemons},
	{name: "evacuate", run: (*Soak).evacuate},
	{name: "key rotation", run: (*Soak).rotateKey},
	{name: "foreign bytes", run: (*Soak).foreignBytes},
	{name: "foreign entry", run: (*Soak).writeForeignEntry},
}

func (s *Soak) randomDaemon(r *rand.Rand) *daemon {
	return s.fleet.daemons[r.IntN(len(s.fleet.daemons))]
}

// allNumbers returns the numbers of all daemons.
func (s *Soak) allNumbers() []int { return s.fleet.numbers() }

// restart starts a daemon whose process was told to end and has ended, and
// waits until it listens. A process that does not listen yet may not have
// installed its signal handlers.
func (s *Soak) restart(d *daemon) {
	if err := s.fleet.startDaemon(d); err != nil {
		s.ledger.addFinding("daemon %d could not be started: %v", d.number, err)
		return
	}
	for begin := time.Now(); time.Since(begin) < recoveryLimit; time.Sleep(listenPollInterval) {
		if conn, err := net.Dial("tcp", s.fleet.daemonAddress(d, portAdmin)); err == nil {
			_ = conn.Close()
			return
		}
	}
	s.ledger.addFinding("daemon %d does not listen on its admin address %v after its start", d.number, recoveryLimit)
}

// withProcess calls f with the daemon's process unless another disruption
// signals or restarts it. All daemons count as disrupted while f runs.
func (s *Soak) withProcess(d *daemon, f func(p *deployer.Process)) {
	if !d.processMu.TryLock() {
		return
	}
	defer d.processMu.Unlock()
	defer s.ledger.beginDisruption(s.allNumbers()...)()
	defer s.ledger.beginProcessDisruption(d.number)()
	f(d.process.Load())
}

func (s *Soak) kill(r *rand.Rand, duration time.Duration) {
	s.killOne(s.randomDaemon(r), duration)
}

func (s *Soak) killAll(_ *rand.Rand, duration time.Duration) {
	for _, d := range s.fleet.daemons {
		go s.killOne(d, duration)
	}
	time.Sleep(duration)
}

// killOne kills a daemon and starts it again after the duration.
func (s *Soak) killOne(d *daemon, duration time.Duration) {
	s.withProcess(d, func(p *deployer.Process) {
		d.shouldRun.Store(false)
		p.Kill()
		time.Sleep(duration)
		s.restart(d)
	})
}

func (s *Soak) stop(r *rand.Rand, _ time.Duration) {
	d := s.randomDaemon(r)
	s.withProcess(d, func(p *deployer.Process) { s.stopProcess(d, p) })
}

// stopProcess stops a daemon gracefully, checks that it exits with code 0 in
// time, and starts it again.
func (s *Soak) stopProcess(d *daemon, p *deployer.Process) {
	d.shouldRun.Store(false)
	if code := p.Stop(grace + graceSlack); code != 0 {
		s.ledger.addFinding("daemon %d exited with code %d after SIGTERM, where -1 means not within %v", d.number, code, grace)
	}
	s.restart(d)
}

func (s *Soak) stopFrozen(r *rand.Rand, duration time.Duration) {
	d := s.randomDaemon(r)
	s.withProcess(d, func(p *deployer.Process) {
		d.shouldRun.Store(false)
		p.Signal(syscall.SIGTERM)
		time.Sleep(time.Duration(r.Int64N(int64(duration))))
		p.Freeze()
		time.Sleep(min(duration, grace/2))
		p.Resume()
		s.stopProcess(d, p)
	})
}

func (s *Soak) stopKilled(r *rand.Rand, duration time.Duration) {
	d := s.randomDaemon(r)
	s.withProcess(d, func(p *deployer.Process) {
		d.shouldRun.Store(false)
		p.Signal(syscall.SIGTERM)
		time.Sleep(duration)
		p.Kill()
		s.restart(d)
	})
}

func (s *Soak) freeze(r *rand.Rand, duration time.Duration) {
	d := s.randomDaemon(r)
	s.withProcess(d, func(p *deployer.Process) {
		p.Freeze()
		time.Sleep(duration)
		p.Resume()
	})
}

// reload changes a settings file and, in two of three cases, has the daemon
// reload it. Half of the changed files are cut short and not valid. The
// original is restored after the duration.
func (s *Soak) reload(r *rand.Rand, duration time.Duration) {
	d := s.randomDaemon(r)
	s.withProcess(d, func(p *deployer.Process) {
		file := s.fleet.settingsFile(d)
		original, err := os.ReadFile(file)
		if err != nil {
			s.ledger.addFinding("read settings of a daemon: %v", err)
			return
		}
		changed := strings.Replace(string(original), `"grace"`, `"capacity": 0.5, "grace"`, 1)
		if r.IntN(2) == 0 {
			changed = changed[:len(changed)/2]
		}
		s.rewrite(file, []byte(changed))
		if r.IntN(3) > 0 {
			p.Signal(syscall.SIGHUP)
		}
		time.Sleep(duration)
		s.rewrite(file, original)
	})
}

func (s *Soak) rewrite(file string, content []byte) {
	if err := os.WriteFile(file, content, fileMode); err != nil {
		s.ledger.addFinding("write settings of a daemon: %v", err)
	}
}

func (s *Soak) storeFault(r *rand.Rand, duration time.Duration) {
	if !s.storeMu.TryLock() {
		return
	}
	defer s.storeMu.Unlock()
	defer s.ledger.beginDisruption(s.allNumbers()...)()
	kinds := []platformsimulator.Fault{
		platformsimulator.Unavailable,
		platformsimulator.TooManyRequests,
		platformsimulator.Reset,
		platformsimulator.Unresponsive,
		platformsimulator.LoseWriteAnswers,
	}
	s.fleet.platform.Store().SetFault(kinds[r.IntN(len(kinds))])
	time.Sleep(duration)
	s.fleet.platform.Store().SetFault(platformsimulator.NoFault)
}

// targetFault makes one to three targets spoil a fraction of their requests,
// all in the same way.
func (s *Soak) targetFault(r *rand.Rand, duration time.Duration) {
	s.spoil(r, httpresponder.Fault(1+r.IntN(int(httpresponder.Unresponsive))), duration)
}

// maxCopyAge bounds the age of the copy that the store returns from, and writeAgainLimit
// the time until the operator and the targets have written again.
const (
	maxCopyAge      = 4 * time.Second
	writeAgainLimit = 2 * time.Second
)

// returnStoreFromCopy makes the store unavailable and then return from a copy. The operator
// and the targets write again what the copy lacks.
func (s *Soak) returnStoreFromCopy(r *rand.Rand, duration time.Duration) {
	store := s.fleet.platform.Store()
	before := store.Memory().Snapshot()
	time.Sleep(time.Duration(r.Int64N(int64(maxCopyAge))))
	if !s.storeMu.TryLock() {
		return
	}
	defer s.storeMu.Unlock()
	defer s.ledger.beginDisruption(s.allNumbers()...)()
	store.SetFault(platformsimulator.Unavailable)
	time.Sleep(duration)
	store.ReturnFromCopy(before)
	store.SetFault(platformsimulator.NoFault)
	time.Sleep(time.Duration(r.Int64N(int64(writeAgainLimit))))
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.fleet.platform.WriteAgain(); err != nil {
		s.ledger.addFinding("write again after the store's return: %v", err)
	}
}

func (s *Soak) compactStore(_ *rand.Rand, _ time.Duration) {
	s.fleet.platform.Store().Memory().Compact()
}

// acceptChanges accepts one to four configurations in quick succession.
func (s *Soak) acceptChanges(r *rand.Rand, _ time.Duration) {
	for range 1 + r.IntN(4) {
		s.acceptChange()
		time.Sleep(time.Duration(r.Int64N(int64(minDisruption))))
	}
}

// reshard replaces the first set of shards by another: it starts the targets of
// the new set, changes the route to it, and drains the targets of the first
// set. It is done at most once in a run.
func (s *Soak) reshard(_ *rand.Rand, duration time.Duration) {
	if s.resharded.Swap(true) {
		return
	}
	old := s.fleet.platform.AllTargets()
	var names []string
	for i := range newShards {
		names = append(names, fmt.Sprintf("%s%02d", newPrefix, i))
	}
	if err := s.addServices(names); err != nil {
		s.ledger.addFinding("start services of the new set of shards: %v", err)
		return
	}
	time.Sleep(duration)
	s.updateConfig(func(d *platformsimulator.Config) {
		for i, r := range d.Routes {
			if len(r.Shards) > 0 {
				d.Routes[i].Shards = names
			}
		}
	})
	time.Sleep(inForceLimit)
	for _, t := range old {
		if strings.HasPrefix(t.Service, firstPrefix) {
			s.register(t, "draining")
		}
	}
}

// addServices starts the targets of new services.
func (s *Soak) addServices(names []string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, name := range names {
		if err := s.fleet.platform.AddService(name, replicas, dataCentres); err != nil {
			return err
		}
	}
	return nil
}

// drainAndReturn registers a target as draining and, after the duration, as
// ready again.
func (s *Soak) drainAndReturn(r *rand.Rand, duration time.Duration) {
	targets := s.fleet.platform.ServiceTargets(fmt.Sprintf("shard-%02d", r.IntN(shards)))
	if len(targets) == 0 {
		return
	}
	t := targets[0]
	s.register(t, "draining")
	time.Sleep(duration)
	if !s.resharded.Load() {
		s.register(t, "ready")
	}
}
