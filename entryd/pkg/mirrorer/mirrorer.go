// Package mirrorer keeps a copy of a part of the store from which the
// configuration is made, such as entries that targets write themselves.
//
// It is the adopter's Source on a platform that has its own layout. The content
// at a store revision is the same for every daemon that has followed the store
// up to there, so that the revision of the configuration is that of the store.
package mirrorer

import (
	"bytes"
	"context"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	"plantaincleat/tier/gen/config"
	"plantaincleat/tier/pkg/configencoder"
	"plantaincleat/tier/pkg/storer"
)

// Translate makes a configuration of the items by key. It returns nil if they
// hold none.
type Translate func(items map[string]storer.Item) (*config.Config, error)

// Options set up a Mirror. All fields are needed.
type Options struct {
	Store     storer.Store
	Clock     clockwork.Clock
	Translate Translate
	// Prefixes are those of the keys that matter.
	Prefixes []string
	// MaxStaleness is the time since the last sign of a watch up to which the copy
	// counts as that of the store.
	MaxStaleness time.Duration
}

// Mirror is a Source of the adopter. It is safe for concurrent use.
type Mirror struct {
	Options

	mu       sync.Mutex
	items    map[string]storer.Item
	revision int64
	accepted *config.Accepted
	heard    time.Time
	// stale is true while items have changed since the configuration was made.
	stale    bool
	watching bool
	watches  int
}

// New returns a Mirror that holds nothing yet.
func New(o Options) *Mirror {
	return &Mirror{
		Options: o,
		items:   make(map[string]storer.Item),
	}
}

// Head implements adopter.Source. It asks the store only if no watch tells that
// the copy is fresh.
func (m *Mirror) Head(ctx context.Context) (*config.Head, int64, error) {
	m.mu.Lock()
	if m.watching && m.Clock.Since(m.heard) <= m.MaxStaleness {
		defer m.mu.Unlock()
		return m.accepted.GetHead(), m.revision, nil
	}
	m.mu.Unlock()
	items := make(map[string]storer.Item)
	var revision int64
	for i, prefix := range m.Prefixes {
		page, err := m.Store.Read(ctx, prefix)
		if err != nil {
			return nil, 0, eris.Wrapf(err, "mirror %s", prefix)
		}
		if i == 0 {
			revision = page.Revision
		}
		for _, item := range page.Items {
			items[item.Key] = item
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if revision < m.revision {
		return m.accepted.GetHead(), m.revision, nil
	}
	m.items, m.revision, m.stale = items, revision, true
	if err := m.renew(); err != nil {
		return nil, 0, err
	}
	return m.accepted.GetHead(), m.revision, nil
}

// Read implements adopter.Source.
func (m *Mirror) Read(context.Context) (*config.Accepted, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.accepted, nil
}

// Watch implements adopter.Source.
func (m *Mirror) Watch(ctx context.Context, after int64) <-chan *config.Head {
	heads := make(chan *config.Head)
	changes := m.Store.Watch(ctx, "", after)
	m.mu.Lock()
	m.watching, m.heard = true, m.Clock.Now()
	m.watches++
	own := m.watches
	m.mu.Unlock()
	go func() {
		defer close(heads)
		for change := range changes {
			if change.Err != nil {
				klog.InfoS("watch ended", "err", change.Err.Error())
				continue
			}
			head := m.apply(change)
			if head == nil {
				continue
			}
			select {
			case heads <- head:
			case <-ctx.Done():
			}
		}
		m.mu.Lock()
		defer m.mu.Unlock()
		if m.watches == own {
			m.watching = false
		}
	}()
	return heads
}

// apply takes in one change, and returns the head of the configuration if it is
// another one.
func (m *Mirror) apply(change storer.Event) *config.Head {
	m.mu.Lock()
	defer m.mu.Unlock()
	if change.ProgressRevision > 0 {
		return m.progress(change.ProgressRevision)
	}
	if change.Item.ModRevision <= m.revision || !m.matters(change.Item.Key) {
		return nil
	}
	m.stale = true
	if change.Deleted {
		delete(m.items, change.Item.Key)
	} else {
		m.items[change.Item.Key] = change.Item
	}
	return nil
}

// progress notes that the copy is that of the store at a revision.
func (m *Mirror) progress(revision int64) *config.Head {
	m.heard = m.Clock.Now()
	if revision <= m.revision {
		return nil
	}
	m.revision = revision
	if !m.stale {
		return nil
	}
	before := m.accepted.GetHead().GetRevision()
	if err := m.renew(); err != nil {
		klog.ErrorS(nil, "configuration not translated", "revision", revision, "err", err.Error())
		return nil
	}
	if m.accepted.GetHead().GetRevision() == before {
		return nil
	}
	return m.accepted.GetHead()
}

func (m *Mirror) matters(key string) bool {
	for _, p := range m.Prefixes {
		if strings.HasPrefix(key, p) {
			return true
		}
	}
	return false
}

// renew makes the configuration anew. One that has the same content keeps its
// revision.
func (m *Mirror) renew() error {
	cfg, err := m.Translate(m.items)
	if err != nil {
		return eris.Wrapf(err, "translate store revision %d", m.revision)
	}
	m.stale = false
	if cfg == nil {
		return nil
	}
	digest, err := configencoder.Digest(cfg)
	if err != nil {
		return err
	}
	if bytes.Equal(digest, m.accepted.GetHead().GetDigest()) {
		return nil
	}
	m.accepted = &config.Accepted{
		Head: &config.Head{
			Revision: uint64(m.revision),
			Change:   "store",
			Digest:   digest,
		},
		Config: cfg,
	}
	return nil
}
