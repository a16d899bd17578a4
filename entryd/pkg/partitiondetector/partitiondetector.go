// Package partitiondetector tells whether this daemon's data centre is cut off from the
// others, by connections that it tries to open.
//
// A daemon that is cut off still serves what its own data centre holds. Callers
// that need more are better served elsewhere, so that it asks the balancer for
// no new ones until the others answer again.
package partitiondetector

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"plantaincleat/entryd/pkg/cataloger"
	"plantaincleat/entryd/pkg/httpsender"
)

const (
	// probeInterval lies between two rounds.
	probeInterval = 250 * time.Millisecond
	// probeTimeout bounds one connection.
	probeTimeout = 250 * time.Millisecond
	// missedRoundLimit is the number of rounds without a connection after which a data
	// centre counts as lost.
	missedRoundLimit = 2
	// minRemoteDataCentres is the number of other data centres that have to be lost. With
	// one other, neither side knows which of the two is cut off.
	minRemoteDataCentres = 2
)

// Catalogs returns the configuration in force.
type Catalogs interface {
	Catalog() *cataloger.Catalog
}

// Peers returns the addresses of the daemons by data centre, also of those that
// were lost lately.
type Peers func() map[string][]string

// Options set up a Surveyor. All fields are needed.
type Options struct {
	// DataCentre is the daemon's own.
	DataCentre string
	Catalogs   Catalogs
	Peers      Peers
	Clock      clockwork.Clock
	Dial       httpsender.Dial
}

// Detector judges and probes. It is safe for concurrent use.
type Detector struct {
	Options
	partitioned  atomic.Bool
	roundNumber  int
	missedRounds map[string]int
}

// New returns a Surveyor.
func New(o Options) *Detector {
	return &Detector{
		Options:      o,
		missedRounds: make(map[string]int),
	}
}

// Partitioned reports whether the data centre is cut off from the others.
func (d *Detector) Partitioned() bool { return d.partitioned.Load() }

// Run judges until ctx ends.
func (d *Detector) Run(ctx context.Context) {
	ticker := d.Clock.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
			d.probeRound(ctx)
		}
	}
}

// probeRound probes each other data centre once: a daemon, and if that does not
// answer, a target. Either shows that the path works.
func (d *Detector) probeRound(ctx context.Context) {
	d.roundNumber++
	peers, targets := d.Peers(), d.targets()
	reached := d.probeDataCentres(ctx, peers, targets)
	lost, remote := 0, 0
	for datacentre := range targets {
		if datacentre == d.DataCentre {
			continue
		}
		remote++
		if reached[datacentre] {
			d.missedRounds[datacentre] = 0
			continue
		}
		d.missedRounds[datacentre]++
		if d.missedRounds[datacentre] >= missedRoundLimit {
			lost++
		}
	}
	d.setPartitioned(remote >= minRemoteDataCentres && lost == remote, remote)
}

// setPartitioned records the verdict. A path that works again ends the suspicion of the
// targets behind it.
func (d *Detector) setPartitioned(partitioned bool, remote int) {
	if d.partitioned.Swap(partitioned) == partitioned {
		return
	}
	if partitioned {
		slog.Warn("data centre is cut off", "datacentre", d.DataCentre, "others", remote)
		return
	}
	slog.Info("data centre reaches others again", "datacentre", d.DataCentre)
	for _, p := range d.Catalogs.Catalog().Pools() {
		for _, r := range p.Replicas() {
			if r.DataCentre() != d.DataCentre {
				r.Estimator().ClearSuspicion()
			}
		}
	}
}

// probeDataCentres probes the data centres at the same time.
func (d *Detector) probeDataCentres(ctx context.Context, peers, targets map[string][]string) map[string]bool {
	var mu sync.Mutex
	var wg sync.WaitGroup
	out := make(map[string]bool)
	for datacentre := range targets {
		if datacentre == d.DataCentre {
			continue
		}
		wg.Go(func() {
			ok := d.probe(ctx, peers[datacentre]) || d.probe(ctx, targets[datacentre])
			mu.Lock()
			defer mu.Unlock()
			out[datacentre] = ok
		})
	}
	wg.Wait()
	return out
}

// probe opens a connection to one of the addresses, in turn, and reports
// whether that was accepted.
func (d *Detector) probe(ctx context.Context, addresses []string) bool {
	if len(addresses) == 0 {
		return false
	}
	ctx, cancel := clockwork.WithTimeout(ctx, d.Clock, probeTimeout)
	defer cancel()
	conn, err := d.Dial(ctx, "tcp", addresses[d.roundNumber%len(addresses)])
	if err != nil {
		return false
	}
	// The connection was only made to see that it can be.
	_ = conn.Close()
	return true
}

// targets returns the addresses of the targets by data centre.
func (d *Detector) targets() map[string][]string {
	out := make(map[string][]string)
	for _, p := range d.Catalogs.Catalog().Pools() {
		for _, r := range p.Replicas() {
			out[r.DataCentre()] = append(out[r.DataCentre()], r.Address())
		}
	}
	for _, addresses := range out {
		slices.Sort(addresses)
	}
	return out
}
