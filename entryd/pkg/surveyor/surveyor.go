// Package surveyor tells whether this daemon's data centre is cut off from the
// others, by what its requests to targets see.
//
// A daemon that is cut off still serves what its own data centre holds. Callers
// that need more are better served elsewhere, so that it asks the balancer for
// no new ones until the others answer again.
package surveyor

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"plantaincleat/entryd/pkg/cataloger"
	"plantaincleat/entryd/pkg/requester"
)

const (
	// interval lies between two looks at the targets, and between two probes of
	// a data centre.
	interval = 100 * time.Millisecond
	// probeTimeout bounds one probe.
	probeTimeout = 300 * time.Millisecond
	// minTargets is the number of targets from which a data centre is judged.
	minTargets = 3
	// lostShare is the part of a data centre's targets that have to be silent or
	// failing for it to count as lost.
	lostShare = 0.7
	// minOthers is the number of other data centres that have to be lost. With
	// one other, neither side knows which of the two is cut off.
	minOthers = 2
)

// Catalogs returns the configuration in force.
type Catalogs interface {
	Catalog() *cataloger.Catalog
}

// Surveyor judges and probes. It is safe for concurrent use.
type Surveyor struct {
	datacentre string
	catalogs   Catalogs
	clock      clockwork.Clock
	dial       requester.Dial
	cut        atomic.Bool
	turn       int
}

// New returns a Surveyor for a daemon of a data centre.
func New(datacentre string, catalogs Catalogs, clock clockwork.Clock, dial requester.Dial) *Surveyor {
	return &Surveyor{
		datacentre: datacentre,
		catalogs:   catalogs,
		clock:      clock,
		dial:       dial,
	}
}

// Cut reports whether the data centre is cut off from the others.
func (s *Surveyor) Cut() bool { return s.cut.Load() }

// Run judges until ctx ends.
func (s *Surveyor) Run(ctx context.Context) {
	ticker := s.clock.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
		}
		if !s.Cut() {
			s.judge()
		} else if s.probe(ctx) {
			slog.Info("data centre reaches others again", "datacentre", s.datacentre)
			s.cut.Store(false)
		}
	}
}

// judge sets whether the data centre is cut off.
func (s *Surveyor) judge() {
	found := survey(s.catalogs.Catalog(), s.datacentre)
	if found.cut() {
		slog.Warn("data centre is cut off", "datacentre", s.datacentre, "others", found.others, "lost", found.lost)
		s.cut.Store(true)
	}
}

// findings count data centres with targets, but for the daemon's own.
type findings struct {
	others int
	lost   int
	// alone is true if the targets of the daemon's own data centre are lost too.
	alone bool
}

// cut reports whether all other data centres are lost, and this one is not.
func (f findings) cut() bool {
	return f.others >= minOthers && f.lost == f.others && !f.alone
}

// census counts the targets of one data centre.
type census struct {
	all, lost int
}

// survey counts the data centres whose targets are silent or failing.
func survey(c *cataloger.Catalog, own string) findings {
	by := make(map[string]*census)
	for _, t := range targets(c) {
		one := by[t.DataCentre()]
		if one == nil {
			one = &census{}
			by[t.DataCentre()] = one
		}
		one.all++
		if t.Gauge().Suspected() {
			one.lost++
		}
	}
	var f findings
	for datacentre, one := range by {
		lost := float64(one.lost) >= lostShare*float64(one.all)
		switch {
		case one.all < minTargets:
		case datacentre == own:
			f.alone = lost
		default:
			f.others++
			if lost {
				f.lost++
			}
		}
	}
	return f
}

// targets returns the targets of the routes' pools that are in use.
func targets(c *cataloger.Catalog) []*cataloger.Target {
	var out []*cataloger.Target
	for _, p := range c.Pools() {
		if !p.Routed() {
			continue
		}
		for _, r := range p.Replicas() {
			if !r.Vanished() {
				out = append(out, r.Target)
			}
		}
	}
	return out
}

// probe opens a connection to a target of another data centre and reports
// whether it answered. Then all targets elsewhere are taken to be sound.
func (s *Surveyor) probe(ctx context.Context) bool {
	var far []*cataloger.Target
	for _, t := range targets(s.catalogs.Catalog()) {
		if t.DataCentre() != s.datacentre {
			far = append(far, t)
		}
	}
	if len(far) == 0 {
		return true
	}
	s.turn++
	t := far[s.turn%len(far)]
	ctx, cancel := clockwork.WithTimeout(ctx, s.clock, probeTimeout)
	defer cancel()
	conn, err := s.dial(ctx, "tcp", t.Address())
	if err != nil {
		return false
	}
	// The connection was only made to see that it can be.
	_ = conn.Close()
	for _, t := range far {
		t.Gauge().Forgive()
	}
	return true
}
