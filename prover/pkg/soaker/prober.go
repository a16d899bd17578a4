package soaker

import (
	"fmt"
	"net/http"
	"time"

	"plantaincleat/standin/pkg/platformsimulator"
)

// prober watches one daemon.
type prober struct {
	soak   *Soak
	daemon *daemon
	client *http.Client
	sent   int
	// incarnation is the start of the daemon that seen belongs to.
	incarnation int64
	// lastInForce is the last version that was in force, and checked the last one that
	// was checked to be in force in time.
	lastInForce  int64
	lastReported int64
}

// probe polls readiness and checks the configuration in force.
func (p *prober) probe() {
	d, s := p.daemon, p.soak
	s.fleet.pollReadiness(p.client, d)
	if process := d.process.Load(); process.Ended() && d.shouldRun.Load() && d.process.Load() == process {
		d.shouldRun.Store(false)
		s.ledger.addFinding("daemon %d ended by itself", d.number)
	}
	incarnation := d.incarnation.Load()
	if incarnation != p.incarnation {
		p.incarnation, p.lastInForce = incarnation, 0
	}
	if !d.shouldRun.Load() || s.version.Load() == 0 {
		return
	}
	last, accepted := s.version.Load(), *s.accepted.Load()
	if p.lastInForce > 0 && p.lastInForce >= last-1 && p.requestVersion(p.lastInForce) == http.StatusNotFound && d.incarnation.Load() == incarnation && s.version.Load() <= p.lastInForce+1 {
		s.ledger.addFinding("daemon %d went back behind configuration %d", d.number, p.lastInForce)
	}
	if p.requestVersion(last) == http.StatusOK {
		p.lastInForce = last
	}
	late := time.Since(accepted) > inForceLimit+pollInterval
	if late && p.lastInForce < last && p.lastReported < last && s.version.Load() == last && s.ledger.undisrupted(d.number, accepted, time.Now()) {
		p.lastReported = last
		s.ledger.addFinding("daemon %d: configuration %d is not in force %v after it was accepted", d.number, last, time.Since(accepted))
	}
}

// requestVersion requests the route of a version and returns the status, zero without an
// answer.
func (p *prober) requestVersion(version int64) int {
	p.sent++
	req, err := http.NewRequest(http.MethodGet, "http://"+p.soak.fleet.daemonAddress(p.daemon, portHTTP)+versionPath(version)+"x", nil)
	if err != nil {
		return 0
	}
	req.Host = platformsimulator.RouteHost
	req.Header.Set("Request-Id", fmt.Sprintf("s%d-p%d-%d", p.soak.options.Seed, p.daemon.number, p.sent))
	req.Header.Set("Request-Deadline", fmt.Sprint(callerDeadline.Milliseconds()))
	resp, err := p.client.Do(req)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}
