package configencoder

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"plantaincleat/tier/gen/config"
)

func mustParts(t *testing.T, cfg *config.Config) *PartSet {
	t.Helper()
	p, err := NewPartSet(cfg)
	if err != nil {
		t.Fatal(err)
	}
	return p
}

func TestExchange(t *testing.T) {
	changed := sample()
	changed.Collections[1].Versions[0].Name = "v2"
	fewer := sample()
	fewer.Collections = fewer.Collections[:1]
	swapped := sample()
	swapped.Collections[0], swapped.Collections[1] = swapped.Collections[1], swapped.Collections[0]
	tests := []struct {
		name string
		has  *PartSet
		want *config.Config
		// values is the number of parts that have to be sent.
		values int
	}{
		{
			name:   "nothing before",
			has:    &PartSet{},
			want:   sample(),
			values: 5,
		},
		{
			name:   "one collection changed",
			has:    mustParts(t, sample()),
			want:   changed,
			values: 1,
		},
		{
			name: "one collection gone",
			has:  mustParts(t, sample()),
			want: fewer,
		},
		{
			name: "other order",
			has:  mustParts(t, sample()),
			want: swapped,
		},
		{
			name:   "empty parts are alike",
			has:    &PartSet{},
			want:   &config.Config{},
			values: 1,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			parts, values := mustParts(t, test.want).Export(test.has.DigestPrefixes())
			if len(values) != test.values {
				t.Errorf("values = %d, want %d", len(values), test.values)
			}
			got, err := test.has.Import(parts, values)
			if err != nil {
				t.Fatal(err)
			}
			if !proto.Equal(got, test.want) {
				t.Errorf("%v became %v", test.want, got)
			}
		})
	}
}

func TestImportRefused(t *testing.T) {
	own := mustParts(t, sample())
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
			name:  "no digest",
			has:   own,
			parts: []*config.Part{{Digest: "x"}},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got, err := test.has.Import(test.parts, test.values); err == nil {
				t.Errorf("Import = %v", got)
			}
		})
	}
}
