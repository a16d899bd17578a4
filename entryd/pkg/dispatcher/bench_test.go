package dispatcher

import (
	"context"
	"fmt"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"

	"plantaincleat/entryd/pkg/claimer"
	"plantaincleat/tier/gen/peer"
	"plantaincleat/tier/gen/target"
	"plantaincleat/tier/pkg/storer"
)

const (
	// storeDelay is the time of one call on the store.
	storeDelay = 4 * time.Millisecond
	// storeWrites is the rate of writes that the store takes, per second.
	storeWrites = 300
	// benchTime is how long each point is driven.
	benchTime = 3 * time.Second
)

// slowStore answers after storeDelay and writes at no more than storeWrites.
type slowStore struct {
	*storer.Memory
	mu   sync.Mutex
	next time.Time
}

func (s *slowStore) Read(ctx context.Context, prefix string) (storer.Page, error) {
	time.Sleep(storeDelay)
	return s.Memory.Read(ctx, prefix)
}

func (s *slowStore) Get(ctx context.Context, key string) (storer.Item, bool, error) {
	time.Sleep(storeDelay)
	return s.Memory.Get(ctx, key)
}

func (s *slowStore) Commit(ctx context.Context, txn storer.Txn) (storer.Result, error) {
	s.mu.Lock()
	now := time.Now()
	if s.next.Before(now) {
		s.next = now
	}
	s.next = s.next.Add(time.Second / storeWrites)
	at := s.next
	s.mu.Unlock()
	time.Sleep(time.Until(at) + storeDelay)
	return s.Memory.Commit(ctx, txn)
}

// single writes each claim by itself, the baseline: a key is created for the
// claim and another for the outcome.
type single struct{ store storer.Store }

func (s *single) Claim(ctx context.Context, c *peer.Claim) *peer.ClaimResult {
	key := fmt.Sprintf("claims/%s/%d", c.GetKey(), c.GetKind())
	r, err := s.store.Commit(ctx, storer.Txn{
		Conditions: []storer.Condition{{Key: key}},
		Writes: []storer.Write{{
			Key:   key,
			Value: []byte(c.GetDispatcher()),
		}},
	})
	switch {
	case err != nil:
		return &peer.ClaimResult{Verdict: peer.Verdict_VERDICT_UNKNOWN}
	case !r.Applied:
		return &peer.ClaimResult{Verdict: peer.Verdict_VERDICT_HELD}
	case c.GetKind() == peer.ClaimKind_CLAIM_KIND_TAKE:
		return &peer.ClaimResult{Verdict: peer.Verdict_VERDICT_GRANTED}
	}
	return &peer.ClaimResult{Verdict: peer.Verdict_VERDICT_RECORDED}
}

// batched asks one keeper.
type batched struct{ keeper *claimer.BucketWriter }

func (b *batched) Claim(ctx context.Context, c *peer.Claim) *peer.ClaimResult {
	key, _ := claimer.ParseKey(c.GetKey())
	reply, err := b.keeper.Claim(ctx, &peer.ClaimRequest{
		Bucket: key.Bucket(),
		Claims: []*peer.Claim{c},
	})
	if err != nil {
		return &peer.ClaimResult{Verdict: peer.Verdict_VERDICT_UNKNOWN}
	}
	return reply.GetResults()[0]
}

// instant is a target that answers at once.
type instant struct{}

func (instant) Mutate(_ context.Context, m *target.Mutation) (*target.Outcome, error) {
	return &target.Outcome{
		Key:    m.GetKey(),
		Status: target.Status_STATUS_DONE,
	}, nil
}

// drive sends mutations from concurrent callers for a time and returns the
// durations of those that were done.
func drive(d *Dispatcher, callers int) []time.Duration {
	var wg sync.WaitGroup
	var mu sync.Mutex
	var done []time.Duration
	end := time.Now().Add(benchTime)
	for range callers {
		wg.Go(func() {
			var own []time.Duration
			for time.Now().Before(end) {
				start := time.Now()
				id, _ := uuid.NewV7()
				r := d.Do(context.Background(), Request{
					Key:      id.String(),
					Attempt:  1,
					Deadline: start.Add(2 * benchTime),
				})
				if r.Kind == KindDone {
					own = append(own, time.Since(start))
				}
			}
			mu.Lock()
			done = append(done, own...)
			mu.Unlock()
		})
	}
	wg.Wait()
	return done
}

// BenchmarkMutations compares batches with one write per claim at a store that
// takes 300 writes a second. Each op is one run of three seconds.
func BenchmarkMutations(b *testing.B) {
	for _, callers := range []int{1, 10, 100, 1000} {
		for _, way := range []string{"single", "batched"} {
			b.Run(fmt.Sprintf("%s/callers=%d", way, callers), func(b *testing.B) {
				for range b.N {
					measure(b, way, callers)
				}
			})
		}
	}
}

func measure(b *testing.B, way string, callers int) {
	store := &slowStore{Memory: &storer.Memory{}}
	clock := clockwork.NewRealClock()
	keeper := claimer.New(store, clock, claimer.Config{})
	var claims Claims = &batched{keeper: keeper}
	if way == "single" {
		claims = &single{store: store}
	}
	d := New(claims, instant{}, clock)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	start := time.Now()
	done := drive(d, callers)
	seconds := time.Since(start).Seconds()
	runtime.ReadMemStats(&after)
	writes := store.Counts().Writes
	slices.Sort(done)
	b.ReportMetric(float64(len(done))/seconds, "mutations/s")
	b.ReportMetric(float64(writes)/seconds, "writes/s")
	if len(done) > 0 {
		b.ReportMetric(float64(done[len(done)/2].Microseconds())/1000, "p50-ms")
		b.ReportMetric(float64(done[len(done)*99/100].Microseconds())/1000, "p99-ms")
		b.ReportMetric(float64(after.Mallocs-before.Mallocs)/float64(len(done)), "allocs/mutation")
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	d.Drain(ctx)
	keeper.Close()
}

// BenchmarkFleet counts the store's calls for one load over more daemons: every
// daemon has a dispatcher, and each bucket one keeper among them.
func BenchmarkFleet(b *testing.B) {
	const callers = 360
	for _, daemons := range []int{1, 9, 90} {
		b.Run(fmt.Sprintf("daemons=%d", daemons), func(b *testing.B) {
			for range b.N {
				fleet(b, daemons, callers)
			}
		})
	}
}

// routed sends each bucket to its keeper.
type routed struct{ keepers []*claimer.BucketWriter }

func (r *routed) Claim(ctx context.Context, c *peer.Claim) *peer.ClaimResult {
	key, _ := claimer.ParseKey(c.GetKey())
	b := &batched{keeper: r.keepers[int(key.Bucket())%len(r.keepers)]}
	return b.Claim(ctx, c)
}

func fleet(b *testing.B, daemons, callers int) {
	store := &slowStore{Memory: &storer.Memory{}}
	clock := clockwork.NewRealClock()
	claims := &routed{}
	for range daemons {
		claims.keepers = append(claims.keepers, claimer.New(store, clock, claimer.Config{}))
	}
	var done atomic.Int64
	var wg sync.WaitGroup
	for range daemons {
		wg.Go(func() { done.Add(int64(len(drive(New(claims, instant{}, clock), callers/daemons)))) })
	}
	wg.Wait()
	counts := store.Counts()
	b.ReportMetric(float64(done.Load())/benchTime.Seconds(), "mutations/s")
	b.ReportMetric(float64(counts.Writes)/benchTime.Seconds(), "writes/s")
	b.ReportMetric(float64(counts.Reads)/benchTime.Seconds(), "reads/s")
	for _, k := range claims.keepers {
		k.Close()
	}
}
