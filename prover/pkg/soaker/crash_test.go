package soaker

import (
	"fmt"
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
	}{
		{name: "one target", requests: []crashingRequest{get}},
		{name: "one target, not idempotent", requests: []crashingRequest{post}},
		{name: "all shards", requests: []crashingRequest{all}},
		{name: "one target behind a proxy", requests: []crashingRequest{get}, accepts: true},
		{name: "all shards behind a proxy", requests: []crashingRequest{all}, accepts: true},
		{name: "all at once behind a proxy", requests: []crashingRequest{get, post, all}, accepts: true},
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
			s.startCallers()
			var senders []*crashSender
			for i, r := range test.requests {
				c := newCrashSender(s, r, fmt.Sprintf("127.0.9.%d", 1+i))
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

// checkNotQuarantined reports requests of the callers that were refused as if they crashed
// targets.
func (s *Soak) checkNotQuarantined(t *testing.T) {
	t.Helper()
	for _, c := range s.ledger.callsSince(time.Time{}) {
		if strings.Contains(string(c.body), "QUARANTINED") {
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
	if s.fleet, err = newFleet(program, s.options.Directory, daemons, replicas); err != nil {
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
