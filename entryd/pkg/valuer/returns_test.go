package valuer

import (
	"testing"
	"time"
)

// TestReturnsPrefersSecondAttempts guards against a refused request that is refused again for
// one that came later, and against a preference for callers that do not wait.
func TestReturnsPrefersSecondAttempts(t *testing.T) {
	tests := []struct {
		name  string
		key   int
		after time.Duration
		want  bool
	}{
		{name: "as told", key: 1, after: 100 * ms, want: true},
		{name: "too early", key: 1, after: 50 * ms},
		{name: "much later", key: 1, after: 100*ms + returnLife},
		{name: "not refused", key: 2, after: 100 * ms},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var r Returns[int]
			r.Record(begin, 1, 100*ms)
			if got := r.Take(begin.Add(test.after), test.key); got != test.want {
				t.Errorf("returned: %v, want %v", got, test.want)
			}
			if test.want && r.Take(begin.Add(test.after), test.key) {
				t.Error("one refusal was used twice")
			}
		})
	}
}

// TestReturnsIsBounded guards against a wave of refusals that fills the memory.
func TestReturnsIsBounded(t *testing.T) {
	var r Returns[int]
	for i := range 3 * maxReturns {
		r.Record(begin, i, 0)
	}
	if len(r.from) > maxReturns || len(r.order) > maxReturns {
		t.Errorf("%d requests remembered in a list of %d, want at most %d", len(r.from), len(r.order), maxReturns)
	}
	if !r.Take(begin, 3*maxReturns-1) {
		t.Error("last refusal was forgotten")
	}
}

// TestRetryAfterSpreadsInOrder guards against a wave of refusals after which all callers
// return at the same moment, or the less urgent ones first.
func TestRetryAfterSpreadsInOrder(t *testing.T) {
	tests := []struct {
		name          string
		wait, longest time.Duration
		first, last   time.Duration
	}{
		{name: "burst", wait: 150 * ms, longest: 800 * ms, first: 150 * ms, last: 300 * ms},
		{name: "room at once", longest: 800 * ms, first: 100 * ms, last: 200 * ms},
		{name: "too far away for the caller", wait: 5 * time.Second, longest: 800 * ms, first: 400 * ms, last: 800 * ms},
		{name: "little time left", wait: 150 * ms, longest: 100 * ms, first: 100 * ms, last: 150 * ms},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			after := func(k Kind, random float64) time.Duration {
				return RetryAfter(test.wait, 100*ms, test.longest, k, random)
			}
			middle := (test.first + test.last) / 2
			for _, c := range []struct {
				got, want time.Duration
			}{
				{after(OnlyKind, 0), test.first}, {after(OnlyKind, 1), test.last},
				{after(MostUrgent, 0), test.first}, {after(MostUrgent, 1), middle},
				{after(LessUrgent, 0), middle}, {after(LessUrgent, 1), test.last},
			} {
				if c.got != c.want {
					t.Errorf("return after %v, want %v", c.got, c.want)
				}
			}
		})
	}
}

// TestTallyIsBounded guards against counts and log lines that grow with the priorities and
// refusals of a burst.
func TestTallyIsBounded(t *testing.T) {
	var tally Tally
	lines := 0
	for i := range uint32(3000) {
		tally.RecordRefused(i)
		if _, due := tally.Due(begin.Add(time.Duration(i) * ms)); due {
			lines++
		}
	}
	if n := len(tally.Counts()); n != maxKinds || lines != 3 {
		t.Errorf("%d priorities and %d lines in three seconds, want %d and 3", n, lines, maxKinds)
	}
}
