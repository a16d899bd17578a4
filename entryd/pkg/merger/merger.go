// Package merger merges the records of shards into one answer and keeps the
// coverage of exactly what it merged.
package merger

import (
	"errors"
	"slices"
	"strings"

	"github.com/rotisserie/eris"

	"plantaincleat/tier/gen/target"
	"plantaincleat/tier/pkg/indexer"
)

// Errors of Merge. A batch that is refused changes nothing.
var (
	ErrSnapshot = errors.New("records of another snapshot")
	ErrShard    = errors.New("shard is not part of the snapshot")
	ErrRange    = errors.New("record outside the key ranges of its shards")
	ErrOrder    = errors.New("records are not in result order")
)

// Merger holds the first records, in result order, of the merged shards. It is
// not safe for concurrent use.
type Merger struct {
	snapshot *indexer.Snapshot
	limit    int
	covered  []bool
	n        int
	records  []*target.Record
}

// New returns an empty merger over a pinned snapshot that keeps limit records.
func New(snapshot *indexer.Snapshot, limit int) *Merger {
	return &Merger{
		snapshot: snapshot,
		limit:    limit,
		covered:  make([]bool, snapshot.ShardCount()),
	}
}

// Merge adds the records of the named shards. Records must be in result order
// and within the key ranges of these shards.
func (m *Merger) Merge(snapshot string, shards []string, records []*target.Record) error {
	if snapshot != m.snapshot.ID() {
		return eris.Wrapf(ErrSnapshot, "stamp %q, pinned %q", snapshot, m.snapshot.ID())
	}
	units := make([]int, 0, len(shards))
	for _, id := range shards {
		i := m.snapshot.IndexOf(id)
		if i < 0 {
			return eris.Wrapf(ErrShard, "shard %q", id)
		}
		units = append(units, i)
	}
	if err := m.check(units, records); err != nil {
		return err
	}
	for _, i := range units {
		if !m.covered[i] {
			m.covered[i] = true
			m.n++
		}
	}
	m.records = join(m.records, records, m.limit)
	return nil
}

func (m *Merger) check(units []int, records []*target.Record) error {
	slices.Sort(units)
	for i, r := range records {
		if i > 0 && Compare(records[i-1], r) >= 0 {
			return eris.Wrapf(ErrOrder, "key %q", r.GetKey())
		}
		at := m.snapshot.IndexOfKey(r.GetKey())
		if _, ok := slices.BinarySearch(units, at); !ok {
			return eris.Wrapf(ErrRange, "key %q", r.GetKey())
		}
	}
	return nil
}

// Covered reports whether the i-th shard of the snapshot was merged.
func (m *Merger) Covered(i int) bool { return m.covered[i] }

// Count returns the number of merged shards.
func (m *Merger) Count() int { return m.n }

// Records returns the merged records in result order.
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

// join merges two lists in result order, drops equal records and keeps the
// first limit of the result.
func join(a, b []*target.Record, limit int) []*target.Record {
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
