package indexer

import (
	"fmt"
	"testing"

	"plantaincleat/tier/gen/config"
)

// BenchmarkNew indexes a configuration of 1,900 targets and a number of
// collections, each with four snapshots of 710 shards.
func BenchmarkNew(b *testing.B) {
	for _, collections := range []int{1, 2, 4, 8, 16} {
		b.Run(fmt.Sprintf("collections=%d", collections), func(b *testing.B) {
			accepted := &config.Accepted{
				Config: newConfig(collections),
			}
			b.ReportAllocs()
			for b.Loop() {
				New(accepted)
			}
		})
	}
}

func newConfig(collections int) *config.Config {
	const (
		targets   = 1900
		snapshots = 4
		shards    = 710
		replicas  = 3
	)
	cfg := &config.Config{}
	for i := range targets {
		cfg.Targets = append(cfg.Targets, &config.Target{
			Id: fmt.Sprintf("target-%06d", i),
		})
	}
	for c := range collections {
		v := &config.Version{
			Name: "v1",
		}
		for s := range snapshots {
			out := &config.Snapshot{
				Id: fmt.Sprint(s),
			}
			for i := range shards {
				shard := &config.Shard{
					Id:   fmt.Sprintf("shard-%04d", i),
					From: fmt.Sprintf("%04d", i),
				}
				for r := range replicas {
					shard.Replicas = append(shard.Replicas, cfg.GetTargets()[(i*replicas+r)%targets].GetId())
				}
				out.Shards = append(out.Shards, shard)
			}
			v.Snapshots = append(v.Snapshots, out)
		}
		cfg.Collections = append(cfg.Collections, &config.Collection{
			Name:     fmt.Sprint(c),
			Versions: []*config.Version{v},
		})
	}
	return cfg
}
