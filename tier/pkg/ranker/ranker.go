// Package ranker orders candidates for a key by rendezvous hashing (Thaler and
// Ravishankar, 1998): daemons with the same candidates agree on the order, and
// the loss of one candidate moves only what it held.
package ranker

import (
	"cmp"
	"slices"

	"plantaincleat/tier/pkg/hasher"
)

// Rank returns the candidates for a key, the best first. name identifies a
// candidate.
func Rank[T any](candidates []T, key string, name func(T) string) []T {
	type scored struct {
		item  T
		score uint64
		name  string
	}
	all := make([]scored, 0, len(candidates))
	for _, c := range candidates {
		n := name(c)
		all = append(all, scored{
			item:  c,
			score: hasher.Strings(key, n),
			name:  n,
		})
	}
	slices.SortFunc(all, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.name, b.name))
	})
	out := make([]T, 0, len(all))
	for _, s := range all {
		out = append(out, s.item)
	}
	return out
}

// IsAmongFirst reports whether a candidate is one of the first n for a key.
func IsAmongFirst(id string, candidates []string, key string, n int) bool {
	ranked := Rank(candidates, key, func(s string) string { return s })
	return slices.Contains(ranked[:min(n, len(ranked))], id)
}
