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

// rig drives one bucket against a store in memory.
type rig struct {
	t       *testing.T
	b       *Bucket
	store   *storer.Memory
	now     time.Time
	nextID  uint64
	answers map[uint64]peer.Verdict
	call    Call
	wake    time.Time
}

func newRig(t *testing.T, store *storer.Memory, cfg Config) *rig {
	return &rig{
		t:       t,
		b:       NewBucket(0, cfg),
		store:   store,
		now:     epoch,
		answers: make(map[uint64]peer.Verdict),
	}
}

func (r *rig) take(s Step) {
	for _, a := range s.Answers {
		r.answers[a.ID] = a.Verdict
	}
	if s.Call.Kind != CallNone {
		r.call = s.Call
	}
	r.wake = s.Wake
}

func (r *rig) add(c *peer.Claim) uint64 {
	r.nextID++
	r.take(r.b.Add(r.now, r.nextID, c))
	return r.nextID
}

// once makes the call that is due, if any.
func (r *rig) once() CallKind {
	r.take(r.b.Tick(r.now))
	c := r.call
	r.call = Call{}
	ctx := context.Background()
	switch c.Kind {
	case CallLoad:
		page, err := r.store.Read(ctx, bucketPrefix(0))
		r.take(r.b.Loaded(r.now, page, err))
	case CallTail:
		var t Tail
		item, found, err := r.store.Get(ctx, entryPath(0, c.From))
		if found {
			t.Entries = append(t.Entries, item)
		}
		t.Complete = !found
		base, _, _ := r.store.Get(ctx, basePath(0))
		t.Modified = base.ModRevision
		r.take(r.b.Tailed(r.now, t, err))
	case CallCommit:
		result, err := r.store.Commit(ctx, c.Txn)
		r.take(r.b.Committed(r.now, result, err))
	}
	return c.Kind
}

// settle makes all calls that are due, for a time.
func (r *rig) settle(d time.Duration) {
	end := r.now.Add(d)
	for {
		if r.once() != CallNone {
			continue
		}
		if r.wake.IsZero() || r.wake.After(end) {
			break
		}
		r.now = r.wake
	}
	r.now = end
}

func (r *rig) want(id uint64, v peer.Verdict) {
	r.t.Helper()
	if got := r.answers[id]; got != v {
		r.t.Errorf("claim %d: %v, want %v", id, got, v)
	}
}

func TestBucketAnswersByTheLog(t *testing.T) {
	store := &storer.Memory{}
	r := newRig(t, store, Config{})
	key := keyAt(epoch, 0, 0)
	first := r.add(claimOf(take, key, "d1", 1))
	second := r.add(claimOf(take, key, "d2", 2))
	r.settle(time.Second)
	r.want(first, granted)
	r.want(second, held)
	if n := store.Counts().Writes; n != 1 {
		t.Errorf("%d writes for one batch, want 1", n)
	}
	r.add(claimOf(recording, key, "d1", 1))
	r.settle(time.Second)
	again := newRig(t, store, Config{})
	third := again.add(claimOf(take, key, "d3", 3))
	again.settle(time.Second)
	again.want(third, recorded)
}

func TestBucketOfAStaleKeeperReadsBeforeItAnswersHeld(t *testing.T) {
	store := &storer.Memory{}
	old, current := newRig(t, store, Config{}), newRig(t, store, Config{})
	key := keyAt(epoch, 0, 0)
	old.add(claimOf(take, key, "d1", 1))
	old.settle(time.Second)
	current.add(claimOf(recording, key, "d1", 1))
	current.settle(time.Second)
	id := old.add(claimOf(take, key, "d2", 2))
	old.settle(time.Second)
	old.want(id, recorded)
}

func TestBucketWithStoreDownAnswersAtOnce(t *testing.T) {
	store := &storer.Memory{}
	r := newRig(t, store, Config{})
	store.SetUnavailable(true)
	first := r.add(claimOf(take, keyAt(epoch, 0, 0), "d1", 1))
	r.once()
	r.want(first, unavailable)
	calls := store.Counts().Reads
	second := r.add(claimOf(take, keyAt(epoch, 0, 1), "d2", 1))
	r.want(second, unavailable)
	if store.Counts().Reads != calls {
		t.Error("a claim while the store is down made a call")
	}
	store.SetUnavailable(false)
	r.now = r.now.Add(time.Second)
	third := r.add(claimOf(take, keyAt(epoch, 0, 0), "d1", 1))
	r.settle(time.Second)
	r.want(third, granted)
}

func TestBucketRepeatsAWriteWhoseAnswerIsLost(t *testing.T) {
	tests := []struct {
		name  string
		fault func(m *storer.Memory)
		land  bool
	}{
		{
			name:  "took effect",
			fault: func(m *storer.Memory) { m.LoseAnswers(1) },
		},
		{
			name:  "takes effect late",
			fault: func(m *storer.Memory) { m.DelayWrites(1) },
			land:  true,
		},
		{
			name:  "is lost",
			fault: func(m *storer.Memory) { m.DelayWrites(1) },
		},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			store := &storer.Memory{}
			r := newRig(t, store, Config{})
			id := r.add(claimOf(take, keyAt(epoch, 0, 0), "d1", 1))
			tc.fault(store)
			r.settle(100 * time.Millisecond)
			r.want(id, peer.Verdict_VERDICT_UNSPECIFIED)
			if tc.land {
				store.ApplyDelayed()
			}
			r.settle(time.Second)
			r.want(id, granted)
			store.ApplyDelayed()
			page, _ := store.Read(context.Background(), bucketPrefix(0))
			if len(page.Items) != 2 {
				t.Errorf("%d items, want the base and one entry", len(page.Items))
			}
		})
	}
}

func TestBucketAnswersUnknownAfterItsPatience(t *testing.T) {
	store := &storer.Memory{}
	r := newRig(t, store, Config{})
	written := r.add(claimOf(take, keyAt(epoch, 0, 0), "d1", 1))
	r.once()
	store.DelayWrites(100)
	r.once()
	r.now = r.now.Add(500 * time.Millisecond)
	r.once()
	queued := r.add(claimOf(take, keyAt(epoch, 0, 1), "d2", 1))
	r.want(queued, unavailable)
	r.settle(3 * time.Second)
	r.want(written, unknown)
	store.DelayWrites(0)
	r.settle(time.Second)
	again := r.add(claimOf(take, keyAt(epoch, 0, 0), "d1", 1))
	r.settle(time.Second)
	r.want(again, granted)
}

func TestBucketBoundsItsBatches(t *testing.T) {
	tests := []struct {
		name   string
		cfg    Config
		claims int
		writes int
		kept   int
	}{
		{
			name:   "by count",
			cfg:    Config{Batch: 10},
			claims: 25,
			writes: 3,
			kept:   25,
		},
		{
			name:   "by size",
			cfg:    Config{Bytes: 200},
			claims: 20,
			writes: 4,
			kept:   20,
		},
		{
			name:   "by keys retained",
			cfg:    Config{Keys: 8},
			claims: 20,
			writes: 1,
			kept:   8,
		},
		{
			name:   "by the queue",
			cfg:    Config{Queue: 5},
			claims: 20,
			writes: 1,
			kept:   5,
		},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			store := &storer.Memory{}
			r := newRig(t, store, tc.cfg)
			for i := range tc.claims {
				r.add(claimOf(take, keyAt(epoch, 0, i), fmt.Sprint("d", i), 1))
			}
			r.settle(time.Second)
			if n := store.Counts().Writes; n != tc.writes {
				t.Errorf("%d writes, want %d", n, tc.writes)
			}
			if n := r.b.Keys(); n != tc.kept {
				t.Errorf("%d keys, want %d", n, tc.kept)
			}
			if len(r.answers) != tc.claims {
				t.Errorf("%d answers to %d claims", len(r.answers), tc.claims)
			}
		})
	}
}

func TestBucketPacesItsWrites(t *testing.T) {
	store := &storer.Memory{}
	r := newRig(t, store, Config{
		Interval: 50 * time.Millisecond,
		Burst:    3,
	})
	for i := range 500 {
		r.add(claimOf(take, keyAt(epoch, 0, i), "d", 1))
		r.settle(time.Millisecond)
	}
	if n := store.Counts().Writes; n > 14 {
		t.Errorf("%d writes in 500 ms, want at most a burst of 4 and 10 more", n)
	}
}

func TestBucketTruncatesBehindAPausedKeeper(t *testing.T) {
	store := &storer.Memory{}
	cfg := Config{
		Retention: func() time.Duration { return time.Minute },
		Skew:      time.Second,
	}
	paused, current := newRig(t, store, cfg), newRig(t, store, cfg)
	old := keyAt(epoch, 0, 0)
	paused.add(claimOf(take, old, "d1", 1))
	paused.settle(time.Second)
	current.add(claimOf(release, old, "d1", 1))
	current.settle(time.Second)
	// The sequence that the paused keeper would write next is dropped.
	for range 3 {
		current.now = current.now.Add(time.Minute)
		current.add(claimOf(take, keyAt(current.now, 0, 0), "d2", 1))
		current.settle(time.Second)
	}
	page, _ := store.Read(context.Background(), bucketPrefix(0))
	if len(page.Items) > 4 {
		t.Errorf("%d items after truncation, want at most 4", len(page.Items))
	}
	late := current.add(claimOf(take, old, "d3", 2))
	current.settle(time.Second)
	current.want(late, expired)
	key := keyAt(current.now, 0, 0)
	first := current.add(claimOf(take, key, "d4", 1))
	current.settle(time.Second)
	paused.now = current.now
	second := paused.add(claimOf(take, key, "d5", 1))
	paused.settle(time.Second)
	current.want(first, granted)
	paused.want(second, held)
}

func TestBucketScreensKeys(t *testing.T) {
	large := claimOf(recording, keyAt(epoch, 0, 0), "d", 1)
	large.Outcome.Detail = strings.Repeat("x", MaxClaim)
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
			name:  "just in the future",
			claim: claimOf(take, keyAt(epoch.Add(time.Second), 0, 0), "d", 1),
			want:  granted,
		},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			r := newRig(t, &storer.Memory{}, Config{})
			id := r.add(tc.claim)
			r.settle(time.Second)
			r.want(id, tc.want)
		})
	}
}

func TestBucketCancels(t *testing.T) {
	r := newRig(t, &storer.Memory{}, Config{})
	queued := r.add(claimOf(take, keyAt(epoch, 0, 0), "d1", 1))
	if !r.b.Cancel(queued) {
		t.Error("a queued claim counts as written")
	}
	r.settle(time.Second)
	if r.store.Counts().Writes != 0 {
		t.Error("a cancelled claim was written")
	}
}
