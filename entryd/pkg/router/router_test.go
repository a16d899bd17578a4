package router

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"plantaincleat/tier/gen/peer"
)

// fixed is a Chooser over the same paths for every unit.
type fixed struct {
	paths  []string
	delay  time.Duration
	failed map[string]bool
	queued map[string]bool
}

func (f *fixed) Choose(_ int, tried []string, _ time.Time) (string, bool) {
	for _, p := range f.paths {
		if !slices.Contains(tried, p) && !f.failed[p] {
			return p, true
		}
	}
	for _, p := range f.paths {
		if !slices.Contains(tried, p) {
			return p, true
		}
	}
	return "", false
}

func (f *fixed) HedgeDelay(string) time.Duration { return f.delay }

func (f *fixed) Prompt(_ int, p string, _ time.Time) bool { return !f.queued[p] }

func (f *fixed) Failed(p string, _ time.Time) bool { return f.failed[p] }

// purse is a Budget with a number of tokens for each kind.
type purse struct {
	hedges  int
	retries int
}

func (p *purse) Sent(int) {}

func (p *purse) Hedge(int, time.Time) bool { return spend(&p.hedges, 1) }

func (p *purse) Retry(int, time.Time) bool { return spend(&p.retries, 1) }

func (p *purse) Failover(int, time.Time) bool { return true }

func spend(tokens *int, n int) bool {
	if *tokens < n {
		return false
	}
	*tokens -= n
	return true
}

var epoch = time.Unix(1_000_000, 0)

func at(d time.Duration) time.Time { return epoch.Add(d) }

func newQuery(n int, terms Options, f *fixed, b Budget) *Query[string] {
	var nonce uint64
	return New(n, terms, f, b, func() uint64 {
		nonce++
		return nonce
	})
}

func waitForAll() Options {
	return Options{
		Deadline: at(time.Second),
		Hedging:  true,
	}
}

func twoPaths() *fixed {
	return &fixed{
		paths:  []string{"a", "b"},
		delay:  10 * time.Millisecond,
		failed: map[string]bool{},
	}
}

func TestHedgeCoversStraggler(t *testing.T) {
	f := twoPaths()
	q := newQuery(3, waitForAll(), f, &purse{
		hedges: 1,
	})
	first := q.Start(epoch)
	if len(first) != 1 || first[0].Path != "a" || len(first[0].Units) != 3 {
		t.Fatalf("Start() = %+v, want one attempt of 3 units on a", first)
	}
	if early := q.Tick(at(9 * time.Millisecond)); len(early) != 0 {
		t.Fatalf("Tick() before the hedge delay = %+v, want nothing", early)
	}
	hedge := q.Answer(first[0].Nonce, []int{0, 1}, nil, false, at(9*time.Millisecond))
	if len(hedge) != 1 || hedge[0].Path != "b" || !slices.Equal(hedge[0].Units, []int{2}) || !hedge[0].Hedge {
		t.Fatalf("Answer() of a partial = %+v, want a hedge of unit 2 on b at once", hedge)
	}
	end := q.Answer(hedge[0].Nonce, []int{2}, nil, true, at(12*time.Millisecond))
	if !q.Done() || len(end) != 1 || !end[0].Cancel || end[0].Nonce != first[0].Nonce {
		t.Errorf("after the hedge: done %v, actions %+v, want the loser cancelled", q.Done(), end)
	}
}

func TestHedgeStaysWithinBudget(t *testing.T) {
	q := newQuery(3, waitForAll(), twoPaths(), &purse{
		hedges: 2,
	})
	q.Start(epoch)
	q.Tick(at(10 * time.Millisecond))
	if q.Hedges() != 2 {
		t.Errorf("Hedges() = %d, want 2", q.Hedges())
	}
}

func TestQueuedPathIsNoHedge(t *testing.T) {
	f := twoPaths()
	f.queued = map[string]bool{
		"b": true,
	}
	q := newQuery(1, waitForAll(), f, &purse{
		hedges: 9,
	})
	q.Start(epoch)
	if got := q.Tick(at(10 * time.Millisecond)); len(got) != 0 {
		t.Errorf("Tick() = %+v, want no hedge on a path that would answer late", got)
	}
	f.queued["b"] = false
	if got := q.Tick(at(20 * time.Millisecond)); len(got) != 1 {
		t.Errorf("Tick() = %+v, want a hedge once the path is prompt", got)
	}
}

func TestSuspectedRequestIsNotHedged(t *testing.T) {
	terms := waitForAll()
	terms.Hedging = false
	q := newQuery(1, terms, twoPaths(), &purse{
		hedges: 9,
	})
	q.Start(epoch)
	if got := q.Tick(at(time.Hour)); len(got) != 1 || !got[0].Cancel {
		t.Errorf("Tick() = %+v, want only the cancellation at the deadline", got)
	}
}

func TestFailedPathIsLeftWithoutBudget(t *testing.T) {
	f := twoPaths()
	q := newQuery(4, waitForAll(), f, &purse{})
	q.Start(epoch)
	f.failed["a"] = true
	got := q.Tick(at(10 * time.Millisecond))
	if len(got) != 1 || got[0].Path != "b" || len(got[0].Units) != 4 || got[0].Hedge {
		t.Errorf("Tick() = %+v, want all units again on b as a retry", got)
	}
}

func TestRetryAfterLossIsFreeAndAfterShedIsCharged(t *testing.T) {
	tests := []struct {
		reason peer.Reason
		want   int
		final  peer.Reason
	}{
		{
			reason: peer.Reason_REASON_UNREACHABLE,
			want:   1,
			final:  peer.Reason_REASON_UNREACHABLE,
		},
		{
			reason: peer.Reason_REASON_LEAVING,
			want:   1,
			final:  peer.Reason_REASON_LEAVING,
		},
		{
			reason: peer.Reason_REASON_SHED,
			final:  peer.Reason_REASON_BUDGET,
		},
	}
	for _, tc := range tests {
		q := newQuery(1, waitForAll(), twoPaths(), &purse{})
		first := q.Start(epoch)
		q.FailAttempt(first[0].Nonce, tc.reason, at(time.Millisecond))
		if q.Retries() != tc.want {
			t.Errorf("%v: Retries() = %d, want %d", tc.reason, q.Retries(), tc.want)
		}
		if q.Reason(0) != tc.final {
			t.Errorf("%v: Reason() = %v, want %v", tc.reason, q.Reason(0), tc.final)
		}
	}
}

func TestGoalEndsAtFloor(t *testing.T) {
	terms := waitForAll()
	terms.Goal = at(100 * time.Millisecond)
	terms.Floor = 0.5
	q := newQuery(4, terms, twoPaths(), &purse{})
	first := q.Start(epoch)
	q.Answer(first[0].Nonce, []int{0}, nil, false, at(50*time.Millisecond))
	q.Tick(at(100 * time.Millisecond))
	if q.Done() {
		t.Fatal("query ended below the floor")
	}
	q.Answer(first[0].Nonce, []int{1}, nil, false, at(150*time.Millisecond))
	if !q.Done() || q.Reason(2) != peer.Reason_REASON_LATE {
		t.Errorf("Done() = %v, Reason(2) = %v, want true, REASON_LATE", q.Done(), q.Reason(2))
	}
}

// TestNoWakeForPassedGoal asks for no wake-up between a goal that passed below
// the floor and the next event.
func TestNoWakeForPassedGoal(t *testing.T) {
	f := twoPaths()
	f.delay = time.Minute
	terms := waitForAll()
	terms.Goal = at(100 * time.Millisecond)
	terms.Floor = 0.5
	q := newQuery(4, terms, f, &purse{})
	q.Start(epoch)
	if got := q.NextTick(); !got.Equal(terms.Goal) {
		t.Fatalf("Wake() = %v, want the goal", got)
	}
	q.Tick(terms.Goal)
	if got := q.NextTick(); !got.Equal(terms.Deadline) {
		t.Errorf("Wake() after the goal = %v, want the deadline", got)
	}
}

func TestLateAnswerIsCountedAndIgnored(t *testing.T) {
	q := newQuery(1, waitForAll(), twoPaths(), &purse{})
	first := q.Start(epoch)
	q.Tick(at(time.Second))
	q.Answer(first[0].Nonce, []int{0}, nil, true, at(2*time.Second))
	if q.Covered(0) || q.LateAnswers() != 1 {
		t.Errorf("Covered(0) = %v, Late() = %d, want false, 1", q.Covered(0), q.LateAnswers())
	}
}

// TestQueryProperties drives a query with random events and checks that it
// ends, that sent counts add up, and that extra sub-requests stay in budget.
func TestQueryProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 8).Draw(t, "units")
		f := &fixed{
			paths:  []string{"a", "b", "c"},
			delay:  10 * time.Millisecond,
			failed: map[string]bool{},
		}
		terms := waitForAll()
		terms.SeparateUnits = rapid.Bool().Draw(t, "separate")
		b := &purse{
			hedges:  rapid.IntRange(0, 4).Draw(t, "hedges"),
			retries: rapid.IntRange(0, 4).Draw(t, "retries"),
		}
		hedgeLimit := b.hedges
		q := newQuery(n, terms, f, b)
		live := map[uint64][]int{}
		track := func(actions []Action[string]) {
			for _, a := range actions {
				if a.Cancel {
					delete(live, a.Nonce)
					continue
				}
				live[a.Nonce] = a.Units
			}
		}
		now := epoch
		track(q.Start(now))
		for step := 0; !q.Done() && step < 300; step++ {
			now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "ms")) * time.Millisecond)
			nonces := make([]uint64, 0, len(live))
			for nonce := range live {
				nonces = append(nonces, nonce)
			}
			slices.Sort(nonces)
			event := rapid.IntRange(0, 3).Draw(t, "event")
			if len(nonces) == 0 || event == 0 {
				track(q.Tick(now))
				continue
			}
			nonce := nonces[rapid.IntRange(0, len(nonces)-1).Draw(t, "attempt")]
			units := live[nonce]
			switch event {
			case 1:
				delete(live, nonce)
				track(q.Answer(nonce, units, nil, true, now))
			case 2:
				delete(live, nonce)
				track(q.FailAttempt(nonce, peer.Reason_REASON_SHED, now))
			case 3:
				track(q.Answer(nonce, units[:1], nil, false, now))
			}
		}
		track(q.Tick(at(time.Hour)))
		if !q.Done() {
			t.Fatal("query did not end by its deadline")
		}
		if q.Hedges() > hedgeLimit {
			t.Fatalf("Hedges() = %d, budget %d", q.Hedges(), hedgeLimit)
		}
		if q.Sent() > n+q.Hedges()+q.Retries() {
			t.Fatalf("Sent() = %d, want at most %d units + %d hedges + %d retries", q.Sent(), n, q.Hedges(), q.Retries())
		}
		for u := range n {
			if !q.Covered(u) && q.Reason(u) == peer.Reason_REASON_UNSPECIFIED {
				t.Fatalf("unit %d is missing without a reason", u)
			}
		}
	})
}

// TestFailuresOneAfterAnother loses two paths in turn before the third answers.
func TestFailuresOneAfterAnother(t *testing.T) {
	f := twoPaths()
	f.paths = []string{"a", "b", "c"}
	q := newQuery(1, waitForAll(), f, &purse{
		hedges: 1,
	})
	q.Start(epoch)
	second := q.Tick(at(10 * time.Millisecond))
	if len(second) != 1 || second[0].Path != "b" {
		t.Fatalf("Tick() = %+v, want a hedge on b", second)
	}
	f.failed["a"], f.failed["b"] = true, true
	third := q.Tick(at(20 * time.Millisecond))
	if len(third) != 1 || third[0].Path != "c" || third[0].Hedge || !slices.Equal(third[0].Units, []int{0}) {
		t.Errorf("Tick() = %+v, want a retry of unit 0 on c", third)
	}
	if q.Sent() != 3 || q.Retries() != 1 {
		t.Errorf("Sent() = %d, Retries() = %d, want 3, 1", q.Sent(), q.Retries())
	}
}

// TestPassingFailureIsTriedTwice asks all paths a second time after failures
// that used no capacity, and no third time.
func TestPassingFailureIsTriedTwice(t *testing.T) {
	q := newQuery(1, waitForAll(), twoPaths(), &purse{})
	actions := q.Start(epoch)
	var paths []string
	for len(actions) == 1 && !actions[0].Cancel {
		paths = append(paths, actions[0].Path)
		actions = q.FailAttempt(actions[0].Nonce, peer.Reason_REASON_UNREACHABLE, at(time.Millisecond))
	}
	if want := []string{"a", "b", "a", "b"}; !slices.Equal(paths, want) {
		t.Errorf("paths %v, want %v", paths, want)
	}
}

// TestMissingUnitHasReason covers a unit that every path called late.
func TestMissingUnitHasReason(t *testing.T) {
	q := newQuery(1, waitForAll(), &fixed{
		paths: []string{"a"},
		delay: time.Second,
	}, &purse{})
	first := q.Start(epoch)
	q.Answer(first[0].Nonce, nil, []MissingUnit{{
		Unit:   0,
		Reason: peer.Reason_REASON_LATE,
	}}, true, at(time.Millisecond))
	if !q.Done() || q.Reason(0) != peer.Reason_REASON_LATE {
		t.Errorf("Done() = %v, Reason(0) = %v, want true, REASON_LATE", q.Done(), q.Reason(0))
	}
}

// TestFirstUnitMovesOnce sends another unit first after the first one failed,
// and the rest only once a first unit was answered.
func TestFirstUnitMovesOnce(t *testing.T) {
	terms := waitForAll()
	terms.FirstUnit = 1
	q := newQuery(4, terms, twoPaths(), &purse{
		hedges: 9,
	})
	first := q.Start(epoch)
	if len(first) != 1 || !slices.Equal(first[0].Units, []int{0}) {
		t.Fatalf("Start() = %+v, want unit 0 alone", first)
	}
	if got := q.Tick(at(20 * time.Millisecond)); len(got) != 0 {
		t.Fatalf("Tick() = %+v, want no hedge of a first unit", got)
	}
	moved := q.FailAttempt(first[0].Nonce, peer.Reason_REASON_UNREACHABLE, at(time.Millisecond))
	if len(moved) != 1 || len(moved[0].Units) != 1 || moved[0].Units[0] == 0 {
		t.Fatalf("Lost() = %+v, want one other unit", moved)
	}
	rest := q.Answer(moved[0].Nonce, moved[0].Units, nil, true, at(2*time.Millisecond))
	units := 0
	for _, a := range rest {
		units += len(a.Units)
		if slices.Contains(a.Units, 0) && a.Path == first[0].Path {
			t.Errorf("unit 0 is sent again on %q, which failed", a.Path)
		}
	}
	if units != 3 {
		t.Errorf("Answer() sends %d units, want 3", units)
	}
}

// TestAcceptedUnitsAreNotSentAgain checks the bound on the paths that may run a
// unit: a path that has taken it over may use all of it, and its loss is final.
func TestAcceptedUnitsAreNotSentAgain(t *testing.T) {
	tests := []struct {
		name     string
		accepted bool
		sent     int
	}{
		{name: "lost before it was accepted", sent: 2},
		{name: "lost after it was accepted", accepted: true, sent: 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			ch := &fixed{paths: []string{"a", "b"}, delay: time.Second}
			nonce := uint64(0)
			q := New(1, Options{Deadline: epoch.Add(time.Second), Hedging: true, MaxExecutions: 2}, ch, &purse{hedges: 9, retries: 9}, func() uint64 { nonce++; return nonce })
			q.Start(epoch)
			if test.accepted {
				q.RecordAccepted(1)
			}
			q.FailAttempt(1, peer.Reason_REASON_FAILED, epoch)
			q.FailAttempt(2, peer.Reason_REASON_FAILED, epoch)
			if q.Sent() != test.sent || !q.Done() {
				t.Errorf("sent %d times, want %d; done %v", q.Sent(), test.sent, q.Done())
			}
		})
	}
}
