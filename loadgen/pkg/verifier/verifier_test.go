package verifier

import (
	"slices"
	"testing"

	"plantaincleat/loadgen/pkg/caller"
	"plantaincleat/tier/gen/config"
	"plantaincleat/tier/gen/target"
	"plantaincleat/tier/pkg/synthesizer"
)

func newConfig() *config.Config {
	shards := []*config.Shard{
		{
			Id: "a",
			To: "4",
		},
		{
			Id:   "b",
			From: "4",
			To:   "8",
		},
		{
			Id:   "c",
			From: "8",
		},
	}
	return &config.Config{
		Collections: []*config.Collection{{
			Name: "entrants",
			Versions: []*config.Version{{
				Name: "v1",
				Snapshots: []*config.Snapshot{
					{
						Id:     "s1",
						Shards: shards,
					},
					{
						Id:     "s2",
						Shards: shards,
					},
				},
			}},
		}},
	}
}

func newSearch() *caller.Search {
	return &caller.Search{
		ID:         "r1",
		Collection: "entrants",
		Version:    "v1",
		Query: &target.Query{
			Limit: 20,
		},
	}
}

// referenceRecords returns the correct answer to q from the given shards of a
// snapshot.
func referenceRecords(snapshot string, q *target.Query, shards ...string) []caller.Record {
	bounds := map[string][2]string{"a": {"", "4"}, "b": {"4", "8"}, "c": {"8", ""}}
	var list []synthesizer.Shard
	for _, id := range shards {
		list = append(list, synthesizer.Shard{
			Collection: "entrants",
			Version:    "v1",
			Snapshot:   snapshot,
			ID:         id,
			From:       bounds[id][0],
			To:         bounds[id][1],
		})
	}
	var merged []caller.Record
	for _, r := range synthesizer.Merge(list, q) {
		merged = append(merged, caller.Record{
			Key:   r.GetKey(),
			Score: r.GetScore(),
			Text:  r.GetText(),
		})
	}
	return merged
}

func newAnswer(s *caller.Search, covered ...string) *caller.Answer {
	a := &caller.Answer{
		Request:  s.ID,
		Snapshot: "s1",
		Records:  referenceRecords("s1", s.Query, covered...),
	}
	a.Coverage.Covered = covered
	a.Coverage.Fraction = float64(len(covered)) / 3
	for _, id := range []string{"a", "b", "c"} {
		if !slices.Contains(covered, id) {
			a.Coverage.Missing = append(a.Coverage.Missing, caller.MissingShard{
				Shard:  id,
				Reason: "late",
			})
		}
	}
	return a
}

func TestCheckAcceptsCorrectAnswers(t *testing.T) {
	v := New(newConfig())
	for _, covered := range [][]string{{"a", "b", "c"}, {"a", "c"}, {"b"}, {}} {
		s := newSearch()
		if got := v.Check(s, newAnswer(s, covered...), ""); len(got) != 0 {
			t.Errorf("covered %v: violations %v, want none", covered, got)
		}
	}
}

func TestCheckFindsViolations(t *testing.T) {
	tests := []struct {
		name   string
		pinned string
		change func(*caller.Search, *caller.Answer)
		want   Kind
	}{
		{name: "unknown snapshot", want: WrongSnapshot, change: func(_ *caller.Search, a *caller.Answer) { a.Snapshot = "s3" }},
		{name: "other snapshot than the previous page", pinned: "s2", want: WrongSnapshot, change: func(*caller.Search, *caller.Answer) {}},
		{name: "records of two snapshots", want: MixedSnapshots, change: func(s *caller.Search, a *caller.Answer) {
			a.Records = referenceRecords("s2", s.Query, "a", "b")
		}},
		{name: "duplicate record", want: DuplicateKey, change: func(_ *caller.Search, a *caller.Answer) { a.Records[1] = a.Records[0] }},
		{name: "fraction", want: WrongCoverage, change: func(_ *caller.Search, a *caller.Answer) { a.Coverage.Fraction = 1 }},
		{name: "shard covered and missing", want: WrongCoverage, change: func(_ *caller.Search, a *caller.Answer) {
			a.Coverage.Missing = append(a.Coverage.Missing, caller.MissingShard{Shard: "a"})
		}},
		{name: "shard in neither list", want: WrongCoverage, change: func(_ *caller.Search, a *caller.Answer) { a.Coverage.Missing = nil }},
		{name: "record of a missing shard", want: WrongCoverage, change: func(s *caller.Search, a *caller.Answer) {
			a.Records = referenceRecords("s1", s.Query, "a", "b", "c")
		}},
		{name: "record that does not match the query", want: Mismatched, change: func(s *caller.Search, _ *caller.Answer) { s.Query.Prefix = "4" }},
		{name: "other request", want: Mismatched, change: func(_ *caller.Search, a *caller.Answer) { a.Request = "r2" }},
		{name: "missing record", want: MissingRecord, change: func(_ *caller.Search, a *caller.Answer) { a.Records = a.Records[1:] }},
		{name: "order", want: WrongOrder, change: func(_ *caller.Search, a *caller.Answer) { slices.Reverse(a.Records) }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newSearch()
			a := newAnswer(s, "a", "b")
			tt.change(s, a)
			got := New(newConfig()).Check(s, a, tt.pinned)
			if !slices.ContainsFunc(got, func(v Violation) bool { return v.Kind == tt.want }) {
				t.Errorf("violations %v, want one of kind %s", got, tt.want)
			}
		})
	}
}
