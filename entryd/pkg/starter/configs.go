package starter

import (
	"context"
	"sync/atomic"
	"time"

	"plantaincleat/entryd/pkg/adopter"
	"plantaincleat/tier/gen/config"
	"plantaincleat/tier/pkg/indexer"
)

// configs holds the index of the configuration in force and notifies its users of
// changes. The functions in onChange must be added before follow is called.
type configs struct {
	now      func() time.Time
	index    atomic.Pointer[indexer.Index]
	onChange []func(*indexer.Index)
	// adopted is the time at which this daemon adopted the configuration, in
	// Unix milliseconds.
	adopted atomic.Int64
}

func newConfigs(now func() time.Time) *configs {
	c := &configs{
		now: now,
	}
	c.index.Store(indexer.New(nil))
	return c
}

// Index implements gatherer.Configs.
func (c *configs) Index() *indexer.Index { return c.index.Load() }

// follow indexes each newly adopted configuration until ctx is done.
func (c *configs) follow(ctx context.Context, a *adopter.Runner) {
	changed, stop := a.Subscribe()
	defer stop()
	for {
		c.adopt(a.Current())
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// adopt puts a configuration in force if its revision is higher than the current one.
func (c *configs) adopt(accepted *config.Accepted) {
	if accepted.GetHead().GetRevision() <= c.Index().Revision() {
		return
	}
	ix := indexer.New(accepted)
	c.index.Store(ix)
	c.adopted.Store(c.now().UnixMilli())
	for _, f := range c.onChange {
		f(ix)
	}
}
