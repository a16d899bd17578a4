package cataloger

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"google.golang.org/protobuf/types/known/durationpb"
	"pgregory.net/rapid"

	"plantaincleat/entryd/pkg/assigner"
	"plantaincleat/entryd/pkg/withholder"
	"plantaincleat/tier/gen/config"
)

var tolerance = withholder.Tolerance{
	Overage: 1.5,
	Slack:   5,
}

// coldConfig returns a configuration with a cold target in a pool with a rate, whose shard has
// owners if owned.
func coldConfig(pace float64, owned bool) *config.Accepted {
	route := &config.Route{
		Name: "route",
		Host: "h",
	}
	if owned {
		route.Shards = []string{"pool"}
	} else {
		route.Pools = []*config.Share{{Pool: "pool", Weight: 1}}
	}
	return &config.Accepted{
		Head: &config.Head{Revision: 1},
		Config: &config.Config{
			Routes: []*config.Route{route},
			Pools:  []*config.Pool{{Name: "pool", Warmup: durationpb.New(time.Minute), Pace: pace}},
			Targets: []*config.Target{{
				Id: "target", Address: "127.0.0.1:1", Datacentre: "dc-0", Slots: 2, Pool: "pool", Cold: true,
			}},
		},
	}
}

// coldFleet is a fleet whose daemons send as many requests to a cold target as they may, and
// learn of each other late.
type coldFleet struct {
	t       *rapid.T
	clock   *clockwork.FakeClock
	config  *config.Accepted
	daemons []*coldDaemon
	byID    map[string]*coldDaemon
	// arrivals are the times of the requests of all daemons.
	arrivals []time.Time
}

// coldDaemon is a daemon of a coldFleet.
type coldDaemon struct {
	assigner.Daemon
	// catalogs is nil before the daemon starts. side is the side of a cut that it is on.
	catalogs *Cataloger
	side     int
	// known are the daemons that it has heard of, and hears is when it next learns which
	// daemons run on its side.
	known map[string]bool
	hears time.Time
	// frozen is true while the daemon does not run.
	frozen bool
}

func newColdFleet(t *rapid.T, n int, pace float64, owned bool) *coldFleet {
	f := &coldFleet{
		t:      t,
		clock:  clockwork.NewFakeClockAt(time.Unix(1_700_000_000, 0)),
		config: coldConfig(pace, owned),
		byID:   make(map[string]*coldDaemon),
	}
	for i := range n {
		f.daemons = append(f.daemons, &coldDaemon{Daemon: assigner.Daemon{
			ID:         fmt.Sprint("daemon-", i),
			DataCentre: fmt.Sprint("dc-", i%3),
			Capacity:   1000,
		}})
		f.byID[f.daemons[i].ID] = f.daemons[i]
	}
	return f
}

// start starts daemons, or starts them again. They do not know the others yet.
func (f *coldFleet) start(daemons []*coldDaemon) {
	for _, d := range daemons {
		d.frozen = false
		d.catalogs = New(Options{
			Clock:     f.clock,
			Tolerance: tolerance,
		})
		d.known = map[string]bool{d.ID: true}
		d.catalogs.Adopt(f.config)
		f.see(d, []assigner.Daemon{d.Daemon})
		d.hears = f.clock.Now().Add(f.delay(200, 1500))
	}
	f.spread(0, 3000)
}

// spread lets all daemons hear of a change after different times in milliseconds.
func (f *coldFleet) spread(least, most int) {
	for _, d := range f.daemons {
		if at := f.clock.Now().Add(f.delay(least, most)); d.hears.Before(f.clock.Now()) {
			d.hears = at
		}
	}
}

// freeze freezes daemons.
func (f *coldFleet) freeze(daemons []*coldDaemon) {
	for _, d := range daemons {
		d.frozen = true
	}
	f.spread(2000, 5000)
}

// wake ends the freezes. A daemon that was frozen knows the fleet from before at first.
func (f *coldFleet) wake() {
	for _, d := range f.daemons {
		if d.frozen {
			d.frozen = false
			d.catalogs.Resume()
		}
	}
	f.spread(0, 1500)
}

func (f *coldFleet) delay(least, most int) time.Duration {
	return time.Duration(rapid.IntRange(least, most).Draw(f.t, "delay")) * time.Millisecond
}

// cut divides the daemons into sides. One side means no cut.
func (f *coldFleet) cut(sides int) {
	for _, d := range f.daemons {
		d.side = rapid.IntRange(0, sides-1).Draw(f.t, "side")
	}
	f.spread(2000, 5000)
}

// see tells a daemon which daemons are live, and whom these know. The first three daemons are
// the seeds of all.
func (f *coldFleet) see(d *coldDaemon, live []assigner.Daemon) {
	for _, l := range live {
		d.known[l.ID] = true
		maps.Copy(d.known, f.byID[l.ID].known)
	}
	seeds, met := 0, 0
	for _, s := range f.daemons[:min(len(f.daemons), 3)] {
		seeds++
		if slices.ContainsFunc(live, func(l assigner.Daemon) bool { return l.ID == s.ID }) {
			met++
		}
	}
	d.catalogs.SetKnown(slices.Collect(maps.Keys(d.known)), 2*met > seeds)
	d.catalogs.SetFleet(d.ID, live, assigner.NewOwners(d.ID, live, d.catalogs.Catalog().Shards()))
}

// live returns the daemons that run on the side of a daemon.
func (f *coldFleet) live(side int) []assigner.Daemon {
	var out []assigner.Daemon
	for _, d := range f.daemons {
		if d.catalogs != nil && !d.frozen && d.side == side {
			out = append(out, d.Daemon)
		}
	}
	return out
}

// press lets all daemons send whenever they may.
func (f *coldFleet) press(d time.Duration) {
	const step = 50 * time.Millisecond
	for end := f.clock.Now().Add(d); f.clock.Now().Before(end); f.clock.Advance(step) {
		now := f.clock.Now()
		for _, d := range f.daemons {
			if d.catalogs == nil || d.frozen {
				continue
			}
			if !d.hears.IsZero() && !now.Before(d.hears) {
				d.hears = time.Time{}
				f.see(d, f.live(d.side))
			}
			if now.UnixMilli()%1000 == 0 {
				d.catalogs.Sweep()
			}
			state := d.catalogs.Catalog().Pool("pool").Replicas()[0].State()
			if state.LimitedUntil(now).IsZero() && state.Enter(now) {
				state.Exit(now, true)
				f.arrivals = append(f.arrivals, now)
			}
		}
	}
}

// check fails the test if a second has more requests than a cold target takes.
func (f *coldFleet) check(pace float64) {
	allowed := tolerance.Overage*pace + tolerance.Slack
	begin := 0
	for i, at := range f.arrivals {
		for !f.arrivals[begin].After(at.Add(-time.Second)) {
			begin++
		}
		if n := i - begin + 1; float64(n) > allowed {
			f.t.Fatalf("%d requests in a second at a rate of %g, allowed %g", n, pace, allowed)
		}
	}
}

// TestColdRateHoldsOverFleet answers 84 daemons with more requests than a cold target takes,
// of which some start late and together, restart, freeze, and are cut off from each other without
// being cut off from the target. It guards against a sum of the daemons' shares beyond the
// rate that the target survives.
func TestColdRateHoldsOverFleet(t *testing.T) {
	const daemons = 84
	rapid.Check(t, func(t *rapid.T) {
		pace := rapid.SampledFrom([]float64{0.3, 1, 5, 20, 60}).Draw(t, "pace")
		f := newColdFleet(t, daemons, pace, rapid.Bool().Draw(t, "owned"))
		first := rapid.SampledFrom([]int{1, 2, 40, daemons}).Draw(t, "first")
		f.start(f.daemons[:first])
		f.press(f.delay(0, 9000))
		f.start(f.daemons[first:])
		for range rapid.IntRange(1, 4).Draw(t, "events") {
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 3:
				n := rapid.IntRange(0, daemons-1).Draw(t, "frozen")
				f.freeze(f.daemons[n : n+rapid.IntRange(1, daemons-n).Draw(t, "freezes")])
			case 4:
				f.wake()
			case 0:
				n := rapid.IntRange(0, daemons-1).Draw(t, "restarted")
				f.start(f.daemons[n : n+rapid.IntRange(1, daemons-n).Draw(t, "restarts")])
			case 1:
				f.cut(rapid.IntRange(2, 3).Draw(t, "sides"))
			default:
				f.cut(1)
			}
			f.press(f.delay(0, 9000))
		}
		f.check(pace)
	})
}

// TestColdRateIsUsed guards against daemons that keep most of a cold target's rate for each
// other although they are in touch.
func TestColdRateIsUsed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pace := rapid.SampledFrom([]float64{1, 5, 20}).Draw(t, "pace")
		f := newColdFleet(t, rapid.SampledFrom([]int{1, 6, 84}).Draw(t, "daemons"), pace, rapid.Bool().Draw(t, "owned"))
		f.start(f.daemons)
		f.press(2 * settleTime)
		f.arrivals = nil
		f.press(10 * time.Second)
		f.check(pace)
		if used := float64(len(f.arrivals)) / 10; used < 0.8*pace {
			t.Errorf("%g requests a second at a rate of %g", used, pace)
		}
	})
}

// TestStartDuringTrafficIsCold covers which processes count as cold after their start.
func TestStartDuringTrafficIsCold(t *testing.T) {
	const warmup = 3 * time.Second
	tests := []struct {
		name string
		// age is how long ago the process started, by the daemon's clock. later is true if it
		// comes into the configuration while the daemon has one.
		age   time.Duration
		later bool
		want  time.Duration
	}{
		{name: "came with the daemon's first configuration, started long ago", age: time.Minute},
		{name: "came with the daemon's first configuration, started lately", age: time.Second, want: 2 * time.Second},
		{name: "clock of its host is ahead", age: -10 * time.Second, want: warmup},
		{name: "started during traffic", later: true, want: warmup},
		{name: "started during traffic, clock of its host is behind", age: 10 * time.Second, later: true, want: warmup},
		{name: "came back after long", age: time.Hour, later: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			clock := clockwork.NewFakeClockAt(time.Unix(1_700_000_000, 0))
			c := New(Options{Clock: clock})
			accepted := coldConfig(5, false)
			pool, target := accepted.GetConfig().GetPools()[0], accepted.GetConfig().GetTargets()[0]
			pool.Warmup, target.Cold = durationpb.New(warmup), false
			if test.later {
				c.Adopt(&config.Accepted{
					Head:   &config.Head{Revision: 1},
					Config: &config.Config{Pools: accepted.GetConfig().GetPools()},
				})
				accepted.Head.Revision = 2
			}
			target.Started = clock.Now().Add(-test.age).UnixMilli()
			c.Adopt(accepted)
			until, _ := c.Catalog().Pool("pool").Replicas()[0].State().ColdUntil(clock.Now())
			if got := max(until.Sub(clock.Now()), 0); got != test.want {
				t.Errorf("target is cold for %v, want %v", got, test.want)
			}
		})
	}
}

// TestAllColdPoolSheds answers a data centre whose targets are all back cold under a burst: a
// part of the requests as large as the rate takes is let through, by id, and the others are
// refused at once with the time to the next token.
func TestAllColdPoolSheds(t *testing.T) {
	clock := clockwork.NewFakeClockAt(time.Unix(1_700_000_000, 0))
	c := New(Options{Clock: clock, Tolerance: tolerance})
	c.Adopt(coldConfig(10, true))
	self := assigner.Daemon{ID: "self", DataCentre: "dc-0", Capacity: 1000}
	owners := assigner.NewOwners(self.ID, []assigner.Daemon{self}, c.Catalog().Shards())
	c.SetKnown([]string{self.ID}, true)
	c.SetFleet(self.ID, []assigner.Daemon{self}, owners)
	clock.Advance(settleTime)
	c.Sweep()
	sent := 0
	const requests = 2000
	for i := range requests {
		clock.Advance(5 * time.Millisecond)
		pool := c.Catalog().Pool("pool")
		if pool.Sample(clock.Now(), fmt.Sprint("request-", i)) && pool.Withheld(clock.Now()).Until.IsZero() && pool.Replicas()[0].State().Enter(clock.Now()) {
			pool.Replicas()[0].State().Exit(clock.Now(), true)
			sent++
		}
	}
	// Ten seconds pass.
	if sent < 50 || sent > 105 {
		t.Errorf("%d of %d requests sent in ten seconds at a rate of 10", sent, requests)
	}
	pool := c.Catalog().Pool("pool")
	for pool.Replicas()[0].State().Enter(clock.Now()) {
		pool.Replicas()[0].State().Exit(clock.Now(), true)
	}
	if w := pool.Withheld(clock.Now()); !w.Limited || w.Until.Sub(clock.Now()) > time.Second {
		t.Errorf("pool without a token is withheld as %+v, want limited for less than a second", w)
	}
}
