// Package synthesizer generates the records of stand-in shards. Records are a
// pure function of the collection, the schema version, the snapshot and the key
// range. Tests and load generators can therefore compute the answer that a
// correct tier must return.
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
	// RecordsPerShard is the number of records of a shard. A shard has fewer if
	// its key range is too narrow for their keys.
	RecordsPerShard = 16
	// ControlPrefix is the prefix of query terms that control the behaviour of a
	// stand-in target. Such terms match every record.
	ControlPrefix = "!"
	// CrashTerm is the query term that makes a stand-in target crash.
	CrashTerm = "!crash"

	wordsPerText = 6
	// scoreSteps is the number of distinct scores, evenly spaced in [0,1).
	scoreSteps = 1 << 20
)

var vocabulary = []string{
	"course", "start", "finish", "control", "forest", "relay", "sprint", "night",
	"skill", "music", "timer", "weather", "news", "story", "recipe", "radio",
}

// Vocabulary returns the words that occur in the texts of records, apart from the
// snapshot id that begins each text.
func Vocabulary() []string {
	return slices.Clone(vocabulary)
}

// Shard identifies one shard of a snapshot. Its keys satisfy From <= key < To; an
// empty To means no upper bound.
type Shard struct {
	Collection string
	Version    string
	Snapshot   string
	ID         string
	From       string
	To         string
}

// AllRecords returns all records of a shard in result order, which is that of
// Compare.
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

// MatchingRecords returns the first records of a shard that match a query, in
// result order and up to the query's limit. A limit of zero means no limit.
func MatchingRecords(s Shard, q *target.Query) []*target.Record {
	return Select(AllRecords(s), q)
}

// Select returns the first of some records in result order that match a query, up
// to the query's limit. A limit of zero means no limit.
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

// Merge returns the first records of several shards that match a query, in result
// order and up to the query's limit. A limit of zero means no limit.
func Merge(shards []Shard, q *target.Query) []*target.Record {
	var merged []*target.Record
	for _, s := range shards {
		merged = append(merged, MatchingRecords(s, q)...)
	}
	return Top(merged, q.GetLimit())
}

// Top sorts records in place into result order and returns the first of them, up
// to a limit. A limit of zero means no limit.
func Top(records []*target.Record, limit uint32) []*target.Record {
	slices.SortFunc(records, Compare)
	if n := int(limit); n > 0 && len(records) > n {
		records = records[:n]
	}
	return records
}

// Compare compares records in result order: by descending score, then by
// ascending key.
func Compare(a, b *target.Record) int {
	if c := cmp.Compare(b.GetScore(), a.GetScore()); c != 0 {
		return c
	}
	return cmp.Compare(a.GetKey(), b.GetKey())
}

// Matches reports whether a record matches a query: its key has the prefix, it
// comes after the query's place, and its text contains all terms that do not
// start with ControlPrefix. The limit is ignored.
func Matches(r *target.Record, q *target.Query) bool {
	if !strings.HasPrefix(r.GetKey(), q.GetPrefix()) {
		return false
	}
	if after := q.GetAfter(); after != nil && !isAfter(r, after) {
		return false
	}
	for _, term := range q.GetTerms() {
		if !strings.HasPrefix(term, ControlPrefix) && !hasWord(r.GetText(), term) {
			return false
		}
	}
	return true
}

func isAfter(r *target.Record, p *target.Place) bool {
	if r.GetScore() != p.GetScore() {
		return r.GetScore() < p.GetScore()
	}
	return r.GetKey() > p.GetKey()
}

// hasWord reports whether a text of words separated by single spaces contains a
// word.
func hasWord(text, word string) bool {
	for w := range strings.SplitSeq(text, " ") {
		if w == word {
			return true
		}
	}
	return false
}

// newRecord derives the score and the text of a record from a hash of its shard's
// collection, version and snapshot and of its key. The text begins with the
// snapshot id, so that records of two snapshots always differ.
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
