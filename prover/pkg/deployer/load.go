package deployer

import (
	"context"
	"time"

	"plantaincleat/loadgen/pkg/balancer"
	"plantaincleat/loadgen/pkg/caller"
	"plantaincleat/loadgen/pkg/deploymentplanner"
	"plantaincleat/loadgen/pkg/driver"
	"plantaincleat/loadgen/pkg/resultcollector"
	"plantaincleat/loadgen/pkg/scheduler"
	"plantaincleat/loadgen/pkg/verifier"
	"plantaincleat/tier/gen/config"
)

const (
	// maxLoadDuration is the length of a load that nobody stops.
	maxLoadDuration = 10 * time.Minute
	// lostAfter is the time after which a request without an answer counts as
	// lost.
	lostAfter   = 3 * time.Second
	maxInFlight = 2000
)

// LoadOptions configures a load.
type LoadOptions struct {
	// Classes names the classes of the profile that are requested; nil means
	// all.
	Classes []string
	// Rate is in requests per second.
	Rate float64
	Seed uint64
	// Configs are the configurations that may be in force during the load; nil
	// means the first one. Answers are verified against them.
	Configs    []*config.Config
	ExtraTerms []string
	SameQuery  bool
}

// Load is a running load.
type Load struct {
	cancel context.CancelFunc
	report chan *resultcollector.Report
}

// StartLoad starts a load on all daemons. A balancer that follows the readiness
// of the daemons picks the daemon of each request, and every answer is
// verified.
func (d *Deployment) StartLoad(o LoadOptions) *Load {
	d.t.Helper()
	profile, err := d.options.Profile.SelectClasses(o.Classes)
	if err != nil {
		d.t.Fatal(err)
	}
	if o.Configs == nil {
		o.Configs = []*config.Config{d.cfg}
	}
	var entries []string
	for _, m := range d.daemons {
		entries = append(entries, m.BalancerEntry())
	}
	b, err := balancer.New(entries, nil)
	if err != nil {
		d.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	l := &Load{
		cancel: cancel,
		report: make(chan *resultcollector.Report, 1),
	}
	d.t.Cleanup(cancel)
	options := driver.Options{
		Load: scheduler.Options{
			Classes: profile.Classes,
			Steps: []scheduler.Step{{
				Factor:   1,
				Rate:     o.Rate,
				Duration: maxLoadDuration,
			}},
			Seed:       o.Seed,
			ExtraTerms: o.ExtraTerms,
			SameQuery:  o.SameQuery,
		},
		Institution: profile.Name,
		Version:     deploymentplanner.SchemaVersion,
		LostAfter:   lostAfter,
		MaxInFlight: maxInFlight,
		Verifier:    verifier.New(o.Configs...),
	}
	go b.Run(ctx)
	go func() {
		c := caller.New(b)
		defer c.Close()
		l.report <- driver.New(c, options).Run(ctx)
	}()
	return l
}

// Stop ends the load, waits for the answers of the requests in flight and
// returns the report.
func (l *Load) Stop() *resultcollector.Report {
	l.cancel()
	return <-l.report
}
