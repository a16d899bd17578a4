package starter

import (
	"context"
	"sync/atomic"

	"plantaincleat/tier/gen/config"
	"plantaincleat/tier/gen/peer"
	"plantaincleat/tier/pkg/indexer"
)

// Adopter moves the daemon to newer configurations.
type Adopter interface {
	// Run follows the configuration until ctx ends.
	Run(ctx context.Context)
	// Accepted returns the configuration in force, nil for none.
	Accepted() *config.Accepted
	// Subscribe returns a channel that gets a value after changes.
	Subscribe() (<-chan struct{}, func())
	// Fetch serves other daemons.
	Fetch(ctx context.Context, in *peer.FetchRequest) (*config.Accepted, error)
}

// configs holds the index of the configuration in force.
type configs struct {
	index    atomic.Pointer[indexer.Index]
	onChange []func(*indexer.Index)
}

func newConfigs() *configs {
	c := &configs{}
	c.index.Store(indexer.New(nil))
	return c
}

// Index implements gatherer.Configs.
func (c *configs) Index() *indexer.Index { return c.index.Load() }

// follow indexes each newly adopted configuration until ctx ends.
func (c *configs) follow(ctx context.Context, a Adopter) {
	changed, stop := a.Subscribe()
	defer stop()
	for {
		c.adopt(a.Accepted())
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

func (c *configs) adopt(accepted *config.Accepted) {
	if accepted.GetHead().GetRevision() <= c.Index().Revision() {
		return
	}
	ix := indexer.New(accepted)
	c.index.Store(ix)
	for _, f := range c.onChange {
		f(ix)
	}
}
