package admitter

import (
	"time"

	"plantaincleat/tier/gen/peer"
)

// maxDemandAge is the age from which another daemon's demand is ignored.
const maxDemandAge = 5 * time.Second

// peerDemand is the demand that another daemon last gossiped for an institution.
type peerDemand struct {
	rate        float64
	concurrency float64
	beat        uint64
	seen        time.Time
}

// demandTable holds the demands of the other daemons by institution, then by
// daemon id.
type demandTable map[string]map[string]peerDemand

// merge stores a gossiped demand if its beat is higher than that of the stored
// one.
func (d demandTable) merge(now time.Time, p *peer.Demand) {
	byDaemon := d[p.GetInstitution()]
	if byDaemon == nil {
		byDaemon = map[string]peerDemand{}
		d[p.GetInstitution()] = byDaemon
	}
	known, ok := byDaemon[p.GetDaemon()]
	if ok && known.beat >= p.GetBeat() {
		return
	}
	byDaemon[p.GetDaemon()] = peerDemand{
		rate:        max(p.GetRate(), 0),
		concurrency: float64(p.GetConcurrency()),
		beat:        p.GetBeat(),
		seen:        now,
	}
}

// retain removes the demands of daemons that are not live.
func (d demandTable) retain(live map[string]bool) {
	for _, byDaemon := range d {
		for daemon := range byDaemon {
			if !live[daemon] {
				delete(byDaemon, daemon)
			}
		}
	}
}

// fresh returns the rates and concurrencies that other daemons demand for an
// institution, without those older than maxDemandAge.
func (d demandTable) fresh(now time.Time, institution string) (rates, concurrencies []float64) {
	for _, v := range d[institution] {
		if now.Sub(v.seen) < maxDemandAge {
			rates = append(rates, v.rate)
			concurrencies = append(concurrencies, v.concurrency)
		}
	}
	return rates, concurrencies
}
