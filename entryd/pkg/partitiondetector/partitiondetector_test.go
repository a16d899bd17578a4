package partitiondetector

import (
	"context"
	"errors"
	"net"
	"strings"
	"testing"

	"github.com/jonboulle/clockwork"

	"plantaincleat/entryd/pkg/cataloger"
	"plantaincleat/tier/gen/config"
)

// catalogOf returns a catalog with a target in each of some data centres.
func catalogOf(datacentres ...string) *cataloger.Cataloger {
	c := cataloger.New(cataloger.Options{Clock: clockwork.NewRealClock()})
	cfg := &config.Config{
		Pools: []*config.Pool{{Name: "p"}},
	}
	for _, dc := range datacentres {
		cfg.Targets = append(cfg.Targets, &config.Target{
			Id:         dc,
			Address:    "target-" + dc,
			Datacentre: dc,
			Pool:       "p",
		})
	}
	c.Adopt(&config.Accepted{
		Head:   &config.Head{Revision: 1},
		Config: cfg,
	})
	return c
}

// TestPatternsOfReach names the pattern that each case answers.
func TestPatternsOfReach(t *testing.T) {
	tests := []struct {
		name        string
		datacentres []string
		// dead holds what does not answer: an address, or a part of one.
		dead []string
		want bool
	}{
		{name: "all answer", datacentres: []string{"a", "b", "c"}},
		{name: "another data centre is lost", datacentres: []string{"a", "b", "c"}, dead: []string{"-b"}},
		{name: "this data centre is cut off", datacentres: []string{"a", "b", "c"}, dead: []string{"-b", "-c"}, want: true},
		{name: "all daemons elsewhere are killed", datacentres: []string{"a", "b", "c"}, dead: []string{"daemon-b", "daemon-c"}},
		{name: "this host is cut off from targets only", datacentres: []string{"a", "b", "c"}, dead: []string{"target"}},
		{name: "two data centres: neither knows which one is cut off", datacentres: []string{"a", "b"}, dead: []string{"-b"}},
		{name: "four data centres, split in halves", datacentres: []string{"a", "b", "c", "d"}, dead: []string{"-c", "-d"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			dead := test.dead
			s := New(Options{
				DataCentre: "a",
				Catalogs:   catalogOf(test.datacentres...),
				Peers: func() map[string][]string {
					out := map[string][]string{}
					for _, dc := range test.datacentres {
						out[dc] = []string{"daemon-" + dc}
					}
					return out
				},
				Clock: clockwork.NewRealClock(),
				Dial: func(_ context.Context, _, address string) (net.Conn, error) {
					for _, d := range dead {
						if strings.Contains(address, d) {
							return nil, errors.New("no answer")
						}
					}
					c, _ := net.Pipe()
					return c, nil
				},
			})
			s.round(context.Background())
			if s.Partitioned() {
				t.Error("cut off after one round")
			}
			for range missLimit {
				s.round(context.Background())
			}
			if s.Partitioned() != test.want {
				t.Errorf("cut off %v, want %v", s.Partitioned(), test.want)
			}
			dead = nil
			s.round(context.Background())
			if s.Partitioned() {
				t.Error("still cut off")
			}
		})
	}
}
