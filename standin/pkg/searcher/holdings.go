package searcher

import (
	"maps"
	"slices"
	"sync"

	"plantaincleat/tier/gen/config"
	"plantaincleat/tier/gen/target"
	"plantaincleat/tier/pkg/synthesizer"
)

// snapshotKey identifies a snapshot of one schema version of a collection.
type snapshotKey struct {
	collection string
	version    string
	snapshot   string
}

// replica is one shard that the target holds. Its records are synthesised at the first
// read.
type replica struct {
	shard   synthesizer.Shard
	records func() []*target.Record
}

// Holdings are the snapshots and shards of one target. They are immutable.
type Holdings struct {
	replicas map[snapshotKey]map[string]*replica
}

// NewHoldings returns the snapshots and shards that the operators' configuration assigns
// to the target id.
func NewHoldings(cfg *config.Config, id string) *Holdings {
	h := &Holdings{
		replicas: make(map[snapshotKey]map[string]*replica),
	}
	for _, c := range cfg.GetCollections() {
		for _, v := range c.GetVersions() {
			for _, s := range v.GetSnapshots() {
				key := snapshotKey{
					collection: c.GetName(),
					version:    v.GetName(),
					snapshot:   s.GetId(),
				}
				h.replicas[key] = replicasOf(key, s, id)
			}
		}
	}
	return h
}

// replicasOf returns the replicas of a snapshot that the target id holds, by shard.
func replicasOf(key snapshotKey, s *config.Snapshot, id string) map[string]*replica {
	replicas := make(map[string]*replica)
	for _, sh := range s.GetShards() {
		if !slices.Contains(sh.GetReplicas(), id) {
			continue
		}
		shard := synthesizer.Shard{
			Collection: key.collection,
			Version:    key.version,
			Snapshot:   key.snapshot,
			ID:         sh.GetId(),
			From:       sh.GetFrom(),
			To:         sh.GetTo(),
		}
		replicas[shard.ID] = newReplica(shard)
	}
	return replicas
}

func newReplica(s synthesizer.Shard) *replica {
	return &replica{
		shard:   s,
		records: sync.OnceValue(func() []*target.Record { return synthesizer.AllRecords(s) }),
	}
}

// find returns the replica of a shard. If the target has none, the status says whether
// the snapshot or the shard is missing.
func (h *Holdings) find(key snapshotKey, shard string) (*replica, target.Status) {
	replicas, ok := h.replicas[key]
	if !ok {
		return nil, target.Status_STATUS_DROPPED
	}
	r, ok := replicas[shard]
	if !ok {
		return nil, target.Status_STATUS_ABSENT
	}
	return r, target.Status_STATUS_DONE
}

// otherReplica returns a replica of another shard of the same snapshot, or nil.
func (h *Holdings) otherReplica(key snapshotKey, shard string) *replica {
	replicas := h.replicas[key]
	for _, id := range slices.Sorted(maps.Keys(replicas)) {
		if id != shard {
			return replicas[id]
		}
	}
	return nil
}

// acceptsMutations reports whether the target holds a shard in any snapshot of a schema
// version. If so, it executes mutations of the shard.
func (h *Holdings) acceptsMutations(collection, version, shard string) bool {
	for key, replicas := range h.replicas {
		if key.collection == collection && key.version == version && replicas[shard] != nil {
			return true
		}
	}
	return false
}
