package soaker

import (
	"fmt"
	"net/http"
	"time"

	"plantaincleat/standin/pkg/platformsimulator"
)

// prober checks one daemon periodically while the disruptions go on. Only one
// goroutine may use it.
type prober struct {
	soak   *Soak
	daemon *daemon
	client *http.Client
	sent   int
	// incarnation is the start of the daemon that lastInForce belongs to.
	incarnation int64
	// lastInForce is the last version that was seen in force, and lastReported
	// the last one that was reported as late.
	lastInForce  int64
	lastReported int64
}

// probe updates the daemon's readiness and checks that its process runs, that
// it does not go back to an earlier configuration, and that the last accepted
// one is in force in time.
func (p *prober) probe() {
	d, s := p.daemon, p.soak
	s.fleet.pollReadiness(p.client, d)
	if process := d.process.Load(); process.Ended() && d.shouldRun.Load() && d.process.Load() == process {
		d.shouldRun.Store(false)
		s.ledger.addFinding("daemon %d ended although nothing stopped it", d.number)
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
		s.ledger.addFinding("daemon %d went back to a configuration before %d", d.number, p.lastInForce)
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

// requestVersion sends a request to the route of a version and returns the
// status, 0 if there is no answer.
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
