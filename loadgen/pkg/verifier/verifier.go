// Package verifier compares the answers to searches with the reference result, which
// is the merge of the records of the shards that an answer claims to cover.
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

// Kind is the kind of a violation.
type Kind string

const (
	// WrongSnapshot means that the answer names an unknown snapshot, or that the
	// pages of one query come from different snapshots.
	WrongSnapshot Kind = "snapshot"
	// MixedSnapshots means that a record comes from another snapshot than the one
	// that the answer names.
	MixedSnapshots Kind = "mixed"
	// DuplicateKey means that the answer contains a key more than once.
	DuplicateKey Kind = "doubled"
	// WrongCoverage means that the covered and missing shards or the fraction do
	// not match the shards of the snapshot, or that a record comes from a shard
	// that is not covered.
	WrongCoverage Kind = "coverage"
	// Mismatched means that the answer, or a record in it, does not match the
	// request.
	Mismatched Kind = "crossed"
	// MissingRecord means that a matching record of a covered shard is missing.
	MissingRecord Kind = "incomplete"
	// WrongOrder means that the records are not sorted in the result order.
	WrongOrder Kind = "order"
)

// fractionTolerance is the largest rounding error of a coverage fraction that is
// accepted.
const fractionTolerance = 1e-9

// Violation is a difference between an answer and the reference.
type Violation struct {
	Kind   Kind   `json:"kind"`
	Detail string `json:"detail"`
}

// snapshotKey identifies a snapshot of a schema version of a collection.
type snapshotKey struct {
	collection string
	version    string
	snapshot   string
}

// shard is a shard with its records, which are synthesized at the first use.
type shard struct {
	synthesizer.Shard
	records func() []*target.Record
}

// Verifier verifies answers against the shards of all snapshots. It is safe for
// concurrent use. Use New to create one.
type Verifier struct {
	snapshots map[snapshotKey][]shard
}

// New returns a verifier for the snapshots of all given configurations.
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

// verification is the state of the verification of one answer.
type verification struct {
	search        *caller.Search
	answer        *caller.Answer
	coveredShards []shard
	violations    []Violation
}

// Check returns the violations in the answer to s, which asks for one page. Pinned
// is the snapshot of the previous pages, or empty for the first page. s.Query.After
// is the place of the last record of the previous page.
func (v *Verifier) Check(s *caller.Search, a *caller.Answer, pinned string) []Violation {
	c := &verification{
		search: s,
		answer: a,
	}
	if a.Request != s.ID {
		c.addViolation(Mismatched, "request id %q, want %q", a.Request, s.ID)
	}
	if pinned != "" && a.Snapshot != pinned {
		c.addViolation(WrongSnapshot, "page of snapshot %q follows a page of snapshot %q", a.Snapshot, pinned)
	}
	shards, ok := v.snapshots[snapshotKey{
		collection: s.Collection,
		version:    s.Version,
		snapshot:   a.Snapshot,
	}]
	if !ok {
		c.addViolation(WrongSnapshot, "collection %s version %s has no snapshot %q", s.Collection, s.Version, a.Snapshot)
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

// checkCoverage compares the covered and missing shards of the answer with the
// shards of the snapshot.
func (c *verification) checkCoverage(shards []shard) {
	covered := countIDs(c.answer.Coverage.Covered)
	missing := make(map[string]int)
	for _, m := range c.answer.Coverage.Missing {
		missing[m.Shard]++
	}
	for _, s := range shards {
		if n := covered[s.ID] + missing[s.ID]; n != 1 {
			c.addViolation(WrongCoverage, "shard %s is listed %d times as covered or missing, want once", s.ID, n)
		}
		if covered[s.ID] > 0 {
			c.coveredShards = append(c.coveredShards, s)
		}
		delete(covered, s.ID)
		delete(missing, s.ID)
	}
	if n := len(covered) + len(missing); n > 0 {
		c.addViolation(WrongCoverage, "%d unknown shards are listed as covered or missing", n)
	}
	want := float64(len(c.coveredShards)) / float64(max(1, len(shards)))
	if math.Abs(c.answer.Coverage.Fraction-want) > fractionTolerance {
		c.addViolation(WrongCoverage, "fraction %v, want %v", c.answer.Coverage.Fraction, want)
	}
}

// checkRecords compares the records of the answer with the reference records.
func (c *verification) checkRecords() {
	want := c.referenceRecords()
	wanted := make(map[string]*target.Record, len(want))
	for _, r := range want {
		wanted[r.GetKey()] = r
	}
	seen := make(map[string]bool, len(c.answer.Records))
	for _, r := range c.answer.Records {
		if seen[r.Key] {
			c.addViolation(DuplicateKey, "record %s occurs more than once", r.Key)
			continue
		}
		seen[r.Key] = true
		c.checkRecord(r, wanted[r.Key])
	}
	for _, r := range want {
		if !seen[r.GetKey()] {
			c.addViolation(MissingRecord, "record %s is missing", r.GetKey())
		}
	}
	if !slices.IsSortedFunc(c.answer.Records, compareRecords) {
		c.addViolation(WrongOrder, "the records are not in the result order")
	}
}

// referenceRecords returns the records that a correct answer contains, given the
// covered shards.
func (c *verification) referenceRecords() []*target.Record {
	var merged []*target.Record
	for _, s := range c.coveredShards {
		merged = append(merged, synthesizer.Select(s.records(), c.search.Query)...)
	}
	return synthesizer.Top(merged, c.search.Query.GetLimit())
}

// checkRecord compares one record with the reference record of the same key, which
// is nil if there is none.
func (c *verification) checkRecord(r caller.Record, want *target.Record) {
	if want != nil && want.GetText() == r.Text && want.GetScore() == r.Score {
		return
	}
	snapshot, _, _ := strings.Cut(r.Text, " ")
	switch {
	case snapshot != c.answer.Snapshot:
		c.addViolation(MixedSnapshots, "record %s of snapshot %q is in an answer of snapshot %q", r.Key, snapshot, c.answer.Snapshot)
	case !slices.ContainsFunc(c.coveredShards, func(s shard) bool { return containsKey(s.Shard, r.Key) }):
		c.addViolation(WrongCoverage, "record %s is in no covered shard", r.Key)
	default:
		c.addViolation(Mismatched, "record %s does not match the query", r.Key)
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
