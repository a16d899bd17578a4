package configencoder

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/rotisserie/eris"

	"plantaincleat/tier/gen/config"
)

// PartSet are the parts of one configuration, from which another daemon is
// given those that it lacks. They never change. The zero value has none.
type PartSet struct {
	list    []Part
	stamps  []uint64
	byStamp map[uint64]*Part
}

// NewPartSet returns the parts of a configuration.
func NewPartSet(cfg *config.Config) (*PartSet, error) {
	list, err := Encode(cfg)
	if err != nil {
		return nil, err
	}
	p := &PartSet{
		list:    list,
		byStamp: make(map[uint64]*Part, len(list)),
	}
	for i := range list {
		s, err := stamp(list[i].Digest)
		if err != nil {
			return nil, err
		}
		p.stamps = append(p.stamps, s)
		p.byStamp[s] = &list[i]
	}
	return p, nil
}

// DigestPrefixes returns the first eight bytes of the digest of each part. The slice
// must not be changed.
func (p *PartSet) DigestPrefixes() []uint64 { return p.stamps }

// Export returns all parts by digest, and the values of those whose stamps a
// daemon does not have.
func (p *PartSet) Export(has []uint64) (parts []*config.Part, values [][]byte) {
	known := make(map[uint64]bool, len(has))
	for _, s := range has {
		known[s] = true
	}
	for i, part := range p.list {
		parts = append(parts, &config.Part{
			Field:  part.Field,
			Digest: part.Digest,
		})
		if !known[p.stamps[i]] {
			values = append(values, part.Value)
		}
		known[p.stamps[i]] = true
	}
	return parts, values
}

// Import puts a configuration together from what another daemon has exported
// for the stamps of p.
func (p *PartSet) Import(parts []*config.Part, values [][]byte) (*config.Config, error) {
	received := make(map[string][]byte, len(values))
	for _, value := range values {
		sum := sha256.Sum256(value)
		received[hex.EncodeToString(sum[:])] = value
	}
	ordered := make([][]byte, 0, len(parts))
	for _, part := range parts {
		value, found := received[part.Digest]
		if !found {
			own, err := p.lookup(part.Digest)
			if err != nil {
				return nil, eris.Wrapf(err, "part %s", part.Field)
			}
			value = own.Value
		}
		ordered = append(ordered, value)
	}
	return Decode(ordered)
}

// lookup returns the own part with a digest.
func (p *PartSet) lookup(digest string) (*Part, error) {
	s, err := stamp(digest)
	if err != nil {
		return nil, err
	}
	own := p.byStamp[s]
	if own == nil || own.Digest != digest {
		return nil, eris.Errorf("digest %s was not received", digest)
	}
	return own, nil
}

// stamp returns the first eight bytes of a digest in hex.
func stamp(digest string) (uint64, error) {
	raw, err := hex.DecodeString(digest)
	if err != nil || len(raw) != sha256.Size {
		return 0, eris.Errorf("%q is not a digest", digest)
	}
	return binary.BigEndian.Uint64(raw), nil
}
