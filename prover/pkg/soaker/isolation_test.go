package soaker

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"plantaincleat/standin/pkg/relayer"
)

const (
	// isolationTime is how long daemons are isolated, and isolationDetection the time after its
	// begin in which requests may fail: the time for which a host has to be undisturbed
	// before its answers are judged.
	isolationTime      = 8 * time.Second
	isolationDetection = 4 * time.Second
	// returnTime is the time after the links are back from which a daemon serves again.
	returnTime = 2 * time.Second
	// minServedRatio is the least ratio of the fractions of requests served at isolated
	// daemons and at the others. Of the requests at isolated daemons, one in
	// failuresAllowedOf and failuresAllowed more may fail.
	minServedRatio    = 2.0 / 3
	failuresAllowed   = 10
	failuresAllowedOf = 50
	// loadCallers is the number of concurrent callers for each daemon.
	loadCallers = 2
)

// served counts requests.
type served struct {
	calls, served int
}

func (s served) String() string { return fmt.Sprintf("%d of %d", s.served, s.calls) }

func (s served) fraction() float64 { return float64(s.served) / float64(max(s.calls, 1)) }

// tooFew reports whether more requests failed than may.
func (s served) tooFew() bool {
	return s.calls-s.served > failuresAllowed+s.calls/failuresAllowedOf
}

// awaitReady waits until all daemons are ready.
func (s *Soak) awaitReady(t *testing.T) {
	t.Helper()
	client := &http.Client{Timeout: callerDeadline}
	for _, d := range s.fleet.daemons {
		for begin := time.Now(); !d.ready.Load(); time.Sleep(pollInterval) {
			s.fleet.pollReadiness(client, d)
			if time.Since(begin) > recoveryLimit {
				t.Fatalf("daemon %d did not become ready after its start", d.number)
			}
		}
	}
}

// checkCalls compares calls with the executions at the targets, as after a soak.
func (s *Soak) checkCalls(t *testing.T, calls []*callRecord) {
	t.Helper()
	for _, c := range calls {
		s.ledger.addCall(c)
	}
	s.ledger.check(s.fleet.platform)
	for _, finding := range s.ledger.findings {
		t.Error(finding)
	}
}

// fleetLoad is a load on all daemons, with the same number of callers at each.
type fleetLoad struct {
	soak   *Soak
	routes []string
	ended  chan struct{}
	wg     sync.WaitGroup
	mu     sync.Mutex
	calls  []*callRecord
}

func startFleetLoad(s *Soak, routes ...string) *fleetLoad {
	l := &fleetLoad{
		soak:   s,
		routes: routes,
		ended:  make(chan struct{}),
	}
	for i, d := range s.fleet.daemons {
		for k := range loadCallers {
			c := &caller{
				soak:   s,
				number: loadCallers*i + k,
				random: rand.New(rand.NewPCG(1, uint64(loadCallers*i+k))),
			}
			l.wg.Go(func() { l.run(c, d) })
		}
	}
	return l
}

func (l *fleetLoad) run(c *caller, d *daemon) {
	defer c.closeConn()
	for {
		select {
		case <-l.ended:
			return
		case <-time.After(time.Duration(c.random.ExpFloat64() * float64(meanRequestGap))):
		}
		rec := c.callTo(d, l.routes[c.random.IntN(len(l.routes))])
		if rec.status != http.StatusOK {
			c.closeConn()
		}
		l.mu.Lock()
		l.calls = append(l.calls, rec)
		l.mu.Unlock()
	}
}

// stop ends the load and returns its calls.
func (l *fleetLoad) stop() []*callRecord {
	close(l.ended)
	l.wg.Wait()
	return l.calls
}

// countServed counts the calls that were sent from begin to end, at the daemons with the given
// numbers and at the others.
func countServed(calls []*callRecord, begin, end time.Time, numbers []int) (at, others served) {
	in := make(map[int]bool)
	for _, n := range numbers {
		in[n] = true
	}
	for _, c := range calls {
		if c.sent.Before(begin) || c.sent.After(end) {
			continue
		}
		s := &others
		if in[c.daemon] {
			s = &at
		}
		s.calls++
		if c.status == http.StatusOK {
			s.served++
		}
	}
	return at, others
}

// TestIsolatedDaemonsServe guards against requests that fail because the daemon that received
// them, or an owner of their shards, reaches no target while other daemons do.
func TestIsolatedDaemonsServe(t *testing.T) {
	program := buildDaemon(t)
	most, dataCentre := []int{0, 2, 4}, []int{2, 5}
	tests := []struct {
		name     string
		action   relayer.Action
		isolated []int
		routes   []string
	}{
		{name: "most hang, shards", action: relayer.Cut, isolated: most, routes: []string{routeAll}},
		{name: "most hang, one target", action: relayer.Cut, isolated: most, routes: []string{routeOne, routeWrite}},
		{name: "most reset", action: relayer.Reset, isolated: most, routes: []string{routeAll, routeOne, routeWrite}},
		{name: "data centre refuses", action: relayer.Refuse, isolated: dataCentre, routes: []string{routeAll, routeOne, routeWrite}},
		{name: "data centre hangs", action: relayer.Cut, isolated: dataCentre, routes: []string{routeAll, routeOne, routeWrite}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			f, err := newFleet(program, "", t.TempDir(), daemons, replicas)
			if err != nil {
				t.Fatal(err)
			}
			defer f.close()
			s := &Soak{
				fleet: f,
			}
			s.awaitReady(t)
			load := startFleetLoad(s, test.routes...)
			time.Sleep(servedPeriod)
			begin := time.Now()
			end := f.addRules(f.isolationRules(test.action, test.isolated)...)
			time.Sleep(isolationTime)
			end()
			healed := time.Now()
			time.Sleep(returnTime + servedPeriod)
			calls := load.stop()
			isolated, others := countServed(calls, begin.Add(isolationDetection), healed, test.isolated)
			if others.tooFew() || isolated.tooFew() || isolated.fraction() < minServedRatio*others.fraction() {
				t.Errorf("served %v at isolated daemons and %v at the others", isolated, others)
			}
			if all, _ := countServed(calls, healed.Add(returnTime), time.Now(), f.numbers()); all.tooFew() {
				t.Errorf("served %v %v after the links were back", all, returnTime)
			}
			t.Logf("served %v at isolated daemons and %v at the others", isolated, others)
			s.checkCalls(t, calls)
		})
	}
}
