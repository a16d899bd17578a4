// Package configreader reads the accepted configuration and its history from the
// key-value service.
//
// The configuration is stored as a manifest and parts. The value of HeadKey is
// the manifest, which names the parts by their digests. The value of a part
// never changes under its key, and the manifest is only changed by
// compare-and-swap. One read of Prefix is therefore always consistent.
package configreader

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"strings"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"plantaincleat/tier/gen/config"
	"plantaincleat/tier/pkg/configencoder"
	"plantaincleat/tier/pkg/storer"
)

// Keys of the configuration.
const (
	// Prefix is the common prefix of the keys of the manifest and the parts.
	Prefix = "plantaincleat/config/"
	// HeadKey is the key of the manifest.
	HeadKey = Prefix + "head"
	// PartPrefix precedes the digest of a part in the key of that part.
	PartPrefix = Prefix + "part/"
	// HistoryPrefix precedes a revision of 20 digits in the key of a history
	// entry.
	HistoryPrefix = "plantaincleat/history/"
)

var (
	// ErrNoConfig reports that no configuration has ever been accepted.
	ErrNoConfig = errors.New("no configuration has been accepted")
	// ErrCorrupt reports stored values that can not be decoded, or parts that
	// are missing or do not match the digest in the manifest.
	ErrCorrupt = errors.New("stored configuration is corrupt")
)

// State is the stored configuration at one store revision.
type State struct {
	// Accepted is the configuration in force, nil if none was ever accepted.
	Accepted *config.Accepted
	// ModRevision is the store revision at which the manifest was last written,
	// zero if there is none.
	ModRevision int64
	// PartDigests contains the digests of all stored parts, including those that the
	// manifest does not name.
	PartDigests map[string]bool
	// Revision is the store revision at which the state was read.
	Revision int64
}

// HistoryKey returns the key of the history entry of a revision.
func HistoryKey(revision uint64) string {
	return fmt.Sprintf("%s%020d", HistoryPrefix, revision)
}

// Read returns the configuration in force. The error wraps ErrNoConfig if there
// is none, ErrCorrupt, or an error of the store.
func Read(ctx context.Context, store storer.Store) (*config.Accepted, error) {
	state, err := ReadState(ctx, store)
	if err != nil {
		return nil, err
	}
	if state.Accepted == nil {
		return nil, eris.Wrap(ErrNoConfig, "read configuration")
	}
	return state.Accepted, nil
}

// ReadState returns the stored state of the configuration. It makes one call to
// the store.
func ReadState(ctx context.Context, store storer.Store) (*State, error) {
	page, err := store.Read(ctx, Prefix)
	if err != nil {
		return nil, eris.Wrap(err, "read configuration")
	}
	state, err := newState(page)
	if err != nil {
		return nil, eris.Wrapf(err, "read configuration at store revision %d", page.Revision)
	}
	return state, nil
}

// ReadHead returns the head of the configuration in force, nil if there is none,
// and the store revision of the read. It transfers only the manifest, so callers
// use it to find out whether they need a full Read.
func ReadHead(ctx context.Context, store storer.Store) (head *config.Head, revision int64, err error) {
	page, err := store.Read(ctx, HeadKey)
	if err != nil {
		return nil, 0, eris.Wrap(err, "read configuration head")
	}
	for _, item := range page.Items {
		if item.Key != HeadKey {
			continue
		}
		if head, err = DecodeHead(item.Value); err != nil {
			return nil, 0, eris.Wrap(err, "read configuration head")
		}
	}
	return head, page.Revision, nil
}

// DecodeHead decodes a value of HeadKey and returns the head in it. The error
// wraps ErrCorrupt.
func DecodeHead(value []byte) (*config.Head, error) {
	manifest, err := decodeManifest(value)
	if err != nil {
		return nil, err
	}
	return manifest.Head, nil
}

// ReadHistory returns the heads in the history, newest first, and the store
// revision of the read. Old entries are deleted; see proposer.HistoryLimit.
func ReadHistory(ctx context.Context, store storer.Store) (heads []*config.Head, revision int64, err error) {
	page, err := store.Read(ctx, HistoryPrefix)
	if err != nil {
		return nil, 0, eris.Wrap(err, "read history")
	}
	for i := len(page.Items) - 1; i >= 0; i-- {
		head := &config.Head{}
		if err := proto.Unmarshal(page.Items[i].Value, head); err != nil {
			return nil, 0, eris.Wrapf(ErrCorrupt, "read history: key %s: %v", page.Items[i].Key, err)
		}
		heads = append(heads, head)
	}
	return heads, page.Revision, nil
}

// newState returns the state in the items of one page. It verifies the digest of
// the configuration.
func newState(page storer.Page) (*State, error) {
	state := &State{
		PartDigests: map[string]bool{},
		Revision:    page.Revision,
	}
	values := map[string][]byte{}
	var manifest *config.Manifest
	for _, item := range page.Items {
		if digest, ok := strings.CutPrefix(item.Key, PartPrefix); ok {
			values[digest] = item.Value
			state.PartDigests[digest] = true
			continue
		}
		if item.Key != HeadKey {
			continue
		}
		var err error
		if manifest, err = decodeManifest(item.Value); err != nil {
			return nil, err
		}
		state.ModRevision = item.ModRevision
	}
	if manifest == nil {
		return state, nil
	}
	accepted, err := decodeParts(manifest, values)
	if err != nil {
		return nil, err
	}
	state.Accepted = accepted
	return state, nil
}

// decodeParts decodes the parts that a manifest names from their values by
// digest, and verifies the digest of the whole configuration.
func decodeParts(manifest *config.Manifest, values map[string][]byte) (*config.Accepted, error) {
	ordered := make([][]byte, 0, len(manifest.Parts))
	for _, part := range manifest.Parts {
		value, found := values[part.Digest]
		if !found {
			return nil, eris.Wrapf(ErrCorrupt, "part %s with digest %s is missing", part.Field, part.Digest)
		}
		ordered = append(ordered, value)
	}
	cfg, err := configencoder.Decode(ordered)
	if err != nil {
		return nil, eris.Wrapf(ErrCorrupt, "%v", err)
	}
	digest, err := configencoder.Digest(cfg)
	if err != nil {
		return nil, eris.Wrapf(ErrCorrupt, "%v", err)
	}
	if !bytes.Equal(digest, manifest.Head.Digest) {
		return nil, eris.Wrapf(ErrCorrupt, "revision %d: digest is %x, want %x", manifest.Head.Revision, digest, manifest.Head.Digest)
	}
	return &config.Accepted{
		Head:   manifest.Head,
		Config: cfg,
	}, nil
}

func decodeManifest(value []byte) (*config.Manifest, error) {
	manifest := &config.Manifest{}
	if err := proto.Unmarshal(value, manifest); err != nil {
		return nil, eris.Wrapf(ErrCorrupt, "manifest: %v", err)
	}
	if manifest.GetHead().GetRevision() == 0 {
		return nil, eris.Wrap(ErrCorrupt, "manifest: no revision")
	}
	return manifest, nil
}
