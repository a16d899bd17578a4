package admitter

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"plantaincleat/tier/gen/config"
)

var start = time.Unix(1_700_000_005, 0)

// newAdmitter returns the Admitter of daemon "a" with two institutions.
func newAdmitter() *Admitter {
	a := New(Settings{
		Daemon: "a",
		Random: rand.New(rand.NewPCG(1, 2)),
		Limit:  8,
		Queue:  16,
	})
	a.Configure(start, []*config.Institution{
		{
			Name:        "corrib",
			Rate:        300,
			Concurrency: 30,
		},
		{
			Name: "kahikatea",
		},
	})
	return a
}

// request returns a request of class lookup with a deadline in one second.
func request(institution string) Request {
	return Request{
		Institution: institution,
		Class:       "lookup",
		Remaining:   time.Second,
	}
}

func kind(err error) Kind {
	var r *Refusal
	if errors.As(err, &r) {
		return r.Kind()
	}
	return 0
}

func TestOfferRefusesAboveRate(t *testing.T) {
	a := newAdmitter()
	if _, err := a.Offer(start, request("nobody")); !errors.Is(err, ErrInstitution) {
		t.Errorf("offer of an unknown institution: %v, want ErrInstitution", err)
	}
	expired := request("corrib")
	expired.Remaining = 0
	if _, err := a.Offer(start, expired); kind(err) != KindDeadline {
		t.Errorf("offer after the deadline: %v, want a refusal by deadline", err)
	}
	admitted := 0
	for range 400 {
		ticket, err := a.Offer(start, request("corrib"))
		if err == nil {
			admitted++
			a.Done(start, ticket, Result{Outcome: Completed})
		} else if kind(err) != KindRate {
			t.Fatalf("offer above the rate: %v, want a refusal by rate", err)
		}
	}
	if admitted != 75 {
		t.Errorf("%d requests of the burst admitted, want 75", admitted)
	}
	if _, err := a.Offer(start.Add(time.Second), request("corrib")); err != nil {
		t.Errorf("offer a second later: %v", err)
	}
}

func TestOfferRefusesAboveConcurrency(t *testing.T) {
	a := newAdmitter()
	a.limiter.limit = 1000
	var err error
	n := 0
	for ; err == nil; n++ {
		_, err = a.Offer(start, request("corrib"))
	}
	if n != 31 || kind(err) != KindConcurrency {
		t.Errorf("offer %d: %v, want a refusal of offer 31 by concurrency", n, err)
	}
	if _, err := a.Offer(start, request("kahikatea")); err != nil {
		t.Errorf("offer of the other institution: %v", err)
	}
}

func TestOfferRefusesUnmeetableDeadline(t *testing.T) {
	a := newAdmitter()
	now := start
	for range 32 {
		ticket, _ := a.Offer(now, request("kahikatea"))
		now = now.Add(100 * time.Millisecond)
		a.Done(now, ticket, Result{Outcome: Completed})
	}
	short := request("kahikatea")
	short.Remaining = 50 * time.Millisecond
	if _, err := a.Offer(now, short); kind(err) != KindDeadline {
		t.Errorf("offer with half of the median latency left: %v, want a refusal by deadline", err)
	}
	short.Class = "other"
	if _, err := a.Offer(now, short); err != nil {
		t.Errorf("offer of a class without completions: %v", err)
	}
	short.Class = "lookup"
	now = now.Add(maxMedianAge)
	if _, err := a.Offer(now, short); err != nil {
		t.Errorf("first offer after maxMedianAge: %v", err)
	}
	if _, err := a.Offer(now, short); kind(err) != KindDeadline {
		t.Errorf("second offer after maxMedianAge: %v, want a refusal by deadline", err)
	}
}

func TestQueueIsFairAndSortedByDeadline(t *testing.T) {
	a := newAdmitter()
	now := start
	var running []*Ticket
	offer := func(institution string, remaining time.Duration) (*Ticket, error) {
		r := request(institution)
		r.Remaining = remaining
		return a.Offer(now, r)
	}
	for range 8 {
		ticket, _ := offer("kahikatea", time.Second)
		running = append(running, ticket)
	}
	for range 1000 {
		a.ended.Add(now)
	}
	late, _ := offer("kahikatea", 900*time.Millisecond)
	early, _ := offer("kahikatea", 800*time.Millisecond)
	other, _ := offer("corrib", time.Second)
	for i, want := range []*Ticket{other, early, late} {
		decisions := a.Done(now, running[i], Result{Outcome: Completed})
		if len(decisions) != 1 || decisions[0].Ticket != want || decisions[0].Refusal != nil {
			t.Errorf("decision %d: %v, want one admission", i, decisions)
		}
	}
	var queued int
	var err error
	for ; err == nil; queued++ {
		_, err = offer("kahikatea", time.Second)
	}
	queued--
	if !a.Saturated(now) || a.Saturated(now.Add(saturatedPeriod)) {
		t.Error("want saturation for saturatedPeriod")
	}
	if kind(err) != KindOverload || queued != a.maxQueued {
		t.Errorf("offer with %d queued: %v, want a refusal by overload", queued, err)
	}
	decisions := a.Tick(now.Add(DefaultWait))
	if len(decisions) != queued || a.queued != 0 {
		t.Errorf("%d decisions for %d queued requests", len(decisions), queued)
	}
	for _, d := range decisions {
		if d.Refusal == nil || d.Refusal.Kind() != KindOverload {
			t.Errorf("decision after DefaultWait: %v, want a refusal by overload", d.Refusal)
		}
	}
}

// TestAdmitterInvariants runs random sequences of requests. It checks that the
// counts match the requests in flight and queued, that no request waits for longer
// than the limit, and that equal seeds give equal decisions.
func TestAdmitterInvariants(t *testing.T) {
	run := func(t *rapid.T, seed uint64) string {
		a := newAdmitter()
		steps := rand.New(rand.NewPCG(seed, 3))
		now := start
		var running []*Ticket
		waiting := map[*Ticket]time.Time{}
		log := ""
		settle := func(decisions []Decision) {
			for _, d := range decisions {
				since, ok := waiting[d.Ticket]
				if !ok {
					t.Fatal("decision for a request that is not queued")
				}
				delete(waiting, d.Ticket)
				log += fmt.Sprintln(d.Refusal)
				if d.Refusal == nil {
					running = append(running, d.Ticket)
				} else if now.Sub(since) > DefaultWait+10*time.Millisecond {
					t.Fatalf("queued request refused after %v, limit %v", now.Sub(since), DefaultWait)
				}
			}
		}
		for range 500 {
			now = now.Add(time.Duration(steps.IntN(10)) * time.Millisecond)
			settle(a.Tick(now))
			if len(running) > 0 && steps.IntN(3) == 0 {
				i := steps.IntN(len(running))
				ticket := running[i]
				running = append(running[:i], running[i+1:]...)
				settle(a.Done(now, ticket, Result{Outcome: Outcome(steps.IntN(3))}))
				continue
			}
			r := request([]string{"corrib", "kahikatea"}[steps.IntN(2)])
			r.Remaining = time.Duration(steps.IntN(300)) * time.Millisecond
			ticket, err := a.Offer(now, r)
			log += fmt.Sprintln(err)
			switch {
			case err != nil:
				var r *Refusal
				if !errors.As(err, &r) || r.RetryAfter() < minRetry || r.RetryAfter() > 2*maxRetry {
					t.Fatalf("offer: %v, want a refusal with a bounded retry-after time", err)
				}
			case ticket.Waiting():
				waiting[ticket] = now
			default:
				running = append(running, ticket)
			}
			s := a.Stats()
			if s.InFlight != len(running) || s.Queued != len(waiting) || s.Queued > 16 {
				t.Fatalf("stats %+v, want %d in flight and %d queued", s, len(running), len(waiting))
			}
		}
		return log
	}
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		first := run(t, seed)
		if first != run(t, seed) {
			t.Fatal("two runs with the same seed differ")
		}
	})
}

func BenchmarkOfferDone(b *testing.B) {
	a := newAdmitter()
	now := start
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(10 * time.Millisecond)
		ticket, _ := a.Offer(now, request("corrib"))
		a.Done(now.Add(5*time.Millisecond), ticket, Result{Outcome: Completed})
	}
}
