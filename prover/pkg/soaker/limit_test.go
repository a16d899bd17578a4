package soaker

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"plantaincleat/prover/pkg/deployer"
	"plantaincleat/standin/pkg/platformsimulator"
)

// The limit of the institution of these tests, and how many times its rate the institution sends
// once it is hot.
const (
	limitedName  = "limited"
	limitedKey   = "soak-key-limited"
	limitedRate  = 20.0
	limitedBurst = 10.0
	hotFactor    = 7.5
)

// lenderOf returns the number of the daemon that the others take for the lender of the institution,
// asked of the daemons in numbers.
func (s *Soak) lenderOf(t *testing.T, numbers []int) int {
	t.Helper()
	for _, i := range slices.Backward(numbers) {
		resp, err := http.Get("http://" + s.fleet.daemonAddress(s.fleet.daemons[i], portAdmin) + "/limits")
		if err != nil {
			continue
		}
		var limits []struct{ Institution, Lender string }
		err = json.NewDecoder(resp.Body).Decode(&limits)
		_ = resp.Body.Close()
		if err != nil {
			t.Fatal(err)
		}
		for _, l := range limits {
			for _, k := range numbers {
				if l.Institution == limitedName && l.Lender == fmt.Sprintf("front-%d", k) {
					return k
				}
			}
		}
	}
	return numbers[0]
}

// limitedLoad sends requests of the institution to all daemons in turn, whether they are ready or
// not, as callers do that keep their connections until the process is gone.
type limitedLoad struct {
	soak  *Soak
	ended chan struct{}
	wg    sync.WaitGroup
	// rate is in requests a second. It is guarded by mu.
	mu   sync.Mutex
	rate float64
}

func (l *limitedLoad) setRate(rate float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rate = rate
}

func (l *limitedLoad) run() {
	client := &http.Client{Timeout: callerDeadline}
	for i := 0; ; i++ {
		l.mu.Lock()
		gap := time.Duration(float64(time.Second) / l.rate)
		l.mu.Unlock()
		select {
		case <-l.ended:
			return
		case <-time.After(gap):
		}
		d := l.soak.fleet.daemons[i%len(l.soak.fleet.daemons)]
		url := "http://" + d.callerAddress + routeOne + "x" + platformsimulator.KeyQuery(limitedKey)
		l.wg.Go(func() { drop(client, http.MethodGet, url, fmt.Sprintf("limited-%d", i), limitedKey) })
	}
}

// mostExecuted returns the greatest number of requests of the institution that targets have received
// within the window.
func (s *Soak) mostExecuted(window time.Duration) int {
	var times []time.Time
	seen := make(map[string]bool)
	for _, target := range s.fleet.platform.AllTargets() {
		for _, a := range target.ListArrivals() {
			// A second send of a request is no other request of the institution.
			if a.Institution == limitedName && !seen[a.Request] {
				seen[a.Request] = true
				times = append(times, a.At)
			}
		}
	}
	most := 0
	for _, begin := range times {
		n := 0
		for _, at := range times {
			if !at.Before(begin) && at.Sub(begin) < window {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// TestLenderLosesItsRole guards against two daemons that lend the tokens of one institution: one that
// was frozen or is being stopped, and the one that has taken its place. Together they admitted more
// than the limit of the institution allows.
func TestLenderLosesItsRole(t *testing.T) {
	program := buildDaemon(t)
	tests := []struct {
		name    string
		disrupt func(t *testing.T, s *Soak, hot func())
	}{
		{name: "lender is frozen", disrupt: func(t *testing.T, s *Soak, hot func()) {
			// By its end, the daemon that has taken the lender's place lends at its full rate.
			const freeze = 6 * time.Second
			p := s.fleet.daemons[s.lenderOf(t, s.allNumbers())].process.Load()
			p.Freeze()
			time.Sleep(freeze)
			hot()
			p.Resume()
		}},
		{name: "lenders are stopped one after the other", disrupt: func(t *testing.T, s *Soak, hot func()) {
			hot()
			var wg sync.WaitGroup
			for left := s.allNumbers(); len(left) > 0; time.Sleep(time.Second) {
				i := s.lenderOf(t, left)
				left = slices.DeleteFunc(left, func(k int) bool { return k == i })
				d := s.fleet.daemons[i]
				wg.Go(func() { s.withProcess(d, func(p *deployer.Process) { s.stopProcess(d, p) }) })
			}
			wg.Wait()
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := startCrashFleet(t, program)
			s.awaitReady(t)
			s.updateConfig(func(d *platformsimulator.Config) {
				d.Tenants = []platformsimulator.Tenant{{
					Name:          limitedName,
					Keys:          []string{limitedKey},
					RatePerSecond: limitedRate,
					Burst:         limitedBurst,
				}}
			})
			load := &limitedLoad{
				soak:  s,
				ended: make(chan struct{}),
				rate:  limitedRate,
			}
			load.wg.Go(load.run)
			// A daemon lends at its full rate once it has run for a window and a little longer.
			time.Sleep(2*quotaWindow + 2*time.Second)
			test.disrupt(t, s, func() { load.setRate(hotFactor * limitedRate) })
			time.Sleep(2 * quotaWindow)
			close(load.ended)
			load.wg.Wait()
			allowed := (limitedRate*quotaWindow.Seconds()+limitedBurst)*(1+quotaOverage) + quotaSlack
			if n := s.mostExecuted(quotaWindow); float64(n) > allowed {
				t.Errorf("%d requests in a window, %g are allowed", n, allowed)
			} else {
				t.Logf("%d requests in a window, %g are allowed", n, allowed)
			}
			for _, finding := range s.ledger.findings {
				t.Error(finding)
			}
		})
	}
}
