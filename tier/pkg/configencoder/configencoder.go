// Package configencoder splits a configuration into the values that are stored in
// the key-value service and puts it together again.
package configencoder

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"plantaincleat/tier/gen/config"
	"plantaincleat/tier/pkg/hasher"
)

// MaxValueBytes is the size in bytes of the largest value that can be stored.
const MaxValueBytes = 1 << 20

// Part is one stored value: the encoding of a configuration that has only
// one field set. A collection is a part of its own.
type Part struct {
	// Field is the path of the content in the configuration.
	Field string
	// Digest is the SHA-256 of Value in hex. It names the part in the store,
	// so that a part that a change leaves alone is not written again.
	Digest string
	Value  []byte
}

// section is the content of one part.
type section struct {
	field   string
	content *config.Config
}

// Encode returns the parts of a configuration in the order in which Decode
// needs them.
func Encode(cfg *config.Config) ([]Part, error) {
	sections := targetSections(cfg.GetTargets())
	sections = append(sections, []section{
		{
			field:   "institutions",
			content: &config.Config{Institutions: cfg.GetInstitutions()},
		},
		{
			field:   "policy",
			content: &config.Config{Policy: cfg.GetPolicy()},
		},
	}...)
	if len(cfg.GetRoutes()) > 0 || len(cfg.GetPools()) > 0 || cfg.GetLimits() != nil {
		sections = append(sections, section{
			field: "routes",
			content: &config.Config{
				Routes: cfg.GetRoutes(),
				Pools:  cfg.GetPools(),
				Limits: cfg.GetLimits(),
			},
		})
	}
	parts := make([]Part, 0, len(sections)+len(cfg.GetCollections()))
	for _, s := range sections {
		part, err := newPart(s.field, s.content)
		if err != nil {
			return nil, err
		}
		parts = append(parts, part)
	}
	for i, c := range cfg.GetCollections() {
		part, err := newPart(fmt.Sprintf("collections[%d]", i), &config.Config{
			Collections: []*config.Collection{c},
		})
		if err != nil {
			return nil, err
		}
		parts = append(parts, part)
	}
	return parts, nil
}

const (
	// meanTargets is the mean number of targets in a part, and maxTargets the most.
	meanTargets = 16
	maxTargets  = 64
)

// targetSections returns the targets in one section, or in several if there are
// targets of pools: those announce themselves and change by the hour. The sections
// end at targets that are picked by their ids, so that a target which comes or goes
// changes one or two of them.
func targetSections(targets []*config.Target) []section {
	pooled := slices.ContainsFunc(targets, func(t *config.Target) bool { return t.GetPool() != "" })
	if !pooled {
		return []section{newTargetSection(0, targets)}
	}
	var out []section
	begin := 0
	for i, t := range targets {
		n := i + 1 - begin
		picked := n >= maxTargets || hasher.Strings("part", t.GetId())%meanTargets == 0
		if picked || i+1 == len(targets) {
			out = append(out, newTargetSection(len(out), targets[begin:i+1]))
			begin = i + 1
		}
	}
	return out
}

func newTargetSection(n int, targets []*config.Target) section {
	field := "targets"
	if n > 0 {
		field = fmt.Sprintf("targets[%d]", n)
	}
	return section{
		field: field,
		content: &config.Config{
			Targets: targets,
		},
	}
}

func newPart(field string, content *config.Config) (Part, error) {
	value, err := marshal(content)
	if err != nil {
		return Part{}, eris.Wrapf(err, "encode %s", field)
	}
	sum := sha256.Sum256(value)
	return Part{
		Field:  field,
		Digest: hex.EncodeToString(sum[:]),
		Value:  value,
	}, nil
}

// Decode puts a configuration together from the values of its parts.
func Decode(values [][]byte) (*config.Config, error) {
	cfg := &config.Config{}
	for _, value := range values {
		if err := (proto.UnmarshalOptions{Merge: true}).Unmarshal(value, cfg); err != nil {
			return nil, eris.Wrap(err, "decode configuration")
		}
	}
	return cfg, nil
}

// Digest returns the SHA-256 of the deterministic encoding of a
// configuration. The schema only adds fields with higher numbers, so that a
// daemon that does not know a field yet computes the same digest.
func Digest(cfg *config.Config) ([]byte, error) {
	encoded, err := marshal(cfg)
	if err != nil {
		return nil, eris.Wrap(err, "digest of configuration")
	}
	sum := sha256.Sum256(encoded)
	return sum[:], nil
}

// VerifyDigest tells whether a configuration has the digest that its head states.
func VerifyDigest(a *config.Accepted) bool {
	if a.GetHead() == nil || a.GetConfig() == nil {
		return false
	}
	digest, err := Digest(a.GetConfig())
	return err == nil && bytes.Equal(digest, a.GetHead().GetDigest())
}

func marshal(m proto.Message) ([]byte, error) {
	return proto.MarshalOptions{Deterministic: true}.Marshal(m)
}
