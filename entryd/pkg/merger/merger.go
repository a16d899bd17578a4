// Package merger merges the records of shards into one answer and records which
// shards the answer covers.
package merger

import (
	"errors"
	"slices"
	"strings"

	"github.com/rotisserie/eris"

	"plantaincleat/tier/gen/target"
	"plantaincleat/tier/pkg/indexer"
)

// Errors of Merge. A rejected batch does not change the Merger.
var (
	// ErrSnapshotMismatch reports records of another snapshot than the pinned one.
	ErrSnapshotMismatch = errors.New("records are of another snapshot")
	// ErrUnknownShard reports a shard that the snapshot does not contain.
	ErrUnknownShard = errors.New("shard is not part of the snapshot")
	// ErrKeyOutOfRange reports a record whose key belongs to none of the named
	// shards.
	ErrKeyOutOfRange = errors.New("record is outside the key ranges of its shards")
	// ErrRecordOrder reports records that Compare does not order strictly.
	ErrRecordOrder = errors.New("records are not in result order")
)

// Merger holds the first records, in result order, of the merged shards, and the set
// of these shards. It is not safe for concurrent use.
type Merger struct {
	snapshot     *indexer.Snapshot
	limit        int
	covered      []bool
	coveredCount int
	records      []*target.Record
}

// New returns an empty Merger for a pinned snapshot. It keeps the first limit
// records.
func New(snapshot *indexer.Snapshot, limit int) *Merger {
	return &Merger{
		snapshot: snapshot,
		limit:    limit,
		covered:  make([]bool, snapshot.ShardCount()),
	}
}

// Merge adds the records of the named shards and marks these shards as covered.
// snapshot is the id of the snapshot that the records were read from. Records must be
// in result order and within the key ranges of the named shards; records equal to
// ones already merged are dropped.
func (m *Merger) Merge(snapshot string, shards []string, records []*target.Record) error {
	if snapshot != m.snapshot.ID() {
		return eris.Wrapf(ErrSnapshotMismatch, "merge: snapshot %q, pinned %q", snapshot, m.snapshot.ID())
	}
	units := make([]int, 0, len(shards))
	for _, id := range shards {
		i := m.snapshot.IndexOf(id)
		if i < 0 {
			return eris.Wrapf(ErrUnknownShard, "merge: shard %q", id)
		}
		units = append(units, i)
	}
	if err := m.checkRecords(units, records); err != nil {
		return err
	}
	for _, i := range units {
		if !m.covered[i] {
			m.covered[i] = true
			m.coveredCount++
		}
	}
	m.records = mergeSorted(m.records, records, m.limit)
	return nil
}

func (m *Merger) checkRecords(units []int, records []*target.Record) error {
	slices.Sort(units)
	for i, r := range records {
		if i > 0 && Compare(records[i-1], r) >= 0 {
			return eris.Wrapf(ErrRecordOrder, "merge: key %q", r.GetKey())
		}
		shard := m.snapshot.IndexOfKey(r.GetKey())
		if _, ok := slices.BinarySearch(units, shard); !ok {
			return eris.Wrapf(ErrKeyOutOfRange, "merge: key %q", r.GetKey())
		}
	}
	return nil
}

// Covered reports whether the i-th shard of the snapshot was merged.
func (m *Merger) Covered(i int) bool { return m.covered[i] }

// CoveredCount returns the number of shards that were merged.
func (m *Merger) CoveredCount() int { return m.coveredCount }

// Records returns the merged records in result order, at most limit of them.
func (m *Merger) Records() []*target.Record { return m.records }

// Compare orders records by score, descending, then by key.
func Compare(a, b *target.Record) int {
	if a.GetScore() != b.GetScore() {
		if a.GetScore() > b.GetScore() {
			return -1
		}
		return 1
	}
	return strings.Compare(a.GetKey(), b.GetKey())
}

// mergeSorted merges two lists that are in result order, drops duplicates and returns
// the first limit records.
func mergeSorted(a, b []*target.Record, limit int) []*target.Record {
	if len(b) == 0 {
		return a
	}
	out := make([]*target.Record, 0, min(limit, len(a)+len(b)))
	for len(out) < limit && (len(a) > 0 || len(b) > 0) {
		switch {
		case len(b) == 0:
			out, a = append(out, a[0]), a[1:]
		case len(a) == 0:
			out, b = append(out, b[0]), b[1:]
		default:
			c := Compare(a[0], b[0])
			if c <= 0 {
				out, a = append(out, a[0]), a[1:]
			} else {
				out = append(out, b[0])
			}
			if c >= 0 {
				b = b[1:]
			}
		}
	}
	return out
}
