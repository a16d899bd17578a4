package starter

import (
	"net"
	"net/http"

	"plantaincleat/entryd/pkg/hostwatcher"
	"plantaincleat/tier/pkg/ranker"
)

// hostListPollers is the number of daemons of a data centre that poll the host list.
// The other daemons learn of draining targets by gossip.
const hostListPollers = 2

// newHostWatcher returns a watcher of the platform's host list, or nil if none is
// configured.
func (d *Daemon) newHostWatcher() *hostwatcher.Watcher {
	if d.cfg.GetHosts() == "" {
		return nil
	}
	return hostwatcher.New(hostwatcher.Options{
		URL:        d.cfg.GetHosts(),
		Seeds:      d.cfg.GetSeeds(),
		Self:       d.advertise(),
		ShouldPoll: d.pollsHostList,
		OnSeeds:    d.gossip.SetSeeds,
		OnDraining: func(target string) { d.drainTracker.Announce(target, 0) },
		Client: &http.Client{
			Transport: d.tls.Transport(d.sourceDialer().DialContext, d.cfg.GetSecurity().GetInsecure()),
		},
		Clock: d.clock,
	})
}

// sourceDialer returns a dialer that uses the configured source address as local
// address.
func (d *Daemon) sourceDialer() *net.Dialer {
	nd := &net.Dialer{}
	if ip := net.ParseIP(d.cfg.GetSource()); ip != nil {
		nd.LocalAddr = &net.TCPAddr{
			IP: ip,
		}
	}
	return nd
}

// pollsHostList reports whether this daemon is one of its data centre's hostListPollers.
// They are selected by a rank of the ids, so that all daemons agree.
func (d *Daemon) pollsHostList() bool {
	var ids []string
	for _, m := range d.gossip.View().LiveIn(d.cfg.GetDatacentre()) {
		ids = append(ids, m.ID())
	}
	return ranker.IsAmongFirst(d.cfg.GetId(), ids, "hosts", hostListPollers)
}
