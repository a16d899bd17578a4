package router

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"plantaincleat/tier/gen/peer"
)

// fixedChooser is a Chooser that offers the same paths to every unit, in order.
type fixedChooser struct {
	paths  []string
	delay  time.Duration
	failed map[string]bool
	slow   map[string]bool
}

func (f *fixedChooser) Choose(_ int, tried []string, _ time.Time) (string, bool) {
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

func (f *fixedChooser) HedgeDelay(string) time.Duration { return f.delay }

func (f *fixedChooser) Prompt(_ int, p string, _ time.Time) bool { return !f.slow[p] }

func (f *fixedChooser) Failed(p string, _ time.Time) bool { return f.failed[p] }

// tokenBudget is a Budget with a fixed number of hedges and retries.
type tokenBudget struct {
	hedges  int
	retries int
}

func (p *tokenBudget) Sent(int) {}

func (p *tokenBudget) Hedge(int, time.Time) bool { return spend(&p.hedges, 1) }

func (p *tokenBudget) Retry(int, time.Time) bool { return spend(&p.retries, 1) }

func (p *tokenBudget) Failover(int, time.Time) bool { return true }

func spend(tokens *int, n int) bool {
	if *tokens < n {
		return false
	}
	*tokens -= n
	return true
}

var epoch = time.Unix(1_000_000, 0)

func at(d time.Duration) time.Time { return epoch.Add(d) }

func newQuery(n int, options Options, f *fixedChooser, b Budget) *Query[string] {
	var nonce uint64
	return New(n, options, f, b, func() uint64 {
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

func twoPaths() *fixedChooser {
	return &fixedChooser{
		paths:  []string{"a", "b"},
		delay:  10 * time.Millisecond,
		failed: map[string]bool{},
	}
}

func TestHedgeAnswersSlowUnit(t *testing.T) {
	f := twoPaths()
	q := newQuery(3, waitForAll(), f, &tokenBudget{
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
		t.Errorf("after the hedge: done %v, actions %+v, want the first attempt cancelled", q.Done(), end)
	}
}

func TestHedgeStaysWithinBudget(t *testing.T) {
	q := newQuery(3, waitForAll(), twoPaths(), &tokenBudget{
		hedges: 2,
	})
	q.Start(epoch)
	q.Tick(at(10 * time.Millisecond))
	if q.Hedges() != 2 {
		t.Errorf("Hedges() = %d, want 2", q.Hedges())
	}
}

func TestHedgeSkipsSlowPath(t *testing.T) {
	f := twoPaths()
	f.slow = map[string]bool{
		"b": true,
	}
	q := newQuery(1, waitForAll(), f, &tokenBudget{
		hedges: 9,
	})
	q.Start(epoch)
	if got := q.Tick(at(10 * time.Millisecond)); len(got) != 0 {
		t.Errorf("Tick() = %+v, want no hedge on a path that would answer late", got)
	}
	f.slow["b"] = false
	if got := q.Tick(at(20 * time.Millisecond)); len(got) != 1 {
		t.Errorf("Tick() = %+v, want a hedge once the path is prompt", got)
	}
}

func TestNoHedgeWhenDisabled(t *testing.T) {
	options := waitForAll()
	options.Hedging = false
	q := newQuery(1, options, twoPaths(), &tokenBudget{
		hedges: 9,
	})
	q.Start(epoch)
	if got := q.Tick(at(time.Hour)); len(got) != 1 || !got[0].Cancel {
		t.Errorf("Tick() = %+v, want only the cancellation at the deadline", got)
	}
}

func TestFailoverNeedsNoBudget(t *testing.T) {
	f := twoPaths()
	q := newQuery(4, waitForAll(), f, &tokenBudget{})
	q.Start(epoch)
	f.failed["a"] = true
	got := q.Tick(at(10 * time.Millisecond))
	if len(got) != 1 || got[0].Path != "b" || len(got[0].Units) != 4 || got[0].Hedge {
		t.Errorf("Tick() = %+v, want all units sent on b as a retry", got)
	}
}

func TestRetryBudgetByReason(t *testing.T) {
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
		q := newQuery(1, waitForAll(), twoPaths(), &tokenBudget{})
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
	options := waitForAll()
	options.Goal = at(100 * time.Millisecond)
	options.Floor = 0.5
	q := newQuery(4, options, twoPaths(), &tokenBudget{})
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

// TestNextTickAfterGoal checks that the goal causes no further tick once it has passed
// below the floor.
func TestNextTickAfterGoal(t *testing.T) {
	f := twoPaths()
	f.delay = time.Minute
	options := waitForAll()
	options.Goal = at(100 * time.Millisecond)
	options.Floor = 0.5
	q := newQuery(4, options, f, &tokenBudget{})
	q.Start(epoch)
	if got := q.NextTick(); !got.Equal(options.Goal) {
		t.Fatalf("NextTick() = %v, want the goal", got)
	}
	q.Tick(options.Goal)
	if got := q.NextTick(); !got.Equal(options.Deadline) {
		t.Errorf("NextTick() after the goal = %v, want the deadline", got)
	}
}

func TestLateAnswerIgnored(t *testing.T) {
	q := newQuery(1, waitForAll(), twoPaths(), &tokenBudget{})
	first := q.Start(epoch)
	q.Tick(at(time.Second))
	q.Answer(first[0].Nonce, []int{0}, nil, true, at(2*time.Second))
	if q.Covered(0) || q.LateAnswers() != 1 {
		t.Errorf("Covered(0) = %v, LateAnswers() = %d, want false, 1", q.Covered(0), q.LateAnswers())
	}
}

// TestQueryProperties drives a query with random events. It checks that the query
// ends by its deadline, that the hedges stay within the budget, that the number of sent
// units is consistent, and that each missing unit has a reason.
func TestQueryProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 8).Draw(t, "units")
		f := &fixedChooser{
			paths:  []string{"a", "b", "c"},
			delay:  10 * time.Millisecond,
			failed: map[string]bool{},
		}
		options := waitForAll()
		options.SeparateUnits = rapid.Bool().Draw(t, "separate")
		b := &tokenBudget{
			hedges:  rapid.IntRange(0, 4).Draw(t, "hedges"),
			retries: rapid.IntRange(0, 4).Draw(t, "retries"),
		}
		hedgeLimit := b.hedges
		q := newQuery(n, options, f, b)
		pending := map[uint64][]int{}
		track := func(actions []Action[string]) {
			for _, a := range actions {
				if a.Cancel {
					delete(pending, a.Nonce)
					continue
				}
				pending[a.Nonce] = a.Units
			}
		}
		now := epoch
		track(q.Start(now))
		for step := 0; !q.Done() && step < 300; step++ {
			now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "ms")) * time.Millisecond)
			nonces := make([]uint64, 0, len(pending))
			for nonce := range pending {
				nonces = append(nonces, nonce)
			}
			slices.Sort(nonces)
			event := rapid.IntRange(0, 3).Draw(t, "event")
			if len(nonces) == 0 || event == 0 {
				track(q.Tick(now))
				continue
			}
			nonce := nonces[rapid.IntRange(0, len(nonces)-1).Draw(t, "attempt")]
			units := pending[nonce]
			switch event {
			case 1:
				delete(pending, nonce)
				track(q.Answer(nonce, units, nil, true, now))
			case 2:
				delete(pending, nonce)
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

// TestConsecutivePathFailures checks that a unit is sent on a third path after two
// paths have failed one after the other.
func TestConsecutivePathFailures(t *testing.T) {
	f := twoPaths()
	f.paths = []string{"a", "b", "c"}
	q := newQuery(1, waitForAll(), f, &tokenBudget{
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

// TestTransientFailureTriesPathsTwice checks that all paths are tried a second time,
// but not a third time, after failures that used no capacity.
func TestTransientFailureTriesPathsTwice(t *testing.T) {
	q := newQuery(1, waitForAll(), twoPaths(), &tokenBudget{})
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

// TestMissingUnitHasReason checks that a unit whose only path reported it as late keeps
// that reason.
func TestMissingUnitHasReason(t *testing.T) {
	q := newQuery(1, waitForAll(), &fixedChooser{
		paths: []string{"a"},
		delay: time.Second,
	}, &tokenBudget{})
	first := q.Start(epoch)
	q.Answer(first[0].Nonce, nil, []MissingUnit{{
		Unit:   0,
		Reason: peer.Reason_REASON_LATE,
	}}, true, at(time.Millisecond))
	if !q.Done() || q.Reason(0) != peer.Reason_REASON_LATE {
		t.Errorf("Done() = %v, Reason(0) = %v, want true, REASON_LATE", q.Done(), q.Reason(0))
	}
}

// TestFirstUnitReplacedOnce checks that another unit is sent alone after the first one
// failed, and that the rest is sent only once that unit was answered.
func TestFirstUnitReplacedOnce(t *testing.T) {
	options := waitForAll()
	options.FirstUnit = 1
	q := newQuery(4, options, twoPaths(), &tokenBudget{
		hedges: 9,
	})
	first := q.Start(epoch)
	if len(first) != 1 || !slices.Equal(first[0].Units, []int{0}) {
		t.Fatalf("Start() = %+v, want unit 0 alone", first)
	}
	if got := q.Tick(at(20 * time.Millisecond)); len(got) != 0 {
		t.Fatalf("Tick() = %+v, want no hedge of a first unit", got)
	}
	replacement := q.FailAttempt(first[0].Nonce, peer.Reason_REASON_UNREACHABLE, at(time.Millisecond))
	if len(replacement) != 1 || len(replacement[0].Units) != 1 || replacement[0].Units[0] == 0 {
		t.Fatalf("FailAttempt() = %+v, want one other unit", replacement)
	}
	rest := q.Answer(replacement[0].Nonce, replacement[0].Units, nil, true, at(2*time.Millisecond))
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
