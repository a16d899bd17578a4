package starter

import (
	"net"
	"net/http"

	"plantaincleat/entryd/pkg/hostwatcher"
	"plantaincleat/tier/pkg/ranker"
)

// listReaders is the number of daemons of a data centre that poll the host
// list; the others learn of leaving targets by gossip.
const listReaders = 2

// newLister follows the platform's host list, nil if none is configured.
func (d *Daemon) newLister() *hostwatcher.Lister {
	if d.cfg.GetHosts() == "" {
		return nil
	}
	return hostwatcher.New(hostwatcher.Options{
		URL:       d.cfg.GetHosts(),
		Seeds:     d.cfg.GetSeeds(),
		Self:      d.advertise(),
		Needed:    d.readsList,
		OnSeeds:   d.gossip.SetSeeds,
		OnLeaving: func(target string) { d.drainer.Announce(target, 0) },
		Client: &http.Client{
			Transport: d.tls.Transport(d.sourceDialer().DialContext, d.cfg.GetSecurity().GetInsecure()),
		},
		Clock: d.clock,
	})
}

// sourceDialer dials from the configured source address.
func (d *Daemon) sourceDialer() *net.Dialer {
	nd := &net.Dialer{}
	if ip := net.ParseIP(d.cfg.GetSource()); ip != nil {
		nd.LocalAddr = &net.TCPAddr{
			IP: ip,
		}
	}
	return nd
}

// readsList reports whether this daemon is one of the readers of its data
// centre.
func (d *Daemon) readsList() bool {
	var ids []string
	for _, m := range d.gossip.View().LiveIn(d.cfg.GetDatacentre()) {
		ids = append(ids, m.ID())
	}
	return ranker.IsAmongFirst(d.cfg.GetId(), ids, "hosts", listReaders)
}
