// Package queryhasher hashes queries, so that the answer to one query is not taken
// for the answer to another.
package queryhasher

import (
	"math"
	"strconv"

	"plantaincleat/tier/gen/target"
	"plantaincleat/tier/pkg/hasher"
)

// hexadecimal is the base in which numbers enter the hash.
const hexadecimal = 16

// Hash returns the hash of a query. It is never zero. The parts hashed are,
// in this order: the prefix, the limit, whether there is a place, the bits of
// its score and its key, and the terms. Numbers are in hexadecimal.
func Hash(q *target.Query) uint64 {
	after := q.GetAfter()
	parts := append(make([]string, 0, len(q.GetTerms())+5),
		q.GetPrefix(),
		strconv.FormatUint(uint64(q.GetLimit()), hexadecimal),
		strconv.FormatBool(after != nil),
		strconv.FormatUint(math.Float64bits(after.GetScore()), hexadecimal),
		after.GetKey())
	return max(1, hasher.Strings(append(parts, q.GetTerms()...)...))
}
