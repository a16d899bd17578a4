package withholder

import (
	"errors"
	"fmt"
	"net/http"
	"testing"
	"time"

	"plantaincleat/entryd/pkg/sharer"
)

const limitHeader = "Limit"

// TestParseLimit covers what the values of a limit mean, bad ones included.
func TestParseLimit(t *testing.T) {
	tests := []struct {
		text    string
		want    float64
		invalid bool
		err     error
	}{
		{text: ""},
		{text: "12.5", want: 12.5},
		{text: "3", want: 3},
		{text: "1000000000", want: MaxLimit},
		{text: "1e300", want: MaxLimit},
		{text: "0", want: MinLimit, invalid: true, err: ErrLimitTooLow},
		{text: "0.001", want: MinLimit, invalid: true, err: ErrLimitTooLow},
		{text: "-4", invalid: true},
		{text: "many", invalid: true},
		{text: "NaN", invalid: true},
		{text: "Inf", invalid: true},
		{text: "1e999", invalid: true},
		{text: "3, 4", invalid: true},
	}
	for _, test := range tests {
		t.Run(test.text, func(t *testing.T) {
			header := http.Header{}
			if test.text != "" {
				header.Set(limitHeader, test.text)
			}
			got, err := ParseAnnouncement(time.Unix(1000, 0), http.StatusOK, header, Headers{Limit: limitHeader})
			if got.Limit != test.want || (err != nil) != test.invalid || test.err != nil && !errors.Is(err, test.err) {
				t.Errorf("limit %g, error %v; want %g and an error: %v", got.Limit, err, test.want, test.invalid)
			}
		})
	}
}

// TestHighestLimitIsNone guards against a limit beyond the range of numbers that ends the
// daemon or keeps all requests from the target.
func TestHighestLimitIsNone(t *testing.T) {
	now := time.Unix(1000, 0)
	limit, err := parseLimit("1e300")
	if err != nil {
		t.Fatal(err)
	}
	for _, p := range []sharer.Position{{}, {Members: &sharer.Members{Self: "a", IDs: []string{"a", "b"}}}, {Owned: true}} {
		var s State
		s.SetPosition(now, p)
		s.setLimit(now, limit)
		for i := range 1000 {
			if at := now.Add(time.Duration(1+i) * time.Millisecond); !s.Enter(at) {
				t.Fatalf("position %+v: request %d of 1000 a second was held back", p, i)
			}
		}
	}
}

// limitedFleet is a fleet whose daemons send as many requests to a target as their shares
// of its limit allow.
type limitedFleet struct {
	states  []*State
	members *sharer.Members
	limit   float64
	// arrivals are the times of the requests of all daemons.
	arrivals []time.Time
}

func newLimitedFleet(now time.Time, n int, limit float64) *limitedFleet {
	f := &limitedFleet{
		members: &sharer.Members{},
		limit:   limit,
	}
	for i := range n {
		f.members.IDs = append(f.members.IDs, fmt.Sprint("daemon-", i))
		f.states = append(f.states, &State{})
	}
	for _, s := range f.states {
		s.setLimit(now, limit)
	}
	return f
}

// place sets the positions of all daemons. first is the index of the first owner, or -1 if
// the target's pool has no owners.
func (f *limitedFleet) place(now time.Time, first int) {
	for i, s := range f.states {
		p := sharer.Position{
			Target: "target",
			Owned:  first >= 0,
			Rank:   -1,
			Members: &sharer.Members{
				Self: f.members.IDs[i],
				IDs:  f.members.IDs,
			},
		}
		switch i {
		case first:
			p.Rank = 0
		case (first + 1) % len(f.states):
			p.Rank = 1
		}
		s.SetPosition(now, p)
	}
}

// press lets all daemons send whenever they may, and returns the time after it.
func (f *limitedFleet) press(now time.Time, d time.Duration) time.Time {
	const step = 10 * time.Millisecond
	for end := now.Add(d); now.Before(end); now = now.Add(step) {
		for _, s := range f.states {
			if s.LimitedUntil(now).IsZero() && s.Enter(now) {
				s.Exit(now, true)
				f.arrivals = append(f.arrivals, now)
			}
		}
	}
	return now
}

// check fails the test if a window of four seconds has more requests than a target allows.
func (f *limitedFleet) check(t *testing.T) {
	t.Helper()
	allowed := 1.5*f.limit*4 + 5
	begin := 0
	for i, at := range f.arrivals {
		for f.arrivals[begin].Before(at.Add(-4 * time.Second)) {
			begin++
		}
		if n := i - begin + 1; float64(n) > allowed {
			t.Fatalf("%d requests in four seconds at a limit of %g, allowed %g", n, f.limit, allowed)
		}
	}
}

// TestSharesKeepFleetWithinLimit answers the load of daemons that all have more requests
// than the target takes, with idle times before, owners that change and daemons that join:
// together they must keep to the limit, and use most of it.
func TestSharesKeepFleetWithinLimit(t *testing.T) {
	fleets := []struct {
		daemons int
		limits  []float64
	}{
		{daemons: 1, limits: []float64{MinLimit, 0.5, 3, 12, 40}},
		{daemons: 2, limits: []float64{MinLimit, 0.5, 3, 12, 40}},
		{daemons: 6, limits: []float64{MinLimit, 0.5, 3, 12, 40}},
		{daemons: 48, limits: []float64{0.5, 12}},
		{daemons: 450, limits: []float64{12}},
	}
	for _, test := range fleets {
		n := test.daemons
		for _, limit := range test.limits {
			for _, owned := range []bool{false, true} {
				t.Run(fmt.Sprintf("%d daemons, limit %g, owners %v", n, limit, owned), func(t *testing.T) {
					now := time.Unix(1000, 0)
					f := newLimitedFleet(now, n, limit)
					first := -1
					if owned {
						first = 0
					}
					f.place(now, first)
					now = f.press(now, 12*time.Second)
					// All daemons have saved what they may.
					now = now.Add(time.Minute)
					if owned {
						first = n / 2
					}
					f.place(now, first)
					now = f.press(now, 6*time.Second)
					before := len(f.arrivals)
					f.press(now, 20*time.Second)
					f.check(t)
					used := float64(len(f.arrivals)-before) / 20
					if used < 0.75*limit-0.1 || used > 1.25*limit+0.1 {
						t.Errorf("%g requests a second in the long run, want about %g", used, limit)
					}
				})
			}
		}
	}
}

// TestLimitIsKeptAndLifted covers answers that overtake each other, changes of a limit, and
// its end.
func TestLimitIsKeptAndLifted(t *testing.T) {
	now := time.Unix(1000, 0)
	var s State
	if !s.Enter(now) || !s.LimitedUntil(now).IsZero() {
		t.Fatal("a target without a limit is limited")
	}
	s.setLimit(now, 4)
	if s.Enter(now) {
		t.Error("a request was sent at once after the target had named a limit")
	}
	if s.liftLimit(now.Add(-time.Millisecond)) {
		t.Error("the answer to a request from before has ended the limit")
	}
	now = now.Add(time.Second)
	if !s.Enter(now) {
		t.Error("no request may be sent after a second at a limit of 4 a second")
	}
	s.setLimit(now, 2)
	if limit, share := s.Limit(); limit != 2 || share != 2 {
		t.Errorf("limit %g and share %g, want 2 of 2", limit, share)
	}
	s.SetPosition(now, sharer.Position{Owned: true, Rank: -1})
	if s.Enter(now.Add(time.Hour)) || s.LimitedUntil(now.Add(time.Hour)).IsZero() {
		t.Error("a daemon that does not own the shard may send to a target with a limit")
	}
	if !s.liftLimit(now.Add(time.Second)) || !s.Enter(now) {
		t.Error("the limit has not ended")
	}
}

// TestSamplersAgree guards against limits of many pools that each let other requests
// through, so that no request to all pools is answered.
func TestSamplersAgree(t *testing.T) {
	const requests, pools = 2000, 20
	now := time.Unix(1000, 0)
	var samplers [pools]Sampler
	whole, part := 0, 0
	for i := range requests {
		now = now.Add(10 * time.Millisecond)
		admitted := 0
		for p := range samplers {
			// The pools hear of a request at slightly different times.
			if samplers[p].Admit(now.Add(time.Duration(p)*100*time.Microsecond), fmt.Sprint("request-", i), 20) {
				admitted++
			}
		}
		switch admitted {
		case 0:
		case pools:
			whole++
		default:
			part++
		}
	}
	// A fifth of the requests, of 100 a second, can be served.
	if whole < requests/8 || whole > requests/4 || part > requests/100 {
		t.Errorf("%d of %d requests let through by all pools and %d by some, want a fifth and hardly any", whole, requests, part)
	}
}

// TestSamplerKnowsNewDemand guards against a limit that lets all requests through, many more
// than there are tokens, until the demand has been measured for seconds.
func TestSamplerKnowsNewDemand(t *testing.T) {
	const demand, rate = 25, 14.4
	now := time.Unix(1000, 0)
	var s Sampler
	admitted := 0
	for i := range 2 * demand {
		if s.Admit(now, fmt.Sprint("request-", i), rate) {
			admitted++
		}
		now = now.Add(time.Second / demand)
	}
	if float64(admitted) > 2*rate {
		t.Errorf("%d of the first %d requests let through, want at most the %.0f that there are tokens for", admitted, 2*demand, 2*rate)
	}
}

// TestSamplerWithoutOverload guards against requests that are held back although the targets
// can serve all of them.
func TestSamplerWithoutOverload(t *testing.T) {
	now := time.Unix(1000, 0)
	var s Sampler
	for i := range 100 {
		now = now.Add(100 * time.Millisecond)
		if !s.Admit(now, fmt.Sprint(i), 20) {
			t.Fatalf("request %d of 10 a second was held back at a rate of 20", i)
		}
	}
}
