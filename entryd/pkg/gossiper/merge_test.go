package gossiper

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"plantaincleat/tier/gen/peer"
)

func drawMember(t *rapid.T) Member {
	return Member{
		id:          "d",
		address:     rapid.SampledFrom([]string{"a", "b"}).Draw(t, "address"),
		datacentre:  rapid.SampledFrom([]string{"x", "y"}).Draw(t, "datacentre"),
		incarnation: rapid.Uint64Range(1, 3).Draw(t, "incarnation"),
		state:       peer.State(rapid.IntRange(1, 4).Draw(t, "state")),
		heartbeat:   rapid.Uint64Range(0, 3).Draw(t, "beat"),
		revision:    rapid.Uint64Range(0, 3).Draw(t, "revision"),
	}
}

func drawQuarantineNotice(t *rapid.T) *peer.Notice {
	return &peer.Notice{
		Body: &peer.Notice_Quarantine{
			Quarantine: &peer.Quarantine{
				Fingerprint: 1,
				Expires:     rapid.Int64Range(1, 4).Draw(t, "expires"),
				Epoch:       rapid.Uint64Range(0, 2).Draw(t, "epoch"),
				Cleared:     rapid.Bool().Draw(t, "cleared"),
				Targets: union(rapid.SliceOfN(rapid.SampledFrom([]string{"t", "u", "v"}), 0, 3).
					Draw(t, "targets"), nil),
				Institution: rapid.SampledFrom([]string{"i", "j"}).Draw(t, "institution"),
			},
		},
	}
}

func drawSuspicionNotice(t *rapid.T) *peer.Notice {
	return &peer.Notice{
		Body: &peer.Notice_Suspicion{
			Suspicion: &peer.Suspicion{
				Fingerprint: 1,
				Expires:     rapid.Int64Range(1, 4).Draw(t, "expires"),
				Generation:  rapid.Uint64Range(0, 2).Draw(t, "generation"),
				Crashes:     rapid.Uint32Range(0, 2).Draw(t, "crashes"),
				Pool:        rapid.SampledFrom([]string{"p", "q"}).Draw(t, "pool"),
				Until:       rapid.Int64Range(0, 2).Draw(t, "until"),
			},
		},
	}
}

func drawIsolationNotice(t *rapid.T) *peer.Notice {
	return &peer.Notice{
		Body: &peer.Notice_Isolation{
			Isolation: &peer.Isolation{
				Daemon:   "d",
				Expires:  rapid.Int64Range(1, 4).Draw(t, "expires"),
				Sequence: rapid.Uint64Range(0, 2).Draw(t, "sequence"),
				Isolated: rapid.Bool().Draw(t, "isolated"),
			},
		},
	}
}

func drawLeavingNotice(t *rapid.T) *peer.Notice {
	return newLeavingNotice("t", 1, rapid.Int64Range(1, 4).Draw(t, "expires"))
}

// requireSemilattice fails the test unless merge is commutative, associative,
// idempotent and monotone.
func requireSemilattice[T any](t *rapid.T, draw func(*rapid.T) T, merge func(a, b T) T, equal func(a, b T) bool) {
	a, b, c := draw(t), draw(t), draw(t)
	ab := merge(a, b)
	if !equal(ab, merge(b, a)) {
		t.Fatalf("not commutative: %v and %v", a, b)
	}
	if !equal(merge(ab, c), merge(a, merge(b, c))) {
		t.Fatalf("not associative: %v, %v and %v", a, b, c)
	}
	if !equal(merge(a, a), a) {
		t.Fatalf("not idempotent: %v", a)
	}
	if !equal(merge(ab, a), ab) || !equal(merge(ab, b), ab) {
		t.Fatalf("not monotone: %v and %v", a, b)
	}
}

func TestMergeIsSemilattice(t *testing.T) {
	equalNotices := func(a, b *peer.Notice) bool { return proto.Equal(a, b) }
	t.Run("member", rapid.MakeCheck(func(t *rapid.T) {
		requireSemilattice(t, drawMember, mergeMembers, func(a, b Member) bool { return a == b })
	}))
	t.Run("quarantine", rapid.MakeCheck(func(t *rapid.T) {
		requireSemilattice(t, drawQuarantineNotice, MergeNotices, equalNotices)
	}))
	t.Run("suspicion", rapid.MakeCheck(func(t *rapid.T) {
		requireSemilattice(t, drawSuspicionNotice, MergeNotices, equalNotices)
	}))
	t.Run("isolation", rapid.MakeCheck(func(t *rapid.T) {
		requireSemilattice(t, drawIsolationNotice, MergeNotices, equalNotices)
	}))
	t.Run("leaving", rapid.MakeCheck(func(t *rapid.T) {
		requireSemilattice(t, drawLeavingNotice, MergeNotices, equalNotices)
	}))
}

// A demand is sent at most demandCopies times, also if other demands are added,
// taken and dropped in between.
func TestDemandCopies(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newDemandSet()
		sent := make(map[uint64]int)
		now := time.UnixMilli(0)
		for beat := uint64(1); beat < 40; beat++ {
			s.add(&peer.Demand{
				Daemon:      rapid.SampledFrom([]string{"a", "b", "@x"}).Draw(t, "daemon"),
				Institution: rapid.SampledFrom([]string{"i", "j"}).Draw(t, "institution"),
				Beat:        beat,
			}, now)
			for _, d := range s.take(rapid.IntRange(0, 200).Draw(t, "limit"), rapid.Bool().Draw(t, "remote")) {
				if sent[d.GetBeat()]++; sent[d.GetBeat()] > demandCopies {
					t.Fatalf("demand with beat %d sent %d times", d.GetBeat(), sent[d.GetBeat()])
				}
			}
			if rapid.IntRange(0, 9).Draw(t, "expire") == 0 {
				s.expire(now.Add(time.Hour), time.Minute)
			}
		}
	})
}
