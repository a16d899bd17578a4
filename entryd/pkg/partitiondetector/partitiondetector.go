// Package partitiondetector detects whether a network partition separates this
// daemon's data centre from all remote data centres. It opens connections as probes.
//
// A partitioned daemon still serves the shards of its own data centre. Callers that
// need other shards are better served by another data centre, so the daemon reports
// to the balancer that it is not ready until a remote data centre answers again.
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
	// probeInterval is the time between two rounds of probes.
	probeInterval = 250 * time.Millisecond
	// probeTimeout bounds the time to open one connection.
	probeTimeout = 250 * time.Millisecond
	// fallbackDelay is the time without an answer of a daemon after which a target is probed
	// as well.
	fallbackDelay = probeTimeout / 2
	// missedRoundLimit is the number of successive rounds without a connection after
	// which a data centre counts as unreachable.
	missedRoundLimit = 2
	// minRemoteDataCentres is the number of remote data centres that a partition
	// requires. With only one, neither side can tell which of the two is partitioned.
	minRemoteDataCentres = 2
)

// Catalogs provides the current catalog.
type Catalogs interface {
	Catalog() *cataloger.Catalog
}

// Peers returns the addresses of the daemons by data centre, including daemons that
// were lost recently.
type Peers func() map[string][]string

// Options configure a Detector. All fields are required.
type Options struct {
	// DataCentre is the data centre of this daemon.
	DataCentre string
	Catalogs   Catalogs
	Peers      Peers
	Clock      clockwork.Clock
	Dial       httpsender.Dial
}

// Detector probes the remote data centres. Partitioned is safe for concurrent use
// with Run.
type Detector struct {
	Options
	partitioned atomic.Bool
	// roundNumber selects the address that each probe uses.
	roundNumber int
	// missedRounds counts, for each data centre, the successive rounds without a
	// connection.
	missedRounds map[string]int
}

// New returns a Detector. It probes nothing before Run.
func New(o Options) *Detector {
	return &Detector{
		Options:      o,
		missedRounds: make(map[string]int),
	}
}

// Partitioned reports whether a partition was detected: there are at least
// minRemoteDataCentres remote data centres, and none of them can be reached.
func (d *Detector) Partitioned() bool { return d.partitioned.Load() }

// Run probes in rounds until ctx ends.
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

// probeRound probes each remote data centre once: a daemon, and if that does not answer
// within fallbackDelay, a target. A connection to either shows that the data centre is
// reachable.
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

// setPartitioned records the state and logs its changes. When a partition ends, it
// clears the suspicions of the targets in the remote data centres.
func (d *Detector) setPartitioned(partitioned bool, remote int) {
	if d.partitioned.Swap(partitioned) == partitioned {
		return
	}
	if partitioned {
		slog.Warn("data centre is partitioned: no probe reaches any of the other data centres", "datacentre", d.DataCentre, "others", remote)
		return
	}
	slog.Info("partition of data centre has ended: a probe reaches a remote data centre", "datacentre", d.DataCentre)
	for _, p := range d.Catalogs.Catalog().Pools() {
		for _, r := range p.Replicas() {
			if r.DataCentre() != d.DataCentre {
				r.Estimator().ClearSuspicion()
			}
		}
	}
}

// probeDataCentres probes all remote data centres in parallel and returns which of
// them were reached.
func (d *Detector) probeDataCentres(ctx context.Context, peers, targets map[string][]string) map[string]bool {
	var mu sync.Mutex
	var wg sync.WaitGroup
	out := make(map[string]bool)
	for datacentre := range targets {
		if datacentre == d.DataCentre {
			continue
		}
		wg.Go(func() {
			ok := d.probeEither(ctx, peers[datacentre], targets[datacentre])
			mu.Lock()
			defer mu.Unlock()
			out[datacentre] = ok
		})
	}
	wg.Wait()
	return out
}

// probeEither reports whether a daemon or a target answers, a different one in each round.
// A target is asked if the daemon has not answered within fallbackDelay; a new connection
// costs it more than a daemon.
func (d *Detector) probeEither(ctx context.Context, peers, targets []string) bool {
	peer, target := d.pick(peers), d.pick(targets)
	daemon := make(chan bool, 1)
	go func() { daemon <- d.probe(ctx, peer) }()
	select {
	case ok := <-daemon:
		return ok || d.probe(ctx, target)
	case <-d.Clock.After(fallbackDelay):
	}
	return d.probe(ctx, target) || <-daemon
}

// pick returns the address to probe in this round, or an empty string if there is none.
func (d *Detector) pick(addresses []string) string {
	if len(addresses) == 0 {
		return ""
	}
	return addresses[d.roundNumber%len(addresses)]
}

// probe opens a connection to an address and reports whether it succeeded.
func (d *Detector) probe(ctx context.Context, address string) bool {
	if address == "" {
		return false
	}
	ctx, cancel := clockwork.WithTimeout(ctx, d.Clock, probeTimeout)
	defer cancel()
	conn, err := d.Dial(ctx, "tcp", address)
	if err != nil {
		return false
	}
	// The connection is only a probe, so an error of Close does not matter.
	_ = conn.Close()
	return true
}

// targets returns the addresses of the targets by data centre, sorted.
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
