package synthesizer

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	"plantaincleat/tier/gen/target"
)

func shard(from, to string) Shard {
	return Shard{
		Collection: "entries",
		Version:    "v1",
		Snapshot:   "s1",
		ID:         "a",
		From:       from,
		To:         to,
	}
}

func TestAllStaysInRangeAndOrder(t *testing.T) {
	tests := []struct {
		name  string
		shard Shard
		want  int
	}{
		{name: "open", shard: shard("", ""), want: RecordsPerShard},
		{name: "bounded", shard: shard("a0", "a1"), want: RecordsPerShard},
		{name: "narrow", shard: shard("a0", "a0.004"), want: 4},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			records := AllRecords(tt.shard)
			if len(records) != tt.want {
				t.Fatalf("All() returned %d records, want %d", len(records), tt.want)
			}
			if !slices.IsSortedFunc(records, Compare) {
				t.Error("records are not in the result order")
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
	other := shard("a0", "a1")
	other.Snapshot = "s2"
	for i, r := range AllRecords(shard("a0", "a1")) {
		if o := AllRecords(other)[i]; o.GetText() == r.GetText() {
			t.Errorf("record %q is the same in two snapshots", r.GetKey())
		}
	}
}

// Pages cut by a limit and continued at the last record's place must list
// every record of the whole answer exactly once.
func TestPagesListEveryRecordOnce(t *testing.T) {
	shards := []Shard{shard("a", "b"), shard("b", "c"), shard("c", "")}
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
