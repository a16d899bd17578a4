package adopter

import (
	"context"

	"k8s.io/klog/v2"

	"plantaincleat/tier/gen/config"
	"plantaincleat/tier/pkg/configreader"
	"plantaincleat/tier/pkg/storer"
)

// Source is the place from which readers read the configuration.
// Implementations are safe for concurrent use.
type Source interface {
	// Head returns the head of the newest configuration, nil if there is none,
	// and the store revision from which a watch can start.
	Head(ctx context.Context) (head *config.Head, revision int64, err error)
	// Read returns the newest configuration, nil if there is none.
	Read(ctx context.Context) (*config.Accepted, error)
	// Watch returns a channel with the heads of later configurations. The
	// channel is closed when the watch fails or ctx ends.
	Watch(ctx context.Context, after int64) <-chan *config.Head
}

// storeSource is a Source that reads a store in the layout of package
// configreader.
type storeSource struct {
	store storer.Store
}

// Head implements Source.
func (s storeSource) Head(ctx context.Context) (*config.Head, int64, error) {
	return configreader.ReadHead(ctx, s.store)
}

// Read implements Source.
func (s storeSource) Read(ctx context.Context) (*config.Accepted, error) {
	state, err := configreader.ReadState(ctx, s.store)
	if err != nil {
		return nil, err
	}
	return state.Accepted, nil
}

// Watch implements Source.
func (s storeSource) Watch(ctx context.Context, after int64) <-chan *config.Head {
	changes := s.store.Watch(ctx, configreader.HeadKey, after)
	heads := make(chan *config.Head)
	go func() {
		defer close(heads)
		for change := range changes {
			if change.Err != nil || change.Deleted || change.Item.Key != configreader.HeadKey {
				continue
			}
			head, err := configreader.DecodeHead(change.Item.Value)
			if err != nil {
				klog.ErrorS(nil, "failed to decode a configuration head from the watch", "err", err.Error())
				continue
			}
			select {
			case heads <- head:
			case <-ctx.Done():
			}
		}
	}()
	return heads
}
