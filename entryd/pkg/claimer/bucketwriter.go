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
	// callTimeout bounds one store call. A CallTail reads up to tailLimit entries
	// in it.
	callTimeout = time.Second
	// idleLimit is how long the state of an unused bucket stays in memory.
	idleLimit = time.Minute
	// tailLimit bounds the entries that one CallTail reads one by one.
	tailLimit = 16
)

// ErrUnknownBucket reports a claim whose bucket number is out of range.
var ErrUnknownBucket = eris.New("bucket does not exist")

// Counts are the counters of a BucketWriter since its start. They are published
// under their JSON names.
type Counts struct {
	// Claims counts the claims received.
	Claims expvar.Int
	// Writes counts the transactions sent to the store, Reads the read requests.
	Writes expvar.Int
	Reads  expvar.Int
	// Conflicts counts the writes that the store refused because a condition did
	// not hold.
	Conflicts expvar.Int
	// FailedWrites counts the writes that returned an error. Some of them may
	// have taken effect.
	FailedWrites expvar.Int
}

// String returns the counters as JSON. It implements expvar.Var.
func (c *Counts) String() string {
	return fmt.Sprintf(`{"claims":%v,"writes":%v,"reads":%v,"conflicts":%v,"lost":%v}`,
		&c.Claims, &c.Writes, &c.Reads, &c.Conflicts, &c.FailedWrites)
}

// BucketWriter decides claims of any bucket and writes them to the store. It is
// safe for concurrent use.
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

// New returns a BucketWriter. It makes no store call before the first claim.
func New(store storer.Store, clock clockwork.Clock, cfg Config) *BucketWriter {
	return &BucketWriter{
		store:   store,
		clock:   clock,
		cfg:     cfg,
		workers: make(map[uint32]*worker),
		done:    make(chan struct{}),
	}
}

// Counts returns the counters of the writer.
func (bw *BucketWriter) Counts() *Counts { return &bw.counts }

// Close stops all workers and waits for them. Pending claims get VERDICT_UNKNOWN
// if they may have been written, otherwise VERDICT_UNAVAILABLE.
func (bw *BucketWriter) Close() {
	bw.mu.Lock()
	if !bw.closed {
		bw.closed = true
		close(bw.done)
	}
	bw.mu.Unlock()
	bw.running.Wait()
}

// Claim decides claims of one bucket. It returns when all of them are answered,
// or when ctx ends. It implements peer.PeerServer.
func (bw *BucketWriter) Claim(ctx context.Context, in *peer.ClaimRequest) (*peer.ClaimReply, error) {
	if in.GetBucket() >= BucketCount {
		return nil, eris.Wrapf(ErrUnknownBucket, "claim: bucket number %d", in.GetBucket())
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

// waiter is a claim whose caller waits for the answer.
type waiter struct {
	worker *worker
	id     uint64
	claim  *peer.Claim
	answer chan Answer
}

// add passes a claim to the worker of its bucket and starts the worker if none
// runs.
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

// await waits for the answer to a claim, the end of ctx or Close.
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

// cancel withdraws the claim. A claim that arrived after Close has no worker.
func (w *waiter) cancel() peer.Verdict {
	if w.worker == nil {
		return peer.Verdict_VERDICT_UNAVAILABLE
	}
	return w.worker.cancel(w)
}

// worker runs the state machine of one bucket.
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

// cancel withdraws a claim. It returns VERDICT_UNAVAILABLE if the claim was
// certainly not written, otherwise VERDICT_UNKNOWN.
func (w *worker) cancel(wt *waiter) peer.Verdict {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.waiters, wt.id)
	if w.machine.Cancel(wt.id) {
		return peer.Verdict_VERDICT_UNAVAILABLE
	}
	return peer.Verdict_VERDICT_UNKNOWN
}

// applyStep delivers the answers of a step and stores its call and wake time. The
// caller holds mu.
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

// run makes the store calls that the machine requests, until the bucket has been
// idle for idleLimit or the writer is closed.
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

// waitForWork waits for a new claim or the wake time of the last step. It returns
// false if the worker must end.
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

// retire removes the worker and its state if the bucket is still idle. It
// reports whether it did.
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

// perform makes one store call and passes the answer to the state machine.
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

// tail reads at most tailLimit entries from a sequence on, and then the base.
func (w *worker) tail(ctx context.Context, from uint64) (Tail, error) {
	var t Tail
	for len(t.Entries) < tailLimit && !t.Complete {
		path := entryPath(w.bucket, from+uint64(len(t.Entries)))
		w.writer.counts.Reads.Add(1)
		item, found, err := w.writer.store.Get(ctx, path)
		if err != nil {
			return t, eris.Wrapf(err, "read claim log tail: get entry %q", path)
		}
		if found {
			t.Entries = append(t.Entries, item)
		}
		t.Complete = !found
	}
	w.writer.counts.Reads.Add(1)
	base, _, err := w.writer.store.Get(ctx, basePath(w.bucket))
	if err != nil {
		return t, eris.Wrap(err, "read claim log tail: get base")
	}
	t.BaseRevision = base.ModRevision
	return t, nil
}
