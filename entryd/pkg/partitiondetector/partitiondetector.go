// Package partitiondetector detects whether a network partition separates this
// daemon's data centre from all remote data centres. Probes must be answered: an open
// connection alone may be that of an intermediary.
//
// A partitioned daemon still serves the shards of its own data centre. Callers that
// need other shards are better served by another data centre, so the daemon reports
// to the balancer that it is not ready until a remote data centre answers again.
package partitiondetector

import (
	"cmp"
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
	// probeTimeout bounds one probe.
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

// Options configure a Detector. All fields but Silent and OnAnswer are required.
type Options struct {
	// DataCentre is the data centre of this daemon.
	DataCentre string
	Catalogs   Catalogs
	Peers      Peers
	Clock      clockwork.Clock
	// Dial opens a connection to a daemon.
	Dial httpsender.Dial
	// Silent is true if daemons send nothing on a new connection before the other side does,
	// as with TLS. A connection alone then shows that a daemon is reached.
	Silent bool
	// OnAnswer is called with the answers of targets to probes, in which they may announce
	// something. It may be nil.
	OnAnswer func(target *cataloger.Target, answer *httpsender.Answer)
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
// within fallbackDelay, a target. An answer of either shows that the data centre is
// reachable.
func (d *Detector) probeRound(ctx context.Context) {
	d.roundNumber++
	peers, targets := d.Peers(), d.targets()
	reached := d.probeDataCentres(ctx, peers, targets)
	lost, remote := 0, 0
	for datacentre := range targets {
		if datacentre == d.DataCentre || len(peers[datacentre]) == 0 && d.evacuated(datacentre) {
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
func (d *Detector) probeDataCentres(ctx context.Context, peers map[string][]string, targets map[string][]target) map[string]bool {
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
func (d *Detector) probeEither(ctx context.Context, peers []string, targets []target) bool {
	daemon := make(chan bool, 1)
	go func() { daemon <- d.probePeer(ctx, pick(peers, d.roundNumber)) }()
	select {
	case ok := <-daemon:
		return ok || d.probeTarget(ctx, pick(targets, d.roundNumber))
	case <-d.Clock.After(fallbackDelay):
	}
	return d.probeTarget(ctx, pick(targets, d.roundNumber)) || <-daemon
}

// pick returns the element to probe in a round, or the zero value if there is none.
func pick[T any](list []T, round int) T {
	if len(list) == 0 {
		var none T
		return none
	}
	return list[round%len(list)]
}

// probePeer reports whether the daemon at an address answers: it opens a connection, on which
// the daemon sends the first bytes.
func (d *Detector) probePeer(ctx context.Context, address string) bool {
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
	defer func() { _ = conn.Close() }()
	if d.Silent {
		return true
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	_, err = conn.Read(make([]byte, 1))
	return err == nil
}

// target is a target with the path at which it answers probes.
type target struct {
	*cataloger.Replica
	probePath string
}

// probeTarget reports whether a target answers a probe.
func (d *Detector) probeTarget(ctx context.Context, t target) bool {
	if t.Replica == nil {
		return false
	}
	ctx, cancel := clockwork.WithTimeout(ctx, d.Clock, probeTimeout)
	defer cancel()
	answer, err := t.Client().Probe(ctx, t.probePath)
	if err == nil && d.OnAnswer != nil {
		d.OnAnswer(t.Target, answer)
	}
	return err == nil
}

// evacuated reports whether a data centre is evacuated. Its targets get no probes then, so that
// their silence is no sign of a partition.
func (d *Detector) evacuated(datacentre string) bool {
	return slices.ContainsFunc(d.Catalogs.Catalog().Evacuations(), func(e cataloger.Evacuation) bool { return e.DataCentre == datacentre })
}

// targets returns the targets that may get requests by data centre, sorted by address. A data
// centre that has only others has an empty list.
func (d *Detector) targets() map[string][]target {
	out := make(map[string][]target)
	now := d.Clock.Now()
	for _, p := range d.Catalogs.Catalog().Pools() {
		for _, r := range p.Replicas() {
			list := out[r.DataCentre()]
			if !r.Unavailable(now) {
				list = append(list, target{
					Replica:   r,
					probePath: p.ProbePath(),
				})
			}
			out[r.DataCentre()] = list
		}
	}
	for _, list := range out {
		slices.SortFunc(list, func(a, b target) int { return cmp.Compare(a.Address(), b.Address()) })
	}
	return out
}
