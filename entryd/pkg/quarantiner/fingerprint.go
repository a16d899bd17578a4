package quarantiner

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Fingerprint returns the hash of an institution's request. parts are the
// canonical contents of the request in a fixed order. The result is never zero.
func Fingerprint(institution string, parts ...[]byte) uint64 {
	var d xxhash.Digest
	d.Reset()
	var n [8]byte
	put := func(size int) {
		binary.LittleEndian.PutUint64(n[:], uint64(size))
		_, _ = d.Write(n[:]) // A Digest returns no error.
	}
	put(len(institution))
	_, _ = d.WriteString(institution)
	for _, p := range parts {
		put(len(p))
		_, _ = d.Write(p)
	}
	return max(d.Sum64(), 1)
}
