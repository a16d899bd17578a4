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

// scriptedClaimer answers claims with a fixed verdict per kind and records the
// kinds. The delay before the answer to a take does not end with ctx.
type scriptedClaimer struct {
	take    peer.Verdict
	release peer.Verdict
	delay   time.Duration
	mu      sync.Mutex
	kinds   []peer.ClaimKind
}

func (s *scriptedClaimer) Claim(_ context.Context, c *peer.Claim) *peer.ClaimResult {
	s.mu.Lock()
	s.kinds = append(s.kinds, c.GetKind())
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

// fixedTarget answers every request with the same status and error.
type fixedTarget struct {
	status target.Status
	err    error
	delay  time.Duration
	calls  int
}

func (s *fixedTarget) Mutate(_ context.Context, m *target.Mutation) (*target.Outcome, error) {
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

func TestDispatcherDo(t *testing.T) {
	granted := peer.Verdict_VERDICT_GRANTED
	done := target.Status_STATUS_DONE
	tests := []struct {
		name    string
		attempt uint32
		claims  scriptedClaimer
		mutator fixedTarget
		want    Kind
		calls   int
		kinds   []peer.ClaimKind
	}{
		{
			name:    "done",
			claims:  scriptedClaimer{take: granted},
			mutator: fixedTarget{status: done},
			want:    KindDone,
			calls:   1,
			kinds:   []peer.ClaimKind{takeKind, recordKind},
		},
		{
			name:    "failed at the target",
			claims:  scriptedClaimer{take: granted},
			mutator: fixedTarget{status: target.Status_STATUS_FAILED},
			want:    KindDone,
			calls:   1,
			kinds:   []peer.ClaimKind{takeKind, recordKind},
		},
		{
			name:    "shed",
			claims:  scriptedClaimer{take: granted},
			mutator: fixedTarget{status: target.Status_STATUS_SHED},
			want:    KindNotExecuted,
			calls:   1,
			kinds:   []peer.ClaimKind{takeKind, releaseKind},
		},
		{
			name:    "not sent",
			claims:  scriptedClaimer{take: granted},
			mutator: fixedTarget{err: ErrNotSent},
			want:    KindNotExecuted,
			calls:   1,
			kinds:   []peer.ClaimKind{takeKind, releaseKind},
		},
		{
			name:    "connection lost",
			claims:  scriptedClaimer{take: granted},
			mutator: fixedTarget{err: context.Canceled},
			want:    KindUnknown,
			calls:   1,
			kinds:   []peer.ClaimKind{takeKind},
		},
		{
			name:   "outcome after the deadline is recorded",
			claims: scriptedClaimer{take: granted},
			mutator: fixedTarget{
				status: done,
				delay:  5 * time.Second,
			},
			want:  KindUnknown,
			calls: 1,
			kinds: []peer.ClaimKind{takeKind, recordKind},
		},
		{
			name: "grant after the deadline is released",
			claims: scriptedClaimer{
				take:    granted,
				release: peer.Verdict_VERDICT_CLOSED,
				delay:   5 * time.Second,
			},
			want:  KindUnknown,
			kinds: []peer.ClaimKind{takeKind, releaseKind},
		},
		{
			name:    "first attempt with a grant after the deadline",
			attempt: 1,
			claims: scriptedClaimer{
				take:  granted,
				delay: 5 * time.Second,
			},
			want:  KindNotExecuted,
			kinds: []peer.ClaimKind{takeKind, releaseKind},
		},
		{
			name:    "first attempt with the store down",
			attempt: 1,
			claims:  scriptedClaimer{take: peer.Verdict_VERDICT_UNAVAILABLE},
			want:    KindNotExecuted,
			kinds:   []peer.ClaimKind{takeKind},
		},
		{
			name:    "later attempt with the store down",
			attempt: 2,
			claims:  scriptedClaimer{take: peer.Verdict_VERDICT_UNAVAILABLE},
			want:    KindUnknown,
			kinds:   []peer.ClaimKind{takeKind},
		},
		{
			name:    "first attempt with an unknown claim",
			attempt: 1,
			claims: scriptedClaimer{
				take:    peer.Verdict_VERDICT_UNKNOWN,
				release: peer.Verdict_VERDICT_CLOSED,
			},
			want:  KindNotExecuted,
			kinds: []peer.ClaimKind{takeKind, releaseKind},
		},
		{
			name:    "later attempt with an unknown claim that is released",
			attempt: 2,
			claims: scriptedClaimer{
				take:    peer.Verdict_VERDICT_UNKNOWN,
				release: peer.Verdict_VERDICT_CLOSED,
			},
			want:  KindNotExecuted,
			kinds: []peer.ClaimKind{takeKind, releaseKind},
		},
		{
			name:    "later attempt with an unknown claim while another attempt holds the key",
			attempt: 2,
			claims: scriptedClaimer{
				take:    peer.Verdict_VERDICT_UNKNOWN,
				release: peer.Verdict_VERDICT_HELD,
			},
			want:  KindUnknown,
			kinds: []peer.ClaimKind{takeKind, releaseKind},
		},
		{
			name:   "held",
			claims: scriptedClaimer{take: peer.Verdict_VERDICT_HELD},
			want:   KindUnknown,
			kinds:  []peer.ClaimKind{takeKind},
		},
		{
			name:   "recorded",
			claims: scriptedClaimer{take: peer.Verdict_VERDICT_RECORDED},
			want:   KindDone,
			kinds:  []peer.ClaimKind{takeKind},
		},
		{
			name:   "closed",
			claims: scriptedClaimer{take: peer.Verdict_VERDICT_CLOSED},
			want:   KindNotExecuted,
			kinds:  []peer.ClaimKind{takeKind},
		},
		{
			name:   "expired",
			claims: scriptedClaimer{take: peer.Verdict_VERDICT_EXPIRED},
			want:   KindExpired,
			kinds:  []peer.ClaimKind{takeKind},
		},
		{
			name:   "other content",
			claims: scriptedClaimer{take: peer.Verdict_VERDICT_MISMATCH},
			want:   KindMismatch,
			kinds:  []peer.ClaimKind{takeKind},
		},
	}
	for i := range tests {
		tc := &tests[i]
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := New(&tc.claims, &tc.mutator, clockwork.NewRealClock())
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
					t.Errorf("Do() returned after %v, want at most the deadline of 1 s", time.Since(start))
				}
				if cancelled := d.Drain(context.Background()); cancelled != 0 {
					t.Errorf("Drain() cancelled %d attempts, want 0", cancelled)
				}
				if tc.mutator.calls != tc.calls || !slices.Equal(tc.claims.kinds, tc.kinds) {
					t.Errorf("%d calls of the target, claims %v; want %d, %v", tc.mutator.calls, tc.claims.kinds, tc.calls, tc.kinds)
				}
			})
		})
	}
}

func TestAttemptGrantAfterDeadline(t *testing.T) {
	deadline := time.Unix(100, 0)
	a := NewAttempt(2, deadline)
	act := a.HandleClaim(deadline.Add(time.Hour), &peer.ClaimResult{Verdict: peer.Verdict_VERDICT_GRANTED})
	if act.Dispatch || act.FollowUp != releaseKind || act.Reply == nil || act.Reply.Kind != KindNotExecuted {
		t.Errorf("HandleClaim() after the deadline = %+v, want a release and not executed", act)
	}
}

func TestDispatcherDrainRefusesAttempts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		claims := &scriptedClaimer{take: peer.Verdict_VERDICT_GRANTED}
		d := New(claims, &fixedTarget{}, clockwork.NewRealClock())
		d.Drain(context.Background())
		got := d.Do(context.Background(), Request{
			Key:      newKey(time.Now(), 1),
			Attempt:  1,
			Deadline: time.Now().Add(time.Second),
		})
		if got.Kind != KindNotExecuted || len(claims.kinds) != 0 {
			t.Errorf("Do() = %v after %d claims, want not executed without a claim", got.Kind, len(claims.kinds))
		}
	})
}
