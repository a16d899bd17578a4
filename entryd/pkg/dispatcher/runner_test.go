package dispatcher

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"

	"plantaincleat/tier/gen/peer"
	"plantaincleat/tier/gen/target"
)

// script answers claims by kind, after a delay that does not end with ctx.
type script struct {
	take    peer.Verdict
	release peer.Verdict
	delay   time.Duration
	mu      sync.Mutex
	asked   []peer.ClaimKind
}

func (s *script) Claim(_ context.Context, c *peer.Claim) *peer.ClaimResult {
	s.mu.Lock()
	s.asked = append(s.asked, c.GetKind())
	s.mu.Unlock()
	r := &peer.ClaimResult{
		Key:     c.GetKey(),
		Verdict: peer.Verdict_VERDICT_RECORDED,
		Outcome: &target.Outcome{Detail: "recorded"},
	}
	switch c.GetKind() {
	case peer.ClaimKind_CLAIM_KIND_TAKE:
		time.Sleep(s.delay)
		r.Verdict = s.take
	case peer.ClaimKind_CLAIM_KIND_RELEASE:
		r.Verdict = s.release
	}
	return r
}

// site is a target with one answer.
type site struct {
	status target.Status
	err    error
	delay  time.Duration
	calls  int
}

func (s *site) Mutate(_ context.Context, m *target.Mutation) (*target.Outcome, error) {
	s.calls++
	time.Sleep(s.delay)
	return &target.Outcome{
		Key:    m.GetKey(),
		Status: s.status,
		Detail: "run",
	}, s.err
}

const (
	takeKind    = peer.ClaimKind_CLAIM_KIND_TAKE
	releaseKind = peer.ClaimKind_CLAIM_KIND_RELEASE
	recordKind  = peer.ClaimKind_CLAIM_KIND_RECORD
)

func TestDispatcherAnswers(t *testing.T) {
	granted := peer.Verdict_VERDICT_GRANTED
	done := target.Status_STATUS_DONE
	tests := []struct {
		name    string
		attempt uint32
		claims  script
		site    site
		want    Kind
		calls   int
		asked   []peer.ClaimKind
	}{
		{
			name:   "done",
			claims: script{take: granted},
			site:   site{status: done},
			want:   KindDone,
			calls:  1,
			asked:  []peer.ClaimKind{takeKind, recordKind},
		},
		{
			name:   "failed at the target",
			claims: script{take: granted},
			site:   site{status: target.Status_STATUS_FAILED},
			want:   KindDone,
			calls:  1,
			asked:  []peer.ClaimKind{takeKind, recordKind},
		},
		{
			name:   "shed",
			claims: script{take: granted},
			site:   site{status: target.Status_STATUS_SHED},
			want:   KindNotExecuted,
			calls:  1,
			asked:  []peer.ClaimKind{takeKind, releaseKind},
		},
		{
			name:   "not handed over",
			claims: script{take: granted},
			site:   site{err: ErrNotSent},
			want:   KindNotExecuted,
			calls:  1,
			asked:  []peer.ClaimKind{takeKind, releaseKind},
		},
		{
			name:   "connection lost",
			claims: script{take: granted},
			site:   site{err: context.Canceled},
			want:   KindUnknown,
			calls:  1,
			asked:  []peer.ClaimKind{takeKind},
		},
		{
			name:   "outcome after the deadline is recorded",
			claims: script{take: granted},
			site: site{
				status: done,
				delay:  5 * time.Second,
			},
			want:  KindUnknown,
			calls: 1,
			asked: []peer.ClaimKind{takeKind, recordKind},
		},
		{
			name: "grant after the deadline is released",
			claims: script{
				take:    granted,
				release: peer.Verdict_VERDICT_CLOSED,
				delay:   5 * time.Second,
			},
			want:  KindUnknown,
			asked: []peer.ClaimKind{takeKind, releaseKind},
		},
		{
			name:    "first attempt with a grant after the deadline",
			attempt: 1,
			claims: script{
				take:  granted,
				delay: 5 * time.Second,
			},
			want:  KindNotExecuted,
			asked: []peer.ClaimKind{takeKind, releaseKind},
		},
		{
			name:    "first attempt with the store down",
			attempt: 1,
			claims:  script{take: peer.Verdict_VERDICT_UNAVAILABLE},
			want:    KindNotExecuted,
			asked:   []peer.ClaimKind{takeKind},
		},
		{
			name:    "resend with the store down",
			attempt: 2,
			claims:  script{take: peer.Verdict_VERDICT_UNAVAILABLE},
			want:    KindUnknown,
			asked:   []peer.ClaimKind{takeKind},
		},
		{
			name:    "first attempt with an unknown claim",
			attempt: 1,
			claims: script{
				take:    peer.Verdict_VERDICT_UNKNOWN,
				release: peer.Verdict_VERDICT_CLOSED,
			},
			want:  KindNotExecuted,
			asked: []peer.ClaimKind{takeKind, releaseKind},
		},
		{
			name:    "resend with an unknown claim that is released",
			attempt: 2,
			claims: script{
				take:    peer.Verdict_VERDICT_UNKNOWN,
				release: peer.Verdict_VERDICT_CLOSED,
			},
			want:  KindNotExecuted,
			asked: []peer.ClaimKind{takeKind, releaseKind},
		},
		{
			name:    "resend with an unknown claim while another holds the key",
			attempt: 2,
			claims: script{
				take:    peer.Verdict_VERDICT_UNKNOWN,
				release: peer.Verdict_VERDICT_HELD,
			},
			want:  KindUnknown,
			asked: []peer.ClaimKind{takeKind, releaseKind},
		},
		{
			name:   "held",
			claims: script{take: peer.Verdict_VERDICT_HELD},
			want:   KindUnknown,
			asked:  []peer.ClaimKind{takeKind},
		},
		{
			name:   "recorded",
			claims: script{take: peer.Verdict_VERDICT_RECORDED},
			want:   KindDone,
			asked:  []peer.ClaimKind{takeKind},
		},
		{
			name:   "closed",
			claims: script{take: peer.Verdict_VERDICT_CLOSED},
			want:   KindNotExecuted,
			asked:  []peer.ClaimKind{takeKind},
		},
		{
			name:   "expired",
			claims: script{take: peer.Verdict_VERDICT_EXPIRED},
			want:   KindExpired,
			asked:  []peer.ClaimKind{takeKind},
		},
		{
			name:   "other content",
			claims: script{take: peer.Verdict_VERDICT_MISMATCH},
			want:   KindMismatch,
			asked:  []peer.ClaimKind{takeKind},
		},
	}
	for i := range tests {
		tc := &tests[i]
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := New(&tc.claims, &tc.site, clockwork.NewRealClock())
				start := time.Now()
				got := d.Do(context.Background(), Request{
					Key:      newKey(start, 1),
					Attempt:  tc.attempt,
					Deadline: start.Add(time.Second),
				})
				if got.Kind != tc.want {
					t.Errorf("Do() = %v (%s), want %v", got.Kind, got.Reason, tc.want)
				}
				if time.Since(start) > time.Second {
					t.Errorf("answered %v after the start, want at most the deadline", time.Since(start))
				}
				if cut := d.Drain(context.Background()); cut != 0 {
					t.Errorf("Drain() cut %d attempts", cut)
				}
				if tc.site.calls != tc.calls || !slices.Equal(tc.claims.asked, tc.asked) {
					t.Errorf("%d calls of the target, claims %v; want %d, %v", tc.site.calls, tc.claims.asked, tc.calls, tc.asked)
				}
			})
		})
	}
}

func TestAttemptThatWasPausedDoesNotDispatch(t *testing.T) {
	deadline := time.Unix(100, 0)
	a := NewAttempt(2, deadline)
	act := a.Claimed(deadline.Add(time.Hour), &peer.ClaimResult{Verdict: peer.Verdict_VERDICT_GRANTED})
	if act.Dispatch || act.Follow != releaseKind || act.Reply == nil || act.Reply.Kind != KindNotExecuted {
		t.Errorf("Claimed() after a pause = %+v, want a release and not run", act)
	}
}

func TestDispatcherThatDrainsTakesNoAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		claims := &script{take: peer.Verdict_VERDICT_GRANTED}
		d := New(claims, &site{}, clockwork.NewRealClock())
		d.Drain(context.Background())
		got := d.Do(context.Background(), Request{
			Key:      newKey(time.Now(), 1),
			Attempt:  1,
			Deadline: time.Now().Add(time.Second),
		})
		if got.Kind != KindNotExecuted || len(claims.asked) != 0 {
			t.Errorf("Do() = %v after %d claims, want not run without a claim", got.Kind, len(claims.asked))
		}
	})
}
