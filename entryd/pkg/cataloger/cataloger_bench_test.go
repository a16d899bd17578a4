package cataloger

import (
	"fmt"
	"testing"

	"github.com/jonboulle/clockwork"

	"plantaincleat/entryd/pkg/assigner"
	"plantaincleat/entryd/pkg/httpsender"
	"plantaincleat/tier/gen/config"
)

const (
	benchShards   = 450
	benchReplicas = 3
	benchDaemons  = 295
)

// largeConfig returns a configuration with benchShards shards.
func largeConfig() *config.Config {
	route := &config.Route{Name: "all", Host: "h", Prefix: "/"}
	cfg := &config.Config{
		Routes: []*config.Route{route},
	}
	for i := range benchShards {
		name := fmt.Sprintf("shard-%03d", i)
		route.Shards = append(route.Shards, name)
		cfg.Pools = append(cfg.Pools, &config.Pool{Name: name, Connections: 175})
		for k := range benchReplicas {
			cfg.Targets = append(cfg.Targets, &config.Target{
				Id:         fmt.Sprintf("%s-%d", name, k),
				Address:    fmt.Sprintf("10.1.%d.%d:8000", i, k),
				Datacentre: fmt.Sprintf("dc-%d", (i+k)%5),
				Slots:      3,
				Pool:       name,
			})
		}
	}
	return cfg
}

func adoptLarge(c *Cataloger, cfg *config.Config, revision uint64) {
	c.Adopt(&config.Accepted{
		Head:   &config.Head{Revision: revision},
		Config: cfg,
	})
}

// BenchmarkAdopt shows what a change of the configuration or of a target costs each daemon.
func BenchmarkAdopt(b *testing.B) {
	c := New(Options{Clock: clockwork.NewRealClock(), Headers: &httpsender.Headers{}})
	cfg := largeConfig()
	revision := uint64(0)
	for b.Loop() {
		revision++
		adoptLarge(c, cfg, revision)
	}
}

// BenchmarkSetFleet shows what a change of the fleet costs each daemon, with the
// assignment of the shards.
func BenchmarkSetFleet(b *testing.B) {
	c := New(Options{Clock: clockwork.NewRealClock(), Headers: &httpsender.Headers{}})
	adoptLarge(c, largeConfig(), 1)
	var daemons []assigner.Daemon
	for i := range benchDaemons {
		capacity := uint32(192)
		if i%20 == 0 {
			capacity = 800
		}
		daemons = append(daemons, assigner.Daemon{ID: fmt.Sprintf("front-%d", i), DataCentre: fmt.Sprintf("dc-%d", i%5), Capacity: capacity})
	}
	for b.Loop() {
		c.SetFleet("front-7", daemons, assigner.NewOwners("front-7", daemons, c.Catalog().Shards()))
	}
}

// BenchmarkSweep shows what the sweep of each second costs.
func BenchmarkSweep(b *testing.B) {
	c := New(Options{Clock: clockwork.NewRealClock(), Headers: &httpsender.Headers{}})
	adoptLarge(c, largeConfig(), 1)
	for b.Loop() {
		c.Sweep()
	}
}
