// Package hasher hashes sequences of strings. Different sequences are different
// inputs of the hash, even if their concatenations are equal.
package hasher

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// lengthBytes is the size of the length that is hashed before each string.
const lengthBytes = 8

// Strings returns the xxhash64 of the parts. Each is preceded by its length as a
// 64-bit big-endian number.
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
