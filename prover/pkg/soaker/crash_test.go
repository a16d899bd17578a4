package soaker

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"plantaincleat/standin/pkg/platformsimulator"
	"plantaincleat/standin/pkg/relayer"
)

// crashRunTime is the time over which the crashing requests are sent.
const crashRunTime = 12 * time.Second

// TestCrashingRequestReachesNoMoreTargets guards against a request that crashes the
// targets that execute it and that is sent again with other ids, at any daemon: after
// three crashes it must not go on to further targets, and the requests beside it must be
// served.
func TestCrashingRequestReachesNoMoreTargets(t *testing.T) {
	program := buildDaemon(t)
	get := crashingRequest{method: http.MethodGet, path: routeOne + crashMark}
	post := crashingRequest{method: http.MethodPost, path: routeWrite + crashMark, body: "body"}
	all := crashingRequest{method: http.MethodGet, path: routeAll + crashMark}
	tests := []struct {
		name     string
		requests []crashingRequest
		disrupt  func(s *Soak)
		// accepts is true if the addresses of ended targets accept connections.
		accepts bool
		// addresses is the number of addresses that a request comes from.
		addresses int
		// light is true if the load beside it is one request a second at each daemon.
		light bool
		// callers send the request at the same time, and every second send is left early if
		// hasty is true.
		callers int
		hasty   bool
	}{
		{name: "one target", requests: []crashingRequest{get}},
		{name: "one target, not idempotent", requests: []crashingRequest{post}},
		{name: "all shards", requests: []crashingRequest{all}},
		{name: "one target behind a proxy", requests: []crashingRequest{get}, accepts: true},
		{name: "all shards behind a proxy", requests: []crashingRequest{all}, accepts: true},
		{name: "all at once behind a proxy", requests: []crashingRequest{get, post, all}, accepts: true},
		{name: "one target behind a proxy, light load", requests: []crashingRequest{get}, accepts: true, light: true},
		{name: "all shards behind a proxy, light load", requests: []crashingRequest{all}, accepts: true, light: true},
		{name: "one target, light load", requests: []crashingRequest{get}, light: true},
		{name: "one target, caller with several addresses", requests: []crashingRequest{get}, addresses: 4},
		{name: "all shards, caller with several addresses", requests: []crashingRequest{all}, addresses: 4},
		{name: "one target, sends overlap", requests: []crashingRequest{get}, callers: 3},
		{name: "all shards, sends overlap", requests: []crashingRequest{all}, callers: 3},
		{name: "one target, callers leave early", requests: []crashingRequest{get}, hasty: true},
		{name: "all shards, callers leave early", requests: []crashingRequest{all}, hasty: true},
		{name: "all at once while daemons restart", requests: []crashingRequest{get, post, all}, disrupt: restartInTurn},
		{name: "all at once while the store comes and goes", requests: []crashingRequest{get, post, all}, disrupt: takeStoreAway},
		{name: "all at once while a daemon is cut off from the others", requests: []crashingRequest{get, post, all}, disrupt: cutDaemonOff},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := startCrashFleet(t, program)
			s.fleet.acceptsForEnded.Store(test.accepts)
			s.startProbers()
			if !s.waitUntilReady(time.Now()) {
				t.Fatal("not every daemon became ready after the start")
			}
			if test.light {
				s.startLightLoad()
			} else {
				s.startCallers()
			}
			var senders []*crashSender
			for i, r := range test.requests {
				c := newCrashSender(s, r, crashAddresses(i, test.addresses)...)
				c.callers, c.hasty = test.callers, test.hasty
				senders = append(senders, c)
				s.background.Go(func() { c.run(s.ended) })
			}
			begin := time.Now()
			if test.disrupt != nil {
				test.disrupt(s)
			}
			time.Sleep(crashRunTime - time.Since(begin))
			if unserved := s.findUnserved(time.Now().Add(-servedPeriod)); unserved != nil {
				t.Errorf("request %s beside the crashing ones: status %d, %v", unserved.id, unserved.status, unserved.err)
			}
			if test.light {
				s.checkServed(t, begin.Add(crashRunTime-stableWindow))
			}
			close(s.ended)
			s.background.Wait()
			s.checkNotQuarantined(t)
			for _, c := range senders {
				summary, findings := c.check(func(crashSend) bool { return true })
				t.Log(summary)
				for _, f := range findings {
					t.Error(f)
				}
				if n := c.executions(); test.disrupt == nil && n < crashesUntilKnown {
					t.Errorf("%s %s: only %d executions, want at least %d", c.method, c.path, n, crashesUntilKnown)
				}
			}
			t.Logf("%d targets crashed; %s", s.fleet.platform.Crashes(), s.ledger.summary())
			if t.Failed() {
				saveLogs(t, s.options.Directory, 0)
			}
		})
	}
}

// crashAddresses returns the addresses of the i-th crashing request, at least one.
func crashAddresses(i, n int) []string {
	var out []string
	for j := range max(n, 1) {
		out = append(out, fmt.Sprintf("127.0.9.%d", 1+i+10*j))
	}
	return out
}

// lightGap is the time between two requests of a caller under a light load.
const lightGap = time.Second

// startLightLoad starts one caller for each daemon, which sends a request each lightGap to
// one target or to all shards, until the end of the run.
func (s *Soak) startLightLoad() {
	for i, d := range s.fleet.daemons {
		c := &caller{
			soak:   s,
			number: i,
			random: rand.New(rand.NewPCG(s.options.Seed, uint64(i))),
		}
		s.background.Go(func() {
			defer c.closeConn()
			for n := 0; ; n++ {
				select {
				case <-s.ended:
					return
				case <-time.After(lightGap):
				}
				rec := c.callTo(d, []string{routeOne, routeAll}[n%2])
				s.ledger.addCall(rec)
				if rec.err != nil {
					c.closeConn()
				}
			}
		})
	}
}

// minServed is the fraction of the ordinary requests that must be served once a crashing
// request has to be known.
const minServed = 0.97

// checkServed checks that the callers' requests since a time were served.
func (s *Soak) checkServed(t *testing.T, since time.Time) {
	t.Helper()
	served, calls := 0, s.ledger.callsSince(since)
	for _, c := range calls {
		if c.status == http.StatusOK {
			served++
		}
	}
	if float64(served) < minServed*float64(len(calls)) {
		t.Errorf("%d of %d requests beside the crashing ones were served in the last %v, want %g", served, len(calls), time.Since(since), minServed)
	}
}

// checkNotQuarantined reports requests of the callers that were refused as if they crashed
// targets.
func (s *Soak) checkNotQuarantined(t *testing.T) {
	t.Helper()
	for _, c := range s.ledger.callsSince(time.Time{}) {
		if strings.Contains(string(c.body), quarantined) {
			t.Errorf("request %s on %s, which crashes nothing, was refused: %s", c.id, c.route, c.body)
			return
		}
	}
}

// startCrashFleet starts a fleet.
func startCrashFleet(t *testing.T, program string) *Soak {
	t.Helper()
	s := &Soak{
		options: Options{
			Directory: t.TempDir(),
		},
		ended: make(chan struct{}),
	}
	var err error
	if s.fleet, err = newFleet(program, "", s.options.Directory, daemons, replicas); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.fleet.close)
	s.acceptChange()
	return s
}

// restartInTurn kills and restarts one daemon after the other.
func restartInTurn(s *Soak) {
	for _, d := range s.fleet.daemons {
		time.Sleep(time.Second)
		s.killOne(d, minDisruption)
	}
}

// takeStoreAway makes the store unavailable twice.
func takeStoreAway(s *Soak) {
	for range 2 {
		s.fleet.platform.Store().SetFault(platformsimulator.Unavailable)
		time.Sleep(maxDisruption)
		s.fleet.platform.Store().SetFault(platformsimulator.NoFault)
		time.Sleep(maxDisruption / 2)
	}
}

// cutDaemonOff partitions the first daemon from the others for half of the run. It still
// reaches the store and the targets.
func cutDaemonOff(s *Soak) {
	first := s.fleet.daemons[0]
	rules := []relayer.Rule{{
		Link:   peerLink(first.number),
		Action: relayer.Cut,
	}}
	for _, d := range s.fleet.daemons[1:] {
		rules = append(rules, relayer.Rule{
			Link:   peerLink(d.number),
			From:   netip.PrefixFrom(netip.MustParseAddr(first.ip), 32),
			Action: relayer.Cut,
		})
	}
	defer s.fleet.addRules(rules...)()
	time.Sleep(crashRunTime / 2)
}

// TestFrozenArbiterCarriesOutNoTrial guards against a daemon that carries out trials of suspected
// requests right after a freeze, while another daemon still carries them out in its place.
func TestFrozenArbiterCarriesOutNoTrial(t *testing.T) {
	const (
		// freeze is longer than the others need to take the daemon for dead.
		freeze = 4 * time.Second
		path   = routeOne + crashMark
	)
	s := startCrashFleet(t, buildDaemon(t))
	s.awaitReady(t)
	client := &http.Client{Timeout: callerDeadline}
	send := func(id string, d *daemon) { drop(client, http.MethodGet, "http://"+d.callerAddress+path, id, "") }
	send("first", s.fleet.daemons[0])
	if n := s.fleet.platform.Executions("first"); n == 0 {
		t.Fatal("the request has reached no target")
	}
	// All daemons hear of the crash, and the target comes back.
	time.Sleep(2 * time.Second)
	for _, d := range s.fleet.daemons {
		d.process.Load().Freeze()
	}
	time.Sleep(freeze)
	for _, d := range s.fleet.daemons {
		d.process.Load().Resume()
	}
	for _, d := range s.fleet.daemons {
		id := fmt.Sprintf("awake-%d", d.number)
		send(id, d)
		if n := s.fleet.platform.Executions(id); n > 0 {
			t.Errorf("request of daemon %d was executed %d times right after the freeze", d.number, n)
		}
	}
}
