// Package ranker orders candidates for a key by rendezvous hashing (Thaler and
// Ravishankar, 1998). Daemons with the same candidates compute the same order,
// and the loss of a candidate reassigns only the keys that it was first for.
package ranker

import (
	"cmp"
	"slices"

	"plantaincleat/tier/pkg/hasher"
)

// Rank returns the candidates in their order of preference for a key, the most
// preferred first. name returns a candidate's unique name.
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

// IsAmongFirst reports whether id is one of the first n candidates for a key.
func IsAmongFirst(id string, candidates []string, key string, n int) bool {
	ranked := Rank(candidates, key, func(s string) string { return s })
	return slices.Contains(ranked[:min(n, len(ranked))], id)
}
