package authenticator

import (
	"fmt"
	"strings"
	"testing"

	"plantaincleat/tier/gen/config"
)

// institutions returns n institutions with two keys each, key-I-0 and key-I-1.
func institutions(n int) []*config.Institution {
	var out []*config.Institution
	for i := range n {
		out = append(out, &config.Institution{
			Name:   fmt.Sprintf("library-%d", i),
			Tokens: []string{DigestOf(fmt.Sprintf("key-%d-0", i)).String(), DigestOf(fmt.Sprintf("key-%d-1", i)).String()},
		})
	}
	return out
}

// TestFind guards against a request that runs for no institution or for the wrong one.
func TestFind(t *testing.T) {
	list := institutions(3)
	shared := DigestOf("shared").String()
	list[0].Tokens = append(list[0].Tokens, shared)
	list[1].Tokens = append(list[1].Tokens, shared, "not hex", strings.Repeat("g", 64), "")
	list[2].Tokens = append(list[2].Tokens, strings.ToUpper(DigestOf("key\x80\xff").String()))
	table := NewTable(list)
	tests := []struct {
		name  string
		value string
		want  string
	}{
		{name: "first key", value: "Bearer key-0-0", want: "library-0"},
		{name: "second key", value: "Bearer key-1-1", want: "library-1"},
		{name: "odd bytes", value: "Bearer key\x80\xff", want: "library-2"},
		{name: "unknown key", value: "Bearer key-9-0"},
		{name: "beginning of a key", value: "Bearer key-0-"},
		{name: "key of two institutions", value: "Bearer shared"},
		{name: "digest in place of the key", value: "Bearer " + list[0].GetTokens()[0]},
		{name: "missing", value: ""},
		{name: "no key", value: "Bearer "},
		{name: "no scheme", value: "key-0-0"},
		{name: "other scheme", value: "Basic key-0-0"},
		{name: "two spaces", value: "Bearer  key-0-0"},
		{name: "two keys", value: "Bearer key-0-0, Bearer key-1-0"},
		{name: "16 KB", value: "Bearer " + strings.Repeat("k", 16<<10)},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := table.Find(test.value); got.GetName() != test.want {
				t.Errorf("Find: institution %q, want %q", got.GetName(), test.want)
			}
		})
	}
}

// TestRequired guards against a configuration whose institutions have no valid key and that
// lets everybody in.
func TestRequired(t *testing.T) {
	var none *Table
	if none.Required() || none.Find("Bearer key") != nil || none.Institution("x") != nil || none.Institutions() != nil {
		t.Error("a nil table requires keys or has institutions")
	}
	if NewTable(nil).Required() {
		t.Error("a table without institutions requires keys")
	}
	if !NewTable([]*config.Institution{{Name: "library"}}).Required() {
		t.Error("a table with an institution without keys requires none")
	}
}

func TestHolds(t *testing.T) {
	in := institutions(1)[0]
	in.Tokens = append(in.Tokens, in.Tokens[0])
	for key, want := range map[string]bool{"key-0-0": true, "key-0-1": true, "key-0-2": false} {
		if got := Holds(in, DigestOf(key)); got != want {
			t.Errorf("Holds(%s): %v, want %v", key, got, want)
		}
	}
}

// BenchmarkNewTable measures what each new configuration costs with 5,000 institutions.
func BenchmarkNewTable(b *testing.B) {
	list := institutions(5000)
	b.ReportAllocs()
	for b.Loop() {
		NewTable(list)
	}
}

// BenchmarkFind measures the part of each request among 5,000 institutions.
func BenchmarkFind(b *testing.B) {
	table := NewTable(institutions(5000))
	b.ReportAllocs()
	for b.Loop() {
		if table.Find("Bearer key-4321-1") == nil {
			b.Fatal("key is unknown")
		}
	}
}
