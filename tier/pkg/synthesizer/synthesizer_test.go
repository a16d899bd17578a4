package synthesizer

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	"plantaincleat/tier/gen/target"
)

func newShard(from, to string) Shard {
	return Shard{
		Collection: "entries",
		Version:    "v1",
		Snapshot:   "s1",
		ID:         "a",
		From:       from,
		To:         to,
	}
}

func TestAllRecordsInRangeAndOrder(t *testing.T) {
	tests := []struct {
		name  string
		shard Shard
		want  int
	}{
		{name: "open", shard: newShard("", ""), want: RecordsPerShard},
		{name: "bounded", shard: newShard("a0", "a1"), want: RecordsPerShard},
		{name: "narrow", shard: newShard("a0", "a0.004"), want: 4},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			records := AllRecords(tt.shard)
			if len(records) != tt.want {
				t.Fatalf("AllRecords() returned %d records, want %d", len(records), tt.want)
			}
			if !slices.IsSortedFunc(records, Compare) {
				t.Error("records are not in result order")
			}
			for _, r := range records {
				if r.GetKey() < tt.shard.From || tt.shard.To != "" && r.GetKey() >= tt.shard.To {
					t.Errorf("key %q is outside [%q,%q)", r.GetKey(), tt.shard.From, tt.shard.To)
				}
			}
		})
	}
}

func TestSnapshotsDiffer(t *testing.T) {
	other := newShard("a0", "a1")
	other.Snapshot = "s2"
	for i, r := range AllRecords(newShard("a0", "a1")) {
		if o := AllRecords(other)[i]; o.GetText() == r.GetText() {
			t.Errorf("the text of record %q is the same in two snapshots", r.GetKey())
		}
	}
}

// TestPagesListRecordsOnce reads an answer page by page, each page continuing
// after the last record of the one before. The pages must list every record of
// the whole answer exactly once.
func TestPagesListRecordsOnce(t *testing.T) {
	shards := []Shard{newShard("a", "b"), newShard("b", "c"), newShard("c", "")}
	rapid.Check(t, func(t *rapid.T) {
		q := &target.Query{
			Prefix: rapid.SampledFrom([]string{"", "a", "b.0"}).Draw(t, "prefix"),
			Terms:  rapid.SliceOfN(rapid.SampledFrom(append(Vocabulary(), "!x")), 0, 2).Draw(t, "terms"),
		}
		whole := Merge(shards, q)
		q.Limit = rapid.Uint32Range(1, 7).Draw(t, "limit")
		var paged []*target.Record
		for page := Merge(shards, q); len(page) > 0; page = Merge(shards, q) {
			paged = append(paged, page...)
			last := page[len(page)-1]
			q.After = &target.Place{
				Score: last.GetScore(),
				Key:   last.GetKey(),
			}
		}
		same := func(a, b *target.Record) bool { return a.GetKey() == b.GetKey() && a.GetText() == b.GetText() }
		if !slices.EqualFunc(whole, paged, same) {
			t.Fatalf("pages list %d records, want %d", len(paged), len(whole))
		}
	})
}
