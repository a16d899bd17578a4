package adopter

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"plantaincleat/tier/gen/config"
	"plantaincleat/tier/gen/peer"
	"plantaincleat/tier/pkg/proposer"
	"plantaincleat/tier/pkg/storer"
)

var errPartitioned = errors.New("no route")

// network connects the daemons of a test with each other and with the store.
type network struct {
	// startDelay is the StartDelay of the daemons.
	startDelay time.Duration
	// silent is true if there is no gossip.
	silent bool
	t      *testing.T
	store  *storer.Memory

	mu      sync.Mutex
	daemons map[string]*daemon
	// partitioned holds the data centres that cannot reach any other data
	// centre.
	partitioned map[string]bool
	// storeUnreachable holds the data centres that cannot reach the store.
	storeUnreachable map[string]bool
	// staleStore, if set, answers reads in place of the store.
	staleStore *storer.Memory
}

// daemon is a Runner with its connections to the network. It implements Fleet,
// Puller and storer.Store.
type daemon struct {
	storer.Store
	*Runner
	net    *network
	member Member
	stop   context.CancelFunc
	// cancelWatch ends the watch that the daemon has started.
	cancelWatch context.CancelFunc
}

func newNetwork(t *testing.T) *network {
	return &network{
		t:                t,
		store:            &storer.Memory{},
		daemons:          map[string]*daemon{},
		partitioned:      map[string]bool{},
		storeUnreachable: map[string]bool{},
	}
}

// start runs a daemon. It replaces a stopped daemon with the same id.
func (n *network) start(datacentre string, i int) *daemon {
	id := fmt.Sprintf("%s%d", datacentre, i)
	ctx, cancel := context.WithCancel(context.Background())
	d := &daemon{
		Store: n.store,
		net:   n,
		member: Member{
			ID:         id,
			Address:    id,
			DataCentre: datacentre,
		},
		stop: cancel,
	}
	d.Runner = NewRunner(Options{
		Config: Config{
			ID:         id,
			DataCentre: datacentre,
			StartDelay: n.startDelay,
		},
		Store:  d,
		Fleet:  d,
		Puller: d,
		Clock:  clockwork.NewRealClock(),
	})
	n.mu.Lock()
	n.daemons[id] = d
	n.mu.Unlock()
	go d.Run(ctx)
	return d
}

// startFleet starts daemons in three data centres.
func (n *network) startFleet(perDataCentre int) {
	for _, datacentre := range []string{"wlg", "akl", "chc"} {
		for i := range perDataCentre {
			n.start(datacentre, i)
		}
	}
}

func (n *network) stopAll() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, d := range n.daemons {
		d.stop()
	}
}

// reaches reports whether two data centres are connected.
func (n *network) reaches(a, b string) bool {
	return a == b || (!n.partitioned[a] && !n.partitioned[b])
}

// isolate disconnects a data centre from the store and, if whole is true, also
// from the other data centres.
func (n *network) isolate(datacentre string, whole bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.storeUnreachable[datacentre], n.partitioned[datacentre] = true, whole
	for _, d := range n.daemons {
		if d.member.DataCentre == datacentre && d.cancelWatch != nil {
			d.cancelWatch()
		}
	}
}

// heal restores all connections.
func (n *network) heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.storeUnreachable)
	clear(n.partitioned)
}

// setStaleStore makes reads come from another store, or from the real one if
// old is nil.
func (n *network) setStaleStore(old *storer.Memory) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.staleStore = old
}

func (d *daemon) Read(ctx context.Context, prefix string) (storer.Page, error) {
	d.net.mu.Lock()
	unreachable, stale := d.net.storeUnreachable[d.member.DataCentre], d.net.staleStore
	d.net.mu.Unlock()
	switch {
	case unreachable:
		return storer.Page{}, storer.ErrUnavailable
	case stale != nil:
		return stale.Read(ctx, prefix)
	}
	return d.Store.Read(ctx, prefix)
}

func (d *daemon) Watch(ctx context.Context, prefix string, after int64) <-chan storer.Event {
	ctx, cancel := context.WithCancel(ctx)
	d.net.mu.Lock()
	defer d.net.mu.Unlock()
	d.cancelWatch = cancel
	if d.net.storeUnreachable[d.member.DataCentre] {
		cancel()
	}
	return d.Store.Watch(ctx, prefix, after)
}

func (d *daemon) Live() []Member {
	d.net.mu.Lock()
	defer d.net.mu.Unlock()
	var live []Member
	for _, other := range d.net.daemons {
		if d.net.reaches(d.member.DataCentre, other.member.DataCentre) {
			m := other.member
			m.Revision = other.Current().GetHead().GetRevision()
			live = append(live, m)
		}
	}
	return live
}

// Subscribe reports a change every 100 ms, in place of gossip.
func (d *daemon) Subscribe() (<-chan struct{}, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	if d.net.silent {
		return nil, cancel
	}
	changes := make(chan struct{})
	go func() {
		for {
			select {
			case <-time.After(100 * time.Millisecond):
			case <-ctx.Done():
				return
			}
			select {
			case changes <- struct{}{}:
			case <-ctx.Done():
				return
			}
		}
	}()
	return changes, cancel
}

func (d *daemon) SetRevision(uint64) {}

func (d *daemon) Pull(ctx context.Context, address string, r *peer.FetchRequest) (*config.Accepted, error) {
	d.net.mu.Lock()
	other := d.net.daemons[address]
	ok := d.net.reaches(d.member.DataCentre, other.member.DataCentre)
	d.net.mu.Unlock()
	if !ok {
		return nil, errPartitioned
	}
	return other.Fetch(ctx, r)
}

// propose submits a change and returns the revision with which it was accepted.
func (n *network) propose(id string) uint64 {
	n.t.Helper()
	p := proposer.Proposer{
		Store: n.store,
		Clock: clockwork.NewRealClock(),
	}
	head, err := p.Propose(context.Background(), proposer.Change{
		ID:     id,
		Author: "test",
		Config: &config.Config{Policy: &config.Policy{Cell: uint32(id[0])}},
	})
	if err != nil {
		n.t.Fatal(err)
	}
	return head.Revision
}

// expectRevision checks the revision in force at all daemons of the given data
// centres.
func (n *network) expectRevision(revision uint64, datacentres ...string) {
	n.t.Helper()
	for id, d := range n.daemons {
		for _, datacentre := range datacentres {
			if got := d.Current().GetHead().GetRevision(); d.member.DataCentre == datacentre && got != revision {
				n.t.Errorf("%s is at revision %d, want %d", id, got, revision)
			}
		}
	}
}

// expectStale checks the staleness that the daemons of a data centre report.
func (n *network) expectStale(datacentre string, low, high time.Duration) {
	n.t.Helper()
	for id, d := range n.daemons {
		if d.member.DataCentre != datacentre {
			continue
		}
		if stale, ok := d.Staleness(); !ok || stale < low || stale > high {
			n.t.Errorf("%s reports a staleness of %s, ok %v; want %s to %s", id, stale, ok, low, high)
		}
	}
}
