package scatterer

import (
	"maps"
	"sync"
	"time"

	"plantaincleat/tier/gen/peer"
)

// ownerPause is the time until which a shard's targets get no requests of its owner, which
// has reported it with the reason.
type ownerPause struct {
	owner  string
	until  time.Time
	reason peer.Reason
}

// shardPauses holds what the owners of shards have reported. It does not hold for the owner
// that follows them. The zero value is empty. It is safe for concurrent use.
type shardPauses struct {
	mu      sync.Mutex
	byShard map[string]ownerPause
}

func (sp *shardPauses) record(shard string, p ownerPause) {
	sp.mu.Lock()
	defer sp.mu.Unlock()
	if sp.byShard == nil {
		sp.byShard = make(map[string]ownerPause)
	}
	sp.byShard[shard] = p
}

// list returns the pauses that are not over, by shard. It is nil if there are none.
func (sp *shardPauses) list(now time.Time) map[string]ownerPause {
	sp.mu.Lock()
	defer sp.mu.Unlock()
	if len(sp.byShard) == 0 {
		return nil
	}
	maps.DeleteFunc(sp.byShard, func(_ string, p ownerPause) bool { return !now.Before(p.until) })
	return maps.Clone(sp.byShard)
}
