package queryhasher

import (
	"testing"

	"plantaincleat/tier/gen/target"
)

func TestHashDiffers(t *testing.T) {
	queries := []*target.Query{
		{},
		{Prefix: "a"},
		{Terms: []string{"a"}},
		{Terms: []string{"a", "b"}},
		{Terms: []string{"ab"}},
		{Terms: []string{"b", "a"}},
		{Limit: 1},
		{After: &target.Place{}},
		{After: &target.Place{Score: 0.5}},
		{After: &target.Place{Key: "a"}},
	}
	seen := make(map[uint64]*target.Query)
	for _, q := range queries {
		h := Hash(q)
		if h == 0 {
			t.Errorf("the hash of %v is zero", q)
		}
		if other, ok := seen[h]; ok {
			t.Errorf("%v and %v have the same hash", q, other)
		}
		seen[h] = q
	}
}

// TestHashIsStable compares one hash with a constant. The hash is part of the
// protocol between the tier and its targets, so it must not change.
func TestHashIsStable(t *testing.T) {
	q := &target.Query{
		Prefix: "4a",
		Terms:  []string{"course"},
		Limit:  20,
		After: &target.Place{
			Score: 0.25,
			Key:   "4a11.003",
		},
	}
	if got := Hash(q); got != 0x83a2eb8e268f8ce7 {
		t.Errorf("Hash() = %#x, want 0x83a2eb8e268f8ce7", got)
	}
}
