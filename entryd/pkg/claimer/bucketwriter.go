package claimer

import (
	"context"
	"expvar"
	"fmt"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"

	"plantaincleat/tier/gen/peer"
	"plantaincleat/tier/pkg/storer"
)

const (
	// callTimeout bounds one call on the store.
	callTimeout = time.Second
	// idleLimit is how long the log of an unused bucket stays in memory.
	idleLimit = time.Minute
	// tailLimit bounds the entries that are read one by one.
	tailLimit = 16
)

// ErrUnknownBucket reports a claim for a bucket that does not exist.
var ErrUnknownBucket = eris.New("no such bucket of claims")

// Counts are the numbers of a Keeper since its start.
type Counts struct {
	// Claims counts the claims received.
	Claims expvar.Int
	// Writes and Reads count the calls on the store.
	Writes expvar.Int
	Reads  expvar.Int
	// Conflicts counts the writes that were refused.
	Conflicts expvar.Int
	// FailedWrites counts the writes whose answer was lost.
	FailedWrites expvar.Int
}

// String returns the numbers as JSON. It implements expvar.Var.
func (c *Counts) String() string {
	return fmt.Sprintf(`{"claims":%v,"writes":%v,"reads":%v,"conflicts":%v,"lost":%v}`,
		&c.Claims, &c.Writes, &c.Reads, &c.Conflicts, &c.FailedWrites)
}

// BucketWriter writes the claims of any bucket. It is safe for concurrent use.
type BucketWriter struct {
	store  storer.Store
	clock  clockwork.Clock
	cfg    Config
	counts Counts

	mu      sync.Mutex
	workers map[uint32]*worker
	done    chan struct{}
	closed  bool
	running sync.WaitGroup
}

// New returns a keeper. It makes no call on the store before the first claim.
func New(store storer.Store, clock clockwork.Clock, cfg Config) *BucketWriter {
	return &BucketWriter{
		store:   store,
		clock:   clock,
		cfg:     cfg,
		workers: make(map[uint32]*worker),
		done:    make(chan struct{}),
	}
}

// Counts returns the keeper's counters.
func (bw *BucketWriter) Counts() *Counts { return &bw.counts }

// Close ends the keeper. Claims under way are answered VERDICT_UNKNOWN.
func (bw *BucketWriter) Close() {
	bw.mu.Lock()
	if !bw.closed {
		bw.closed = true
		close(bw.done)
	}
	bw.mu.Unlock()
	bw.running.Wait()
}

// Claim decides claims of one bucket. It implements the method of peer.Peer.
func (bw *BucketWriter) Claim(ctx context.Context, in *peer.ClaimRequest) (*peer.ClaimReply, error) {
	if in.GetBucket() >= BucketCount {
		return nil, eris.Wrapf(ErrUnknownBucket, "claim: bucket %d", in.GetBucket())
	}
	bw.counts.Claims.Add(int64(len(in.GetClaims())))
	waiters := make([]*waiter, 0, len(in.GetClaims()))
	for _, c := range in.GetClaims() {
		waiters = append(waiters, bw.add(in.GetBucket(), c))
	}
	reply := &peer.ClaimReply{}
	for _, w := range waiters {
		reply.Results = append(reply.Results, bw.await(ctx, w))
	}
	return reply, nil
}

// waiter is a claim under way.
type waiter struct {
	worker *worker
	id     uint64
	claim  *peer.Claim
	answer chan Answer
}

// add hands a claim to the worker of its bucket. It starts one if none runs.
func (bw *BucketWriter) add(bucket uint32, c *peer.Claim) *waiter {
	w := &waiter{
		claim:  c,
		answer: make(chan Answer, 1),
	}
	bw.mu.Lock()
	defer bw.mu.Unlock()
	if bw.closed {
		return w
	}
	w.worker = bw.workers[bucket]
	if w.worker == nil {
		w.worker = newWorker(bw, bucket)
		bw.workers[bucket] = w.worker
		bw.running.Add(1)
		go w.worker.run()
	}
	w.worker.add(w)
	return w
}

// await waits for the answer to a claim.
func (bw *BucketWriter) await(ctx context.Context, w *waiter) *peer.ClaimResult {
	var a Answer
	select {
	case a = <-w.answer:
	case <-ctx.Done():
		a.Verdict = w.cancel()
	case <-bw.done:
		a.Verdict = w.cancel()
	}
	return &peer.ClaimResult{
		Key:     w.claim.GetKey(),
		Verdict: a.Verdict,
		Outcome: a.Outcome,
	}
}

// cancel withdraws the claim. A claim without a worker came after Close.
func (w *waiter) cancel() peer.Verdict {
	if w.worker == nil {
		return peer.Verdict_VERDICT_UNAVAILABLE
	}
	return w.worker.cancel(w)
}

// worker runs the machine of one bucket.
type worker struct {
	writer     *BucketWriter
	bucket     uint32
	claimAdded chan struct{}

	mu      sync.Mutex
	machine *Bucket
	nextID  uint64
	waiters map[uint64]*waiter
	call    Call
	wake    time.Time
}

func newWorker(bw *BucketWriter, bucket uint32) *worker {
	return &worker{
		writer:     bw,
		bucket:     bucket,
		claimAdded: make(chan struct{}, 1),
		machine:    NewBucket(bucket, bw.cfg),
		waiters:    make(map[uint64]*waiter),
	}
}

func (w *worker) add(wt *waiter) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.nextID++
	wt.id = w.nextID
	w.waiters[wt.id] = wt
	w.applyStep(w.machine.Add(w.writer.clock.Now(), wt.id, wt.claim))
	select {
	case w.claimAdded <- struct{}{}:
	default:
	}
}

// cancel withdraws a claim, unless its answer has come.
func (w *worker) cancel(wt *waiter) peer.Verdict {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.waiters, wt.id)
	if w.machine.Cancel(wt.id) {
		return peer.Verdict_VERDICT_UNAVAILABLE
	}
	return peer.Verdict_VERDICT_UNKNOWN
}

// applyStep delivers the answers of a step and keeps its call. The caller holds mu.
func (w *worker) applyStep(s Step) {
	for _, a := range s.Answers {
		if wt := w.waiters[a.ID]; wt != nil {
			delete(w.waiters, a.ID)
			wt.answer <- a
		}
	}
	if s.Call.Kind != CallNone {
		w.call = s.Call
	}
	w.wake = s.Wake
}

// run makes the calls that the machine asks for until the bucket is idle.
func (w *worker) run() {
	defer w.writer.running.Done()
	for {
		w.mu.Lock()
		w.applyStep(w.machine.Tick(w.writer.clock.Now()))
		call, wake := w.call, w.wake
		w.call = Call{}
		w.mu.Unlock()
		if call.Kind != CallNone {
			w.perform(call)
			continue
		}
		if !w.waitForWork(wake) {
			return
		}
	}
}

// waitForWork waits for a claim or the next step. It returns false at the end of the
// worker.
func (w *worker) waitForWork(wake time.Time) bool {
	bw := w.writer
	d := idleLimit
	if !wake.IsZero() {
		d = wake.Sub(bw.clock.Now())
	}
	timer := bw.clock.NewTimer(d)
	defer timer.Stop()
	select {
	case <-bw.done:
		return false
	case <-w.claimAdded:
		return true
	case <-timer.Chan():
		return !wake.IsZero() || !w.retire()
	}
}

// retire forgets the bucket if it is still idle.
func (w *worker) retire() bool {
	w.writer.mu.Lock()
	defer w.writer.mu.Unlock()
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.machine.Idle() {
		return false
	}
	delete(w.writer.workers, w.bucket)
	return true
}

// perform makes one call on the store and hands its answer to the machine.
func (w *worker) perform(c Call) {
	bw := w.writer
	ctx, cancel := clockwork.WithTimeout(context.Background(), bw.clock, callTimeout)
	defer cancel()
	var handle func(now time.Time) Step
	switch c.Kind {
	case CallCommit:
		bw.counts.Writes.Add(1)
		r, err := bw.store.Commit(ctx, c.Txn)
		w.countWrite(r, err)
		handle = func(now time.Time) Step { return w.machine.HandleCommit(now, r, err) }
	case CallLoad:
		bw.counts.Reads.Add(1)
		page, err := bw.store.Read(ctx, bucketPrefix(w.bucket))
		handle = func(now time.Time) Step { return w.machine.HandleLoad(now, page, err) }
	default:
		t, err := w.tail(ctx, c.From)
		handle = func(now time.Time) Step { return w.machine.HandleTail(now, t, err) }
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.applyStep(handle(bw.clock.Now()))
}

func (w *worker) countWrite(r storer.Result, err error) {
	switch {
	case err != nil:
		w.writer.counts.FailedWrites.Add(1)
	case !r.Applied:
		w.writer.counts.Conflicts.Add(1)
	}
}

// tail reads the entries from a sequence on, and the base after them.
func (w *worker) tail(ctx context.Context, from uint64) (Tail, error) {
	var t Tail
	for len(t.Entries) < tailLimit && !t.Complete {
		path := entryPath(w.bucket, from+uint64(len(t.Entries)))
		w.writer.counts.Reads.Add(1)
		item, found, err := w.writer.store.Get(ctx, path)
		if err != nil {
			return t, eris.Wrapf(err, "read tail: %q", path)
		}
		if found {
			t.Entries = append(t.Entries, item)
		}
		t.Complete = !found
	}
	w.writer.counts.Reads.Add(1)
	base, _, err := w.writer.store.Get(ctx, basePath(w.bucket))
	if err != nil {
		return t, eris.Wrap(err, "read tail: base")
	}
	t.BaseRevision = base.Modified
	return t, nil
}
