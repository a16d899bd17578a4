package adopter

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
	"k8s.io/klog/v2"

	"plantaincleat/tier/gen/config"
	"plantaincleat/tier/pkg/configreader"
	"plantaincleat/tier/pkg/storer"
)

// Observation is what a Source knows of the newest configuration.
type Observation struct {
	// Head is the head of the configuration, nil if there is none.
	Head *config.Head
	// At is a time at which the store held no later configuration. It is when the store
	// was asked, not when the Source was: a Source that answers from a copy tells the age
	// of the copy. It is zero if no such time is known.
	At time.Time
}

// Source is the place from which readers read the configuration.
// Implementations are safe for concurrent use.
type Source interface {
	// Head returns the head of the newest configuration and the store revision from
	// which a watch can start.
	Head(ctx context.Context) (newest Observation, revision int64, err error)
	// Read returns the newest configuration, nil if there is none, and the time of the
	// Observation with its head.
	Read(ctx context.Context) (newest *config.Accepted, at time.Time, err error)
	// Watch returns a channel with observations of later configurations, and, if the
	// Source has them, of the same configuration at later times. The channel is closed
	// when the watch fails or ctx ends.
	Watch(ctx context.Context, after int64) <-chan Observation
}

// storeSource is a Source that reads a store in the layout of package
// configreader.
type storeSource struct {
	store storer.Store
	clock clockwork.Clock
}

// Head implements Source.
func (s storeSource) Head(ctx context.Context) (Observation, int64, error) {
	begun := s.clock.Now()
	head, revision, err := configreader.ReadHead(ctx, s.store)
	return Observation{
		Head: head,
		At:   begun,
	}, revision, err
}

// Read implements Source.
func (s storeSource) Read(ctx context.Context) (*config.Accepted, time.Time, error) {
	begun := s.clock.Now()
	state, err := configreader.ReadState(ctx, s.store)
	if err != nil {
		return nil, time.Time{}, err
	}
	return state.Accepted, begun, nil
}

// Watch implements Source. Its observations have no time, since an event of a watch may come
// late.
func (s storeSource) Watch(ctx context.Context, after int64) <-chan Observation {
	changes := s.store.Watch(ctx, configreader.HeadKey, after)
	heads := make(chan Observation)
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
			case heads <- Observation{Head: head}:
			case <-ctx.Done():
			}
		}
	}()
	return heads
}
