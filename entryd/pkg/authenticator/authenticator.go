// Package authenticator tells which institution a caller's key belongs to. Keys are kept
// and compared as SHA-256 digests, so neither a configuration nor a dump of the memory
// reveals them.
package authenticator

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"strings"

	"plantaincleat/tier/gen/config"
)

// scheme is the beginning of the value of an Authorization header with a key.
const scheme = "Bearer "

// Digest is the SHA-256 digest of a key.
type Digest [sha256.Size]byte

// DigestOf returns the digest of a key.
func DigestOf(key string) Digest { return sha256.Sum256([]byte(key)) }

// String returns the digest in lower-case hex, as configurations contain it.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// parseDigest returns the digest that a configuration contains as hex.
func parseDigest(text string) (Digest, bool) {
	var d Digest
	if len(text) != hex.EncodedLen(len(d)) {
		return d, false
	}
	_, err := hex.Decode(d[:], []byte(text))
	return d, err == nil
}

// Parse returns the digest of the key in the value of an Authorization header. If the value
// contains no key, ok is false. The value is hashed all the same, so that the answer takes
// as long as that to an unknown key.
func Parse(authorization string) (d Digest, ok bool) {
	key, ok := strings.CutPrefix(authorization, scheme)
	return DigestOf(key), ok && key != ""
}

// Holds reports whether an institution has the key with a digest. It compares all digests
// of the institution in constant time.
func Holds(in *config.Institution, d Digest) bool {
	found := 0
	for _, token := range in.GetTokens() {
		if own, ok := parseDigest(token); ok {
			found |= subtle.ConstantTimeCompare(own[:], d[:])
		}
	}
	return found == 1
}

// Table maps the keys of one configuration to their institutions. It is immutable. A nil
// Table is that of a configuration without institutions.
//
// A look-up takes constant time in the number of institutions. Its duration depends on the
// digest only, from which the bytes of a similar key can not be guessed.
type Table struct {
	institutions []*config.Institution
	// byDigest holds nil for a key of several institutions, which names none of them.
	byDigest map[Digest]*config.Institution
	byName   map[string]*config.Institution
}

// NewTable returns the table of the institutions of a configuration. It must not be modified
// afterwards.
func NewTable(institutions []*config.Institution) *Table {
	t := &Table{
		institutions: institutions,
		byDigest:     make(map[Digest]*config.Institution, len(institutions)),
		byName:       make(map[string]*config.Institution, len(institutions)),
	}
	for _, in := range institutions {
		t.byName[in.GetName()] = in
		for _, token := range in.GetTokens() {
			t.add(token, in)
		}
	}
	return t
}

func (t *Table) add(token string, in *config.Institution) {
	d, ok := parseDigest(token)
	if !ok {
		return
	}
	if other, found := t.byDigest[d]; found && other != in {
		in = nil
	}
	t.byDigest[d] = in
}

// Required reports whether requests need a key, which is the case if the configuration has
// institutions.
func (t *Table) Required() bool { return t != nil && len(t.institutions) > 0 }

// Find returns the institution whose key is in the value of an Authorization header, or nil
// if the value contains no key or an unknown one.
func (t *Table) Find(authorization string) *config.Institution {
	d, ok := Parse(authorization)
	if t == nil {
		return nil
	}
	in := t.byDigest[d]
	if !ok {
		return nil
	}
	return in
}

// Institution returns the institution with a name, or nil if there is none.
func (t *Table) Institution(name string) *config.Institution {
	if t == nil {
		return nil
	}
	return t.byName[name]
}

// Institutions returns the institutions in the order of the configuration. The slice must
// not be modified.
func (t *Table) Institutions() []*config.Institution {
	if t == nil {
		return nil
	}
	return t.institutions
}
