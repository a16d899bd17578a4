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
	// interval lies between two rounds.
	interval = 250 * time.Millisecond
	// probeTimeout bounds one connection.
	probeTimeout = 250 * time.Millisecond
	// missLimit is the number of rounds without a connection after which a data
	// centre counts as lost.
	missLimit = 2
	// minOthers is the number of other data centres that have to be lost. With
	// one other, neither side knows which of the two is cut off.
	minOthers = 2
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
	cut    atomic.Bool
	turn   int
	misses map[string]int
}

// New returns a Surveyor.
func New(o Options) *Detector {
	return &Detector{
		Options: o,
		misses:  make(map[string]int),
	}
}

// Partitioned reports whether the data centre is cut off from the others.
func (s *Detector) Partitioned() bool { return s.cut.Load() }

// Run judges until ctx ends.
func (s *Detector) Run(ctx context.Context) {
	ticker := s.Clock.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
			s.round(ctx)
		}
	}
}

// round probes each other data centre once: a daemon, and if that does not
// answer, a target. Either shows that the path works.
func (s *Detector) round(ctx context.Context) {
	s.turn++
	peers, targets := s.Peers(), s.targets()
	reached := s.reached(ctx, peers, targets)
	lost, others := 0, 0
	for datacentre := range targets {
		if datacentre == s.DataCentre {
			continue
		}
		others++
		if reached[datacentre] {
			s.misses[datacentre] = 0
			continue
		}
		s.misses[datacentre]++
		if s.misses[datacentre] >= missLimit {
			lost++
		}
	}
	s.set(others >= minOthers && lost == others, others)
}

// set records the verdict. A path that works again ends the suspicion of the
// targets behind it.
func (s *Detector) set(cut bool, others int) {
	if s.cut.Swap(cut) == cut {
		return
	}
	if cut {
		slog.Warn("data centre is cut off", "datacentre", s.DataCentre, "others", others)
		return
	}
	slog.Info("data centre reaches others again", "datacentre", s.DataCentre)
	for _, p := range s.Catalogs.Catalog().Pools() {
		for _, r := range p.Replicas() {
			if r.DataCentre() != s.DataCentre {
				r.Estimator().ClearSuspicion()
			}
		}
	}
}

// reached probes the data centres at the same time.
func (s *Detector) reached(ctx context.Context, peers, targets map[string][]string) map[string]bool {
	var mu sync.Mutex
	var wg sync.WaitGroup
	out := make(map[string]bool)
	for datacentre := range targets {
		if datacentre == s.DataCentre {
			continue
		}
		wg.Go(func() {
			ok := s.probe(ctx, peers[datacentre]) || s.probe(ctx, targets[datacentre])
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
func (s *Detector) probe(ctx context.Context, addresses []string) bool {
	if len(addresses) == 0 {
		return false
	}
	ctx, cancel := clockwork.WithTimeout(ctx, s.Clock, probeTimeout)
	defer cancel()
	conn, err := s.Dial(ctx, "tcp", addresses[s.turn%len(addresses)])
	if err != nil {
		return false
	}
	// The connection was only made to see that it can be.
	_ = conn.Close()
	return true
}

// targets returns the addresses of the targets by data centre.
func (s *Detector) targets() map[string][]string {
	out := make(map[string][]string)
	for _, p := range s.Catalogs.Catalog().Pools() {
		for _, r := range p.Replicas() {
			out[r.DataCentre()] = append(out[r.DataCentre()], r.Address())
		}
	}
	for _, addresses := range out {
		slices.Sort(addresses)
	}
	return out
}
