package encoder

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"plantaincleat/tier/gen/config"
)

func sample() *config.Config {
	return &config.Config{
		Targets: []*config.Target{{Id: "t1"}, {Id: "t2"}},
		Collections: []*config.Collection{
			{Name: "a"},
			{
				Name:     "b",
				Versions: []*config.Version{{Name: "v1"}},
			},
		},
		Institutions: []*config.Institution{{Name: "club"}},
		Policy:       &config.Policy{Cell: 3},
	}
}

func values(parts []Part) [][]byte {
	var all [][]byte
	for _, p := range parts {
		all = append(all, p.Value)
	}
	return all
}

func TestRoundTrip(t *testing.T) {
	for _, cfg := range []*config.Config{sample(), {}, {Policy: &config.Policy{}}} {
		parts, err := Encode(cfg)
		if err != nil {
			t.Fatal(err)
		}
		got, err := Decode(values(parts))
		if err != nil {
			t.Fatal(err)
		}
		if !proto.Equal(got, cfg) {
			t.Errorf("%v became %v", cfg, got)
		}
	}
}

func TestUnchangedPartsKeepTheirDigest(t *testing.T) {
	before, err := Encode(sample())
	if err != nil {
		t.Fatal(err)
	}
	changed := sample()
	changed.Collections[1].Versions[0].Name = "v2"
	after, err := Encode(changed)
	if err != nil {
		t.Fatal(err)
	}
	for i := range before {
		same := before[i].Digest == after[i].Digest
		if want := before[i].Field != "collections[1]"; same != want {
			t.Errorf("%s: same digest = %v, want %v", before[i].Field, same, want)
		}
	}
}

func TestVerify(t *testing.T) {
	digest, err := Digest(sample())
	if err != nil {
		t.Fatal(err)
	}
	other := sample()
	other.Targets[0].Leaving = true
	tests := []struct {
		name     string
		accepted *config.Accepted
		want     bool
	}{
		{
			name: "same",
			accepted: &config.Accepted{
				Head:   &config.Head{Digest: digest},
				Config: sample(),
			},
			want: true,
		},
		{
			name: "other content",
			accepted: &config.Accepted{
				Head:   &config.Head{Digest: digest},
				Config: other,
			},
		},
		{
			name:     "no head",
			accepted: &config.Accepted{Config: sample()},
		},
		{
			name:     "no configuration",
			accepted: &config.Accepted{Head: &config.Head{Digest: digest}},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := Verify(test.accepted); got != test.want {
				t.Errorf("Verify = %v, want %v", got, test.want)
			}
		})
	}
}
