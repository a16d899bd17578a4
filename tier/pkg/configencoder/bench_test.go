package configencoder

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"

	"plantaincleat/tier/gen/config"
)

// Sizes of the configuration that the benchmarks use.
const (
	benchTargets  = 1900
	benchShards   = 710
	benchReplicas = 3
	// benchSnapshots is the number of snapshots of each collection: two in each
	// of two versions.
	benchSnapshots = 4
)

// newLargeConfig returns a configuration of benchTargets targets and a number of
// collections.
func newLargeConfig(collections int) *config.Config {
	cfg := &config.Config{}
	for i := range benchTargets {
		cfg.Targets = append(cfg.Targets, &config.Target{
			Id:          fmt.Sprintf("target-%06d", i),
			Address:     fmt.Sprintf("10.%d.%d.%d:7000", i%7, i/250, i%250),
			Datacentre:  fmt.Sprintf("dc%d", i%7),
			Slots:       2,
			Connections: 25,
		})
	}
	for c := range collections {
		collection := &config.Collection{Name: fmt.Sprintf("collection-%02d", c)}
		for s := range benchSnapshots {
			if s%2 == 0 {
				collection.Versions = append(collection.Versions, &config.Version{Name: fmt.Sprintf("v%d", s/2)})
			}
			version := collection.Versions[s/2]
			version.Snapshots = append(version.Snapshots, newSnapshot(c, s))
		}
		cfg.Collections = append(cfg.Collections, collection)
	}
	return cfg
}

func newSnapshot(c, s int) *config.Snapshot {
	out := &config.Snapshot{Id: fmt.Sprintf("2030-01-02T03:04:%02dZ", s)}
	for i := range benchShards {
		shard := &config.Shard{
			Id:   fmt.Sprintf("%d-%03d", c, i),
			From: fmt.Sprintf("%08x", i*6049000),
			To:   fmt.Sprintf("%08x", (i+1)*6049000),
		}
		for r := range benchReplicas {
			shard.Replicas = append(shard.Replicas, fmt.Sprintf("target-%06d", (i*benchReplicas+r+c)%benchTargets))
		}
		out.Shards = append(out.Shards, shard)
	}
	return out
}

// gzipSize returns the size in bytes of the concatenated values after
// compression.
func gzipSize(b *testing.B, values ...[]byte) float64 {
	packed := bytes.Buffer{}
	w := gzip.NewWriter(&packed)
	for _, v := range values {
		if _, err := w.Write(v); err != nil {
			b.Fatal(err)
		}
	}
	if err := w.Close(); err != nil {
		b.Fatal(err)
	}
	return float64(packed.Len())
}

// BenchmarkExchange measures the export and import of a configuration in which
// one collection has changed, and reports the compressed size of the values sent.
func BenchmarkExchange(b *testing.B) {
	for _, collections := range []int{1, 4, 16} {
		b.Run(fmt.Sprintf("collections=%d", collections), func(b *testing.B) {
			cfg := newLargeConfig(collections)
			has, err := NewPartSet(cfg)
			if err != nil {
				b.Fatal(err)
			}
			cfg.Collections[0].Versions[0].Snapshots[1].Id = "new"
			wanted, err := NewPartSet(cfg)
			if err != nil {
				b.Fatal(err)
			}
			_, values := wanted.Export(has.DigestPrefixes())
			b.ResetTimer()
			for range b.N {
				parts, values := wanted.Export(has.DigestPrefixes())
				if _, err := has.Import(parts, values); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(gzipSize(b, values...), "gzipped")
		})
	}
}

// BenchmarkVerify measures the verification of a configuration's digest, and
// reports the encoded size of the configuration.
func BenchmarkVerify(b *testing.B) {
	for _, collections := range []int{1, 4, 16} {
		b.Run(fmt.Sprintf("collections=%d", collections), func(b *testing.B) {
			cfg := newLargeConfig(collections)
			encoded, err := proto.Marshal(cfg)
			if err != nil {
				b.Fatal(err)
			}
			digest, err := Digest(cfg)
			if err != nil {
				b.Fatal(err)
			}
			accepted := &config.Accepted{
				Head:   &config.Head{Digest: digest},
				Config: cfg,
			}
			b.ResetTimer()
			for range b.N {
				if !VerifyDigest(accepted) {
					b.Fatal("VerifyDigest = false for an unchanged configuration")
				}
			}
			b.ReportMetric(float64(len(encoded)), "bytes")
			b.ReportMetric(gzipSize(b, encoded), "gzipped")
		})
	}
}
