package claimer

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"plantaincleat/tier/gen/peer"
	"plantaincleat/tier/pkg/storer"
)

const (
	unavailable = peer.Verdict_VERDICT_UNAVAILABLE
	unknown     = peer.Verdict_VERDICT_UNKNOWN
)

// bucketTest runs one Bucket against an in-memory store on simulated time.
type bucketTest struct {
	t       *testing.T
	b       *Bucket
	store   *storer.Memory
	now     time.Time
	nextID  uint64
	answers map[uint64]peer.Verdict
	call    Call
	wake    time.Time
}

func newBucketTest(t *testing.T, store *storer.Memory, cfg Config) *bucketTest {
	return &bucketTest{
		t:       t,
		b:       NewBucket(0, cfg),
		store:   store,
		now:     epoch,
		answers: make(map[uint64]peer.Verdict),
	}
}

// applyStep stores the answers, the call and the wake time of a step.
func (r *bucketTest) applyStep(s Step) {
	for _, a := range s.Answers {
		r.answers[a.ID] = a.Verdict
	}
	if s.Call.Kind != CallNone {
		r.call = s.Call
	}
	r.wake = s.Wake
}

// add adds a claim to the bucket and returns its ID.
func (r *bucketTest) add(c *peer.Claim) uint64 {
	r.nextID++
	r.applyStep(r.b.Add(r.now, r.nextID, c))
	return r.nextID
}

// runCall makes the store call that is due, if any, and returns its kind.
func (r *bucketTest) runCall() CallKind {
	r.applyStep(r.b.Tick(r.now))
	c := r.call
	r.call = Call{}
	ctx := context.Background()
	switch c.Kind {
	case CallLoad:
		page, err := r.store.Read(ctx, bucketPrefix(0))
		r.applyStep(r.b.HandleLoad(r.now, page, err))
	case CallTail:
		var t Tail
		item, found, err := r.store.Get(ctx, entryPath(0, c.From))
		if found {
			t.Entries = append(t.Entries, item)
		}
		t.Complete = !found
		base, _, _ := r.store.Get(ctx, basePath(0))
		t.BaseRevision = base.ModRevision
		r.applyStep(r.b.HandleTail(r.now, t, err))
	case CallCommit:
		result, err := r.store.Commit(ctx, c.Txn)
		r.applyStep(r.b.HandleCommit(r.now, result, err))
	}
	return c.Kind
}

// runFor advances the simulated time by d and makes all calls that are due.
func (r *bucketTest) runFor(d time.Duration) {
	end := r.now.Add(d)
	for {
		if r.runCall() != CallNone {
			continue
		}
		if r.wake.IsZero() || r.wake.After(end) {
			break
		}
		r.now = r.wake
	}
	r.now = end
}

// want checks the verdict on the claim with the given ID.
func (r *bucketTest) want(id uint64, v peer.Verdict) {
	r.t.Helper()
	if got := r.answers[id]; got != v {
		r.t.Errorf("claim %d: %v, want %v", id, got, v)
	}
}

func TestBucketAnswersFromLog(t *testing.T) {
	store := &storer.Memory{}
	r := newBucketTest(t, store, Config{})
	key := keyAt(epoch, 0, 0)
	first := r.add(claimOf(take, key, "d1", 1))
	second := r.add(claimOf(take, key, "d2", 2))
	r.runFor(time.Second)
	r.want(first, granted)
	r.want(second, held)
	if n := store.Counts().Writes; n != 1 {
		t.Errorf("%d writes for two queued claims, want 1", n)
	}
	r.add(claimOf(record, key, "d1", 1))
	r.runFor(time.Second)
	again := newBucketTest(t, store, Config{})
	third := again.add(claimOf(take, key, "d3", 3))
	again.runFor(time.Second)
	again.want(third, recorded)
}

// TestBucketReadsBeforeAnsweringHeld checks that a writer whose ledger is outdated
// reads the log before it answers VERDICT_HELD: here another writer has recorded
// the outcome meanwhile.
func TestBucketReadsBeforeAnsweringHeld(t *testing.T) {
	store := &storer.Memory{}
	old, current := newBucketTest(t, store, Config{}), newBucketTest(t, store, Config{})
	key := keyAt(epoch, 0, 0)
	old.add(claimOf(take, key, "d1", 1))
	old.runFor(time.Second)
	current.add(claimOf(record, key, "d1", 1))
	current.runFor(time.Second)
	id := old.add(claimOf(take, key, "d2", 2))
	old.runFor(time.Second)
	old.want(id, recorded)
}

func TestBucketStoreDownAnswersAtOnce(t *testing.T) {
	store := &storer.Memory{}
	r := newBucketTest(t, store, Config{})
	store.SetUnavailable(true)
	first := r.add(claimOf(take, keyAt(epoch, 0, 0), "d1", 1))
	r.runCall()
	r.want(first, unavailable)
	calls := store.Counts().Reads
	second := r.add(claimOf(take, keyAt(epoch, 0, 1), "d2", 1))
	r.want(second, unavailable)
	if store.Counts().Reads != calls {
		t.Error("a claim that arrived while the store was down caused a read")
	}
	store.SetUnavailable(false)
	r.now = r.now.Add(time.Second)
	third := r.add(claimOf(take, keyAt(epoch, 0, 0), "d1", 1))
	r.runFor(time.Second)
	r.want(third, granted)
}

func TestBucketRepeatsWriteWithLostAnswer(t *testing.T) {
	tests := []struct {
		name        string
		fault       func(m *storer.Memory)
		appliedLate bool
	}{
		{
			name:  "took effect",
			fault: func(m *storer.Memory) { m.LoseAnswers(1) },
		},
		{
			name:        "takes effect late",
			fault:       func(m *storer.Memory) { m.DelayWrites(1) },
			appliedLate: true,
		},
		{
			name:  "does not take effect",
			fault: func(m *storer.Memory) { m.DelayWrites(1) },
		},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			store := &storer.Memory{}
			r := newBucketTest(t, store, Config{})
			id := r.add(claimOf(take, keyAt(epoch, 0, 0), "d1", 1))
			tc.fault(store)
			r.runFor(100 * time.Millisecond)
			r.want(id, peer.Verdict_VERDICT_UNSPECIFIED)
			if tc.appliedLate {
				store.ApplyDelayed()
			}
			r.runFor(time.Second)
			r.want(id, granted)
			store.ApplyDelayed()
			page, _ := store.Read(context.Background(), bucketPrefix(0))
			if len(page.Items) != 2 {
				t.Errorf("log has %d items, want the base and one entry", len(page.Items))
			}
		})
	}
}

func TestBucketAnswersUnknownAfterWaitLimit(t *testing.T) {
	store := &storer.Memory{}
	r := newBucketTest(t, store, Config{})
	written := r.add(claimOf(take, keyAt(epoch, 0, 0), "d1", 1))
	r.runCall()
	store.DelayWrites(100)
	r.runCall()
	r.now = r.now.Add(500 * time.Millisecond)
	r.runCall()
	queued := r.add(claimOf(take, keyAt(epoch, 0, 1), "d2", 1))
	r.want(queued, unavailable)
	r.runFor(3 * time.Second)
	r.want(written, unknown)
	store.DelayWrites(0)
	r.runFor(time.Second)
	again := r.add(claimOf(take, keyAt(epoch, 0, 0), "d1", 1))
	r.runFor(time.Second)
	r.want(again, granted)
}

func TestBucketLimits(t *testing.T) {
	tests := []struct {
		name   string
		cfg    Config
		claims int
		writes int
		kept   int
	}{
		{
			name:   "by count",
			cfg:    Config{MaxBatchClaims: 10},
			claims: 25,
			writes: 3,
			kept:   25,
		},
		{
			name:   "by size",
			cfg:    Config{MaxBatchBytes: 200},
			claims: 20,
			writes: 4,
			kept:   20,
		},
		{
			name:   "by keys retained",
			cfg:    Config{MaxKeys: 8},
			claims: 20,
			writes: 1,
			kept:   8,
		},
		{
			name:   "by queue length",
			cfg:    Config{MaxQueue: 5},
			claims: 20,
			writes: 1,
			kept:   5,
		},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			store := &storer.Memory{}
			r := newBucketTest(t, store, tc.cfg)
			for i := range tc.claims {
				r.add(claimOf(take, keyAt(epoch, 0, i), fmt.Sprint("d", i), 1))
			}
			r.runFor(time.Second)
			if n := store.Counts().Writes; n != tc.writes {
				t.Errorf("%d writes, want %d", n, tc.writes)
			}
			if n := r.b.Keys(); n != tc.kept {
				t.Errorf("%d keys retained, want %d", n, tc.kept)
			}
			if len(r.answers) != tc.claims {
				t.Errorf("%d answers to %d claims", len(r.answers), tc.claims)
			}
		})
	}
}

func TestBucketPacesWrites(t *testing.T) {
	store := &storer.Memory{}
	r := newBucketTest(t, store, Config{
		Interval: 50 * time.Millisecond,
		Burst:    3,
	})
	for i := range 500 {
		r.add(claimOf(take, keyAt(epoch, 0, i), "d", 1))
		r.runFor(time.Millisecond)
	}
	if n := store.Counts().Writes; n > 14 {
		t.Errorf("%d writes in 500 ms, want at most 14: a burst of 4 and 10 at the interval", n)
	}
}

// TestBucketTruncationFencesPausedWriter checks that a writer that was paused
// during a truncation cannot append an entry with a sequence that was deleted, and
// so grant a key twice.
func TestBucketTruncationFencesPausedWriter(t *testing.T) {
	store := &storer.Memory{}
	cfg := Config{
		Retention:    func() time.Duration { return time.Minute },
		MaxClockSkew: time.Second,
	}
	paused, current := newBucketTest(t, store, cfg), newBucketTest(t, store, cfg)
	old := keyAt(epoch, 0, 0)
	paused.add(claimOf(take, old, "d1", 1))
	paused.runFor(time.Second)
	current.add(claimOf(release, old, "d1", 1))
	current.runFor(time.Second)
	// Truncate the log so that it no longer has the sequence that the paused
	// writer would write next. Only the changed base then stops its append.
	for range 3 {
		current.now = current.now.Add(time.Minute)
		current.add(claimOf(take, keyAt(current.now, 0, 0), "d2", 1))
		current.runFor(time.Second)
	}
	page, _ := store.Read(context.Background(), bucketPrefix(0))
	if len(page.Items) > 4 {
		t.Errorf("%d items after truncation, want at most 4", len(page.Items))
	}
	late := current.add(claimOf(take, old, "d3", 2))
	current.runFor(time.Second)
	current.want(late, expired)
	key := keyAt(current.now, 0, 0)
	first := current.add(claimOf(take, key, "d4", 1))
	current.runFor(time.Second)
	paused.now = current.now
	second := paused.add(claimOf(take, key, "d5", 1))
	paused.runFor(time.Second)
	current.want(first, granted)
	paused.want(second, held)
}

func TestBucketValidatesClaims(t *testing.T) {
	large := claimOf(record, keyAt(epoch, 0, 0), "d", 1)
	large.Outcome.Detail = strings.Repeat("x", MaxClaimBytes)
	tests := []struct {
		name  string
		claim *peer.Claim
		want  peer.Verdict
	}{
		{
			name:  "too old",
			claim: claimOf(take, keyAt(epoch.Add(-11*time.Minute), 0, 0), "d", 1),
			want:  expired,
		},
		{
			name:  "too far in the future",
			claim: claimOf(take, keyAt(epoch.Add(time.Minute), 0, 0), "d", 1),
			want:  refused,
		},
		{
			name:  "too large",
			claim: large,
			want:  refused,
		},
		{
			name:  "of another bucket",
			claim: claimOf(take, keyAt(epoch, 1, 0), "d", 1),
			want:  refused,
		},
		{
			name:  "in the future within the clock skew",
			claim: claimOf(take, keyAt(epoch.Add(time.Second), 0, 0), "d", 1),
			want:  granted,
		},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			r := newBucketTest(t, &storer.Memory{}, Config{})
			id := r.add(tc.claim)
			r.runFor(time.Second)
			r.want(id, tc.want)
		})
	}
}

func TestBucketCancel(t *testing.T) {
	r := newBucketTest(t, &storer.Memory{}, Config{})
	queued := r.add(claimOf(take, keyAt(epoch, 0, 0), "d1", 1))
	if !r.b.Cancel(queued) {
		t.Error("Cancel() of a queued claim = false, want true")
	}
	r.runFor(time.Second)
	if r.store.Counts().Writes != 0 {
		t.Error("a cancelled claim was written")
	}
}
