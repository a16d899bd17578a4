package partitiondetector

import (
	"context"
	"errors"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

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

// TestDetectorPartitioned checks the state after enough rounds, one failure pattern
// for each case, and that it clears once all data centres answer again.
func TestDetectorPartitioned(t *testing.T) {
	tests := []struct {
		name        string
		datacentres []string
		// unreachable holds substrings of the addresses that refuse connections.
		unreachable []string
		want        bool
	}{
		{name: "all answer", datacentres: []string{"a", "b", "c"}},
		{name: "one remote data centre unreachable", datacentres: []string{"a", "b", "c"}, unreachable: []string{"-b"}},
		{name: "this data centre partitioned", datacentres: []string{"a", "b", "c"}, unreachable: []string{"-b", "-c"}, want: true},
		{name: "all remote daemons killed, targets reachable", datacentres: []string{"a", "b", "c"}, unreachable: []string{"daemon-b", "daemon-c"}},
		{name: "targets unreachable, daemons reachable", datacentres: []string{"a", "b", "c"}, unreachable: []string{"target"}},
		{name: "two data centres: partitioned side unknown", datacentres: []string{"a", "b"}, unreachable: []string{"-b"}},
		{name: "four data centres, two unreachable", datacentres: []string{"a", "b", "c", "d"}, unreachable: []string{"-c", "-d"}},
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
				t.Error("Partitioned() = true after one round, want false")
			}
			for range missedRoundLimit {
				detector.probeRound(context.Background())
			}
			if detector.Partitioned() != test.want {
				t.Errorf("Partitioned() = %v, want %v", detector.Partitioned(), test.want)
			}
			unreachable = nil
			detector.probeRound(context.Background())
			if detector.Partitioned() {
				t.Error("Partitioned() = true after all data centres answered again, want false")
			}
		})
	}
}

// TestDetectorRoundTime guards against requests that are held at a data centre
// that is cut off for as long as one probe after the other takes.
func TestDetectorRoundTime(t *testing.T) {
	detector := New(Options{
		DataCentre: "a",
		Catalogs:   catalogOf("a", "b", "c"),
		Peers:      func() map[string][]string { return map[string][]string{"b": {"daemon-b"}, "c": {"daemon-c"}} },
		Clock:      clockwork.NewRealClock(),
		Dial: func(ctx context.Context, _, _ string) (net.Conn, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		},
	})
	begin := time.Now()
	detector.probeRound(context.Background())
	if took := time.Since(begin); took >= 2*probeTimeout {
		t.Errorf("a round without an answer took %v, want less than two probes of %v", took, probeTimeout)
	}
}

// TestDetectorAsksNoTarget guards against connections to targets while daemons answer: with
// hundreds of daemons, they would take the targets' capacity.
func TestDetectorAsksNoTarget(t *testing.T) {
	var targets atomic.Int64
	detector := New(Options{
		DataCentre: "a",
		Catalogs:   catalogOf("a", "b", "c"),
		Peers:      func() map[string][]string { return map[string][]string{"b": {"daemon-b"}, "c": {"daemon-c"}} },
		Clock:      clockwork.NewRealClock(),
		Dial: func(_ context.Context, _, address string) (net.Conn, error) {
			if strings.HasPrefix(address, "target") {
				targets.Add(1)
			}
			c, _ := net.Pipe()
			return c, nil
		},
	})
	for range 5 {
		detector.probeRound(context.Background())
	}
	if n := targets.Load(); n > 0 {
		t.Errorf("%d targets were asked while daemons answer", n)
	}
}
