package searcher

import (
	"maps"
	"slices"
	"sync"

	"plantaincleat/tier/gen/config"
	"plantaincleat/tier/gen/target"
	"plantaincleat/tier/pkg/synthesizer"
)

// edition is one snapshot of one schema version of a collection.
type edition struct {
	collection string
	version    string
	snapshot   string
}

// replica is one shard that the target holds. Its records are made at the
// first read.
type replica struct {
	shard   synthesizer.Shard
	records func() []*target.Record
}

// Holdings are the snapshots and shards of one target. They do not change.
type Holdings struct {
	editions map[edition]map[string]*replica
}

// NewHoldings returns what a target holds by the operators' configuration.
func NewHoldings(cfg *config.Config, id string) *Holdings {
	h := &Holdings{
		editions: make(map[edition]map[string]*replica),
	}
	for _, c := range cfg.GetCollections() {
		for _, v := range c.GetVersions() {
			for _, s := range v.GetSnapshots() {
				e := edition{
					collection: c.GetName(),
					version:    v.GetName(),
					snapshot:   s.GetId(),
				}
				h.editions[e] = held(e, s, id)
			}
		}
	}
	return h
}

func held(e edition, s *config.Snapshot, id string) map[string]*replica {
	replicas := make(map[string]*replica)
	for _, sh := range s.GetShards() {
		if !slices.Contains(sh.GetReplicas(), id) {
			continue
		}
		shard := synthesizer.Shard{
			Collection: e.collection,
			Version:    e.version,
			Snapshot:   e.snapshot,
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

// find returns the replica of a shard, or the status that says why the target
// has none.
func (h *Holdings) find(e edition, shard string) (*replica, target.Status) {
	replicas, ok := h.editions[e]
	if !ok {
		return nil, target.Status_STATUS_DROPPED
	}
	r, ok := replicas[shard]
	if !ok {
		return nil, target.Status_STATUS_ABSENT
	}
	return r, target.Status_STATUS_DONE
}

// other returns a replica of the same snapshot with another key range, if any.
func (h *Holdings) other(e edition, shard string) *replica {
	replicas := h.editions[e]
	for _, id := range slices.Sorted(maps.Keys(replicas)) {
		if id != shard {
			return replicas[id]
		}
	}
	return nil
}

// takes tells whether the target holds a shard in any snapshot of a schema
// version, and so runs mutations of it.
func (h *Holdings) takes(collection, version, shard string) bool {
	for e, replicas := range h.editions {
		if e.collection == collection && e.version == version && replicas[shard] != nil {
			return true
		}
	}
	return false
}
