package configencoder

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"plantaincleat/tier/gen/config"
)

func mustNewPartSet(t *testing.T, cfg *config.Config) *PartSet {
	t.Helper()
	p, err := NewPartSet(cfg)
	if err != nil {
		t.Fatal(err)
	}
	return p
}

func TestExchange(t *testing.T) {
	changed := newConfig()
	changed.Collections[1].Versions[0].Name = "v2"
	fewer := newConfig()
	fewer.Collections = fewer.Collections[:1]
	swapped := newConfig()
	swapped.Collections[0], swapped.Collections[1] = swapped.Collections[1], swapped.Collections[0]
	tests := []struct {
		name string
		has  *PartSet
		want *config.Config
		// values is the number of values that Export must return.
		values int
	}{
		{
			name:   "no parts before",
			has:    &PartSet{},
			want:   newConfig(),
			values: 5,
		},
		{
			name:   "one collection changed",
			has:    mustNewPartSet(t, newConfig()),
			want:   changed,
			values: 1,
		},
		{
			name: "one collection removed",
			has:  mustNewPartSet(t, newConfig()),
			want: fewer,
		},
		{
			name: "collections reordered",
			has:  mustNewPartSet(t, newConfig()),
			want: swapped,
		},
		{
			name:   "equal empty parts sent once",
			has:    &PartSet{},
			want:   &config.Config{},
			values: 1,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			parts, values := mustNewPartSet(t, test.want).Export(test.has.DigestPrefixes())
			if len(values) != test.values {
				t.Errorf("values = %d, want %d", len(values), test.values)
			}
			got, err := test.has.Import(parts, values)
			if err != nil {
				t.Fatal(err)
			}
			if !proto.Equal(got, test.want) {
				t.Errorf("exported %v, imported %v", test.want, got)
			}
		})
	}
}

func TestImportRefuses(t *testing.T) {
	own := mustNewPartSet(t, newConfig())
	parts, values := own.Export(nil)
	broken := [][]byte{append([]byte("x"), values[0]...)}
	tests := []struct {
		name   string
		has    *PartSet
		parts  []*config.Part
		values [][]byte
	}{
		{
			name:   "value missing",
			has:    &PartSet{},
			parts:  parts,
			values: values[1:],
		},
		{
			name:   "value altered",
			has:    &PartSet{},
			parts:  parts[:1],
			values: broken,
		},
		{
			name:  "malformed digest",
			has:   own,
			parts: []*config.Part{{Digest: "x"}},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got, err := test.has.Import(test.parts, test.values); err == nil {
				t.Errorf("Import = %v, want an error", got)
			}
		})
	}
}
