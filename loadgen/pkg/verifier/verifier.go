// Package verifier compares answers with the reference merge of the shards
// that they claim to cover.
package verifier

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"sync"

	"plantaincleat/loadgen/pkg/caller"
	"plantaincleat/tier/gen/config"
	"plantaincleat/tier/gen/target"
	"plantaincleat/tier/pkg/synthesizer"
)

// Kind is what is wrong with an answer.
type Kind string

const (
	// WrongSnapshot says that the answer names a snapshot that does not exist, or
	// that the pages of one query come from different snapshots.
	WrongSnapshot Kind = "snapshot"
	// MixedSnapshots says that a record comes from another snapshot than the answer's.
	MixedSnapshots Kind = "mixed"
	// DuplicateKey says that a key stands twice in the answer.
	DuplicateKey Kind = "doubled"
	// WrongCoverage says that the covered and the missing shards, or the fraction,
	// do not match the shards of the snapshot, or that a record comes from a
	// shard that is not covered.
	WrongCoverage Kind = "coverage"
	// Mismatched says that the answer, or a record, belongs to another request.
	Mismatched Kind = "crossed"
	// MissingRecord says that a record of a covered shard is left out.
	MissingRecord Kind = "incomplete"
	// WrongOrder says that the records are not in the result order.
	WrongOrder Kind = "order"
)

// fractionTolerance is the largest error of a fraction that counts as equal.
const fractionTolerance = 1e-9

// Violation is one fault of an answer.
type Violation struct {
	Kind   Kind   `json:"kind"`
	Detail string `json:"detail"`
}

// snapshotKey is one snapshot of one schema version of a collection.
type snapshotKey struct {
	collection string
	version    string
	snapshot   string
}

// shard is one shard with its records, which are made at the first use.
type shard struct {
	synthesizer.Shard
	records func() []*target.Record
}

// Verifier knows the shards of all snapshots. Use New.
type Verifier struct {
	snapshots map[snapshotKey][]shard
}

// New returns a verifier for the snapshots of all the configurations.
func New(cfgs ...*config.Config) *Verifier {
	v := &Verifier{
		snapshots: make(map[snapshotKey][]shard),
	}
	for _, cfg := range cfgs {
		for _, c := range cfg.GetCollections() {
			for _, version := range c.GetVersions() {
				for _, s := range version.GetSnapshots() {
					v.addSnapshot(snapshotKey{
						collection: c.GetName(),
						version:    version.GetName(),
						snapshot:   s.GetId(),
					}, s)
				}
			}
		}
	}
	return v
}

func (v *Verifier) addSnapshot(e snapshotKey, s *config.Snapshot) {
	shards := make([]shard, 0, len(s.GetShards()))
	for _, sh := range s.GetShards() {
		known := synthesizer.Shard{
			Collection: e.collection,
			Version:    e.version,
			Snapshot:   e.snapshot,
			ID:         sh.GetId(),
			From:       sh.GetFrom(),
			To:         sh.GetTo(),
		}
		shards = append(shards, shard{
			Shard:   known,
			records: sync.OnceValue(func() []*target.Record { return synthesizer.AllRecords(known) }),
		})
	}
	v.snapshots[e] = shards
}

// verification is the state of one verification.
type verification struct {
	search        *caller.Search
	answer        *caller.Answer
	coveredShards []shard
	violations    []Violation
}

// Check returns the violations of one page. Pinned is the snapshot of the
// pages before it, empty for the first one; the query's place is where they
// ended.
func (v *Verifier) Check(s *caller.Search, a *caller.Answer, pinned string) []Violation {
	c := &verification{
		search: s,
		answer: a,
	}
	if a.Request != s.ID {
		c.addViolation(Mismatched, "request id %q, want %q", a.Request, s.ID)
	}
	if pinned != "" && a.Snapshot != pinned {
		c.addViolation(WrongSnapshot, "page of snapshot %q after a page of %q", a.Snapshot, pinned)
	}
	shards, ok := v.snapshots[snapshotKey{
		collection: s.Collection,
		version:    s.Version,
		snapshot:   a.Snapshot,
	}]
	if !ok {
		c.addViolation(WrongSnapshot, "collection %s %s has no snapshot %q", s.Collection, s.Version, a.Snapshot)
		return c.violations
	}
	c.checkCoverage(shards)
	c.checkRecords()
	return c.violations
}

func (c *verification) addViolation(k Kind, format string, args ...any) {
	c.violations = append(c.violations, Violation{
		Kind:   k,
		Detail: fmt.Sprintf(format, args...),
	})
}

// checkCoverage compares the covered and missing shards with those of the snapshot.
func (c *verification) checkCoverage(shards []shard) {
	covered := countIDs(c.answer.Coverage.Covered)
	missing := make(map[string]int)
	for _, m := range c.answer.Coverage.Missing {
		missing[m.Shard]++
	}
	for _, s := range shards {
		if n := covered[s.ID] + missing[s.ID]; n != 1 {
			c.addViolation(WrongCoverage, "shard %s stands %d times among covered and missing", s.ID, n)
		}
		if covered[s.ID] > 0 {
			c.coveredShards = append(c.coveredShards, s)
		}
		delete(covered, s.ID)
		delete(missing, s.ID)
	}
	if n := len(covered) + len(missing); n > 0 {
		c.addViolation(WrongCoverage, "%d unknown shards among covered and missing", n)
	}
	want := float64(len(c.coveredShards)) / float64(max(1, len(shards)))
	if math.Abs(c.answer.Coverage.Fraction-want) > fractionTolerance {
		c.addViolation(WrongCoverage, "fraction %v, want %v", c.answer.Coverage.Fraction, want)
	}
}

// checkRecords compares the records with the reference merge of the covered shards.
func (c *verification) checkRecords() {
	want := c.referenceRecords()
	wanted := make(map[string]*target.Record, len(want))
	for _, r := range want {
		wanted[r.GetKey()] = r
	}
	seen := make(map[string]bool, len(c.answer.Records))
	for _, r := range c.answer.Records {
		if seen[r.Key] {
			c.addViolation(DuplicateKey, "record %s", r.Key)
			continue
		}
		seen[r.Key] = true
		c.checkRecord(r, wanted[r.Key])
	}
	for _, r := range want {
		if !seen[r.GetKey()] {
			c.addViolation(MissingRecord, "record %s is left out", r.GetKey())
		}
	}
	if !slices.IsSortedFunc(c.answer.Records, compareRecords) {
		c.addViolation(WrongOrder, "the records are not sorted")
	}
}

// referenceRecords returns the answer of a correct tier from the covered shards.
func (c *verification) referenceRecords() []*target.Record {
	var merged []*target.Record
	for _, s := range c.coveredShards {
		merged = append(merged, synthesizer.Select(s.records(), c.search.Query)...)
	}
	return synthesizer.Top(merged, c.search.Query.GetLimit())
}

// checkRecord checks one record against the wanted one, nil if there is none.
func (c *verification) checkRecord(r caller.Record, want *target.Record) {
	if want != nil && want.GetText() == r.Text && want.GetScore() == r.Score {
		return
	}
	snapshot, _, _ := strings.Cut(r.Text, " ")
	switch {
	case snapshot != c.answer.Snapshot:
		c.addViolation(MixedSnapshots, "record %s of snapshot %q in an answer of %q", r.Key, snapshot, c.answer.Snapshot)
	case !slices.ContainsFunc(c.coveredShards, func(s shard) bool { return containsKey(s.Shard, r.Key) }):
		c.addViolation(WrongCoverage, "record %s lies in no covered shard", r.Key)
	default:
		c.addViolation(Mismatched, "record %s does not answer the query", r.Key)
	}
}

func containsKey(s synthesizer.Shard, key string) bool {
	return key >= s.From && (s.To == "" || key < s.To)
}

func compareRecords(a, b caller.Record) int {
	return synthesizer.Compare(&target.Record{
		Key:   a.Key,
		Score: a.Score,
	}, &target.Record{
		Key:   b.Key,
		Score: b.Score,
	})
}

func countIDs(ids []string) map[string]int {
	n := make(map[string]int, len(ids))
	for _, id := range ids {
		n[id]++
	}
	return n
}
