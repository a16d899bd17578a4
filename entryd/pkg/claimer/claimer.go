// Package claimer keeps the claims of request keys in the platform's
// key-value service, so that a non-idempotent request runs at most once.
//
// Keys are spread over buckets. A bucket is a log of entries, each a batch of
// claims, after a base. The state of a key is the fold of the log. An entry is
// appended in a transaction that holds only if the base is unchanged and the
// next sequence is absent; the base is never deleted and changes with every
// truncation. Any daemon may therefore act as keeper of a bucket at any time:
// a keeper that is paused, stale or one of two cannot append beside another.
//
// Every claim is idempotent by its dispatcher. A write whose answer was lost
// is repeated unchanged; if it is then refused, the log is read again and the
// claims are decided anew.
//
// Ledger and Bucket are deterministic state machines. Keeper runs them against
// a store, and Client finds the keeper of a key. spec/claims.pml is the model
// of the protocol.
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

// BucketCount is the number of logs that keys are spread over. It is part of the
// stored format: daemons that disagree on it would claim a key twice.
const BucketCount = 16

// MaxClaimBytes bounds the size of one claim in bytes, so that an entry stays within
// the value limit of the key-value service. A larger one is refused.
const MaxClaimBytes = 16 << 10

// logPrefix is where the logs stand in the key-value service.
const logPrefix = "plantaincleat/claims/"

// baseName is the last part of the key of a base.
const baseName = "base"

// Version and variant of the request keys accepted, RFC 9562.
const keyVersion = 7

// ErrInvalidKey reports that a request key is not a UUIDv7.
var ErrInvalidKey = errors.New("request key is not a UUIDv7")

// ErrCorruptLog reports that a log cannot be read.
var ErrCorruptLog = errors.New("log of claims is corrupt")

// Key is a request key in its canonical spelling.
type Key struct {
	text string
	time int64
}

// ParseKey accepts the spellings of a UUIDv7 that RFC 9562 allows.
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

// String returns the canonical spelling.
func (k Key) String() string { return k.text }

// Time returns the key's own time in Unix milliseconds.
func (k Key) Time() int64 { return k.time }

// Bucket returns the bucket of the key.
func (k Key) Bucket() uint32 {
	return uint32(xxhash.Sum64String(k.text) % BucketCount)
}

// bucketPrefix returns the prefix of all keys of a bucket's log.
func bucketPrefix(bucket uint32) string {
	return logPrefix + strconv.FormatUint(uint64(bucket), 10) + "/"
}

// basePath returns the key of a bucket's base.
func basePath(bucket uint32) string {
	return bucketPrefix(bucket) + baseName
}

// entryPath returns the key of an entry. Keys sort in the order of sequences.
func entryPath(bucket uint32, sequence uint64) string {
	return fmt.Sprintf("%s%020d", bucketPrefix(bucket), sequence)
}

// parseSequence returns the sequence of an entry's key.
func parseSequence(bucket uint32, path string) (uint64, error) {
	n, err := strconv.ParseUint(strings.TrimPrefix(path, bucketPrefix(bucket)), 10, 64)
	if err != nil {
		return 0, eris.Wrapf(ErrCorruptLog, "read log: key %q", path)
	}
	return n, nil
}
