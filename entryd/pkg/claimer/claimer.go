// Package claimer stores the claims of request keys in the platform's
// key-value service, so that a non-idempotent request is executed at most once.
//
// Keys are spread over buckets by hash. Each bucket has a log in the key-value
// service: a base, followed by entries with consecutive sequence numbers. The
// base holds the sequence up to which the log was truncated and the time below
// which keys are expired (the floor). Each entry is a batch of claims. The state
// of a key follows from applying the entries in order.
//
// A transaction appends an entry only if the base is unchanged and no entry
// with the next sequence exists. The base is never deleted, and every
// truncation of the log rewrites it. Any daemon may therefore write to any
// bucket at any time: a writer that was paused, has an outdated ledger or
// competes with another one cannot overwrite an entry or skip a sequence.
//
// Claims are idempotent per dispatcher. A write whose answer was lost is
// repeated unchanged. If the store then refuses it, the log is read again and
// the claims are decided anew.
//
// Ledger and Bucket are deterministic state machines. BucketWriter runs them
// against a store, and Client sends claims to the daemon that writes the bucket
// of a key. spec/claims.pml is a Promela model of the protocol.
package claimer

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"github.com/rotisserie/eris"
)

// BucketCount is the number of buckets that keys are spread over. It is part of
// the stored format: daemons with different values could grant a key twice.
const BucketCount = 16

// MaxClaimBytes bounds the encoded size of one claim, so that an entry stays
// within the value size limit of the key-value service. Larger claims are
// refused.
const MaxClaimBytes = 16 << 10

// logPrefix is the prefix of all claim logs in the key-value service.
const logPrefix = "plantaincleat/claims/"

// baseName is the last path element of the store key of a base.
const baseName = "base"

// keyVersion is the UUID version that request keys must have (RFC 9562).
const keyVersion = 7

// ErrInvalidKey reports that a request key is not a UUIDv7.
var ErrInvalidKey = errors.New("request key is not a UUIDv7")

// ErrCorruptLog reports that the log of a bucket cannot be decoded or has a gap.
var ErrCorruptLog = errors.New("claim log is corrupt")

// Key is a request key in its canonical UUID form.
type Key struct {
	text string
	time int64
}

// ParseKey parses a UUIDv7 in any textual form that uuid.Parse accepts. Its
// errors match ErrInvalidKey.
func ParseKey(s string) (Key, error) {
	id, err := uuid.Parse(s)
	if err != nil || id.Version() != keyVersion || id.Variant() != uuid.RFC4122 {
		return Key{}, eris.Wrapf(ErrInvalidKey, "parse key %q", s)
	}
	sec, nsec := id.Time().UnixTime()
	return Key{
		text: id.String(),
		time: time.Unix(sec, nsec).UnixMilli(),
	}, nil
}

// String returns the canonical UUID form.
func (k Key) String() string { return k.text }

// Time returns the time that the UUIDv7 contains, in Unix milliseconds.
func (k Key) Time() int64 { return k.time }

// Bucket returns the number of the bucket that the key belongs to.
func (k Key) Bucket() uint32 {
	return uint32(xxhash.Sum64String(k.text) % BucketCount)
}

// bucketPrefix returns the common prefix of the store keys of a bucket's log.
func bucketPrefix(bucket uint32) string {
	return logPrefix + strconv.FormatUint(uint64(bucket), 10) + "/"
}

// basePath returns the store key of a bucket's base.
func basePath(bucket uint32) string {
	return bucketPrefix(bucket) + baseName
}

// entryPath returns the store key of an entry. Zero padding makes the store
// keys sort by sequence.
func entryPath(bucket uint32, sequence uint64) string {
	return fmt.Sprintf("%s%020d", bucketPrefix(bucket), sequence)
}

// parseSequence returns the sequence in the store key of an entry.
func parseSequence(bucket uint32, path string) (uint64, error) {
	n, err := strconv.ParseUint(strings.TrimPrefix(path, bucketPrefix(bucket)), 10, 64)
	if err != nil {
		return 0, eris.Wrapf(ErrCorruptLog, "read claim log: parse sequence in key %q", path)
	}
	return n, nil
}
