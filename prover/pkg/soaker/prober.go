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
	// seen is the last version that was in force, and checked the last one that
	// was checked to be in force in time.
	seen    int64
	checked int64
}

// look polls readiness and checks the configuration in force.
func (p *prober) look() {
	d, s := p.daemon, p.soak
	s.fleet.poll(p.client, d)
	if process := d.process.Load(); process.Ended() && d.up.Load() && d.process.Load() == process {
		d.up.Store(false)
		s.ledger.find("daemon %d ended by itself", d.number)
	}
	incarnation := d.incarnation.Load()
	if incarnation != p.incarnation {
		p.incarnation, p.seen = incarnation, 0
	}
	if !d.up.Load() || s.version.Load() == 0 {
		return
	}
	last, accepted := s.version.Load(), *s.accepted.Load()
	if p.seen > 0 && p.seen >= last-1 && p.ask(p.seen) == http.StatusNotFound && d.incarnation.Load() == incarnation && s.version.Load() <= p.seen+1 {
		s.ledger.find("daemon %d went back behind configuration %d", d.number, p.seen)
	}
	if p.ask(last) == http.StatusOK {
		p.seen = last
	}
	late := time.Since(accepted) > inForce+tick
	if late && p.seen < last && p.checked < last && s.version.Load() == last && s.ledger.calm(d.number, accepted, time.Now()) {
		p.checked = last
		s.ledger.find("daemon %d: configuration %d is not in force %v after it was accepted", d.number, last, time.Since(accepted))
	}
}

// ask requests the route of a version and returns the status, zero without an
// answer.
func (p *prober) ask(version int64) int {
	p.sent++
	req, err := http.NewRequest(http.MethodGet, "http://"+p.soak.fleet.address(p.daemon, portHTTP)+versionPath(version)+"x", nil)
	if err != nil {
		return 0
	}
	req.Host = platformsimulator.RouteHost
	req.Header.Set("Request-Id", fmt.Sprintf("s%d-p%d-%d", p.soak.options.Seed, p.daemon.number, p.sent))
	req.Header.Set("Request-Deadline", fmt.Sprint(patience.Milliseconds()))
	resp, err := p.client.Do(req)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}
