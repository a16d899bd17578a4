package configencoder

import (
	"cmp"
	"fmt"
	"slices"
	"testing"

	"google.golang.org/protobuf/proto"

	"plantaincleat/tier/gen/config"
)

func newConfig() *config.Config {
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
	for _, cfg := range []*config.Config{newConfig(), {}, {Policy: &config.Policy{}}} {
		parts, err := Encode(cfg)
		if err != nil {
			t.Fatal(err)
		}
		got, err := Decode(values(parts))
		if err != nil {
			t.Fatal(err)
		}
		if !proto.Equal(got, cfg) {
			t.Errorf("Decode(Encode(%v)) = %v", cfg, got)
		}
	}
}

func TestUnchangedPartsKeepDigest(t *testing.T) {
	before, err := Encode(newConfig())
	if err != nil {
		t.Fatal(err)
	}
	changed := newConfig()
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

func TestVerifyDigest(t *testing.T) {
	digest, err := Digest(newConfig())
	if err != nil {
		t.Fatal(err)
	}
	other := newConfig()
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
				Config: newConfig(),
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
			accepted: &config.Accepted{Config: newConfig()},
		},
		{
			name:     "no configuration",
			accepted: &config.Accepted{Head: &config.Head{Digest: digest}},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := VerifyDigest(test.accepted); got != test.want {
				t.Errorf("VerifyDigest = %v, want %v", got, test.want)
			}
		})
	}
}

// TestExchangeSizeOfTargetChange bounds the bytes that daemons exchange when one
// target of a pool changes. In a large deployment such targets come and go one by
// one, and every daemon fetches each change.
func TestExchangeSizeOfTargetChange(t *testing.T) {
	const (
		targets = 675
		// limit is the greatest size of an exchange, including fields and
		// digests, as a fraction of the size of the whole configuration.
		limit = 0.2
	)
	cfg := &config.Config{}
	for i := range targets {
		cfg.Targets = append(cfg.Targets, &config.Target{
			Id:         fmt.Sprintf("i-%08x", i*2654435761%(1<<32)),
			Address:    fmt.Sprintf("10.1.%d.%d:8144", i/250, i%250),
			Datacentre: "dc-1",
			Slots:      2,
			Pool:       fmt.Sprintf("shard-%d", i/3),
			Started:    1_700_000_000_000 + int64(i),
		})
	}
	slices.SortFunc(cfg.Targets, func(a, b *config.Target) int { return cmp.Compare(a.Id, b.Id) })
	changes := []struct {
		name   string
		change func(c *config.Config)
	}{
		{name: "one target removed", change: func(c *config.Config) { c.Targets = slices.Delete(c.Targets, 300, 301) }},
		{name: "one target draining", change: func(c *config.Config) { c.Targets[400].Leaving = true }},
		{name: "one target added", change: func(c *config.Config) {
			c.Targets = slices.Insert(c.Targets, 100, &config.Target{Id: c.Targets[99].Id + "a", Pool: "shard-1"})
		}},
		{name: "no change", change: func(*config.Config) {}},
	}
	for _, test := range changes {
		t.Run(test.name, func(t *testing.T) {
			own, err := NewPartSet(cfg)
			if err != nil {
				t.Fatal(err)
			}
			changed := proto.CloneOf(cfg)
			test.change(changed)
			next, err := NewPartSet(changed)
			if err != nil {
				t.Fatal(err)
			}
			parts, values := next.Export(own.DigestPrefixes())
			got, err := own.Import(parts, values)
			if err != nil {
				t.Fatal(err)
			}
			if !proto.Equal(got, changed) {
				t.Error("the imported configuration differs from the exported one")
			}
			sent, all := proto.Size(&config.Accepted{Parts: parts, Values: values}), proto.Size(changed)
			if float64(sent) > limit*float64(all) {
				t.Errorf("the exchange of one change takes %d bytes, the whole configuration %d", sent, all)
			}
		})
	}
}
