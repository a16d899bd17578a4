package merger

import (
	"bytes"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// TestTopEqualsSort compares Top with the first records of a sorted list.
func TestTopEqualsSort(t *testing.T) {
	const width = 4
	rapid.Check(t, func(t *rapid.T) {
		var parts, all [][]byte
		for range rapid.IntRange(0, 6).Draw(t, "parts") {
			part := rapid.SliceOfN(rapid.ByteRange(0, 3), 0, 40).Draw(t, "part")
			parts = append(parts, part)
			for rest := part; len(rest) >= width; rest = rest[width:] {
				all = append(all, rest[:width])
			}
		}
		n := rapid.IntRange(0, 12).Draw(t, "n")
		slices.SortFunc(all, func(a, b []byte) int { return bytes.Compare(b, a) })
		want := slices.Concat(all[:min(n, len(all))]...)
		if got := Top(parts, width, n); !bytes.Equal(got, want) {
			t.Fatalf("Top() = %v, want %v", got, want)
		}
	})
}

// TestTopInTwoSteps checks that applying Top first at the owners and then at the root
// gives the same result as applying it once.
func TestTopInTwoSteps(t *testing.T) {
	const width, n = 2, 5
	rapid.Check(t, func(t *rapid.T) {
		a := rapid.SliceOfN(rapid.Byte(), 0, 30).Draw(t, "a")
		b := rapid.SliceOfN(rapid.Byte(), 0, 30).Draw(t, "b")
		c := rapid.SliceOfN(rapid.Byte(), 0, 30).Draw(t, "c")
		one := Top([][]byte{a, b, c}, width, n)
		two := Top([][]byte{Top([][]byte{a, b}, width, n), c}, width, n)
		if !bytes.Equal(one, two) {
			t.Fatalf("Top() in two steps = %v, want %v as in one step", two, one)
		}
	})
}
