package admitter

import (
	"slices"
	"time"

	"plantaincleat/tier/gen/peer"
)

// maxDemandAge is the age at which another daemon's demand no longer counts.
const maxDemandAge = 5 * time.Second

// fairShare returns the most that one daemon may use of a fleet-wide total: its
// part under max-min fairness, were its own demand unlimited. Others holds the
// known demands; unknown is the number of live daemons without one, which are
// taken to want as much as they can get. So the share is never below an equal
// one, and it is an equal one if no demand is known.
//
// If all daemons know all demands, the sum over them of the smaller of demand
// and share is at most the total.
func fairShare(total float64, others []float64, unknown int) float64 {
	sorted := slices.Clone(others)
	slices.Sort(sorted)
	left := total
	claimants := float64(len(sorted) + unknown + 1)
	for _, d := range sorted {
		level := left / claimants
		if d >= level {
			return level
		}
		left -= d
		claimants--
	}
	return left / claimants
}

// peerDemand is another daemon's demand as last gossiped.
type peerDemand struct {
	rate        float64
	concurrency float64
	beat        uint64
	seen        time.Time
}

// demandTable holds the demands of other daemons: institution, then daemon.
type demandTable map[string]map[string]peerDemand

// merge takes a gossiped demand if its beat is newer than the known one.
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

// retain forgets the daemons that are not live.
func (d demandTable) retain(live map[string]bool) {
	for _, byDaemon := range d {
		for daemon := range byDaemon {
			if !live[daemon] {
				delete(byDaemon, daemon)
			}
		}
	}
}

// fresh returns the recent demands for an institution.
func (d demandTable) fresh(now time.Time, institution string) (rates, concurrencies []float64) {
	for _, v := range d[institution] {
		if now.Sub(v.seen) < maxDemandAge {
			rates = append(rates, v.rate)
			concurrencies = append(concurrencies, v.concurrency)
		}
	}
	return rates, concurrencies
}
