// Package hasher hashes sequences of strings unambiguously.
package hasher

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// lengthBytes is the size of the length that precedes each part.
const lengthBytes = 8

// Strings returns the xxhash64 of the parts, each preceded by its length.
func Strings(parts ...string) uint64 {
	d := xxhash.New()
	for _, p := range parts {
		var n [lengthBytes]byte
		binary.BigEndian.PutUint64(n[:], uint64(len(p)))
		_, _ = d.Write(n[:])
		_, _ = d.WriteString(p)
	}
	return d.Sum64()
}
