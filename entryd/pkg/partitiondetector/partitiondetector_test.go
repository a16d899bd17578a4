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

// TestDetectorPartitioned names the pattern that each case answers.
func TestDetectorPartitioned(t *testing.T) {
	tests := []struct {
		name        string
		datacentres []string
		// unreachable holds what does not answer: an address, or a part of one.
		unreachable []string
		want        bool
	}{
		{name: "all answer", datacentres: []string{"a", "b", "c"}},
		{name: "another data centre is lost", datacentres: []string{"a", "b", "c"}, unreachable: []string{"-b"}},
		{name: "this data centre is cut off", datacentres: []string{"a", "b", "c"}, unreachable: []string{"-b", "-c"}, want: true},
		{name: "all daemons elsewhere are killed", datacentres: []string{"a", "b", "c"}, unreachable: []string{"daemon-b", "daemon-c"}},
		{name: "this host is cut off from targets only", datacentres: []string{"a", "b", "c"}, unreachable: []string{"target"}},
		{name: "two data centres: neither knows which one is cut off", datacentres: []string{"a", "b"}, unreachable: []string{"-b"}},
		{name: "four data centres, split in halves", datacentres: []string{"a", "b", "c", "d"}, unreachable: []string{"-c", "-d"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			unreachable := test.unreachable
			detector := New(Options{
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
					for _, d := range unreachable {
						if strings.Contains(address, d) {
							return nil, errors.New("no answer")
						}
					}
					c, _ := net.Pipe()
					return c, nil
				},
			})
			detector.probeRound(context.Background())
			if detector.Partitioned() {
				t.Error("cut off after one round")
			}
			for range missedRoundLimit {
				detector.probeRound(context.Background())
			}
			if detector.Partitioned() != test.want {
				t.Errorf("cut off %v, want %v", detector.Partitioned(), test.want)
			}
			unreachable = nil
			detector.probeRound(context.Background())
			if detector.Partitioned() {
				t.Error("still cut off")
			}
		})
	}
}
