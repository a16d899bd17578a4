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

// ErrBucket reports a claim for a bucket that does not exist.
var ErrBucket = eris.New("no such bucket of claims")

// Counts are the numbers of a Keeper since its start.
type Counts struct {
	// Claims counts the claims received.
	Claims expvar.Int
	// Writes and Reads count the calls on the store.
	Writes expvar.Int
	Reads  expvar.Int
	// Conflicts counts the writes that were refused.
	Conflicts expvar.Int
	// Lost counts the writes whose answer was lost.
	Lost expvar.Int
}

// String returns the numbers as JSON. It implements expvar.Var.
func (c *Counts) String() string {
	return fmt.Sprintf(`{"claims":%v,"writes":%v,"reads":%v,"conflicts":%v,"lost":%v}`,
		&c.Claims, &c.Writes, &c.Reads, &c.Conflicts, &c.Lost)
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
func (k *BucketWriter) Counts() *Counts { return &k.counts }

// Close ends the keeper. Claims under way are answered VERDICT_UNKNOWN.
func (k *BucketWriter) Close() {
	k.mu.Lock()
	if !k.closed {
		k.closed = true
		close(k.done)
	}
	k.mu.Unlock()
	k.running.Wait()
}

// Claim decides claims of one bucket. It implements the method of peer.Peer.
func (k *BucketWriter) Claim(ctx context.Context, in *peer.ClaimRequest) (*peer.ClaimReply, error) {
	if in.GetBucket() >= Buckets {
		return nil, eris.Wrapf(ErrBucket, "claim: bucket %d", in.GetBucket())
	}
	k.counts.Claims.Add(int64(len(in.GetClaims())))
	waits := make([]*wait, 0, len(in.GetClaims()))
	for _, c := range in.GetClaims() {
		waits = append(waits, k.add(in.GetBucket(), c))
	}
	reply := &peer.ClaimReply{}
	for _, w := range waits {
		reply.Results = append(reply.Results, k.result(ctx, w))
	}
	return reply, nil
}

// wait is a claim under way.
type wait struct {
	worker *worker
	id     uint64
	claim  *peer.Claim
	answer chan Answer
}

// add hands a claim to the worker of its bucket. It starts one if none runs.
func (k *BucketWriter) add(bucket uint32, c *peer.Claim) *wait {
	w := &wait{
		claim:  c,
		answer: make(chan Answer, 1),
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.closed {
		return w
	}
	w.worker = k.workers[bucket]
	if w.worker == nil {
		w.worker = newWorker(k, bucket)
		k.workers[bucket] = w.worker
		k.running.Add(1)
		go w.worker.run()
	}
	w.worker.add(w)
	return w
}

// result waits for the answer to a claim.
func (k *BucketWriter) result(ctx context.Context, w *wait) *peer.ClaimResult {
	var a Answer
	select {
	case a = <-w.answer:
	case <-ctx.Done():
		a.Verdict = w.cancel()
	case <-k.done:
		a.Verdict = w.cancel()
	}
	return &peer.ClaimResult{
		Key:     w.claim.GetKey(),
		Verdict: a.Verdict,
		Outcome: a.Outcome,
	}
}

// cancel withdraws the claim. A claim without a worker came after Close.
func (w *wait) cancel() peer.Verdict {
	if w.worker == nil {
		return peer.Verdict_VERDICT_UNAVAILABLE
	}
	return w.worker.cancel(w)
}

// worker runs the machine of one bucket.
type worker struct {
	keeper *BucketWriter
	bucket uint32
	kick   chan struct{}

	mu      sync.Mutex
	machine *Bucket
	nextID  uint64
	waits   map[uint64]*wait
	call    Call
	wake    time.Time
}

func newWorker(k *BucketWriter, bucket uint32) *worker {
	return &worker{
		keeper:  k,
		bucket:  bucket,
		kick:    make(chan struct{}, 1),
		machine: NewBucket(bucket, k.cfg),
		waits:   make(map[uint64]*wait),
	}
}

func (w *worker) add(one *wait) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.nextID++
	one.id = w.nextID
	w.waits[one.id] = one
	w.accept(w.machine.Add(w.keeper.clock.Now(), one.id, one.claim))
	select {
	case w.kick <- struct{}{}:
	default:
	}
}

// cancel withdraws a claim, unless its answer has come.
func (w *worker) cancel(one *wait) peer.Verdict {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.waits, one.id)
	if w.machine.Cancel(one.id) {
		return peer.Verdict_VERDICT_UNAVAILABLE
	}
	return peer.Verdict_VERDICT_UNKNOWN
}

// accept delivers the answers of a step and keeps its call. The caller holds mu.
func (w *worker) accept(s Step) {
	for _, a := range s.Answers {
		if one := w.waits[a.ID]; one != nil {
			delete(w.waits, a.ID)
			one.answer <- a
		}
	}
	if s.Call.Kind != CallNone {
		w.call = s.Call
	}
	w.wake = s.Wake
}

// run makes the calls that the machine asks for until the bucket is idle.
func (w *worker) run() {
	defer w.keeper.running.Done()
	for {
		w.mu.Lock()
		w.accept(w.machine.Tick(w.keeper.clock.Now()))
		call, wake := w.call, w.wake
		w.call = Call{}
		w.mu.Unlock()
		if call.Kind != CallNone {
			w.perform(call)
			continue
		}
		if !w.pause(wake) {
			return
		}
	}
}

// pause waits for a claim or the next step. It returns false at the end of the
// worker.
func (w *worker) pause(wake time.Time) bool {
	k := w.keeper
	d := idleLimit
	if !wake.IsZero() {
		d = wake.Sub(k.clock.Now())
	}
	timer := k.clock.NewTimer(d)
	defer timer.Stop()
	select {
	case <-k.done:
		return false
	case <-w.kick:
		return true
	case <-timer.Chan():
		return !wake.IsZero() || !w.retire()
	}
}

// retire forgets the bucket if it is still idle.
func (w *worker) retire() bool {
	w.keeper.mu.Lock()
	defer w.keeper.mu.Unlock()
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.machine.Idle() {
		return false
	}
	delete(w.keeper.workers, w.bucket)
	return true
}

// perform makes one call on the store and hands its answer to the machine.
func (w *worker) perform(c Call) {
	k := w.keeper
	ctx, cancel := clockwork.WithTimeout(context.Background(), k.clock, callTimeout)
	defer cancel()
	var feed func(now time.Time) Step
	switch c.Kind {
	case CallCommit:
		k.counts.Writes.Add(1)
		r, err := k.store.Commit(ctx, c.Txn)
		w.count(r, err)
		feed = func(now time.Time) Step { return w.machine.Committed(now, r, err) }
	case CallLoad:
		k.counts.Reads.Add(1)
		page, err := k.store.Read(ctx, bucketPrefix(w.bucket))
		feed = func(now time.Time) Step { return w.machine.Loaded(now, page, err) }
	default:
		t, err := w.tail(ctx, c.From)
		feed = func(now time.Time) Step { return w.machine.Tailed(now, t, err) }
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.accept(feed(k.clock.Now()))
}

func (w *worker) count(r storer.Result, err error) {
	switch {
	case err != nil:
		w.keeper.counts.Lost.Add(1)
	case !r.Applied:
		w.keeper.counts.Conflicts.Add(1)
	}
}

// tail reads the entries from a sequence on, and the base after them.
func (w *worker) tail(ctx context.Context, from uint64) (Tail, error) {
	var t Tail
	for len(t.Entries) < tailLimit && !t.Complete {
		path := entryPath(w.bucket, from+uint64(len(t.Entries)))
		w.keeper.counts.Reads.Add(1)
		item, found, err := w.keeper.store.Get(ctx, path)
		if err != nil {
			return t, eris.Wrapf(err, "read tail: %q", path)
		}
		if found {
			t.Entries = append(t.Entries, item)
		}
		t.Complete = !found
	}
	w.keeper.counts.Reads.Add(1)
	base, _, err := w.keeper.store.Get(ctx, basePath(w.bucket))
	if err != nil {
		return t, eris.Wrap(err, "read tail: base")
	}
	t.Modified = base.ModRevision
	return t, nil
}
