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
	// strandTime is how long daemons are stranded, and strandDetection the time after its
	// begin in which requests may fail: the time for which a host has to be undisturbed
	// before its answers are judged.
	strandTime      = 8 * time.Second
	strandDetection = 4 * time.Second
	// returnTime is the time after the links are back from which a daemon serves again.
	returnTime = 2 * time.Second
	// minServedRatio is the least ratio of the fractions of requests served at stranded
	// daemons and at the others. Of the requests at stranded daemons, one in
	// failuresAllowedOf and failuresAllowed more may fail.
	minServedRatio    = 2.0 / 3
	failuresAllowed   = 10
	failuresAllowedOf = 50
	// strandCallers is the number of concurrent callers for each daemon.
	strandCallers = 2
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

// strandRules returns the relay rules that keep daemons from all targets.
func (f *fleet) strandRules(action relayer.Action, stranded []int) []relayer.Rule {
	var rules []relayer.Rule
	for _, number := range stranded {
		rules = append(rules, relayer.Rule{
			Link:   targetLink("*"),
			From:   daemonPrefix(f.daemons[number]),
			Action: action,
		})
	}
	return rules
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

// strandLoad is a load on all daemons, with the same number of callers at each.
type strandLoad struct {
	soak   *Soak
	routes []string
	ended  chan struct{}
	wg     sync.WaitGroup
	mu     sync.Mutex
	calls  []*callRecord
}

func startStrandLoad(s *Soak, routes ...string) *strandLoad {
	l := &strandLoad{
		soak:   s,
		routes: routes,
		ended:  make(chan struct{}),
	}
	for i, d := range s.fleet.daemons {
		for k := range strandCallers {
			c := &caller{
				soak:   s,
				number: strandCallers*i + k,
				random: rand.New(rand.NewPCG(1, uint64(strandCallers*i+k))),
			}
			l.wg.Go(func() { l.run(c, d) })
		}
	}
	return l
}

func (l *strandLoad) run(c *caller, d *daemon) {
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
func (l *strandLoad) stop() []*callRecord {
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

// TestStrandedDaemonsServe guards against requests that fail because the daemon that received
// them, or an owner of their shards, reaches no target while other daemons do.
func TestStrandedDaemonsServe(t *testing.T) {
	program := buildDaemon(t)
	most, dataCentre := []int{0, 2, 4}, []int{2, 5}
	tests := []struct {
		name     string
		action   relayer.Action
		stranded []int
		routes   []string
	}{
		{name: "most hang, shards", action: relayer.Cut, stranded: most, routes: []string{routeAll}},
		{name: "most hang, one target", action: relayer.Cut, stranded: most, routes: []string{routeOne, routeWrite}},
		{name: "most reset", action: relayer.Reset, stranded: most, routes: []string{routeAll, routeOne, routeWrite}},
		{name: "data centre refuses", action: relayer.Refuse, stranded: dataCentre, routes: []string{routeAll, routeOne, routeWrite}},
		{name: "data centre hangs", action: relayer.Cut, stranded: dataCentre, routes: []string{routeAll, routeOne, routeWrite}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			f, err := newFleet(program, t.TempDir(), daemons, replicas)
			if err != nil {
				t.Fatal(err)
			}
			defer f.close()
			s := &Soak{
				fleet: f,
			}
			s.awaitReady(t)
			load := startStrandLoad(s, test.routes...)
			time.Sleep(servedPeriod)
			begin := time.Now()
			end := f.addRules(f.strandRules(test.action, test.stranded)...)
			time.Sleep(strandTime)
			end()
			healed := time.Now()
			time.Sleep(returnTime + servedPeriod)
			calls := load.stop()
			stranded, others := countServed(calls, begin.Add(strandDetection), healed, test.stranded)
			if others.tooFew() || stranded.tooFew() || stranded.fraction() < minServedRatio*others.fraction() {
				t.Errorf("served %v at stranded daemons and %v at the others", stranded, others)
			}
			if all, _ := countServed(calls, healed.Add(returnTime), time.Now(), f.numbers()); all.tooFew() {
				t.Errorf("served %v %v after the links were back", all, returnTime)
			}
			t.Logf("served %v at stranded daemons and %v at the others", stranded, others)
			s.checkCalls(t, calls)
		})
	}
}
