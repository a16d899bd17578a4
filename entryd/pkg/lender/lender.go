// Package lender keeps requests of institutions within their limits: it asks the daemon that
// holds the tokens of an institution for those that this daemon's requests need, and lends
// tokens to other daemons. Package sharer decides; this package makes the calls.
package lender

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"plantaincleat/entryd/pkg/sharer"
	"plantaincleat/tier/gen/config"
	"plantaincleat/tier/gen/peer"
)

const (
	// maxWanted bounds the tokens of one call.
	maxWanted = 1024
	// logInterval is the least time between two log lines on the refusals of an institution.
	logInterval = time.Second
)

// Membership is this daemon's own part in the fleet.
type Membership interface {
	// Since returns since when the daemon has run without a gap: its start or the end of its
	// last freeze.
	Since() time.Time
	// LastContact returns when another daemon last sent this one a message, the zero time if
	// none has yet.
	LastContact() time.Time
	// Leaving reports whether the daemon leaves the fleet.
	Leaving() bool
}

// Options set up a Runner. All fields but Least and Membership are required.
type Options struct {
	ID         string
	DataCentre string
	Quota      sharer.Quota
	// Least is the number of daemons that the fleet has at least.
	Least int
	// Membership may be nil. The daemon then neither leaves nor freezes.
	Membership Membership
	Clock      clockwork.Clock
	// Dial returns the connection to a peer's address.
	Dial func(address string) (grpc.ClientConnInterface, error)
}

// Runner borrows and lends. It is safe for concurrent use.
type Runner struct {
	Options

	mu sync.Mutex
	// since and leaving are what Membership said last, and apart is true while no other daemon
	// has been heard for sharer.ContactTimeout.
	since     time.Time
	leaving   bool
	apart     bool
	fleet     *sharer.Fleet
	lender    *sharer.Lender
	stock     *sharer.Stock
	addresses map[string]string
	limits    map[string]sharer.Limit
	revision  uint64
	// waiting holds the requests that wait for tokens, by institution. An institution with an
	// entry has a goroutine that borrows for it.
	waiting map[string][]*waiter
	usage   map[string]*usage
}

// waiter is a request that waits for a token.
type waiter struct {
	done chan answer
	// gone is true if the request waits no longer.
	gone bool
}

// answer is the end of a wait for a token.
type answer struct {
	verdict sharer.Verdict
	wait    time.Duration
	from    string
}

// Admission is what has become of a request.
type Admission struct {
	Verdict sharer.Verdict
	// RetryAfter is the time after which a request that was not admitted may be sent again.
	RetryAfter time.Duration
}

// New returns a Runner without institutions.
func New(o Options) *Runner {
	r := &Runner{
		Options: o,
		fleet:   sharer.NewFleet(o.Clock.Now(), o.ID, o.DataCentre, o.Least, o.Quota),
		stock:   sharer.NewStock(rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		waiting: make(map[string][]*waiter),
		usage:   make(map[string]*usage),
	}
	r.lender = sharer.NewLender(o.Quota, r.fleet.View())
	if o.Membership != nil {
		r.since = o.Membership.Since()
	}
	return r
}

// begin begins a decision and returns the time. It makes sure that this daemon does not act on what
// it was to the fleet before a freeze, or before it left. r.mu is held.
func (r *Runner) begin() time.Time {
	now := r.Clock.Now()
	if r.Membership == nil {
		return now
	}
	if !r.leaving && r.Membership.Leaving() {
		r.leaving = true
		r.fleet.Leave(now)
		r.lender.SetView(now, r.fleet.View())
		slog.Info("daemon leaves the fleet and lends no more")
	}
	if since := r.Membership.Since(); since.After(r.since) {
		slog.Info("daemon was frozen and lends like one that has just started", "before", r.since, "since", since)
		r.since, r.apart = since, false
		r.resume(now)
	}
	r.keepContact(now)
	return now
}

// keepContact makes sure that this daemon lends no more than its own part while it hears from no other
// daemon. r.mu is held.
func (r *Runner) keepContact(now time.Time) {
	contact := r.Membership.LastContact()
	apart := !contact.IsZero() && now.Sub(contact) >= sharer.ContactTimeout
	if apart == r.apart {
		return
	}
	r.apart = apart
	if !apart {
		slog.Info("daemon hears from others again and lends like one that has just started", "contact", contact)
		r.resume(now)
		return
	}
	r.fleet.Part(now)
	r.lender.SetView(now, r.fleet.View())
	slog.Info("daemon hears from no other and lends its own part only", "contact", contact, "fraction", r.fleet.View().Fraction())
}

// resume makes this daemon lend like one that has just started. r.mu is held.
func (r *Runner) resume(now time.Time) {
	r.fleet.Resume(now)
	r.lender.Resume(r.fleet.View())
	r.stock.Resume()
}

// Configure takes the limits of a configuration. It does nothing if its revision is that of
// the last one.
func (r *Runner) Configure(revision uint64, institutions []*config.Institution) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if revision == r.revision && r.limits != nil {
		return
	}
	limits := make(map[string]sharer.Limit, len(institutions))
	for _, i := range institutions {
		limits[i.GetName()] = sharer.Limit{
			Rate:  i.GetRate(),
			Burst: i.GetBurst(),
		}
	}
	r.revision, r.limits = revision, limits
	r.stock.Configure(limits)
	r.lender.Configure(r.Clock.Now(), limits)
	for name := range r.usage {
		if _, ok := limits[name]; !ok {
			delete(r.usage, name)
		}
	}
}

// Observe takes the daemons that have not left the fleet, and the addresses of their peer
// listeners by id. It is to be called about twice a second.
func (r *Runner) Observe(daemons []sharer.Daemon, addresses map[string]string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.addresses = addresses
	now := r.begin()
	if r.fleet.Observe(now, daemons) {
		r.lender.SetView(now, r.fleet.View())
	}
}

// Admit decides whether a request of an institution is within the institution's limit, and
// counts it. It waits for the lender if this daemon holds no token.
func (r *Runner) Admit(ctx context.Context, institution, request string) Admission {
	r.mu.Lock()
	now := r.begin()
	verdict := r.stock.Take(now, institution)
	if verdict != sharer.Pending {
		defer r.mu.Unlock()
		if verdict == sharer.Admitted && r.stock.NeedsSpares(now, institution) {
			r.borrow(institution, nil)
		}
		return r.conclude(institution, request, answer{
			verdict: verdict,
			from:    r.ID,
		})
	}
	w := &waiter{
		done: make(chan answer, 1),
	}
	r.borrow(institution, w)
	r.mu.Unlock()
	select {
	case a := <-w.done:
		r.mu.Lock()
		defer r.mu.Unlock()
		return r.conclude(institution, request, a)
	case <-ctx.Done():
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	w.gone = true
	return r.conclude(institution, request, answer{
		verdict: sharer.Unanswered,
	})
}

// conclude counts and logs the end of a request's admission. r.mu is held.
func (r *Runner) conclude(institution, request string, a answer) Admission {
	out := Admission{
		Verdict: a.verdict,
	}
	limit := r.limits[institution]
	if limit.Rate <= 0 {
		return out
	}
	u, now := r.usageFor(institution), r.Clock.Now()
	switch a.verdict {
	case sharer.Admitted:
		u.admitted++
		return out
	case sharer.Refused:
		u.over++
	default:
		u.unanswered++
	}
	out.RetryAfter = r.stock.Retry(now, institution, a.wait)
	if now.Sub(u.logged) < logInterval {
		return out
	}
	u.logged = now
	slog.Info("request of an institution refused", "id", request, "institution", institution, "reason", a.verdict.String(),
		"lender", a.from, "held", r.stock.Held(now, institution), "demand", r.stock.Demand(now, institution),
		"rate", limit.Rate, "burst", limit.Burst, "revision", r.revision, "age", now.Sub(u.heard).String(),
		"fraction", r.fleet.View().Fraction(), "retry", out.RetryAfter.String())
	return out
}

// Lend implements peerserver.Lender.
func (r *Runner) Lend(_ context.Context, in *peer.LendRequest) (*peer.LendReply, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	g, err := r.lender.Lend(r.begin(), sharer.Ask{
		Institution: in.GetInstitution(),
		Wanted:      int(min(in.GetWanted(), maxWanted)),
		Spare:       int(min(in.GetSpare(), maxWanted)),
		Unused:      int(min(in.GetUnused(), maxWanted)),
	})
	switch {
	case errors.Is(err, sharer.ErrUnknownInstitution):
		return nil, status.Error(codes.NotFound, err.Error())
	case err != nil:
		return nil, status.Error(codes.FailedPrecondition, err.Error())
	}
	return &peer.LendReply{
		Granted: uint32(g.Granted),
		Spare:   uint32(g.Spare),
		Life:    uint32(sharer.SpareLife.Milliseconds()),
		Wait:    uint32((g.Wait + time.Millisecond - 1).Milliseconds()),
		Lender:  g.Role == sharer.LenderRole,
	}, nil
}
