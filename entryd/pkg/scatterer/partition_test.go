package scatterer

import (
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"google.golang.org/protobuf/types/known/durationpb"

	"plantaincleat/entryd/pkg/cataloger"
	"plantaincleat/entryd/pkg/crashtracker"
	"plantaincleat/entryd/pkg/httpsender"
	"plantaincleat/tier/gen/config"
)

// fixedDetector is a PartitionDetector with a fixed result.
type fixedDetector bool

// Partitioned implements PartitionDetector.
func (d fixedDetector) Partitioned() bool { return bool(d) }

// newCatalogs returns a catalog of ten shards. All of them have a replica in the data
// centre far, and the first nearShards ones also have one in the data centre near.
func newCatalogs(nearShards int) *cataloger.Cataloger {
	c := cataloger.New(cataloger.Options{
		Clock:   clockwork.NewFakeClock(),
		Headers: &httpsender.Headers{},
	})
	route := &config.Route{
		Name:       "all",
		Host:       "h",
		Prefix:     "/",
		Idempotent: true,
		Goal:       durationpb.New(100 * time.Millisecond),
		Attempts:   2,
		Floor:      0.9,
	}
	cfg := &config.Config{
		Routes: []*config.Route{route},
	}
	for i := range 10 {
		name := fmt.Sprintf("shard-%d", i)
		route.Shards = append(route.Shards, name)
		cfg.Pools = append(cfg.Pools, &config.Pool{
			Name:        name,
			Connections: 10,
		})
		for _, datacentre := range []string{"far", "near"} {
			if datacentre == "near" && i >= nearShards {
				continue
			}
			cfg.Targets = append(cfg.Targets, &config.Target{
				Id:         name + datacentre,
				Address:    "127.0.0.1:1",
				Datacentre: datacentre,
				Slots:      2,
				Pool:       name,
			})
		}
	}
	c.Adopt(&config.Accepted{
		Head: &config.Head{
			Revision: 1,
		},
		Config: cfg,
	})
	return c
}

// TestPartitionedDaemonRefusesUnreachableRoute covers a data centre that is partitioned
// and holds all shards, as many as the floor requires, or too few.
func TestPartitionedDaemonRefusesUnreachableRoute(t *testing.T) {
	tests := []struct {
		name        string
		partitioned bool
		nearShards  int
		unreachable bool
	}{
		{name: "not partitioned", nearShards: 3},
		{name: "holds all shards", partitioned: true, nearShards: 10},
		{name: "holds as many as the floor requires", partitioned: true, nearShards: 9},
		{name: "holds fewer than the floor requires", partitioned: true, nearShards: 8, unreachable: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			catalogs := newCatalogs(test.nearShards)
			clock := clockwork.NewFakeClock()
			s := New(Options{
				Clock:             clock,
				DataCentre:        "near",
				Catalogs:          catalogs,
				PartitionDetector: fixedDetector(test.partitioned),
			})
			if got := s.HasUnreachableRoute(); got != test.unreachable {
				t.Errorf("HasUnreachableRoute is %v, want %v", got, test.unreachable)
			}
			r := &Request{
				Received: clock.Now(),
				Deadline: clock.Now().Add(time.Second),
			}
			route := catalogs.Catalog().Route("all")
			if refused := s.refuseUnreachable(r, route) != nil; refused != test.unreachable {
				t.Errorf("request refused %v, want %v", refused, test.unreachable)
			}
			near := 0
			sel := &selector{job: newRoot(s, r, route, crashtracker.Plan{})}
			for unit := range route.Pools() {
				if dest, ok := sel.Choose(unit, nil, clock.Now()); ok && dest.replica.DataCentre() == "near" {
					near++
				}
			}
			if test.partitioned && near != test.nearShards {
				t.Errorf("%d shards were assigned to the own data centre, want %d", near, test.nearShards)
			}
		})
	}
}
