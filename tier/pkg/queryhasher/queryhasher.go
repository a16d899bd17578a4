// Package queryhasher hashes queries. A target returns the hash of the query
// that it answered, so that the tier detects an answer to another query.
package queryhasher

import (
	"math"
	"strconv"

	"plantaincleat/tier/gen/target"
	"plantaincleat/tier/pkg/hasher"
)

// numberBase is the base in which numbers are formatted before hashing.
const numberBase = 16

// Hash returns the hash of a query, which is never zero. Targets compute the
// same hash, so it must not change. The strings hashed are, in this order: the
// prefix, the limit, "true" or "false" for whether the query has a place, the
// IEEE 754 bits of the place's score, the place's key, and the terms. Numbers
// are in hexadecimal. Without a place, its score and key are zero and empty.
func Hash(q *target.Query) uint64 {
	after := q.GetAfter()
	parts := append(make([]string, 0, len(q.GetTerms())+5),
		q.GetPrefix(),
		strconv.FormatUint(uint64(q.GetLimit()), numberBase),
		strconv.FormatBool(after != nil),
		strconv.FormatUint(math.Float64bits(after.GetScore()), numberBase),
		after.GetKey())
	return max(1, hasher.Strings(append(parts, q.GetTerms()...)...))
}
