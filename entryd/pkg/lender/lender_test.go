package lender

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"plantaincleat/entryd/pkg/sharer"
	"plantaincleat/tier/gen/config"
	"plantaincleat/tier/gen/peer"
)

const institution = "kahikatea"

// testFleet is a fleet of runners that call each other without a network.
type testFleet struct {
	clock   *clockwork.FakeClock
	runners map[string]*Runner
	daemons []sharer.Daemon

	mu sync.Mutex
	// failures holds the errors of calls to a daemon, and calls their number.
	failures map[string]error
	calls    int
}

// conn is the connection to one daemon of a testFleet.
type conn struct {
	grpc.ClientConnInterface
	fleet *testFleet
	id    string
}

func (c *conn) Invoke(ctx context.Context, _ string, in, out any, _ ...grpc.CallOption) error {
	c.fleet.mu.Lock()
	c.fleet.calls++
	err := c.fleet.failures[c.id]
	c.fleet.mu.Unlock()
	if err != nil {
		return err
	}
	reply, err := c.fleet.runners[c.id].Lend(ctx, in.(*peer.LendRequest))
	if err != nil {
		return err
	}
	to := out.(*peer.LendReply)
	to.Granted, to.Spare, to.Life, to.Wait, to.Lender = reply.Granted, reply.Spare, reply.Life, reply.Wait, reply.Lender
	return nil
}

// newTestFleet returns n daemons that have been live for longer than a window.
func newTestFleet(n int, limit *config.Institution) *testFleet {
	f := &testFleet{
		clock:    clockwork.NewFakeClock(),
		runners:  make(map[string]*Runner),
		failures: make(map[string]error),
	}
	for i := range n {
		id := fmt.Sprint("daemon-", i)
		f.daemons = append(f.daemons, sharer.Daemon{
			ID:         id,
			DataCentre: "dc-1",
			Live:       true,
		})
		f.runners[id] = New(Options{
			ID:         id,
			DataCentre: "dc-1",
			Quota:      sharer.Quota{Window: 5 * time.Second, Overage: 0.1, Slack: 20},
			Least:      1,
			Clock:      f.clock,
			Dial: func(address string) (grpc.ClientConnInterface, error) {
				return &conn{fleet: f, id: address}, nil
			},
		})
		f.runners[id].Configure(1, []*config.Institution{limit})
	}
	for range 20 {
		f.observe()
		f.clock.Advance(500 * time.Millisecond)
	}
	return f
}

func (f *testFleet) observe() {
	addresses := make(map[string]string)
	for _, d := range f.daemons {
		addresses[d.ID] = d.ID
	}
	for _, r := range f.runners {
		r.Observe(f.daemons, addresses)
	}
}

// roles returns the lender of the institution, its standby and another daemon.
func (f *testFleet) roles(t *testing.T) (lender, standby, other *Runner) {
	t.Helper()
	for _, r := range f.runners {
		switch r.Usages()[0].Role {
		case sharer.LenderRole:
			lender = r
		case sharer.Standby:
			standby = r
		default:
			other = r
		}
	}
	if lender == nil || standby == nil || other == nil {
		t.Fatal("no lender, no standby or no other daemon")
	}
	return lender, standby, other
}

func (f *testFleet) fail(r *Runner, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failures[r.ID] = err
}

func admit(r *Runner) sharer.Verdict { return r.Admit(context.Background(), institution, "r").Verdict }

// TestAdmit covers a fleet within and over a limit, and a limit that is lifted.
func TestAdmit(t *testing.T) {
	f := newTestFleet(5, &config.Institution{Name: institution, Rate: 2, Burst: 2})
	_, _, other := f.roles(t)
	admitted := 0
	for admit(other) == sharer.Admitted {
		admitted++
	}
	if admitted < 3 || admitted > 34 {
		t.Errorf("%d requests admitted at once with a rate of 2 and a burst of 2", admitted)
	}
	a := other.Admit(context.Background(), institution, "r")
	if a.Verdict != sharer.Refused || a.RetryAfter <= 0 || a.RetryAfter > maxRetryAfter {
		t.Errorf("%v with a time of %v, want a refusal with the time of a token", a.Verdict, a.RetryAfter)
	}
	f.clock.Advance(time.Second)
	if v := admit(other); v != sharer.Admitted {
		t.Errorf("%v after a second, want admitted", v)
	}
	other.Configure(2, []*config.Institution{{Name: institution}})
	f.calls = 0
	for range 100 {
		if v := admit(other); v != sharer.Admitted {
			t.Fatalf("%v without a limit", v)
		}
	}
	if f.calls > 0 {
		t.Errorf("%d calls for an institution without a limit", f.calls)
	}
}

// maxRetryAfter is more than the time of the refusals of a second, with a rate of 2.
const maxRetryAfter = 40 * time.Second

// TestLenderDoesNotAnswer guards against a daemon that waits for, or gives up with, a lender
// that is cut off or is of a build without loans.
func TestLenderDoesNotAnswer(t *testing.T) {
	for _, failure := range []error{
		status.Error(codes.Unavailable, "cut off"),
		status.Error(codes.Unimplemented, "older build"),
		errors.New("other"),
	} {
		f := newTestFleet(5, &config.Institution{Name: institution, Rate: 2, Burst: 2})
		lender, standby, other := f.roles(t)
		f.fail(lender, failure)
		if v := admit(other); v != sharer.Admitted {
			t.Errorf("%v: %v, want a token of the standby", failure, v)
		}
		f.calls = 0
		for admit(other) == sharer.Admitted {
			continue
		}
		a := other.Admit(context.Background(), institution, "r")
		if a.Verdict != sharer.Unanswered || a.RetryAfter > 2*time.Second {
			t.Errorf("%v: %v with a time of %v after the standby's reserve is used, want no answer", failure, a.Verdict, a.RetryAfter)
		}
		f.fail(standby, failure)
		if v := admit(other); v != sharer.Unanswered {
			t.Errorf("%v: %v without a lender and a standby, want no answer", failure, v)
		}
		f.fail(lender, nil)
		if v := admit(other); v != sharer.Admitted {
			t.Errorf("%v: %v after the lender has come back, want admitted", failure, v)
		}
	}
}

// TestRequestsShareCalls guards against a call for each of many requests that come at once.
func TestRequestsShareCalls(t *testing.T) {
	f := newTestFleet(5, &config.Institution{Name: institution, Rate: 2, Burst: 2})
	_, _, other := f.roles(t)
	f.mu.Lock()
	var wg sync.WaitGroup
	await := func(n int) {
		for ; ; time.Sleep(time.Millisecond) {
			other.mu.Lock()
			list, running := other.waiting[institution]
			other.mu.Unlock()
			if running && len(list) == n {
				return
			}
		}
	}
	wg.Go(func() { admit(other) })
	await(0)
	for range 99 {
		wg.Go(func() { admit(other) })
	}
	await(99)
	f.mu.Unlock()
	wg.Wait()
	if f.calls > 3 {
		t.Errorf("%d calls for 100 requests", f.calls)
	}
}

// membership is a Membership whose parts a test sets.
type membership struct {
	clock   clockwork.Clock
	since   time.Time
	leaving bool
	// contact is when another daemon was heard, or zero if one is heard all the time.
	contact time.Time
}

func (m *membership) Since() time.Time { return m.since }

func (m *membership) LastContact() time.Time {
	if m.contact.IsZero() {
		return m.clock.Now()
	}
	return m.contact
}

func (m *membership) Leaving() bool { return m.leaving }

// ask asks a daemon for a number of tokens and returns how many it grants.
func ask(r *Runner, wanted uint32) (uint32, error) {
	reply, err := r.Lend(context.Background(), &peer.LendRequest{
		Institution: institution,
		Wanted:      wanted,
	})
	return reply.GetGranted(), err
}

// TestLendAfterFreeze guards against a lender that was frozen and lends on what it was to the fleet
// before, in the first call after it, while another daemon has taken its place.
func TestLendAfterFreeze(t *testing.T) {
	const freeze = 3500 * time.Millisecond
	f := newTestFleet(5, &config.Institution{Name: institution, Rate: 20, Burst: 10})
	lender, _, _ := f.roles(t)
	m := &membership{
		clock: f.clock,
		since: f.clock.Now(),
	}
	lender.Membership, lender.since = m, m.since
	if n, err := ask(lender, 10); n != 10 || err != nil {
		t.Fatalf("%d of 10 tokens and error %v before the freeze", n, err)
	}
	f.clock.Advance(freeze)
	m.since = f.clock.Now()
	// 1.7 tokens are the reserve with which a daemon starts.
	if n, err := ask(lender, 10); n > 1 || err != nil {
		t.Errorf("%d of 10 tokens and error %v after the freeze, want those of a daemon that has started", n, err)
	}
	if order := lender.fleet.View().Order(institution); order[0] == lender.ID {
		t.Error("the daemon asks itself first after the freeze")
	}
}

// TestLendWithoutContact guards against a lender that is cut off from all others and lends on at the full rate, since
// its view of the fleet is that of before the cut, and that goes on as the lender when the cut ends.
func TestLendWithoutContact(t *testing.T) {
	f := newTestFleet(5, &config.Institution{Name: institution, Rate: 20, Burst: 10})
	lender, _, _ := f.roles(t)
	m := &membership{
		clock:   f.clock,
		contact: f.clock.Now(),
	}
	lender.Membership = m
	f.clock.Advance(sharer.ContactTimeout - time.Millisecond)
	if n, err := ask(lender, 10); n != 10 || err != nil {
		t.Fatalf("%d of 10 tokens and error %v right before the daemon counts as cut off", n, err)
	}
	f.clock.Advance(time.Millisecond)
	granted := uint32(0)
	for range 20 {
		n, _ := ask(lender, 10)
		granted += n
		f.clock.Advance(100 * time.Millisecond)
	}
	// A fifth of the rate, 22 a second, for 2 s, and of what is saved.
	if granted > 16 {
		t.Errorf("%d tokens in 2 s, want those of one of five daemons", granted)
	}
	m.contact = time.Time{}
	if n, _ := ask(lender, 10); n > 1 {
		t.Errorf("%d of 10 tokens right after the cut, want those of a daemon that has started", n)
	}
}

// TestLendWhileLeaving guards against a lender that is stopped and goes on to lend, to itself or to
// others, beside its successor.
func TestLendWhileLeaving(t *testing.T) {
	f := newTestFleet(5, &config.Institution{Name: institution, Rate: 20, Burst: 10})
	lender, _, _ := f.roles(t)
	lender.Membership = &membership{
		clock:   f.clock,
		leaving: true,
	}
	if _, err := ask(lender, 1); status.Code(err) != codes.FailedPrecondition {
		t.Errorf("error %v of a daemon that leaves, want that it is no lender", err)
	}
	if v := admit(lender); v != sharer.Admitted {
		t.Errorf("%v for a caller of the daemon that leaves, want a token of its successor", v)
	}
	if f.calls == 0 {
		t.Error("the daemon that leaves has not asked another one")
	}
}

// TestLendWhileLeavingAlone guards against refusals in the stop of a daemon that has no others.
func TestLendWhileLeavingAlone(t *testing.T) {
	f := newTestFleet(1, &config.Institution{Name: institution, Rate: 20, Burst: 10})
	only := f.runners["daemon-0"]
	only.Membership = &membership{
		clock:   f.clock,
		leaving: true,
	}
	if v := admit(only); v != sharer.Admitted {
		t.Errorf("%v, want admitted", v)
	}
}
