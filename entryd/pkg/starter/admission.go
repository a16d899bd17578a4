package starter

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"plantaincleat/entryd/pkg/admitter"
	"plantaincleat/entryd/pkg/gossiper"
	"plantaincleat/entryd/pkg/httphandler"
	"plantaincleat/tier/gen/config"
)

// quotaInterval is the time between two computations of this daemon's quotas of the
// fleet-wide limits.
const quotaInterval = time.Second

// admission connects an Admitter with the callers and the fleet: it blocks callers
// whose requests are queued, and exchanges demands with the other daemons by gossip.
type admission struct {
	admitter *admitter.Admitter
	gossip   *gossiper.Runner
	clock    clockwork.Clock

	mu      sync.Mutex
	waiting map[*admitter.Ticket]chan error
}

func newAdmission(id string, gossip *gossiper.Runner, clock clockwork.Clock) *admission {
	return &admission{
		admitter: admitter.New(admitter.Settings{
			Daemon: id,
			Random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		}),
		gossip:  gossip,
		clock:   clock,
		waiting: map[*admitter.Ticket]chan error{},
	}
}

func (a *admission) configure(institutions []*config.Institution) {
	a.admitter.Configure(a.clock.Now(), institutions)
}

// saturated reports whether requests have recently reached the daemon's concurrency
// limit.
func (a *admission) saturated() bool { return a.admitter.Saturated(a.clock.Now()) }

// run exchanges demands until ctx is done.
func (a *admission) run(ctx context.Context) {
	for {
		now := a.clock.Now()
		for _, d := range a.admitter.Demands(now) {
			a.gossip.SetDemand(d.GetInstitution(), d.GetRate(), d.GetConcurrency())
		}
		var live []string
		view := a.gossip.View()
		for _, m := range view.Members() {
			if m.Live() && m.ID() != view.Self().ID() {
				live = append(live, m.ID())
			}
		}
		a.admitter.Observe(now, live, a.gossip.Demands())
		select {
		case <-a.clock.After(quotaInterval):
		case <-ctx.Done():
			return
		}
	}
}

// Admit implements httphandler.Admitter. It blocks while the request is queued.
func (a *admission) Admit(ctx context.Context, institution, class string, deadline time.Time) (func(admitter.Result), error) {
	a.mu.Lock()
	now := a.clock.Now()
	ticket, err := a.admitter.Offer(now, admitter.Request{
		Institution: institution,
		Class:       class,
		Remaining:   deadline.Sub(now),
	})
	if err != nil {
		a.mu.Unlock()
		return nil, toRefusal(err)
	}
	var decided chan error
	if ticket.Waiting() {
		decided = make(chan error, 1)
		a.waiting[ticket] = decided
	}
	a.mu.Unlock()
	if decided != nil {
		if err := a.wait(ctx, ticket, decided); err != nil {
			return nil, err
		}
	}
	return func(r admitter.Result) { a.done(ticket, r) }, nil
}

// wait blocks until the admitter has decided on a queued request or ctx is done. In the
// latter case the request is withdrawn.
func (a *admission) wait(ctx context.Context, ticket *admitter.Ticket, decided chan error) error {
	timer := a.clock.NewTimer(admitter.DefaultWait)
	defer timer.Stop()
	for {
		select {
		case err := <-decided:
			return toRefusal(err)
		case <-timer.Chan():
			a.deliver(a.admitter.Tick(a.clock.Now()))
			timer.Reset(time.Millisecond)
		case <-ctx.Done():
			a.mu.Lock()
			delete(a.waiting, ticket)
			a.mu.Unlock()
			a.done(ticket, admitter.Result{})
			return ctx.Err()
		}
	}
}

func (a *admission) done(ticket *admitter.Ticket, r admitter.Result) {
	a.deliver(a.admitter.Done(a.clock.Now(), ticket, r))
}

// deliver passes decisions to the callers that wait for them.
func (a *admission) deliver(decisions []admitter.Decision) {
	if len(decisions) == 0 {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, d := range decisions {
		decided := a.waiting[d.Ticket]
		if decided == nil {
			continue
		}
		delete(a.waiting, d.Ticket)
		if d.Refusal == nil {
			decided <- nil
			continue
		}
		decided <- d.Refusal
	}
}

// refusalKinds maps the admitter's kinds of refusal to those that callers see.
var refusalKinds = map[admitter.Kind]httphandler.Kind{
	admitter.KindRate:        httphandler.KindRate,
	admitter.KindConcurrency: httphandler.KindConcurrency,
	admitter.KindOverload:    httphandler.KindOverload,
	admitter.KindDeadline:    httphandler.KindDeadline,
}

// toRefusal returns the refusal that callers see for an error of the admitter. Other
// errors are returned as they are.
func toRefusal(err error) error {
	var refused *admitter.Refusal
	if !errors.As(err, &refused) {
		return err
	}
	return &httphandler.Refusal{
		Kind:       refusalKinds[refused.Kind()],
		Message:    refused.Error(),
		Execution:  httphandler.NotExecuted,
		RetryAfter: refused.RetryAfter(),
	}
}
