package scatterer

import (
	"strings"
	"testing"

	"github.com/jonboulle/clockwork"
	"google.golang.org/protobuf/proto"

	"plantaincleat/entryd/pkg/cataloger"
	"plantaincleat/tier/gen/config"
	"plantaincleat/tier/gen/peer"
)

// evacuate adopts a configuration in which data centres are evacuated, and in which only the
// first nearShards shards have targets near that do not drain.
func evacuate(catalogs *cataloger.Cataloger, nearShards int, datacentres ...string) {
	cfg := &config.Config{
		Policy: &config.Policy{},
	}
	route := catalogs.Catalog().Route("all")
	cfg.Routes = append(cfg.Routes, proto.CloneOf(route.Route))
	for i, p := range route.Pools() {
		cfg.Pools = append(cfg.Pools, &config.Pool{Name: p.Name(), Connections: 10})
		for _, r := range p.Replicas() {
			cfg.Targets = append(cfg.Targets, &config.Target{
				Id:         r.ID(),
				Address:    r.Address(),
				Datacentre: r.DataCentre(),
				Slots:      2,
				Pool:       p.Name(),
				Leaving:    r.DataCentre() == "near" && i >= nearShards,
			})
		}
	}
	for _, dc := range datacentres {
		cfg.Policy.Evacuations = append(cfg.Policy.Evacuations, &config.Evacuation{Datacentre: dc, Revision: 2})
	}
	catalogs.Adopt(&config.Accepted{
		Head:   &config.Head{Revision: catalogs.Catalog().Revision() + 1},
		Config: cfg,
	})
}

// TestEvacuationUnderLoad covers who gets the requests in an evacuation and which of them are
// refused at once, also while this daemon is partitioned from the other data centres.
func TestEvacuationUnderLoad(t *testing.T) {
	tests := []struct {
		name        string
		nearShards  int
		evacuated   []string
		partitioned bool
		// reason is that of a refusal, or unspecified if requests are sent.
		reason peer.Reason
		// units is the number of shards that a request is sent to, and to is the data centre.
		units int
		to    string
	}{
		{name: "own data centre", nearShards: 10, evacuated: []string{"near"}, units: 10, to: "far"},
		{name: "other data centre", nearShards: 10, evacuated: []string{"far"}, units: 10, to: "near"},
		{name: "last one that covers a shard", nearShards: 9, evacuated: []string{"far"}, units: 9, to: "near"},
		{name: "last one that covers two shards", nearShards: 8, evacuated: []string{"far"}, reason: peer.Reason_REASON_EVACUATED},
		{name: "all", nearShards: 10, evacuated: []string{"near", "far"}, reason: peer.Reason_REASON_EVACUATED},
		{name: "other one while partitioned from it", nearShards: 10, evacuated: []string{"far"}, partitioned: true, units: 10, to: "near"},
		{name: "own one while partitioned", nearShards: 10, evacuated: []string{"near"}, partitioned: true, reason: peer.Reason_REASON_UNREACHABLE},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			j := newTestRoot(clock, nil)
			s := j.Scatterer
			evacuate(s.Catalogs.(*cataloger.Cataloger), test.nearShards, test.evacuated...)
			s.PartitionDetector = fixedDetector(test.partitioned)
			route := s.Catalogs.Catalog().Route("all")
			res := s.refuseWithheld(route)
			if res == nil {
				res = s.refuseUnreachable(j.request, route)
			}
			if test.reason != peer.Reason_REASON_UNSPECIFIED {
				if res == nil || res.Reason != test.reason || res.RetryAfter <= 0 {
					t.Fatalf("result %+v, want a refusal with %v", res, test.reason)
				}
				return
			}
			if res != nil {
				t.Fatalf("refused: %+v", res)
			}
			j = newRoot(s, j.request, route, s.crashes.Plan(clock.Now(), j.request.Subject()))
			actions := j.query.Start(clock.Now())
			if len(actions) != test.units {
				t.Errorf("sent to %d shards, want %d", len(actions), test.units)
			}
			for _, a := range actions {
				if !strings.HasSuffix(a.Path.replica.ID(), test.to) {
					t.Errorf("sent to %s, want only targets in %s", a.Path.replica.ID(), test.to)
				}
			}
		})
	}
}

// TestEvacuationBeginsDuringRequest guards against hedges and retries to a data centre that
// was evacuated after the request was received.
func TestEvacuationBeginsDuringRequest(t *testing.T) {
	clock := clockwork.NewFakeClock()
	j := newTestRoot(clock, nil)
	actions := j.query.Start(clock.Now())
	evacuate(j.Catalogs.(*cataloger.Cataloger), 10, "far")
	for _, a := range actions {
		unit := a.Units[0]
		if dest, ok := (&selector{job: j}).Choose(unit, []destination{a.Path}, clock.Now()); ok {
			t.Errorf("shard %d is sent again to %s", unit, dest.replica.ID())
		}
		if lack := j.lack(unit); lack.GetReason() == peer.Reason_REASON_EVACUATED {
			t.Errorf("shard %d is told as evacuated while its request is in flight elsewhere", unit)
		}
	}
}
