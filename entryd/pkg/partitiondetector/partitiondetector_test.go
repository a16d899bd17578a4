package partitiondetector

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"plantaincleat/entryd/pkg/cataloger"
	"plantaincleat/entryd/pkg/httpsender"
	"plantaincleat/tier/gen/config"
)

// catalogOf returns a catalog with a target in each of some data centres.
func catalogOf(dial httpsender.Dial, datacentres ...string) *cataloger.Cataloger {
	c := cataloger.New(cataloger.Options{
		Clock:   clockwork.NewRealClock(),
		Dial:    dial,
		Headers: &httpsender.Headers{},
	})
	cfg := &config.Config{
		Pools: []*config.Pool{{Name: "p", Probe: "/health"}},
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

// TestEvacuationIsNoPartition guards against a partition that is seen because targets of
// evacuated data centres, which get no probes, are silent.
func TestEvacuationIsNoPartition(t *testing.T) {
	tests := []struct {
		name      string
		evacuated []string
		// daemons are the data centres with daemons, and dead those whose daemons are silent.
		daemons, dead string
		want          bool
	}{
		{name: "no daemons in evacuated data centres", evacuated: []string{"b", "c"}},
		{name: "daemons answer", evacuated: []string{"b", "c"}, daemons: "bc"},
		{name: "another one is cut off", evacuated: []string{"b"}, daemons: "bc", dead: "c"},
		{name: "daemons of all are cut off", evacuated: []string{"b", "c"}, daemons: "bc", dead: "bc", want: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			dial := func(_ context.Context, _, address string) (net.Conn, error) {
				datacentre := address[len(address)-1:]
				if strings.HasPrefix(address, "target") && slices.Contains(test.evacuated, datacentre) {
					t.Errorf("probe of %s", address)
				}
				if strings.Contains(test.dead, datacentre) {
					return nil, errors.New("no answer")
				}
				return answering(address), nil
			}
			catalogs := catalogOf(dial, "a", "b", "c")
			cfg := &config.Config{
				Pools:  []*config.Pool{{Name: "p", Probe: "/health"}},
				Policy: &config.Policy{},
			}
			for _, r := range catalogs.Catalog().Pool("p").Replicas() {
				cfg.Targets = append(cfg.Targets, &config.Target{
					Id:         r.ID(),
					Address:    r.Address(),
					Datacentre: r.DataCentre(),
					Pool:       "p",
				})
			}
			for _, dc := range test.evacuated {
				cfg.Policy.Evacuations = append(cfg.Policy.Evacuations, &config.Evacuation{Datacentre: dc})
			}
			catalogs.Adopt(&config.Accepted{
				Head:   &config.Head{Revision: 2},
				Config: cfg,
			})
			detector := New(Options{
				DataCentre: "a",
				Catalogs:   catalogs,
				Peers: func() map[string][]string {
					out := map[string][]string{}
					for _, dc := range test.daemons {
						out[string(dc)] = []string{"daemon-" + string(dc)}
					}
					return out
				},
				Clock: clockwork.NewRealClock(),
				Dial:  dial,
			})
			for range missedRoundLimit {
				detector.probeRound(t.Context())
			}
			if got := detector.Partitioned(); got != test.want {
				t.Errorf("Partitioned = %v, want %v", got, test.want)
			}
		})
	}
}

// answering returns a connection to a server that answers a request, and that begins to speak
// if it is a daemon.
func answering(address string) net.Conn {
	client, server := net.Pipe()
	go func() {
		defer func() { _ = server.Close() }()
		// The probe ends as soon as it has read something.
		if strings.HasPrefix(address, "daemon") {
			_, _ = io.WriteString(server, "settings")
			return
		}
		if _, err := http.ReadRequest(bufio.NewReader(server)); err == nil {
			_, _ = io.WriteString(server, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		}
	}()
	return client
}

// mute returns a connection to an intermediary without a server behind it.
func mute() net.Conn {
	client, _ := net.Pipe()
	return client
}

// TestDetectorPartitioned checks the state after enough rounds, one failure pattern
// for each case, and that it clears once all data centres answer again.
func TestDetectorPartitioned(t *testing.T) {
	tests := []struct {
		name        string
		datacentres []string
		// unreachable holds substrings of the addresses that refuse connections.
		unreachable []string
		// accepted is true if intermediaries accept connections to those addresses.
		accepted bool
		want     bool
	}{
		{name: "all answer", datacentres: []string{"a", "b", "c"}},
		{name: "one remote data centre unreachable", datacentres: []string{"a", "b", "c"}, unreachable: []string{"-b"}},
		{name: "this data centre partitioned", datacentres: []string{"a", "b", "c"}, unreachable: []string{"-b", "-c"}, want: true},
		{name: "this data centre partitioned behind intermediaries", datacentres: []string{"a", "b", "c"}, unreachable: []string{"-b", "-c"}, accepted: true, want: true},
		{name: "all remote daemons killed, targets reachable", datacentres: []string{"a", "b", "c"}, unreachable: []string{"daemon-b", "daemon-c"}},
		{name: "targets unreachable, daemons reachable", datacentres: []string{"a", "b", "c"}, unreachable: []string{"target"}},
		{name: "two data centres: partitioned side unknown", datacentres: []string{"a", "b"}, unreachable: []string{"-b"}},
		{name: "four data centres, two unreachable", datacentres: []string{"a", "b", "c", "d"}, unreachable: []string{"-c", "-d"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			unreachable := test.unreachable
			dial := func(_ context.Context, _, address string) (net.Conn, error) {
				for _, d := range unreachable {
					switch {
					case !strings.Contains(address, d):
					case test.accepted:
						return mute(), nil
					default:
						return nil, errors.New("no answer")
					}
				}
				return answering(address), nil
			}
			detector := New(Options{
				DataCentre: "a",
				Catalogs:   catalogOf(dial, test.datacentres...),
				Peers: func() map[string][]string {
					out := map[string][]string{}
					for _, dc := range test.datacentres {
						out[dc] = []string{"daemon-" + dc}
					}
					return out
				},
				Clock: clockwork.NewRealClock(),
				Dial:  dial,
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
	dial := func(ctx context.Context, _, _ string) (net.Conn, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	detector := New(Options{
		DataCentre: "a",
		Catalogs:   catalogOf(dial, "a", "b", "c"),
		Peers:      func() map[string][]string { return map[string][]string{"b": {"daemon-b"}, "c": {"daemon-c"}} },
		Clock:      clockwork.NewRealClock(),
		Dial:       dial,
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
	dial := func(_ context.Context, _, address string) (net.Conn, error) {
		if strings.HasPrefix(address, "target") {
			targets.Add(1)
		}
		return answering(address), nil
	}
	detector := New(Options{
		DataCentre: "a",
		Catalogs:   catalogOf(dial, "a", "b", "c"),
		Peers:      func() map[string][]string { return map[string][]string{"b": {"daemon-b"}, "c": {"daemon-c"}} },
		Clock:      clockwork.NewRealClock(),
		Dial:       dial,
	})
	for range 5 {
		detector.probeRound(context.Background())
	}
	if n := targets.Load(); n > 0 {
		t.Errorf("%d targets were asked while daemons answer", n)
	}
}
