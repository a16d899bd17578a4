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
	// probeTimeout bounds one indirect probe, which holds an exchange.
	probeTimeout = 2 * exchangeTimeout
)

// Runner runs a Machine. View, Notices and Awake take no lock.
type Runner struct {
	clock     clockwork.Clock
	transport Transport
	suspicion time.Duration

	mu      sync.Mutex
	machine *Machine

	kick    chan struct{}
	calls   sync.WaitGroup
	view    atomic.Pointer[View]
	notices atomic.Pointer[[]*peer.Notice]
	awake   atomic.Bool
	last    atomic.Pointer[time.Time]

	subscribers struct {
		mu  sync.Mutex
		all map[chan struct{}]struct{}
	}

	exchanges atomic.Uint64
	failures  atomic.Uint64
}

// NewRunner returns a Runner that has not started yet.
func NewRunner(cfg Config, clock clockwork.Clock, transport Transport) *Runner {
	cfg = cfg.withDefaults()
	r := &Runner{
		clock:     clock,
		transport: transport,
		suspicion: cfg.Suspicion,
		machine:   New(cfg, clock.Now()),
		kick:      make(chan struct{}, 1),
	}
	r.subscribers.all = make(map[chan struct{}]struct{})
	r.do(func(time.Time) []Action { return nil })
	return r
}

// do runs f on the machine, publishes what has changed and returns the actions.
func (r *Runner) do(f func(now time.Time) []Action) []Action {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	before := r.machine.Next()
	r.machine.observe(now)
	actions := f(now)
	r.last.Store(&now)
	r.awake.Store(r.machine.Synced())
	r.publish(r.machine.Changes())
	if r.machine.Next().Before(before) {
		notify(r.kick)
	}
	return actions
}

// publish stores the changed parts and wakes the subscribers.
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
		notify(ch)
	}
}

func notify(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// Run gossips until ctx ends, and returns once no call is running.
func (r *Runner) Run(ctx context.Context) {
	defer r.calls.Wait()
	for {
		r.mu.Lock()
		next := r.machine.Next()
		r.mu.Unlock()
		timer := r.clock.NewTimer(next.Sub(r.clock.Now()))
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-r.kick:
			timer.Stop()
		case <-timer.Chan():
		}
		r.start(ctx, r.do(func(now time.Time) []Action {
			if now.Before(r.machine.Next()) {
				return nil
			}
			return r.machine.Tick(now)
		}))
	}
}

// start runs each action in a goroutine of its own.
func (r *Runner) start(ctx context.Context, actions []Action) {
	for _, a := range actions {
		r.calls.Go(func() { r.run(ctx, a) })
	}
}

// run sends one message and hands the answer to the machine.
func (r *Runner) run(ctx context.Context, a Action) {
	r.exchanges.Add(1)
	var more []Action
	switch a.Kind() {
	case KindExchange:
		reply, err := r.exchange(ctx, a.Address(), a.Views())
		more = r.do(func(now time.Time) []Action { return r.machine.Done(now, a.ID(), reply, err) })
	case KindProbe:
		alive, err := r.probe(ctx, a.Address(), a.Target())
		more = r.do(func(now time.Time) []Action {
			return r.machine.Probed(now, a.ID(), err == nil && alive)
		})
	}
	r.start(ctx, more)
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

func (r *Runner) probe(ctx context.Context, address, target string) (bool, error) {
	ctx, cancel := clockwork.WithTimeout(ctx, r.clock, probeTimeout)
	defer cancel()
	alive, err := r.transport.Probe(ctx, address, target)
	if err != nil {
		r.failures.Add(1)
	}
	return alive, err
}

// Gossip serves an exchange that another daemon has opened.
func (r *Runner) Gossip(_ context.Context, v *peer.Views) (*peer.Views, error) {
	var reply *peer.Views
	r.do(func(now time.Time) []Action {
		reply = r.machine.Receive(now, v)
		return nil
	})
	return reply, nil
}

// Probe serves an indirect probe. Only addresses of known members are probed.
func (r *Runner) Probe(ctx context.Context, req *peer.ProbeRequest) (*peer.ProbeReply, error) {
	reply := &peer.ProbeReply{}
	if !r.knows(req.GetAddress()) {
		return reply, nil
	}
	var greeting *peer.Views
	r.do(func(time.Time) []Action {
		greeting = r.machine.Greeting()
		return nil
	})
	answer, err := r.exchange(ctx, req.GetAddress(), greeting)
	if err != nil {
		return reply, nil
	}
	reply.Alive = true
	r.do(func(now time.Time) []Action {
		r.machine.Heard(now, answer)
		return nil
	})
	return reply, nil
}

func (r *Runner) knows(address string) bool {
	for _, m := range r.View().Members() {
		if m.Address() == address {
			return true
		}
	}
	return false
}

// Leave tells some of the other daemons that this one ends. They pass it on.
func (r *Runner) Leave(ctx context.Context) {
	actions := r.do(func(now time.Time) []Action { return r.machine.Leave(now) })
	var wait sync.WaitGroup
	for _, a := range actions {
		wait.Go(func() { r.run(ctx, a) })
	}
	wait.Wait()
}

// View returns the current state of the fleet.
func (r *Runner) View() *View { return r.view.Load() }

// Notices returns the notices in force. They must not be changed.
func (r *Runner) Notices() []*peer.Notice { return *r.notices.Load() }

// Demands returns the demands as Machine.Demands does.
func (r *Runner) Demands() []*peer.Demand {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.machine.Demands()
}

// Synced reports whether the view is fresh enough to act on. It is false after
// a start or a freeze until others have been heard, and at once upon waking,
// before the machine itself has run again.
func (r *Runner) Synced() bool {
	now := r.clock.Now()
	last := *r.last.Load()
	gap := max(now.Sub(last), now.Round(0).Sub(last.Round(0)))
	return gap < r.suspicion && r.awake.Load()
}

// Subscribe returns a channel that gets a value after changes, several changes
// in one, and a function that ends the subscription.
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
	r.do(func(now time.Time) []Action {
		r.machine.Publish(now, n)
		return nil
	})
}

// SetRevision states the configuration revision in force at this daemon.
func (r *Runner) SetRevision(revision uint64) {
	r.do(func(now time.Time) []Action {
		r.machine.SetRevision(now, revision)
		return nil
	})
}

// SetDemand states this daemon's recent use of an institution's terms. rate is
// in requests per second.
func (r *Runner) SetDemand(institution string, rate float64, concurrency uint32) {
	r.do(func(now time.Time) []Action {
		r.machine.SetDemand(now, institution, rate, concurrency)
		return nil
	})
}

// SetSeeds replaces the addresses to join through.
func (r *Runner) SetSeeds(seeds []string) {
	r.do(func(time.Time) []Action {
		r.machine.SetSeeds(seeds)
		return nil
	})
}

// Exchanges is the number of messages that this daemon has sent.
func (r *Runner) Exchanges() uint64 { return r.exchanges.Load() }

// Failures is the number of messages that got no answer.
func (r *Runner) Failures() uint64 { return r.failures.Load() }
