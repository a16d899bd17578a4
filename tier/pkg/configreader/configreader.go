// Package configreader reads the accepted configuration and its history from the
// key-value service.
//
// The head key holds a manifest, which names the parts by their digests. A
// part never changes under its key, and the manifest only changes by
// compare-and-swap, so that one read of the prefix is always consistent.
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
	// Prefix is that of the manifest and the parts.
	Prefix = "plantaincleat/config/"
	// HeadKey is the key of the manifest.
	HeadKey = Prefix + "head"
	// PartPrefix is followed by the digest of a part.
	PartPrefix = Prefix + "part/"
	// HistoryPrefix is followed by a revision of 20 digits.
	HistoryPrefix = "plantaincleat/history/"
)

var (
	// ErrNoConfig reports that no configuration was ever accepted.
	ErrNoConfig = errors.New("no configuration has been accepted")
	// ErrCorrupt reports stored values that do not fit together.
	ErrCorrupt = errors.New("stored configuration is corrupt")
)

// State is the configuration as stored at one revision of the store.
type State struct {
	// Accepted is nil if no configuration was ever accepted.
	Accepted *config.Accepted
	// ModRevision is the store revision of the manifest, zero if there is none.
	ModRevision int64
	// Parts are the digests of all stored parts, also of unused ones.
	Parts map[string]bool
	// Revision is the store revision of the read.
	Revision int64
}

// HistoryKey returns the key of the history entry of a revision.
func HistoryKey(revision uint64) string {
	return fmt.Sprintf("%s%020d", HistoryPrefix, revision)
}

// Read returns the accepted configuration, or ErrNone.
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

// ReadState returns the state of the configuration from one read.
func ReadState(ctx context.Context, store storer.Store) (*State, error) {
	page, err := store.Read(ctx, Prefix)
	if err != nil {
		return nil, eris.Wrap(err, "read configuration")
	}
	state, err := assemble(page)
	if err != nil {
		return nil, eris.Wrapf(err, "read configuration at store revision %d", page.Revision)
	}
	return state, nil
}

// ReadHead returns the head of the configuration in force, nil if there is
// none, and the store revision of the read. It is a small read that tells
// whether a full one is needed.
func ReadHead(ctx context.Context, store storer.Store) (head *config.Head, revision int64, err error) {
	page, err := store.Read(ctx, HeadKey)
	if err != nil {
		return nil, 0, eris.Wrap(err, "read head of configuration")
	}
	for _, item := range page.Items {
		if item.Key != HeadKey {
			continue
		}
		if head, err = DecodeHead(item.Value); err != nil {
			return nil, 0, eris.Wrap(err, "read head of configuration")
		}
	}
	return head, page.Revision, nil
}

// DecodeHead returns the head in a value of HeadKey.
func DecodeHead(value []byte) (*config.Head, error) {
	manifest, err := decodeManifest(value)
	if err != nil {
		return nil, err
	}
	return manifest.Head, nil
}

// ReadHistory returns the heads that are still kept, the newest first, and the
// store revision of the read.
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

// assemble puts the items of one page together and verifies the digest.
func assemble(page storer.Page) (*State, error) {
	state := &State{
		Parts:    map[string]bool{},
		Revision: page.Revision,
	}
	values := map[string][]byte{}
	var manifest *config.Manifest
	for _, item := range page.Items {
		if digest, ok := strings.CutPrefix(item.Key, PartPrefix); ok {
			values[digest] = item.Value
			state.Parts[digest] = true
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
	accepted, err := join(manifest, values)
	if err != nil {
		return nil, err
	}
	state.Accepted = accepted
	return state, nil
}

// join decodes the parts that a manifest names.
func join(manifest *config.Manifest, values map[string][]byte) (*config.Accepted, error) {
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
