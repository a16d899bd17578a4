package merger

import (
	"errors"
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"plantaincleat/tier/gen/target"
	"plantaincleat/tier/pkg/indexer"
)

func snapshot() *indexer.Snapshot {
	return indexer.NewSnapshot("entrants", "1", "s1", []indexer.Shard{
		indexer.NewShard("b", "m", ""),
		indexer.NewShard("a", "", "m"),
	})
}

func newRecord(key string, score float64) *target.Record {
	return &target.Record{
		Key:   key,
		Score: score,
	}
}

func TestMergeRejectsBadBatch(t *testing.T) {
	tests := []struct {
		name     string
		snapshot string
		shards   []string
		records  []*target.Record
		want     error
	}{
		{
			name:     "another snapshot",
			snapshot: "s0",
			shards:   []string{"a"},
			want:     ErrSnapshotMismatch,
		},
		{
			name:     "unknown shard",
			snapshot: "s1",
			shards:   []string{"c"},
			want:     ErrUnknownShard,
		},
		{
			name:     "record of another shard",
			snapshot: "s1",
			shards:   []string{"a"},
			records:  []*target.Record{newRecord("z", 1)},
			want:     ErrKeyOutOfRange,
		},
		{
			name:     "records not in result order",
			snapshot: "s1",
			shards:   []string{"a"},
			records:  []*target.Record{newRecord("a", 1), newRecord("b", 2)},
			want:     ErrRecordOrder,
		},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			m := New(snapshot(), 10)
			err := m.Merge(tc.snapshot, tc.shards, tc.records)
			if !errors.Is(err, tc.want) {
				t.Errorf("Merge() = %v, want %v", err, tc.want)
			}
			if m.CoveredCount() != 0 || len(m.Records()) != 0 {
				t.Errorf("after a rejected batch: %d shards and %d records, want none", m.CoveredCount(), len(m.Records()))
			}
		})
	}
}

// TestMergeEqualsSort compares the merge of shards, in random order and some of them
// twice, with a sort of all their records.
func TestMergeEqualsSort(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1, 12).Draw(t, "limit")
		m := New(snapshot(), limit)
		all := map[string][]*target.Record{}
		for shard, prefix := range map[string]string{"a": "c", "b": "n"} {
			for i := range rapid.IntRange(0, 10).Draw(t, "n"+shard) {
				all[shard] = append(all[shard], newRecord(fmt.Sprintf("%s%02d", prefix, i), float64(rapid.IntRange(0, 3).Draw(t, "score"))))
			}
			slices.SortFunc(all[shard], Compare)
		}
		order := rapid.SliceOfN(rapid.SampledFrom([]string{"a", "b"}), 1, 4).Draw(t, "order")
		var want []*target.Record
		seen := map[string]bool{}
		for _, shard := range order {
			top := all[shard][:min(limit, len(all[shard]))]
			if err := m.Merge("s1", []string{shard}, top); err != nil {
				t.Fatal(err)
			}
			if !seen[shard] {
				want = append(want, all[shard]...)
			}
			seen[shard] = true
		}
		slices.SortFunc(want, Compare)
		want = want[:min(limit, len(want))]
		if !slices.EqualFunc(m.Records(), want, func(a, b *target.Record) bool { return a.GetKey() == b.GetKey() }) {
			t.Fatalf("Records() = %v, want %v", m.Records(), want)
		}
		if m.CoveredCount() != len(seen) {
			t.Fatalf("CoveredCount() = %d, want %d", m.CoveredCount(), len(seen))
		}
	})
}
