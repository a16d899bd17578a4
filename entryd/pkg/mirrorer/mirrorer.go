// Package mirrorer keeps a local copy of the part of the store that a
// configuration is translated from, such as entries that targets write
// themselves.
//
// It is the Source of the adopter on a platform that has its own layout of the
// store. The copy at a store revision is the same in every daemon, whether the
// daemon read it or watched the changes. The store revision therefore serves as
// the revision of the configuration.
//
// A store that returns from an earlier copy of its content may hold an older version of
// the operators' configuration than the one in force. The mirror then keeps the one in
// force, with the targets that the store has, until the operators write theirs again. Orders
// to evacuate a data centre that such a copy lacks stay in force as well, see keepOrders.
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

	"plantaincleat/entryd/pkg/adopter"
	"plantaincleat/tier/gen/config"
	"plantaincleat/tier/pkg/configencoder"
	"plantaincleat/tier/pkg/storer"
)

// Translation is what the items of the store describe.
type Translation struct {
	// Config is nil if the items contain no configuration.
	Config *config.Config
	// Version is the operators' number of the configuration, or 0 if they do not number
	// it. It rises with each of their changes.
	Version uint64
}

// Translate returns what the items, by store key, describe. It must not modify the map.
type Translate func(items map[string]storer.Item) (Translation, error)

// Options configure a Mirror. All fields but InForce are required.
type Options struct {
	Store     storer.Store
	Clock     clockwork.Clock
	Translate Translate
	// InForce returns the configuration that the daemon has adopted, from whatever
	// source, or nil.
	InForce func() *config.Accepted
	// Prefixes are the prefixes of the store keys to mirror.
	Prefixes []string
	// MaxStaleness is the longest time since the last progress event of a watch
	// for which Head answers from the copy without reading the store.
	MaxStaleness time.Duration
}

// Mirror implements adopter.Source. It is safe for concurrent use.
type Mirror struct {
	Options

	mu       sync.Mutex
	items    map[string]storer.Item
	revision int64
	accepted *config.Accepted
	// lastProgress is when the last progress event arrived.
	lastProgress time.Time
	// asOf is the latest known time at which the store held nothing later than the last
	// translation.
	asOf time.Time
	// changed is true if items have changed since the last translation.
	changed  bool
	watching bool
	// watchCount is the number of watches started. It identifies the latest one,
	// so that the end of an earlier watch does not reset watching.
	watchCount int
	// keptFrom is the operators' version in the store that was last found to be older than
	// the one in force.
	keptFrom uint64
	// keptOrder is the revision of the order to evacuate that was last found to be missing
	// from the store.
	keptOrder int64
}

// New returns an empty Mirror. The first call of Head reads the store.
func New(o Options) *Mirror {
	return &Mirror{
		Options: o,
		items:   make(map[string]storer.Item),
	}
}

// Head implements adopter.Source. It returns the head of the configuration and
// the store revision of the copy. It reads the store only if no watch runs or the
// last progress event is older than MaxStaleness. An answer from the copy confirms the
// configuration as of the last answer of the store.
func (m *Mirror) Head(ctx context.Context) (adopter.Observation, int64, error) {
	m.mu.Lock()
	if m.watching && m.Clock.Since(m.lastProgress) <= m.MaxStaleness {
		defer m.mu.Unlock()
		if m.outdated() {
			m.changed = true
			if err := m.rebuild(); err != nil {
				return adopter.Observation{}, 0, err
			}
		}
		return m.observation(), m.revision, nil
	}
	m.mu.Unlock()
	begun := m.Clock.Now()
	// One read of all keys, as the watch has them, costs fewer calls than one for each prefix.
	page, err := m.Store.Read(ctx, "")
	if err != nil {
		return adopter.Observation{}, 0, eris.Wrap(err, "read store keys")
	}
	items := make(map[string]storer.Item)
	for _, item := range page.Items {
		if m.mirrors(item.Key) {
			items[item.Key] = item
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if page.Revision < m.revision {
		return m.observation(), m.revision, nil
	}
	m.items, m.revision, m.changed = items, page.Revision, true
	if err := m.rebuild(); err != nil {
		return adopter.Observation{}, 0, err
	}
	m.confirm(begun)
	return m.observation(), m.revision, nil
}

// Read implements adopter.Source.
func (m *Mirror) Read(context.Context) (*config.Accepted, time.Time, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.accepted, m.asOf, nil
}

// observation returns the configuration of the copy with the time as of which the store has
// confirmed it. The caller holds mu.
func (m *Mirror) observation() adopter.Observation {
	return adopter.Observation{
		Head: m.accepted.GetHead(),
		At:   m.asOf,
	}
}

// confirm records that the store held nothing later than the copy at a time. It says nothing of
// changes that could not be translated. The caller holds mu.
func (m *Mirror) confirm(at time.Time) {
	if !m.changed && at.After(m.asOf) {
		m.asOf = at
	}
}

// Watch implements adopter.Source. It sends an observation after each answer of the store and
// closes the channel when the watch of the store ends.
func (m *Mirror) Watch(ctx context.Context, after int64) <-chan adopter.Observation {
	observations := make(chan adopter.Observation)
	changes := m.Store.Watch(ctx, "", after)
	m.mu.Lock()
	m.watching, m.lastProgress = true, m.Clock.Now()
	m.watchCount++
	watch := m.watchCount
	m.mu.Unlock()
	go func() {
		defer close(observations)
		for change := range changes {
			if change.Err != nil {
				klog.InfoS("watch of the configuration store failed", "err", change.Err.Error())
				continue
			}
			o, ok := m.apply(change)
			if !ok {
				continue
			}
			select {
			case observations <- o:
			case <-ctx.Done():
			}
		}
		m.mu.Lock()
		defer m.mu.Unlock()
		if m.watchCount == watch {
			m.watching = false
		}
	}()
	return observations
}

// apply applies one event of the store to the copy. It returns an observation and true if the
// event tells up to which revision the copy has all changes.
func (m *Mirror) apply(change storer.Event) (adopter.Observation, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if change.ProgressRevision > 0 {
		m.handleProgress(change)
		return m.observation(), m.accepted != nil
	}
	if change.Item.ModRevision <= m.revision || !m.mirrors(change.Item.Key) {
		return adopter.Observation{}, false
	}
	m.changed = true
	if change.Deleted {
		delete(m.items, change.Item.Key)
	} else {
		m.items[change.Item.Key] = change.Item
	}
	return adopter.Observation{}, false
}

// handleProgress records that the copy has all changes up to a store revision, and translates
// the items if they have changed.
func (m *Mirror) handleProgress(progress storer.Event) {
	m.lastProgress = m.Clock.Now()
	if progress.ProgressRevision > m.revision {
		m.revision = progress.ProgressRevision
		if m.changed {
			if err := m.rebuild(); err != nil {
				klog.ErrorS(nil, "translation of the configuration failed; the previous one stays in use", "revision", m.revision, "err", err.Error())
			}
		}
	}
	m.confirm(progress.AsOf)
}

// mirrors reports whether a store key has one of the prefixes.
func (m *Mirror) mirrors(key string) bool {
	for _, p := range m.Prefixes {
		if strings.HasPrefix(key, p) {
			return true
		}
	}
	return false
}

// newest returns the configuration with the highest version of the operators that the
// daemon has seen.
func (m *Mirror) newest() *config.Accepted {
	if m.InForce == nil {
		return m.accepted
	}
	if a := m.InForce(); a.GetHead().GetVersion() > m.accepted.GetHead().GetVersion() {
		return a
	}
	return m.accepted
}

// outdated reports whether the daemon has adopted a later version of the operators from
// elsewhere than the last translation has.
func (m *Mirror) outdated() bool {
	return m.accepted != nil && m.newest().GetHead().GetVersion() > m.accepted.GetHead().GetVersion()
}

// keepNewest replaces the operators' part of a translation if a later version of it is
// known. The store may hold an older one after its return from a copy, until the operators
// write theirs again.
func (m *Mirror) keepNewest(t Translation) Translation {
	newest := m.newest()
	version := newest.GetHead().GetVersion()
	if t.Version >= version {
		return t
	}
	if m.keptFrom != t.Version {
		m.keptFrom = t.Version
		klog.InfoS("the store holds an older configuration than the one in force, which is kept", "version", version, "stored", t.Version, "revision", m.revision)
	}
	kept := newest.GetConfig()
	return Translation{
		Version: version,
		Config: &config.Config{
			Targets:      t.Config.GetTargets(),
			Collections:  kept.GetCollections(),
			Institutions: kept.GetInstitutions(),
			Policy:       kept.GetPolicy(),
			Routes:       kept.GetRoutes(),
			Pools:        kept.GetPools(),
			Limits:       kept.GetLimits(),
		},
	}
}

// rebuild translates the items. A configuration with unchanged content keeps its
// previous revision, unless that is of an earlier era of the store. The caller holds mu.
func (m *Mirror) rebuild() error {
	t, err := m.Translate(m.items)
	if err != nil {
		return eris.Wrapf(err, "translate configuration at store revision %d", m.revision)
	}
	m.changed = false
	if t.Config == nil {
		return nil
	}
	orders := m.keepOrders(t)
	t = m.keepNewest(t)
	setOrders(t.Config, orders)
	digest, err := configencoder.Digest(t.Config)
	if err != nil {
		return err
	}
	head := m.accepted.GetHead()
	if bytes.Equal(digest, head.GetDigest()) && t.Version == head.GetVersion() && sameEra(int64(head.GetRevision()), m.revision) {
		return nil
	}
	m.accepted = &config.Accepted{
		Head: &config.Head{
			Revision: uint64(m.revision),
			Change:   "store",
			Digest:   digest,
			Version:  t.Version,
		},
		Config: t.Config,
	}
	return nil
}

func sameEra(a, b int64) bool {
	first, _ := storer.SplitRevision(a)
	second, _ := storer.SplitRevision(b)
	return first == second
}
