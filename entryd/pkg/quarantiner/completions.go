package quarantiner

import (
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
)

const (
	// completionSlots is the number of completions that are kept, in 512 KiB.
	completionSlots = 1 << 16
	// fibonacciMultiplier distributes the bits of a fingerprint before it is
	// combined with a shard's hash. It is the 64-bit golden ratio of Fibonacci
	// hashing.
	fibonacciMultiplier = 0x9e3779b97f4a7c15
)

// completions records which requests have completed on which shards. It is a
// direct-mapped table of hashes: a later completion replaces an earlier one in
// the same slot. An empty shard stands for all shards of the request. It is safe
// for concurrent use.
type completions struct {
	slots [completionSlots]atomic.Uint64
}

// completionKey returns the hash of a request on a shard. It is never zero.
func completionKey(fingerprint uint64, shard string) uint64 {
	return max(xxhash.Sum64String(shard)^fingerprint*fibonacciMultiplier, 1)
}

// add records that a request has completed on a shard.
func (p *completions) add(fingerprint uint64, shard string) {
	k := completionKey(fingerprint, shard)
	slot := &p.slots[k%completionSlots]
	if slot.Load() != k {
		slot.Store(k)
	}
}

// has reports whether a request is recorded as completed on a shard.
func (p *completions) has(fingerprint uint64, shard string) bool {
	k := completionKey(fingerprint, shard)
	return p.slots[k%completionSlots].Load() == k
}

// remove removes the record of a completion.
func (p *completions) remove(fingerprint uint64, shard string) {
	k := completionKey(fingerprint, shard)
	p.slots[k%completionSlots].CompareAndSwap(k, 0)
}
