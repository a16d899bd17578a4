package configencoder

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/rotisserie/eris"

	"plantaincleat/tier/gen/config"
)

// PartSet contains the parts of one configuration. Daemons use it to exchange
// only the parts that the receiver lacks. It is immutable and safe for
// concurrent use. The zero value contains no parts.
type PartSet struct {
	parts    []Part
	prefixes []uint64
	byPrefix map[uint64]*Part
}

// NewPartSet returns the parts of a configuration.
func NewPartSet(cfg *config.Config) (*PartSet, error) {
	list, err := Encode(cfg)
	if err != nil {
		return nil, err
	}
	p := &PartSet{
		parts:    list,
		byPrefix: make(map[uint64]*Part, len(list)),
	}
	for i := range list {
		prefix, err := digestPrefix(list[i].Digest)
		if err != nil {
			return nil, err
		}
		p.prefixes = append(p.prefixes, prefix)
		p.byPrefix[prefix] = &list[i]
	}
	return p, nil
}

// DigestPrefixes returns the first eight bytes of the digest of each part, as
// big-endian numbers. The slice must not be modified.
func (p *PartSet) DigestPrefixes() []uint64 { return p.prefixes }

// Export returns the field and digest of all parts, and the values of the parts
// whose digest prefixes are not in peerPrefixes.
func (p *PartSet) Export(peerPrefixes []uint64) (parts []*config.Part, values [][]byte) {
	known := make(map[uint64]bool, len(peerPrefixes))
	for _, prefix := range peerPrefixes {
		known[prefix] = true
	}
	for i, part := range p.parts {
		parts = append(parts, &config.Part{
			Field:  part.Field,
			Digest: part.Digest,
		})
		if !known[p.prefixes[i]] {
			values = append(values, part.Value)
		}
		known[p.prefixes[i]] = true
	}
	return parts, values
}

// Import assembles a configuration from what another daemon's Export returned for
// the digest prefixes of p. It returns an error if a part is neither among the
// values nor in p.
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
			own, err := p.find(part.Digest)
			if err != nil {
				return nil, eris.Wrapf(err, "part %s", part.Field)
			}
			value = own.Value
		}
		ordered = append(ordered, value)
	}
	return Decode(ordered)
}

// find returns the part in the set with a digest.
func (p *PartSet) find(digest string) (*Part, error) {
	prefix, err := digestPrefix(digest)
	if err != nil {
		return nil, err
	}
	own := p.byPrefix[prefix]
	if own == nil || own.Digest != digest {
		return nil, eris.Errorf("digest %s is neither received nor known", digest)
	}
	return own, nil
}

// digestPrefix returns the first eight bytes of a hex SHA-256 digest as a
// big-endian number.
func digestPrefix(digest string) (uint64, error) {
	raw, err := hex.DecodeString(digest)
	if err != nil || len(raw) != sha256.Size {
		return 0, eris.Errorf("%q is not a SHA-256 digest in hex", digest)
	}
	return binary.BigEndian.Uint64(raw), nil
}
