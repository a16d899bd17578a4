// Package indexer builds an immutable index over an accepted configuration, for
// lookups by name, id and key.
package indexer

import (
	"errors"
	"slices"
	"sort"

	"github.com/rotisserie/eris"

	"plantaincleat/tier/gen/config"
)

// Errors of lookups in an Index.
var (
	ErrUnknownCollection  = errors.New("unknown collection")
	ErrUnknownVersion     = errors.New("unknown schema version")
	ErrSnapshotNotServed  = errors.New("snapshot is not served any more")
	ErrUnknownInstitution = errors.New("unknown institution")
	ErrUnknownClass       = errors.New("unknown class")
)

type versionKey struct {
	collection string
	version    string
}

// Index is an immutable index of one accepted configuration. The zero value
// contains nothing. It is safe for concurrent use.
type Index struct {
	accepted     *config.Accepted
	targets      map[string]*config.Target
	versions     map[versionKey][]*Snapshot
	collections  map[string]bool
	institutions map[string]*config.Institution
}

// New returns an index of an accepted configuration, which must have passed
// checker.Config.
func New(accepted *config.Accepted) *Index {
	ix := &Index{
		accepted:     accepted,
		targets:      map[string]*config.Target{},
		versions:     map[versionKey][]*Snapshot{},
		collections:  map[string]bool{},
		institutions: map[string]*config.Institution{},
	}
	for _, t := range accepted.GetConfig().GetTargets() {
		ix.targets[t.GetId()] = t
	}
	for _, in := range accepted.GetConfig().GetInstitutions() {
		ix.institutions[in.GetName()] = in
	}
	for _, c := range accepted.GetConfig().GetCollections() {
		ix.collections[c.GetName()] = true
		for _, v := range c.GetVersions() {
			key := versionKey{
				collection: c.GetName(),
				version:    v.GetName(),
			}
			for _, s := range v.GetSnapshots() {
				ix.versions[key] = append(ix.versions[key], newSnapshot(ix, c.GetName(), v.GetName(), s))
			}
		}
	}
	return ix
}

// Revision returns the revision of the configuration, 0 if there is none.
func (ix *Index) Revision() uint64 { return ix.accepted.GetHead().GetRevision() }

// Accepted returns the indexed configuration, which must not be modified.
func (ix *Index) Accepted() *config.Accepted { return ix.accepted }

// Policy returns the limits shared by the whole tier. The result may be nil; its
// getters accept that.
func (ix *Index) Policy() *config.Policy { return ix.accepted.GetConfig().GetPolicy() }

// Target returns the target with an id, or nil.
func (ix *Index) Target(id string) *config.Target { return ix.targets[id] }

// TargetCount returns the number of targets in the configuration.
func (ix *Index) TargetCount() int { return len(ix.targets) }

// Institution returns the institution with a name. The error wraps
// ErrUnknownInstitution.
func (ix *Index) Institution(name string) (*config.Institution, error) {
	if in := ix.institutions[name]; in != nil {
		return in, nil
	}
	return nil, eris.Wrapf(ErrUnknownInstitution, "institution %q", name)
}

// Class returns the class of an institution with a name. The error wraps
// ErrUnknownClass.
func (ix *Index) Class(in *config.Institution, name string) (*config.Class, error) {
	for _, c := range in.GetClasses() {
		if c.GetName() == name {
			return c, nil
		}
	}
	return nil, eris.Wrapf(ErrUnknownClass, "class %q of institution %q", name, in.GetName())
}

// ResolveSnapshot returns the snapshot of a schema version with an id, or the
// current snapshot if id is empty.
func (ix *Index) ResolveSnapshot(collection, version, id string) (*Snapshot, error) {
	if !ix.collections[collection] {
		return nil, eris.Wrapf(ErrUnknownCollection, "collection %q", collection)
	}
	snapshots := ix.versions[versionKey{
		collection: collection,
		version:    version,
	}]
	if len(snapshots) == 0 {
		return nil, eris.Wrapf(ErrUnknownVersion, "version %q of collection %q", version, collection)
	}
	if id == "" {
		return snapshots[len(snapshots)-1], nil
	}
	i := slices.IndexFunc(snapshots, func(s *Snapshot) bool { return s.id == id })
	if i < 0 {
		return nil, eris.Wrapf(ErrSnapshotNotServed, "snapshot %q of collection %q version %q", id, collection, version)
	}
	return snapshots[i], nil
}

// Snapshot is an immutable state of a collection in one schema version, with its
// shards in key order.
type Snapshot struct {
	collection string
	version    string
	id         string
	shards     []Shard
	byID       map[string]int
}

// Shard is one shard of a snapshot: a key range and its replicas.
type Shard struct {
	id       string
	from     string
	to       string
	replicas []*config.Target
}

func newSnapshot(ix *Index, collection, version string, s *config.Snapshot) *Snapshot {
	shards := make([]Shard, 0, len(s.GetShards()))
	for _, sh := range s.GetShards() {
		shard := NewShard(sh.GetId(), sh.GetFrom(), sh.GetTo())
		for _, r := range sh.GetReplicas() {
			if t := ix.targets[r]; t != nil {
				shard.replicas = append(shard.replicas, t)
			}
		}
		shards = append(shards, shard)
	}
	return NewSnapshot(collection, version, s.GetId(), shards)
}

// Collection returns the collection's name.
func (s *Snapshot) Collection() string { return s.collection }

// Version returns the schema version.
func (s *Snapshot) Version() string { return s.version }

// ID returns the snapshot's id.
func (s *Snapshot) ID() string { return s.id }

// ShardCount returns the number of shards.
func (s *Snapshot) ShardCount() int { return len(s.shards) }

// Shard returns the i-th shard in key order.
func (s *Snapshot) Shard(i int) *Shard { return &s.shards[i] }

// IndexOf returns the index in key order of the shard with an id, or -1.
func (s *Snapshot) IndexOf(id string) int {
	if i, ok := s.byID[id]; ok {
		return i
	}
	return -1
}

// IndexOfKey returns the index in key order of the shard whose key range
// contains a key, or -1.
func (s *Snapshot) IndexOfKey(key string) int {
	i := sort.Search(len(s.shards), func(i int) bool { return s.shards[i].from > key }) - 1
	if i < 0 || !s.shards[i].Contains(key) {
		return -1
	}
	return i
}

// ID returns the shard's id, unique within its snapshot.
func (s *Shard) ID() string { return s.id }

// From returns the inclusive start of the shard's key range.
func (s *Shard) From() string { return s.from }

// To returns the exclusive end of the shard's key range. Empty means no upper
// bound.
func (s *Shard) To() string { return s.to }

// Replicas returns the targets that hold a replica of the shard.
func (s *Shard) Replicas() []*config.Target { return s.replicas }

// ReplicasByDataCentre returns, for each data centre, the ids of the targets
// there that hold a replica of the shard.
func (s *Shard) ReplicasByDataCentre() map[string][]string {
	out := map[string][]string{}
	for _, t := range s.replicas {
		out[t.GetDatacentre()] = append(out[t.GetDatacentre()], t.GetId())
	}
	return out
}

// Contains reports whether a key lies in the shard's key range.
func (s *Shard) Contains(key string) bool { return InRange(key, s.from, s.to) }

// InRange reports whether from <= key < to. An empty to means no upper bound.
func InRange(key, from, to string) bool {
	return key >= from && (to == "" || key < to)
}

// NewSnapshot returns a snapshot of the given shards. It sorts the slice by key
// and keeps it.
func NewSnapshot(collection, version, id string, shards []Shard) *Snapshot {
	s := &Snapshot{
		collection: collection,
		version:    version,
		id:         id,
		shards:     shards,
		byID:       make(map[string]int, len(shards)),
	}
	sort.Slice(s.shards, func(i, j int) bool { return s.shards[i].from < s.shards[j].from })
	for i := range s.shards {
		s.byID[s.shards[i].id] = i
	}
	return s
}

// NewShard returns a shard without replicas.
func NewShard(id, from, to string) Shard {
	return Shard{
		id:   id,
		from: from,
		to:   to,
	}
}
