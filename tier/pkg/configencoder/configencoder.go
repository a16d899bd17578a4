// Package configencoder splits a configuration into parts, which are stored as
// separate values in the key-value service, and assembles it from them.
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

// MaxValueBytes is the size of the largest value that can be stored.
const MaxValueBytes = 1 << 20

// Part is one stored value: the encoding of a configuration with only a section
// of its content set. Each collection is a part of its own.
type Part struct {
	// Field is the path of the part's content in the configuration.
	Field string
	// Digest is the SHA-256 of Value in hex. The key of the part in the store
	// contains it, so parts that a change does not affect are not written again.
	Digest string
	Value  []byte
}

// section is the content of one part before it is encoded.
type section struct {
	field   string
	content *config.Config
}

// Encode returns the parts of a configuration, in the order that Decode needs.
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
	// meanTargetsPerPart is the mean number of targets in a part of pooled
	// targets, and maxTargetsPerPart the greatest.
	meanTargetsPerPart = 16
	maxTargetsPerPart  = 64
)

// targetSections returns the targets in one section, or in several if any target
// belongs to a pool. Targets of pools register themselves, so their set changes
// hourly, and each change should rewrite few parts. A section therefore ends at
// targets chosen by a hash of their ids. Adding or removing a target then changes
// only one or two sections.
func targetSections(targets []*config.Target) []section {
	pooled := slices.ContainsFunc(targets, func(t *config.Target) bool { return t.GetPool() != "" })
	if !pooled {
		return []section{newTargetSection(0, targets)}
	}
	var sections []section
	begin := 0
	for i, t := range targets {
		n := i + 1 - begin
		last := n >= maxTargetsPerPart || hasher.Strings("part", t.GetId())%meanTargetsPerPart == 0
		if last || i+1 == len(targets) {
			sections = append(sections, newTargetSection(len(sections), targets[begin:i+1]))
			begin = i + 1
		}
	}
	return sections
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

// Decode assembles a configuration from the values of its parts.
func Decode(values [][]byte) (*config.Config, error) {
	cfg := &config.Config{}
	for _, value := range values {
		if err := (proto.UnmarshalOptions{Merge: true}).Unmarshal(value, cfg); err != nil {
			return nil, eris.Wrap(err, "decode configuration")
		}
	}
	return cfg, nil
}

// Digest returns the SHA-256 of the deterministic encoding of a configuration.
// A daemon that does not know a new field yet computes the same digest, because
// the schema only adds fields with higher numbers and the encoding keeps unknown
// fields at the end.
func Digest(cfg *config.Config) ([]byte, error) {
	encoded, err := marshal(cfg)
	if err != nil {
		return nil, eris.Wrap(err, "encode configuration for its digest")
	}
	sum := sha256.Sum256(encoded)
	return sum[:], nil
}

// VerifyDigest reports whether a configuration has the digest that its head
// states. It returns false if either is absent.
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
