package adopter

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	"plantaincleat/tier/gen/config"
	"plantaincleat/tier/gen/peer"
	"plantaincleat/tier/pkg/configencoder"
	"plantaincleat/tier/pkg/storer"
)

const (
	// tickInterval is the maximum time between two steps of the machine. It is part of the
	// time in which a change is in force, see the package.
	tickInterval = 100 * time.Millisecond
	// firstTickInterval is the same until there is a configuration. Callers are refused
	// until then.
	firstTickInterval = 20 * time.Millisecond
	// storeTimeout bounds one read of the store.
	storeTimeout = 3 * time.Second
	// pullTimeout bounds one call to a peer.
	pullTimeout = 3 * time.Second
)

// Fleet reports which daemons are alive.
type Fleet interface {
	// Live returns the live daemons.
	Live() []Member
	// Subscribe returns a channel that receives a value after Live has changed,
	// and a function that ends the subscription.
	Subscribe() (<-chan struct{}, func())
	// SetRevision publishes the revision in force at this daemon.
	SetRevision(revision uint64)
}

// Puller pulls the configuration from a peer, as peer.PeerClient.Fetch does.
type Puller interface {
	Pull(ctx context.Context, address string, r *peer.FetchRequest) (*config.Accepted, error)
}

// Options configures a Runner. Either Store or Source is required, and so are
// all other fields. The fields of Config have defaults, except ID and
// DataCentre.
type Options struct {
	Config Config
	// Store holds the configuration in the layout of package
	// configreader.
	Store storer.Store
	// Source is used in place of Store.
	Source Source
	Fleet  Fleet
	Puller Puller
	Clock  clockwork.Clock
}

// Status is a snapshot of a Runner's state.
type Status struct {
	// Head is the head of the configuration in force, nil if there is none yet.
	Head *config.Head
	// KnownRevision is the highest revision that this daemon knows of, adopted
	// or not.
	KnownRevision uint64
	// Reader tells whether this daemon reads the store.
	Reader bool
	// Confirmed is the last time at which the configuration in force is known
	// to have been the newest in the store, zero if there is none.
	Confirmed time.Time
	Counters  Counters
}

// Runner drives a Machine. Current, Status, Staleness and Fetch are safe for
// concurrent use and take no lock.
type Runner struct {
	Options
	machine *Machine
	events  chan Event
	calls   sync.WaitGroup
	// stopWatch ends the running watch.
	stopWatch context.CancelFunc

	current atomic.Pointer[inForce]
	status  atomic.Pointer[Status]
	// storeDown is true while checks of the store fail.
	storeDown atomic.Bool

	subscribers struct {
		mu  sync.Mutex
		all map[chan struct{}]struct{}
	}
}

// inForce is the configuration in force with its encoded parts.
type inForce struct {
	accepted *config.Accepted
	parts    *configencoder.PartSet
}

// NewRunner returns a Runner that has not been started.
func NewRunner(o Options) *Runner {
	if o.Source == nil {
		o.Source = storeSource{
			store: o.Store,
			clock: o.Clock,
		}
	}
	r := &Runner{
		Options:   o,
		machine:   New(o.Config, o.Clock.Now()),
		events:    make(chan Event),
		stopWatch: func() {},
	}
	r.current.Store(&inForce{parts: &configencoder.PartSet{}})
	r.status.Store(&Status{})
	r.subscribers.all = make(map[chan struct{}]struct{})
	return r
}

// Current returns the configuration in force, or nil if there is none yet. It
// must not be modified.
func (r *Runner) Current() *config.Accepted { return r.current.Load().accepted }

// Status returns the state after the last step.
func (r *Runner) Status() Status { return *r.status.Load() }

// Staleness returns the time since the configuration in force was last
// confirmed to be the newest. ok is false if it has never been confirmed.
func (r *Runner) Staleness() (d time.Duration, ok bool) {
	confirmed := r.status.Load().Confirmed
	if confirmed.IsZero() {
		return 0, false
	}
	return max(0, r.Clock.Now().Sub(confirmed)), true
}

// Subscribe returns a channel that receives a value after a configuration has
// come into force, and a function that ends the subscription. Several changes
// may be signalled by one value.
func (r *Runner) Subscribe() (<-chan struct{}, func()) {
	ch := make(chan struct{}, 1)
	r.subscribers.mu.Lock()
	defer r.subscribers.mu.Unlock()
	r.subscribers.all[ch] = struct{}{}
	return ch, func() {
		r.subscribers.mu.Lock()
		defer r.subscribers.mu.Unlock()
		delete(r.subscribers.all, ch)
	}
}

// Fetch serves a Pull of another daemon.
func (r *Runner) Fetch(_ context.Context, in *peer.FetchRequest) (*config.Accepted, error) {
	out := &config.Accepted{}
	current := r.current.Load()
	head := current.accepted.GetHead()
	if head == nil {
		return out, nil
	}
	out.Head = head
	if head.Revision > in.GetRevision() {
		out.Parts, out.Values = current.parts.Export(in.GetParts())
	}
	status := r.status.Load()
	if !status.Confirmed.IsZero() && status.Head.GetRevision() == head.Revision {
		age := max(0, r.Clock.Now().Sub(status.Confirmed)).Milliseconds()
		out.Age = &age
	}
	return out, nil
}

// Run keeps the configuration up to date until ctx ends. It returns after all
// calls have ended.
func (r *Runner) Run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer r.calls.Wait()
	defer cancel()
	changed, unsubscribe := r.Fleet.Subscribe()
	defer unsubscribe()
	ticker := r.Clock.NewTicker(firstTickInterval)
	defer ticker.Stop()
	configured := false
	var event Event = MembersChanged{Live: r.Fleet.Live()}
	for {
		r.step(ctx, event)
		if !configured && r.Current() != nil {
			configured = true
			ticker.Reset(tickInterval)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
			event = Tick{}
		case <-changed:
			event = MembersChanged{Live: r.Fleet.Live()}
		case event = <-r.events:
		}
	}
}

// step passes one event to the machine and carries out the resulting actions.
func (r *Runner) step(ctx context.Context, event Event) {
	now := r.Clock.Now()
	actions := r.machine.Step(now, event)
	r.status.Store(&Status{
		Head:          r.machine.Current().GetHead(),
		KnownRevision: r.machine.KnownRevision(),
		Reader:        r.machine.Reader(now),
		Confirmed:     r.machine.Confirmed(),
		Counters:      r.machine.Counters(),
	})
	for _, a := range actions {
		switch a := a.(type) {
		case Adopt:
			r.adopt(a.Accepted)
		case CheckHead:
			if a.Look && !r.storeDown.Load() {
				klog.InfoS("nobody has confirmed the configuration; this daemon looks into the store", "revision", r.machine.Revision(), "unconfirmed", r.machine.staleness(now).String(), "rank", r.machine.fleet.rank)
			}
			r.call(ctx, storeTimeout, r.checkHead)
		case ReadStore:
			r.call(ctx, storeTimeout, r.readStore)
		case Pull:
			r.call(ctx, pullTimeout, func(ctx context.Context) Event { return r.pull(ctx, a) })
		case StartWatch:
			r.startWatch(ctx, a.After)
		case StopWatch:
			r.stopWatch()
		}
	}
}

// adopt publishes a configuration that has come into force.
func (r *Runner) adopt(a *config.Accepted) {
	parts, err := configencoder.NewPartSet(a.Config)
	if err != nil {
		// This cannot happen: the configuration has been decoded before.
		// Without parts, peers pull from other daemons.
		klog.ErrorS(nil, "failed to encode the adopted configuration for peers", "err", err.Error())
		parts = &configencoder.PartSet{}
	}
	r.current.Store(&inForce{
		accepted: a,
		parts:    parts,
	})
	r.Fleet.SetRevision(a.Head.Revision)
	klog.InfoS("adopted configuration", "revision", a.Head.Revision, "version", a.Head.Version, "change", a.Head.Change, "author", a.Head.Author)
	r.subscribers.mu.Lock()
	defer r.subscribers.mu.Unlock()
	for ch := range r.subscribers.all {
		select {
		case ch <- struct{}{}:
		default:
		}
	}
}

// call runs f in a goroutine, bounded by timeout, and passes its event to the
// machine.
func (r *Runner) call(ctx context.Context, timeout time.Duration, f func(ctx context.Context) Event) {
	r.calls.Go(func() {
		bounded, cancel := clockwork.WithTimeout(ctx, r.Clock, timeout)
		defer cancel()
		r.deliver(ctx, f(bounded))
	})
}

// deliver passes an event to the machine unless ctx ends first.
func (r *Runner) deliver(ctx context.Context, event Event) {
	select {
	case r.events <- event:
	case <-ctx.Done():
	}
}

func (r *Runner) checkHead(ctx context.Context) Event {
	newest, revision, err := r.Source.Head(ctx)
	if err != nil {
		if !r.storeDown.Swap(true) {
			klog.InfoS("configuration store became unavailable", "err", err.Error())
		}
		return CheckFailed{}
	}
	if r.storeDown.Swap(false) {
		klog.InfoS("configuration store is available again", "revision", revision)
	}
	return HeadRead{
		Observation:   newest,
		StoreRevision: revision,
	}
}

func (r *Runner) readStore(ctx context.Context) Event {
	accepted, at, err := r.Source.Read(ctx)
	if err != nil {
		klog.ErrorS(nil, "failed to read the configuration from the store", "err", err.Error())
		return ReadFailed{}
	}
	return StoreRead{
		Accepted: accepted,
		At:       at,
	}
}

// pull fetches the configuration from a peer, which sends only the parts that
// this daemon lacks.
func (r *Runner) pull(ctx context.Context, a Pull) Event {
	own := r.current.Load().parts
	accepted, err := r.Puller.Pull(ctx, a.Peer.Address, &peer.FetchRequest{
		Revision: a.Have,
		Parts:    own.DigestPrefixes(),
	})
	if err == nil && len(accepted.GetParts()) > 0 {
		accepted, err = importParts(own, accepted)
	}
	if err != nil {
		err = eris.Wrapf(err, "pull configuration from peer %s", a.Peer.ID)
		klog.V(1).InfoS("failed to pull the configuration from a peer", "err", err.Error())
		return PullFailed{Peer: a.Peer.ID}
	}
	return PeerAnswered{
		Peer:     a.Peer.ID,
		Accepted: accepted,
	}
}

// importParts returns the configuration assembled from the parts that a peer
// has sent and this daemon's own.
func importParts(own *configencoder.PartSet, a *config.Accepted) (*config.Accepted, error) {
	cfg, err := own.Import(a.Parts, a.Values)
	if err != nil {
		return nil, err
	}
	return &config.Accepted{
		Head:   a.Head,
		Config: cfg,
		Age:    a.Age,
	}, nil
}

// startWatch starts a watch in place of the previous one and passes what it observes
// to the machine until it ends.
func (r *Runner) startWatch(ctx context.Context, after int64) {
	r.stopWatch()
	watching, cancel := context.WithCancel(ctx)
	r.stopWatch = cancel
	observations := r.Source.Watch(watching, after)
	r.calls.Go(func() {
		for o := range observations {
			r.deliver(watching, HeadChanged{Observation: o})
		}
		r.deliver(watching, WatchEnded{})
	})
}
