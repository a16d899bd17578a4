package quarantiner

import (
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
)

const (
	// proofSlots is the number of proofs that are kept: 512 KiB.
	proofSlots = 1 << 16
	// mixer spreads a fingerprint before it is combined with a shard's hash
	// (the 64-bit golden ratio of Fibonacci hashing).
	mixer = 0x9e3779b97f4a7c15
)

// proofs remembers which requests have completed on which shards. It is a
// direct-mapped table of hashes: a later proof replaces an earlier one in the
// same slot.
type proofs struct {
	slots [proofSlots]atomic.Uint64
}

// key returns the hash of a request on a shard.
func key(fingerprint uint64, shard string) uint64 {
	return max(xxhash.Sum64String(shard)^fingerprint*mixer, 1)
}

// add remembers a completion.
func (p *proofs) add(fingerprint uint64, shard string) {
	k := key(fingerprint, shard)
	slot := &p.slots[k%proofSlots]
	if slot.Load() != k {
		slot.Store(k)
	}
}

// has reports whether a completion is remembered.
func (p *proofs) has(fingerprint uint64, shard string) bool {
	k := key(fingerprint, shard)
	return p.slots[k%proofSlots].Load() == k
}

// remove forgets a completion.
func (p *proofs) remove(fingerprint uint64, shard string) {
	k := key(fingerprint, shard)
	p.slots[k%proofSlots].CompareAndSwap(k, 0)
}
