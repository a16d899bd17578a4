package scatterer

import (
	"maps"
	"sync"
	"time"
)

// unreachedLife is the time for which the word of an owner holds that it reaches no target of
// a shard.
const unreachedLife = 400 * time.Millisecond

// ownedShard is a shard as one of its owners sends to it.
type ownedShard struct {
	owner, shard string
}

// unreachedShards holds the shards of which an owner has said that it reaches no target. The
// zero value is empty. It is safe for concurrent use.
type unreachedShards struct {
	mu    sync.Mutex
	until map[ownedShard]time.Time
}

// record records whether an owner reaches no target of a shard.
func (u *unreachedShards) record(now time.Time, owner, shard string, unreached bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	key := ownedShard{
		owner: owner,
		shard: shard,
	}
	if !unreached {
		delete(u.until, key)
		return
	}
	maps.DeleteFunc(u.until, func(_ ownedShard, until time.Time) bool { return !now.Before(until) })
	if u.until == nil {
		u.until = make(map[ownedShard]time.Time)
	}
	u.until[key] = now.Add(unreachedLife)
}

// contains reports whether an owner has said lately that it reaches no target of a shard.
func (u *unreachedShards) contains(now time.Time, owner, shard string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return now.Before(u.until[ownedShard{
		owner: owner,
		shard: shard,
	}])
}
