// Package cursorencoder encodes and decodes page cursors. A cursor is bound to one
// snapshot and one query, so that consecutive pages neither repeat nor skip
// records.
package cursorencoder

import (
	"encoding/base64"
	"encoding/binary"
	"errors"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"plantaincleat/tier/gen/peer"
	"plantaincleat/tier/gen/target"
	"plantaincleat/tier/pkg/hasher"
)

// Errors of Decode.
var (
	ErrMalformed     = errors.New("cursor is malformed")
	ErrQueryMismatch = errors.New("cursor belongs to another query")
)

const (
	// checksumBytes is the size of the xxhash64 checksum before the message.
	checksumBytes = 8
	// maxTextBytes is the greatest length of a text that Decode accepts.
	maxTextBytes = 4096
)

// Encode returns a cursor as URL-safe base64 with a checksum, or an empty string
// if the cursor can not be encoded.
func Encode(c *peer.Cursor) string {
	raw, err := proto.MarshalOptions{Deterministic: true}.Marshal(c)
	if err != nil {
		return ""
	}
	out := binary.BigEndian.AppendUint64(make([]byte, 0, checksumBytes+len(raw)), xxhash.Sum64(raw))
	return base64.RawURLEncoding.EncodeToString(append(out, raw...))
}

// Decode parses a cursor that Encode returned and checks that it belongs to the
// query with the given hash. The error is ErrQueryMismatch or wraps
// ErrMalformed.
func Decode(text string, query uint64) (*peer.Cursor, error) {
	if len(text) > maxTextBytes {
		return nil, eris.Wrapf(ErrMalformed, "length %d exceeds %d bytes", len(text), maxTextBytes)
	}
	raw, err := base64.RawURLEncoding.DecodeString(text)
	if err != nil || len(raw) < checksumBytes {
		return nil, eris.Wrap(ErrMalformed, "not base64url, or shorter than the checksum")
	}
	if binary.BigEndian.Uint64(raw) != xxhash.Sum64(raw[checksumBytes:]) {
		return nil, eris.Wrap(ErrMalformed, "checksum differs")
	}
	c := &peer.Cursor{}
	if err := proto.Unmarshal(raw[checksumBytes:], c); err != nil {
		return nil, eris.Wrap(ErrMalformed, "not a cursor message")
	}
	if c.GetQuery() != query {
		return nil, ErrQueryMismatch
	}
	return c, nil
}

// QueryHash returns the hash that binds a cursor to a query. It leaves out the
// place and the limit, which may differ between the pages of one result.
func QueryHash(collection, version, class string, q *target.Query) uint64 {
	return hasher.Strings(append([]string{collection, version, class, q.GetPrefix()}, q.GetTerms()...)...)
}
