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
	// storeDelay is the duration of one store call.
	storeDelay = 4 * time.Millisecond
	// storeWrites is the number of writes per second that the store accepts.
	storeWrites = 300
	// benchTime is the duration of the load in each benchmark iteration.
	benchTime = 3 * time.Second
)

// slowStore delays each call by storeDelay and limits the write rate to
// storeWrites.
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

// unbatchedClaimer is the baseline: it writes each claim in a transaction of its
// own, which creates one store key for the take and another for the record.
type unbatchedClaimer struct{ store storer.Store }

func (s *unbatchedClaimer) Claim(ctx context.Context, c *peer.Claim) *peer.ClaimResult {
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

// writerClaimer sends all claims to one bucket writer.
type writerClaimer struct{ writer *claimer.BucketWriter }

func (b *writerClaimer) Claim(ctx context.Context, c *peer.Claim) *peer.ClaimResult {
	key, _ := claimer.ParseKey(c.GetKey())
	reply, err := b.writer.Claim(ctx, &peer.ClaimRequest{
		Bucket: key.Bucket(),
		Claims: []*peer.Claim{c},
	})
	if err != nil {
		return &peer.ClaimResult{Verdict: peer.Verdict_VERDICT_UNKNOWN}
	}
	return reply.GetResults()[0]
}

// instantTarget is a target that answers at once.
type instantTarget struct{}

func (instantTarget) Mutate(_ context.Context, m *target.Mutation) (*target.Outcome, error) {
	return &target.Outcome{
		Key:    m.GetKey(),
		Status: target.Status_STATUS_DONE,
	}, nil
}

// drive sends mutations from concurrent callers for benchTime and returns the
// durations of those that ended with KindDone.
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

// BenchmarkMutations compares batched claims with one write per claim, on a store
// that accepts storeWrites writes per second. Each op is one run of benchTime.
func BenchmarkMutations(b *testing.B) {
	for _, callers := range []int{1, 10, 100, 1000} {
		for _, mode := range []string{"single", "batched"} {
			b.Run(fmt.Sprintf("%s/callers=%d", mode, callers), func(b *testing.B) {
				for range b.N {
					measure(b, mode, callers)
				}
			})
		}
	}
}

func measure(b *testing.B, mode string, callers int) {
	store := &slowStore{Memory: &storer.Memory{}}
	clock := clockwork.NewRealClock()
	writer := claimer.New(store, clock, claimer.Config{})
	var claims Claimer = &writerClaimer{writer: writer}
	if mode == "single" {
		claims = &unbatchedClaimer{store: store}
	}
	d := New(claims, instantTarget{}, clock)
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
	writer.Close()
}

// BenchmarkFleet measures how the number of store calls depends on the number of
// daemons under the same load. Every daemon has a dispatcher, and each bucket is
// written by one of the daemons.
func BenchmarkFleet(b *testing.B) {
	const callers = 360
	for _, daemons := range []int{1, 9, 90} {
		b.Run(fmt.Sprintf("daemons=%d", daemons), func(b *testing.B) {
			for range b.N {
				measureFleet(b, daemons, callers)
			}
		})
	}
}

// routedClaimer sends each claim to the one writer of its bucket.
type routedClaimer struct{ writers []*claimer.BucketWriter }

func (r *routedClaimer) Claim(ctx context.Context, c *peer.Claim) *peer.ClaimResult {
	key, _ := claimer.ParseKey(c.GetKey())
	b := &writerClaimer{writer: r.writers[int(key.Bucket())%len(r.writers)]}
	return b.Claim(ctx, c)
}

func measureFleet(b *testing.B, daemons, callers int) {
	store := &slowStore{Memory: &storer.Memory{}}
	clock := clockwork.NewRealClock()
	claims := &routedClaimer{}
	for range daemons {
		claims.writers = append(claims.writers, claimer.New(store, clock, claimer.Config{}))
	}
	var done atomic.Int64
	var wg sync.WaitGroup
	for range daemons {
		wg.Go(func() { done.Add(int64(len(drive(New(claims, instantTarget{}, clock), callers/daemons)))) })
	}
	wg.Wait()
	counts := store.Counts()
	b.ReportMetric(float64(done.Load())/benchTime.Seconds(), "mutations/s")
	b.ReportMetric(float64(counts.Writes)/benchTime.Seconds(), "writes/s")
	b.ReportMetric(float64(counts.Reads)/benchTime.Seconds(), "reads/s")
	for _, w := range claims.writers {
		w.Close()
	}
}
