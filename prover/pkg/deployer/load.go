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
	// loadLimit bounds a load that is not stopped.
	loadLimit = 10 * time.Minute
	patience  = 3 * time.Second
	inFlight  = 2000
)

// LoadOptions describe a load.
type LoadOptions struct {
	// Classes of the profile; all if nil.
	Classes []string
	// Rate is in requests per second.
	Rate float64
	Seed uint64
	// Configs are in force during the load; the first one if nil.
	Configs []*config.Config
	Terms   []string
	Same    bool
}

// Load is a load under way.
type Load struct {
	cancel context.CancelFunc
	report chan *resultcollector.Report
}

// StartLoad puts a verified load on all daemons through a balancer that follows
// their readiness.
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
		entries = append(entries, m.Entry())
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
				Duration: loadLimit,
			}},
			Seed:       o.Seed,
			ExtraTerms: o.Terms,
			SameQuery:  o.Same,
		},
		Institution: profile.Name,
		Version:     deploymentplanner.SchemaVersion,
		LostAfter:   patience,
		MaxInFlight: inFlight,
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

// Stop ends the load and returns its report once the last answer has come.
func (l *Load) Stop() *resultcollector.Report {
	l.cancel()
	return <-l.report
}
