package claimer

import (
	"encoding/binary"
	"errors"
	"testing"
	"time"

	"github.com/google/uuid"

	"plantaincleat/tier/gen/peer"
	"plantaincleat/tier/gen/target"
)

var epoch = time.UnixMilli(1_800_000_000_000)

// keyAt returns the nth request key, from 0, that has the time t and belongs to
// the bucket.
func keyAt(t time.Time, bucket uint32, n int) string {
	for i := uint64(0); ; i++ {
		var id uuid.UUID
		binary.BigEndian.PutUint64(id[:8], uint64(t.UnixMilli())<<16)
		binary.BigEndian.PutUint64(id[8:], i)
		id[6] = id[6]&0x0f | 0x70
		id[8] = id[8]&0x3f | 0x80
		if k, _ := ParseKey(id.String()); k.Bucket() == bucket {
			if n == 0 {
				return k.String()
			}
			n--
		}
	}
}

func claimOf(kind peer.ClaimKind, key, dispatcher string, attempt uint32) *peer.Claim {
	c := &peer.Claim{
		Key:        key,
		Dispatcher: dispatcher,
		Kind:       kind,
		Attempt:    attempt,
	}
	if kind == record {
		c.Outcome = &target.Outcome{Detail: dispatcher}
	}
	return c
}

const (
	take    = peer.ClaimKind_CLAIM_KIND_TAKE
	release = peer.ClaimKind_CLAIM_KIND_RELEASE
	record  = peer.ClaimKind_CLAIM_KIND_RECORD

	undecided = peer.Verdict_VERDICT_UNSPECIFIED
	granted   = peer.Verdict_VERDICT_GRANTED
	held      = peer.Verdict_VERDICT_HELD
	recorded  = peer.Verdict_VERDICT_RECORDED
	closed    = peer.Verdict_VERDICT_CLOSED
	expired   = peer.Verdict_VERDICT_EXPIRED
	mismatch  = peer.Verdict_VERDICT_MISMATCH
	refused   = peer.Verdict_VERDICT_REFUSED
)

func TestParseKey(t *testing.T) {
	tests := []struct {
		name string
		in   string
		want string
		time int64
	}{
		{
			name: "canonical",
			in:   "01932c07-209c-7aaa-8bbb-0123456789ab",
			want: "01932c07-209c-7aaa-8bbb-0123456789ab",
			time: 0x01932c07209c,
		},
		{
			name: "upper case",
			in:   "01932C07-209C-7AAA-8BBB-0123456789AB",
			want: "01932c07-209c-7aaa-8bbb-0123456789ab",
			time: 0x01932c07209c,
		},
		{
			name: "version 4",
			in:   "01932c07-209c-4aaa-8bbb-0123456789ab",
		},
		{
			name: "other variant",
			in:   "01932c07-209c-7aaa-cbbb-0123456789ab",
		},
		{
			name: "empty",
		},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			k, err := ParseKey(tc.in)
			if (err == nil) != (tc.want != "") || err != nil && !errors.Is(err, ErrInvalidKey) {
				t.Fatalf("ParseKey(%q): %v", tc.in, err)
			}
			if k.String() != tc.want || k.Time() != tc.time {
				t.Errorf("ParseKey(%q) = %v at %d, want %s at %d", tc.in, k, k.Time(), tc.want, tc.time)
			}
		})
	}
}

func TestLedgerDecide(t *testing.T) {
	key := keyAt(epoch, 0, 0)
	other := claimOf(take, key, "d2", 2)
	other.Fingerprint = 7
	tests := []struct {
		name  string
		log   []*peer.Claim
		claim *peer.Claim
		want  peer.Verdict
	}{
		{
			name:  "free",
			claim: claimOf(take, key, "d1", 1),
			want:  undecided,
		},
		{
			name:  "granted again to the same dispatcher",
			log:   []*peer.Claim{claimOf(take, key, "d1", 1)},
			claim: claimOf(take, key, "d1", 1),
			want:  granted,
		},
		{
			name:  "held",
			log:   []*peer.Claim{claimOf(take, key, "d1", 1), claimOf(take, key, "d2", 2)},
			claim: claimOf(take, key, "d2", 2),
			want:  held,
		},
		{
			name:  "released for a higher attempt",
			log:   []*peer.Claim{claimOf(take, key, "d1", 1), claimOf(release, key, "d1", 1)},
			claim: claimOf(take, key, "d2", 2),
			want:  undecided,
		},
		{
			name:  "closed for the same attempt",
			log:   []*peer.Claim{claimOf(take, key, "d1", 1), claimOf(release, key, "d1", 1)},
			claim: claimOf(take, key, "d1", 1),
			want:  closed,
		},
		{
			name:  "closed by a release that came before the claim",
			log:   []*peer.Claim{claimOf(release, key, "d2", 2), claimOf(take, key, "d1", 1)},
			claim: claimOf(take, key, "d1", 1),
			want:  closed,
		},
		{
			name:  "unnumbered attempts are closed together",
			log:   []*peer.Claim{claimOf(take, key, "d1", 0), claimOf(release, key, "d1", 0)},
			claim: claimOf(take, key, "d2", 0),
			want:  closed,
		},
		{
			name:  "release by another dispatcher does not free the key",
			log:   []*peer.Claim{claimOf(take, key, "d1", 1), claimOf(release, key, "d2", 2)},
			claim: claimOf(take, key, "d3", 3),
			want:  held,
		},
		{
			name:  "recorded",
			log:   []*peer.Claim{claimOf(take, key, "d1", 1), claimOf(record, key, "d1", 1)},
			claim: claimOf(take, key, "d2", 2),
			want:  recorded,
		},
		{
			name:  "record by another dispatcher changes nothing",
			log:   []*peer.Claim{claimOf(take, key, "d1", 1), claimOf(record, key, "d2", 2)},
			claim: claimOf(take, key, "d3", 3),
			want:  held,
		},
		{
			name:  "release after the record changes nothing",
			log:   []*peer.Claim{claimOf(take, key, "d1", 1), claimOf(record, key, "d1", 1), claimOf(release, key, "d1", 1)},
			claim: claimOf(take, key, "d3", 3),
			want:  recorded,
		},
		{
			name:  "other content",
			log:   []*peer.Claim{claimOf(take, key, "d1", 1)},
			claim: other,
			want:  mismatch,
		},
		{
			name:  "below the floor",
			claim: claimOf(take, keyAt(epoch.Add(-time.Minute), 0, 0), "d1", 1),
			want:  expired,
		},
		{
			name:  "upper-case key",
			claim: claimOf(take, "01932C07-209C-7AAA-8BBB-0123456789AB", "d1", 1),
			want:  refused,
		},
		{
			name:  "no dispatcher",
			claim: claimOf(take, key, "", 1),
			want:  refused,
		},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			var l Ledger
			l.Rebase(0, epoch.UnixMilli())
			for i, c := range tc.log {
				l.Apply(&peer.Entry{
					Sequence: uint64(i + 1),
					Claims:   []*peer.Claim{c},
				})
			}
			got, outcome := l.Decide(tc.claim)
			if got != tc.want {
				t.Errorf("Decide() = %v, want %v", got, tc.want)
			}
			if (got == recorded) != (outcome.GetDetail() == "d1") {
				t.Errorf("Decide() returned outcome %v, want that of d1 only with recorded", outcome)
			}
		})
	}
}

func TestLedgerRebaseDropsOldKeys(t *testing.T) {
	var l Ledger
	for i := range 4 {
		l.Apply(&peer.Entry{
			Sequence: uint64(i + 1),
			Claims:   []*peer.Claim{claimOf(take, keyAt(epoch.Add(time.Duration(i)*time.Second), 0, 0), "d", 1)},
		})
	}
	floor := epoch.Add(2 * time.Second).UnixMilli()
	if got := l.LastDroppable(floor, 1); got != 1 {
		t.Errorf("LastDroppable() with limit 1 = %d, want 1", got)
	}
	last := l.LastDroppable(floor, 10)
	if last != 2 {
		t.Fatalf("LastDroppable() = %d, want 2", last)
	}
	l.Rebase(last, floor)
	if l.Len() != 2 || l.Head() != 4 {
		t.Errorf("%d keys at head %d, want 2 keys at head 4", l.Len(), l.Head())
	}
	if v, _ := l.Decide(claimOf(take, keyAt(epoch, 0, 0), "e", 1)); v != expired {
		t.Errorf("Decide() for a key below the floor = %v, want expired", v)
	}
}
