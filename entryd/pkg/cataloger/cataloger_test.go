package cataloger

import (
	"context"
	"errors"
	"fmt"
	"math"
	"net"
	"slices"
	"testing"

	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"

	"plantaincleat/entryd/pkg/assigner"
	"plantaincleat/entryd/pkg/withholder"
	"plantaincleat/tier/gen/config"
)

func newCataloger(clock clockwork.Clock) *Cataloger {
	return New(Options{
		Clock: clock,
		Dial: func(context.Context, string, string) (net.Conn, error) {
			return nil, errors.New("no network")
		},
		ExtraLimit: ExtraLimit{
			Ratio: 0.2,
			Slack: 60,
		},
	})
}

func target(id, pool string, leaving bool) *config.Target {
	return &config.Target{
		Id:         id,
		Address:    "10.0.0.1:" + id,
		Datacentre: "dc-1",
		Slots:      2,
		Leaving:    leaving,
		Pool:       pool,
	}
}

func accepted(revision uint64, targets ...*config.Target) *config.Accepted {
	return &config.Accepted{
		Head: &config.Head{Revision: revision},
		Config: &config.Config{
			Targets: targets,
			Pools: []*config.Pool{
				{
					Name:        "p",
					Connections: 20,
				},
			},
			Routes: []*config.Route{
				{
					Name:   "r",
					Host:   "h",
					Prefix: "/a/",
					Shards: []string{"p"},
				},
				{
					Name:   "longer",
					Host:   "h",
					Prefix: "/a/b/",
					Shards: []string{"p"},
				},
			},
		},
	}
}

func TestMatchLongestPrefix(t *testing.T) {
	c := newCataloger(clockwork.NewFakeClock())
	c.Adopt(accepted(1))
	tests := []struct {
		host, path, want string
	}{
		{host: "h", path: "/a/x", want: "r"},
		{host: "h", path: "/a/b/x", want: "longer"},
		{host: "h", path: "/a/bx", want: "r"},
		{host: "h", path: "/a", want: ""},
		{host: "other", path: "/a/x", want: ""},
	}
	for _, test := range tests {
		if got := nameOrEmpty(c.Catalog().Match(test.host, test.path)); got != test.want {
			t.Errorf("%s%s: route %q, want %q", test.host, test.path, got, test.want)
		}
	}
}

// nameOrEmpty returns the name of a route, or an empty string if it is nil.
func nameOrEmpty(r *Route) string {
	if r == nil {
		return ""
	}
	return r.GetName()
}

func TestAdoptIgnoresLowerRevision(t *testing.T) {
	c := newCataloger(clockwork.NewFakeClock())
	c.Adopt(accepted(5, target("1", "p", false)))
	c.Adopt(accepted(4))
	if c.Catalog().Revision() != 5 || len(c.Catalog().Pool("p").Replicas()) != 1 {
		t.Errorf("catalog has revision %d, want 5 with one replica", c.Catalog().Revision())
	}
}

// TestVanishedTargetIsLastResort checks that a target that vanishes from the
// configuration is a last resort for a short time, unless it was draining or was
// restarted as another process.
func TestVanishedTargetIsLastResort(t *testing.T) {
	restarted := target("1", "p", false)
	restarted.Started = 7
	tests := []struct {
		name          string
		before, after []*config.Target
		want          int
	}{
		{name: "entry expired", before: []*config.Target{target("1", "p", false)}, want: 1},
		{name: "drained", before: []*config.Target{target("1", "p", true)}},
		{name: "restarted", before: []*config.Target{target("1", "p", false)}, after: []*config.Target{restarted}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			c := newCataloger(clock)
			c.Adopt(accepted(1, test.before...))
			c.Adopt(accepted(2, test.after...))
			usable := func() int {
				n := 0
				for _, r := range c.Catalog().Pool("p").Replicas() {
					if r.Vanished() && !r.Unavailable(clock.Now()) {
						n++
					}
				}
				return n
			}
			if usable() != test.want {
				t.Errorf("%d usable vanished targets, want %d", usable(), test.want)
			}
			clock.Advance(lastResortTime)
			if usable() != 0 {
				t.Error("vanished target is still usable after lastResortTime")
			}
		})
	}
}

func TestTargetStateKeptAcrossRevisions(t *testing.T) {
	c := newCataloger(clockwork.NewFakeClock())
	c.Adopt(accepted(1, target("1", "p", false)))
	first := c.Catalog().Pool("p").Replicas()[0].Target
	c.Adopt(accepted(2, target("1", "p", false), target("2", "p", false)))
	if c.Catalog().Pool("p").Replicas()[0].Target != first {
		t.Error("target state was not kept across revisions")
	}
}

// TestAnnouncementKeptAcrossAddresses guards against an announcement that is lost because the
// entry of the same process states another address.
func TestAnnouncementKeptAcrossAddresses(t *testing.T) {
	clock := clockwork.NewFakeClock()
	c := newCataloger(clock)
	c.Adopt(accepted(1, target("1", "p", false)))
	moved := target("1", "p", false)
	moved.Address = "10.0.0.2:1"
	c.Adopt(accepted(2, moved))
	r := c.Catalog().Pool("p").Replicas()[0]
	c.Withholder().Record(clock.Now(), r.Process(), withholder.Announcement{Leaving: true}, nil, "request")
	if r.Address() != moved.GetAddress() || !r.Unavailable(clock.Now()) {
		t.Errorf("target at %s is unavailable: %v, want true", r.Address(), r.Unavailable(clock.Now()))
	}
}

func TestPoolPickerFollowsWeights(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var picker poolPicker
		var shares []*config.Share
		total := 0.0
		for i := range rapid.IntRange(1, 5).Draw(t, "shares") {
			w := rapid.Float64Range(0.01, 10).Draw(t, "weight")
			total += w
			shares = append(shares, &config.Share{
				Pool:   fmt.Sprint(i),
				Weight: w,
			})
		}
		counts := make([]float64, len(shares))
		n := 400
		for range n {
			counts[picker.next(shares)]++
		}
		for i, s := range shares {
			want := float64(n) * s.GetWeight() / total
			if math.Abs(counts[i]-want) > float64(len(shares)) {
				t.Errorf("pool %d got %v of %d requests, want %v", i, counts[i], n, want)
			}
		}
	})
}

// TestFleetBudgetBound checks that the extra requests of all daemons to a pool stay
// within the limit since the start of the run, for any distribution of the requests
// and for daemons that join the fleet after their start.
func TestFleetBudgetBound(t *testing.T) {
	extra := ExtraLimit{
		Ratio: 0.2,
		Slack: 60,
	}
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 12).Draw(t, "daemons")
		budgets := make([]*Budget, n)
		owned := rapid.Bool().Draw(t, "owned")
		for i := range budgets {
			rank := i
			if i >= len(ownerSlackFractions) {
				rank = -1
			}
			// A daemon that has just started does not know the other daemons.
			budgets[i] = newBudget(extra, fleetPosition{daemons: 1})
			budgets[i].setPosition(extra, fleetPosition{
				daemons:   n,
				hasOwners: owned && n > 1,
				rank:      rank,
			})
		}
		sent, taken := 0, 0
		for range rapid.IntRange(0, 3000).Draw(t, "requests") {
			root := budgets[rapid.IntRange(0, n-1).Draw(t, "root")]
			owner := budgets[rapid.IntRange(0, n-1).Draw(t, "owner")]
			root.RecordReceived()
			owner.RecordSent()
			sent++
			if owner.TakeSent() {
				taken++
			}
			if root.TakeReceived() {
				taken++
			}
			if limit := extra.Ratio*float64(sent) + extra.Slack; float64(taken) > limit {
				t.Fatalf("%d extra requests for %d requests, limit %v", taken, sent, limit)
			}
		}
	})
}

// TestFleetBudgetBoundAfterFreeze guards against an owner that was frozen and spends what it had saved
// before, beside the owner that has saved as much in its place.
func TestFleetBudgetBoundAfterFreeze(t *testing.T) {
	const daemons = 6
	extra := ExtraLimit{
		Ratio: 0.2,
		Slack: 60,
	}
	clock := clockwork.NewFakeClock()
	var fleet []*Cataloger
	for range daemons {
		c := New(Options{
			Clock:      clock,
			ExtraLimit: extra,
		})
		c.Adopt(coldConfig(0, true))
		fleet = append(fleet, c)
	}
	// Each owner of the shard saves what it may, and is then frozen.
	var live []assigner.Daemon
	for i := range daemons {
		live = append(live, assigner.Daemon{
			ID:         fmt.Sprint("daemon-", i),
			DataCentre: fmt.Sprint("dc-", i%3),
		})
	}
	shards := []assigner.ShardInput{{Name: "pool"}}
	for i := range 30 {
		shards = append(shards, assigner.ShardInput{Name: fmt.Sprint("shard-", i)})
	}
	take := func(running []assigner.Daemon) {
		for i := range daemons {
			id := fmt.Sprint("daemon-", i)
			if !slices.ContainsFunc(running, func(d assigner.Daemon) bool { return d.ID == id }) {
				continue
			}
			fleet[i].SetFleet(id, running, assigner.NewOwners(id, running, shards))
			for range 1000 {
				fleet[i].Catalog().Pool("pool").Budget().RecordSent()
				fleet[i].Catalog().Pool("pool").Budget().RecordReceived()
			}
		}
	}
	take(live)
	first := assigner.NewOwners("", live, shards).Ranked("pool")[0].ID
	running := slices.DeleteFunc(slices.Clone(live), func(d assigner.Daemon) bool { return d.ID == first })
	take(running)
	for i, d := range live {
		if d.ID == first {
			fleet[i].Resume()
		}
	}
	taken := 0
	for _, c := range fleet {
		b := c.Catalog().Pool("pool").Budget()
		for b.TakeSent() {
			taken++
		}
		for b.TakeReceived() {
			taken++
		}
	}
	if float64(taken) > extra.Slack {
		t.Errorf("%d extra requests at once, limit %v", taken, extra.Slack)
	}
}

// TestFirstOwnerSlack guards against a first owner with too little slack in a large
// fleet. It sends nearly all requests of its shard, and many targets of all shards
// may refuse some of their requests at the same time.
func TestFirstOwnerSlack(t *testing.T) {
	extra := ExtraLimit{
		Ratio: 0.2,
		Slack: 200,
	}
	b := newBudget(extra, fleetPosition{daemons: 1})
	b.setPosition(extra, fleetPosition{
		daemons:   80,
		hasOwners: true,
	})
	for range 1000 {
		b.RecordSent()
	}
	taken := 0
	for b.TakeSent() {
		taken++
	}
	if want := int(0.3 * extra.Slack); taken < want {
		t.Errorf("first owner may send %d extra requests at once, want at least %d", taken, want)
	}
}

// TestFleetConnectionBound checks that the owners of a shard together open no more
// connections to a target than its pool allows. Daemons with a quota of one are not
// counted: each daemon may open one connection, even in a large fleet.
func TestFleetConnectionBound(t *testing.T) {
	shards := []assigner.ShardInput{{Name: "p"}, {Name: "q"}}
	for _, n := range []int{1, 2, 6, 9, 30, 84} {
		var daemons []assigner.Daemon
		for i := range n {
			daemons = append(daemons, assigner.Daemon{
				ID:         fmt.Sprint(i),
				DataCentre: fmt.Sprint(i % 3),
			})
		}
		for _, connections := range []uint32{26, 64} {
			total := 0
			for _, d := range daemons {
				c := newCataloger(clockwork.NewFakeClock())
				a := accepted(1, target("1", "p", false))
				a.Config.Pools[0].Connections = connections
				c.Adopt(a)
				c.SetFleet(d.ID, daemons, assigner.NewOwners(d.ID, daemons, shards))
				if c.maxConnections(c.Catalog().Pool("p")) > 1 {
					total += c.maxConnections(c.Catalog().Pool("p"))
				}
			}
			if total > int(connections) {
				t.Errorf("%d daemons may open %d connections, limit %d", n, total, connections)
			}
		}
	}
}
