package gossiper

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"plantaincleat/tier/gen/peer"
)

const (
	// exchangeTimeout bounds one exchange.
	exchangeTimeout = 500 * time.Millisecond
	// probeTimeout bounds one indirect probe, which includes an exchange.
	probeTimeout = 2 * exchangeTimeout
)

// Runner drives a Machine. It is safe for concurrent use. View, Notices, Synced, Since,
// LastContact and Leaving take no lock.
type Runner struct {
	clock            clockwork.Clock
	transport        Transport
	suspicionTimeout time.Duration

	mu      sync.Mutex
	machine *Machine
	// machineSince is what the machine said last of since when this daemon runs.
	machineSince time.Time

	wake      chan struct{}
	calls     sync.WaitGroup
	view      atomic.Pointer[View]
	notices   atomic.Pointer[[]*peer.Notice]
	synced    atomic.Bool
	lastInput atomic.Pointer[time.Time]
	since     atomic.Pointer[time.Time]
	contact   atomic.Pointer[time.Time]
	awakening atomic.Pointer[awakening]
	leaving   atomic.Bool

	subscribers struct {
		mu  sync.Mutex
		all map[chan struct{}]struct{}
	}

	exchanges atomic.Uint64
	failures  atomic.Uint64
}

// awakening is the end of a freeze as Since has seen it first, after the input lastInput.
type awakening struct {
	lastInput *time.Time
	at        time.Time
}

// NewRunner returns a Runner that has not been started.
func NewRunner(cfg Config, clock clockwork.Clock, transport Transport) *Runner {
	cfg = cfg.withDefaults()
	r := &Runner{
		clock:            clock,
		transport:        transport,
		suspicionTimeout: cfg.SuspicionTimeout,
		machine:          New(cfg, clock.Now()),
		wake:             make(chan struct{}, 1),
	}
	r.subscribers.all = make(map[chan struct{}]struct{})
	r.update(func(time.Time) []Action { return nil })
	return r
}

// update calls f with the machine locked, publishes what has changed and
// returns the actions of f.
func (r *Runner) update(f func(now time.Time) []Action) []Action {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	before := r.machine.Next()
	r.machine.detectFreeze(now)
	actions := f(now)
	r.storeSince()
	r.lastInput.Store(&now)
	contact := r.machine.LastContact()
	r.contact.Store(&contact)
	r.synced.Store(r.machine.Synced())
	r.publish(r.machine.Changes())
	if r.machine.Next().Before(before) {
		signal(r.wake)
	}
	return actions
}

// storeSince stores since when this daemon runs, if the machine has noticed the end of a freeze. The
// end of each freeze is told as one time. r.mu is held.
func (r *Runner) storeSince() {
	since := r.machine.Since()
	if since.Equal(r.machineSince) {
		return
	}
	r.machineSince = since
	since = r.awake(r.lastInput.Load(), since)
	r.since.Store(&since)
}

// awake returns the end of the freeze after an input: the first time that it is called with.
func (r *Runner) awake(lastInput *time.Time, at time.Time) time.Time {
	if before := r.awakening.Load(); before == nil || before.lastInput != lastInput {
		r.awakening.CompareAndSwap(before, &awakening{
			lastInput: lastInput,
			at:        at,
		})
	}
	return r.awakening.Load().at
}

// publish stores the changed parts and signals the subscribers.
func (r *Runner) publish(c Change) {
	if c == 0 {
		return
	}
	if c&ChangeMembers != 0 {
		r.view.Store(r.machine.View())
	}
	if c&ChangeNotices != 0 {
		notices := r.machine.Notices()
		r.notices.Store(&notices)
	}
	r.subscribers.mu.Lock()
	defer r.subscribers.mu.Unlock()
	for ch := range r.subscribers.all {
		signal(ch)
	}
}

func signal(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// Run gossips until ctx ends. It returns after all calls have ended.
func (r *Runner) Run(ctx context.Context) {
	defer r.calls.Wait()
	r.executeAll(ctx, r.update(func(now time.Time) []Action { return r.machine.Join(now) }))
	for {
		r.mu.Lock()
		next := r.machine.Next()
		r.mu.Unlock()
		timer := r.clock.NewTimer(next.Sub(r.clock.Now()))
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-r.wake:
			timer.Stop()
		case <-timer.Chan():
		}
		r.executeAll(ctx, r.update(func(now time.Time) []Action {
			if now.Before(r.machine.Next()) {
				return nil
			}
			return r.machine.Tick(now)
		}))
	}
}

// executeAll executes each action in its own goroutine.
func (r *Runner) executeAll(ctx context.Context, actions []Action) {
	for _, a := range actions {
		r.calls.Go(func() { r.execute(ctx, a) })
	}
}

// execute sends one message, passes the answer to the machine and executes the
// actions that follow.
func (r *Runner) execute(ctx context.Context, a Action) {
	r.exchanges.Add(1)
	var more []Action
	switch a.Kind() {
	case KindExchange:
		reply, err := r.exchange(ctx, a.Address(), a.Views())
		more = r.update(func(now time.Time) []Action { return r.machine.HandleReply(now, a.ID(), reply, err) })
	case KindProbe:
		alive, err := r.probe(ctx, a.Address(), a.ProbeAddress())
		more = r.update(func(now time.Time) []Action {
			return r.machine.HandleIndirectProbe(now, a.ID(), err == nil && alive)
		})
	}
	r.executeAll(ctx, more)
}

func (r *Runner) exchange(ctx context.Context, address string, v *peer.Views) (*peer.Views, error) {
	ctx, cancel := clockwork.WithTimeout(ctx, r.clock, exchangeTimeout)
	defer cancel()
	reply, err := r.transport.Exchange(ctx, address, v)
	if err != nil {
		r.failures.Add(1)
	}
	return reply, err
}

func (r *Runner) probe(ctx context.Context, address, probed string) (bool, error) {
	ctx, cancel := clockwork.WithTimeout(ctx, r.clock, probeTimeout)
	defer cancel()
	alive, err := r.transport.Probe(ctx, address, probed)
	if err != nil {
		r.failures.Add(1)
	}
	return alive, err
}

// Gossip serves an exchange that another daemon has opened.
func (r *Runner) Gossip(_ context.Context, v *peer.Views) (*peer.Views, error) {
	var reply *peer.Views
	r.update(func(now time.Time) []Action {
		reply = r.machine.HandleRequest(now, v)
		return nil
	})
	return reply, nil
}

// Probe serves an indirect probe. It probes only addresses of known members.
func (r *Runner) Probe(ctx context.Context, req *peer.ProbeRequest) (*peer.ProbeReply, error) {
	reply := &peer.ProbeReply{}
	if !r.isMember(req.GetAddress()) {
		return reply, nil
	}
	var message *peer.Views
	r.update(func(time.Time) []Action {
		message = r.machine.ProbeMessage()
		return nil
	})
	answer, err := r.exchange(ctx, req.GetAddress(), message)
	if err != nil {
		return reply, nil
	}
	reply.Alive = true
	r.update(func(now time.Time) []Action {
		r.machine.HandleProbeReply(now, answer)
		return nil
	})
	return reply, nil
}

func (r *Runner) isMember(address string) bool {
	for _, m := range r.View().Members() {
		if m.Address() == address {
			return true
		}
	}
	return false
}

// Leave tells a few other daemons that this daemon leaves the fleet. They pass
// it on. It returns after those calls have ended.
func (r *Runner) Leave(ctx context.Context) {
	r.leaving.Store(true)
	actions := r.update(func(now time.Time) []Action { return r.machine.Leave(now) })
	var wait sync.WaitGroup
	for _, a := range actions {
		wait.Go(func() { r.execute(ctx, a) })
	}
	wait.Wait()
}

// View returns the current view of the fleet.
func (r *Runner) View() *View { return r.view.Load() }

// Notices returns the notices that have not expired. They must not be modified.
func (r *Runner) Notices() []*peer.Notice { return *r.notices.Load() }

// Demands returns the demands, as Machine.Demands does.
func (r *Runner) Demands() []*peer.Demand {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.machine.Demands()
}

// Synced reports whether the view is recent enough to act on. It is false after
// a start or a freeze until another daemon has answered with its table. After a
// freeze it is false at once, before the machine has processed an input.
func (r *Runner) Synced() bool {
	return !wasFrozen(*r.lastInput.Load(), r.clock.Now(), r.suspicionTimeout) && r.synced.Load()
}

// LastContact returns when another daemon last opened an exchange or answered, the zero time if none
// has yet.
func (r *Runner) LastContact() time.Time { return *r.contact.Load() }

// Since returns since when this daemon has run without a gap: its start or the end of its last
// freeze. A daemon that acts for the fleet by its view of it, as a lender does, has to begin
// anew then: another daemon may have taken its place. It tells of a freeze at once, before the
// machine has processed an input.
func (r *Runner) Since() time.Time {
	now, last := r.clock.Now(), r.lastInput.Load()
	if !wasFrozen(*last, now, r.suspicionTimeout) {
		return *r.since.Load()
	}
	return r.awake(last, now)
}

// Leaving reports whether Leave was called. From then on, the other daemons give what this one
// did for the fleet to others.
func (r *Runner) Leaving() bool { return r.leaving.Load() }

// Subscribe returns a channel that receives a value after changes, and a
// function that ends the subscription. Several changes may be signalled by one
// value.
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

// Publish spreads a notice to every daemon.
func (r *Runner) Publish(n *peer.Notice) {
	r.update(func(now time.Time) []Action {
		r.machine.Publish(now, n)
		return nil
	})
}

// SetRevision publishes the configuration revision that this daemon has
// adopted.
func (r *Runner) SetRevision(revision uint64) {
	r.update(func(now time.Time) []Action {
		r.machine.SetRevision(now, revision)
		return nil
	})
}

// SetDemand publishes this daemon's recent use of an institution's quota: rate
// in requests per second and concurrency in requests.
func (r *Runner) SetDemand(institution string, rate float64, concurrency uint32) {
	r.update(func(now time.Time) []Action {
		r.machine.SetDemand(now, institution, rate, concurrency)
		return nil
	})
}

// SetSeeds replaces the addresses through which this daemon joins.
func (r *Runner) SetSeeds(seeds []string) {
	r.update(func(time.Time) []Action {
		r.machine.SetSeeds(seeds)
		return nil
	})
}

// Exchanges returns the number of exchanges and indirect probe requests that
// this daemon has started, without the exchanges that serve indirect probes for
// other daemons.
func (r *Runner) Exchanges() uint64 { return r.exchanges.Load() }

// Failures returns the number of exchanges and indirect probe requests that
// failed, including the exchanges that serve indirect probes for other daemons.
func (r *Runner) Failures() uint64 { return r.failures.Load() }
