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

// observeInterval is the time between two divisions of the fleet-wide terms.
const observeInterval = time.Second

// admission runs an Admitter: it holds the callers that wait, and exchanges
// demands with the other daemons.
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

// saturated reports whether the daemon runs as much as it admits.
func (a *admission) saturated() bool { return a.admitter.Saturated(a.clock.Now()) }

// run exchanges demands until ctx ends.
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
		case <-a.clock.After(observeInterval):
		case <-ctx.Done():
			return
		}
	}
}

// Admit implements handler.Admitter.
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
		return nil, refusalOf(err)
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

// wait blocks until the admitter has decided on a waiting request.
func (a *admission) wait(ctx context.Context, ticket *admitter.Ticket, decided chan error) error {
	timer := a.clock.NewTimer(admitter.DefaultWait)
	defer timer.Stop()
	for {
		select {
		case err := <-decided:
			return refusalOf(err)
		case <-timer.Chan():
			a.decide(a.admitter.Tick(a.clock.Now()))
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
	a.decide(a.admitter.Done(a.clock.Now(), ticket, r))
}

// decide wakes the callers whose requests were decided on.
func (a *admission) decide(decisions []admitter.Decision) {
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

// kinds maps the admitter's kinds to those that callers see.
var kinds = map[admitter.Kind]httphandler.Kind{
	admitter.KindRate:        httphandler.KindRate,
	admitter.KindConcurrency: httphandler.KindConcurrency,
	admitter.KindOverload:    httphandler.KindOverload,
	admitter.KindDeadline:    httphandler.KindDeadline,
}

func refusalOf(err error) error {
	var refused *admitter.Refusal
	if !errors.As(err, &refused) {
		return err
	}
	return &httphandler.Refusal{
		Kind:       kinds[refused.Kind()],
		Message:    refused.Error(),
		Run:        httphandler.RunNo,
		RetryAfter: refused.RetryAfter(),
	}
}
