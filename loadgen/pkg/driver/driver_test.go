package driver

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"plantaincleat/loadgen/pkg/caller"
	"plantaincleat/loadgen/pkg/deploymentplanner"
	"plantaincleat/loadgen/pkg/resultcollector"
	"plantaincleat/loadgen/pkg/scheduler"
)

// stallingCaller is a Caller that delays its answers during part of a run.
type stallingCaller struct {
	start time.Time
	// Requests sent from stallFrom until stallTo are answered at stallTo.
	stallFrom, stallTo time.Duration
	// If err is not nil, all calls return it.
	err error

	mu    sync.Mutex
	sends []time.Duration
}

func (c *stallingCaller) Search(ctx context.Context, s caller.Search) (*caller.Answer, error) {
	at := time.Since(c.start)
	c.mu.Lock()
	c.sends = append(c.sends, at)
	c.mu.Unlock()
	if c.err != nil {
		return nil, c.err
	}
	d := time.Millisecond
	if at >= c.stallFrom && at < c.stallTo {
		d = c.stallTo - at
	}
	select {
	case <-time.After(d):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	return &caller.Answer{
		Request:  s.ID,
		Snapshot: "s1",
		Coverage: caller.Coverage{Fraction: 1},
		Records:  []caller.Record{{Key: "a"}},
		Cursor:   "more",
	}, nil
}

func (c *stallingCaller) Mutate(context.Context, caller.Mutation) (*caller.MutationAnswer, error) {
	return nil, c.err
}

func newOptions(classes ...deploymentplanner.Class) Options {
	return Options{
		Load: scheduler.Options{
			Classes: classes,
			Steps: []scheduler.Step{{
				Factor:   1,
				Rate:     100,
				Duration: 4 * time.Second,
			}},
			Seed:    1,
			Uniform: true,
		},
		LostAfter:   time.Second,
		MaxInFlight: 1000,
	}
}

func lookup() deploymentplanner.Class {
	return deploymentplanner.Class{
		Name:     "lookup",
		Weight:   1,
		Floor:    1,
		Deadline: 2 * time.Second,
	}
}

// TestRunCountsStallForEachRequest checks that the driver keeps sending requests at
// their intended times while the tier stalls, and that the latency of each request
// includes its part of the stall. A driver that waits for answers would send fewer
// requests during the stall and under-report the latency.
func TestRunCountsStallForEachRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &stallingCaller{
			start:     time.Now(),
			stallFrom: time.Second,
			stallTo:   2 * time.Second,
		}
		r := New(c, newOptions(lookup())).Run(t.Context())
		for i, at := range c.sends {
			if want := time.Duration(i+1) * 10 * time.Millisecond; at != want {
				t.Fatalf("request %d was sent at %v, want %v", i, at, want)
			}
		}
		total := r.Steps[0].Total
		if total.Sent != 399 || total.Answered != 399 {
			t.Errorf("sent %d, answered %d, want 399", total.Sent, total.Answered)
		}
		// A quarter of the requests is sent during the stall, evenly spaced.
		if p := total.Latency.P90; p < 590_000 || p > 610_000 {
			t.Errorf("p90 %d µs, want about 600000", p)
		}
		if p := total.Latency.Max; p < 999_000 || p > 1_001_000 {
			t.Errorf("max %d µs, want about 1000000", p)
		}
		if p := total.Latency.P50; p != 1000 {
			t.Errorf("p50 %d µs, want 1000", p)
		}
	})
}

func TestRunCountsUnansweredAsLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &stallingCaller{
			start:   time.Now(),
			stallTo: time.Hour,
		}
		r := New(c, newOptions(lookup())).Run(t.Context())
		total := r.Steps[0].Total
		if total.Lost != 399 || total.Good != 0 {
			t.Errorf("lost %d, good %d, want 399 and 0", total.Lost, total.Good)
		}
		// The latency of a lost request is the deadline plus LostAfter.
		if p := total.Latency.P50; p < 2_990_000 || p > 3_010_000 {
			t.Errorf("p50 %d µs, want about 3000000", p)
		}
	})
}

func TestRunBoundsRequestsInFlight(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &stallingCaller{
			start:   time.Now(),
			stallTo: time.Hour,
		}
		o := newOptions(lookup())
		o.MaxInFlight = 5
		r := New(c, o).Run(t.Context())
		if r.Steps[0].Total.Sent != 399 || len(c.sends) != 10 {
			t.Errorf("counted %d and sent %d, want 399 and 10", r.Steps[0].Total.Sent, len(c.sends))
		}
	})
}

func TestRunReadsAllPages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &stallingCaller{
			start: time.Now(),
		}
		class := lookup()
		class.PageCount = 3
		r := New(c, newOptions(class)).Run(t.Context())
		if got := r.Steps[0].Total.Sent; got != 3*399 {
			t.Errorf("sent %d pages, want %d", got, 3*399)
		}
	})
}

func TestRunCountsRefusalsAndLosses(t *testing.T) {
	tests := []struct {
		name     string
		mutation bool
		err      error
		refused  int64
		unknown  int64
		lost     int64
	}{
		{name: "not executed", err: &caller.Refusal{Kind: "limit", Executed: "no"}, refused: 399},
		{name: "execution unknown", mutation: true, err: &caller.Refusal{Kind: "claimed", Executed: "unknown"}, refused: 399, unknown: 399},
		{name: "no answer", mutation: true, err: errors.New("reset"), lost: 399},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				class := lookup()
				class.Mutation = tt.mutation
				keys := make(map[string]bool)
				var mu sync.Mutex
				o := newOptions(class)
				o.OnMutation = func(m caller.Mutation, _ resultcollector.Result) {
					mu.Lock()
					defer mu.Unlock()
					keys[m.RequestKey] = true
				}
				r := New(&stallingCaller{err: tt.err}, o).Run(t.Context())
				total := r.Steps[0].Total
				var refused int64
				for _, n := range total.Refused {
					refused += n
				}
				if refused != tt.refused || total.ExecutionUnknown != tt.unknown || total.Lost != tt.lost {
					t.Errorf("refused %d, execution unknown %d, lost %d; want %d, %d, %d", refused, total.ExecutionUnknown, total.Lost, tt.refused, tt.unknown, tt.lost)
				}
				if tt.mutation && len(keys) != 399 {
					t.Errorf("%d request keys, want 399", len(keys))
				}
			})
		})
	}
}

func TestRunStopsOnCancel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second+time.Millisecond)
		defer cancel()
		c := &stallingCaller{
			start: time.Now(),
		}
		r := New(c, newOptions(lookup())).Run(ctx)
		if total := r.Steps[0].Total; total.Sent != 100 || total.Answered != 100 {
			t.Errorf("sent %d, answered %d, want 100", total.Sent, total.Answered)
		}
	})
}
