// Package synthesizer makes the records of stand-in shards. Records are a
// pure function of the collection, the schema version, the snapshot and the
// key range, so that a test or a load generator can work out the answer that
// a correct tier must give.
package synthesizer

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"plantaincleat/tier/gen/target"
)

const (
	// RecordsPerShard is the number of records of a shard whose key range
	// is not too narrow to hold their keys.
	RecordsPerShard = 16
	// ControlPrefix marks a query term that steers a stand-in target and matches
	// every record.
	ControlPrefix = "!"
	// CrashTerm is the term that makes a stand-in target crash.
	CrashTerm = "!crash"

	wordsPerText = 6
	// scoreSteps is the number of distinct scores in [0,1).
	scoreSteps = 1 << 20
)

var vocabulary = []string{
	"course", "start", "finish", "control", "forest", "relay", "sprint", "night",
	"skill", "music", "timer", "weather", "news", "story", "recipe", "radio",
}

// Vocabulary returns the words of which the records' texts consist.
func Vocabulary() []string {
	return slices.Clone(vocabulary)
}

// Shard identifies one shard of one snapshot, with its key range.
type Shard struct {
	Collection string
	Version    string
	Snapshot   string
	ID         string
	From       string
	To         string
}

// AllRecords returns every record of a shard in the result order.
func AllRecords(s Shard) []*target.Record {
	records := make([]*target.Record, 0, RecordsPerShard)
	for i := range RecordsPerShard {
		key := fmt.Sprintf("%s.%03d", s.From, i)
		if s.To != "" && key >= s.To {
			continue
		}
		records = append(records, newRecord(s, key))
	}
	slices.SortFunc(records, Compare)
	return records
}

// MatchingRecords returns the records of a shard that answer a query, in the result
// order and cut to the query's limit. A limit of zero means no limit.
func MatchingRecords(s Shard, q *target.Query) []*target.Record {
	return Select(AllRecords(s), q)
}

// Select returns those of the sorted records that answer a query, cut to the
// query's limit.
func Select(records []*target.Record, q *target.Query) []*target.Record {
	limit := math.MaxInt
	if q.GetLimit() > 0 {
		limit = int(q.GetLimit())
	}
	selected := make([]*target.Record, 0, min(limit, len(records)))
	for _, r := range records {
		if len(selected) == limit {
			break
		}
		if Matches(r, q) {
			selected = append(selected, r)
		}
	}
	return selected
}

// Merge returns the records of several shards that answer a query, in the
// result order and cut to the query's limit.
func Merge(shards []Shard, q *target.Query) []*target.Record {
	var merged []*target.Record
	for _, s := range shards {
		merged = append(merged, MatchingRecords(s, q)...)
	}
	return Top(merged, q.GetLimit())
}

// Top sorts records into the result order and cuts them to a limit. A limit
// of zero means no limit.
func Top(records []*target.Record, limit uint32) []*target.Record {
	slices.SortFunc(records, Compare)
	if n := int(limit); n > 0 && len(records) > n {
		records = records[:n]
	}
	return records
}

// Compare orders records by score descending, then by key ascending.
func Compare(a, b *target.Record) int {
	if c := cmp.Compare(b.GetScore(), a.GetScore()); c != 0 {
		return c
	}
	return cmp.Compare(a.GetKey(), b.GetKey())
}

// Matches tells whether a record answers a query.
func Matches(r *target.Record, q *target.Query) bool {
	if !strings.HasPrefix(r.GetKey(), q.GetPrefix()) {
		return false
	}
	if after := q.GetAfter(); after != nil && !follows(r, after) {
		return false
	}
	for _, term := range q.GetTerms() {
		if !strings.HasPrefix(term, ControlPrefix) && !contains(r.GetText(), term) {
			return false
		}
	}
	return true
}

func follows(r *target.Record, p *target.Place) bool {
	if r.GetScore() != p.GetScore() {
		return r.GetScore() < p.GetScore()
	}
	return r.GetKey() > p.GetKey()
}

// contains reports whether a word stands in a text of words separated by
// single spaces.
func contains(text, word string) bool {
	for w := range strings.SplitSeq(text, " ") {
		if w == word {
			return true
		}
	}
	return false
}

// newRecord derives the score and the text from a hash of the key. The text
// begins with the snapshot, so that records of two snapshots always differ.
func newRecord(s Shard, key string) *target.Record {
	h := xxhash.Sum64String(strings.Join([]string{s.Collection, s.Version, s.Snapshot, key}, "\x00"))
	words := make([]string, 0, 1+wordsPerText)
	words = append(words, s.Snapshot)
	for i := range wordsPerText {
		words = append(words, vocabulary[(h>>(4*i))%uint64(len(vocabulary))])
	}
	return &target.Record{
		Key:   key,
		Score: float64(h>>44) / scoreSteps,
		Text:  strings.Join(words, " "),
	}
}
