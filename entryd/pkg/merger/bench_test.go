package merger

import (
	"fmt"
	"testing"

	"plantaincleat/tier/gen/target"
	"plantaincleat/tier/pkg/indexer"
)

// BenchmarkMerge merges limit records from each of 34 shards.
func BenchmarkMerge(b *testing.B) {
	const shards = 34
	for _, limit := range []int{1, 10, 30, 100} {
		b.Run(fmt.Sprintf("limit=%d", limit), func(b *testing.B) {
			snapshot, lists := newLists(shards, limit)
			b.ReportAllocs()
			for b.Loop() {
				m := New(snapshot, limit)
				for i, records := range lists {
					if err := m.Merge("s", []string{snapshot.Shard(i).ID()}, records); err != nil {
						b.Fatal(err)
					}
				}
			}
			per := float64(b.Elapsed().Nanoseconds()) / float64(b.N*shards)
			b.ReportMetric(per, "ns/partial")
			b.ReportMetric(per/float64(limit), "ns/record")
		})
	}
}

// newLists returns a snapshot and a list of records for each of its shards. The
// scores of different shards interleave.
func newLists(shards, records int) (*indexer.Snapshot, [][]*target.Record) {
	var parts []indexer.Shard
	lists := make([][]*target.Record, shards)
	for i := range shards {
		from, to := fmt.Sprintf("%04d", i), fmt.Sprintf("%04d", i+1)
		parts = append(parts, indexer.NewShard("shard-"+from, from, to))
		for k := range records {
			lists[i] = append(lists[i], &target.Record{
				Key:   fmt.Sprintf("%s-%04d", from, k),
				Score: float64(-k*shards - (i*7)%shards),
			})
		}
	}
	return indexer.NewSnapshot("c", "v", "s", parts), lists
}
