package quarantiner

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"plantaincleat/tier/gen/peer"
)

func TestClearOverridesOldNotices(t *testing.T) {
	now := start.Add(lossWindow)
	q := newQuarantined(start)
	old := q.Notices(now)
	other := New(Settings{})
	other.Merge(now, old[0])
	if _, v := other.Target("c").Begin(now, 7, "corrib", "s"); v != Denied {
		t.Fatalf("decision %v at the other daemon, want Denied", v)
	}
	if !q.Clear(now, 7) || q.Clear(now, 7) {
		t.Error("Clear must succeed once and then report that there is no quarantine")
	}
	if q.Merge(now, old[0]) {
		t.Error("a notice from before the clearance was merged")
	}
	other.Merge(now, q.Notices(now)[0])
	if other.Suspected(now, 7) || other.effective.Load() != 0 {
		t.Error("not cleared at the other daemon")
	}
	for _, id := range []string{"a", "b"} {
		crash(other.Target(id), now)
	}
	now = now.Add(lossWindow)
	for _, n := range other.Notices(now) {
		q.Merge(now, n)
	}
	if len(q.List(now)) != 1 {
		t.Error("a quarantine from after the clearance was not merged")
	}
}

func TestMergeOrderIndependent(t *testing.T) {
	notice := rapid.Custom(func(t *rapid.T) *peer.Quarantine {
		epoch := uint64(rapid.IntRange(0, 11).Draw(t, "epoch"))
		return &peer.Quarantine{
			Fingerprint: uint64(rapid.IntRange(1, 3).Draw(t, "fingerprint")),
			Expires:     start.UnixMilli() + int64(rapid.IntRange(1, 3).Draw(t, "expires")),
			Epoch:       epoch,
			Cleared:     epoch%4 == 0,
			Targets:     []string{"a", "b"},
		}
	})
	state := func(notices []*peer.Quarantine) string {
		q := New(Settings{})
		for _, n := range notices {
			q.Merge(start, n)
			if q.Merge(start, n) {
				return "changed by a repeated notice"
			}
		}
		out := ""
		for _, n := range q.Notices(start) {
			// The expiry is left out: it may be later if a notice with a lower
			// rank came in between.
			out += fmt.Sprint(n.GetFingerprint(), n.GetEpoch(), n.GetTargets(), " ")
		}
		return fmt.Sprint(out, q.effective.Load())
	}
	rapid.Check(t, func(t *rapid.T) {
		notices := rapid.SliceOfN(notice, 1, 8).Draw(t, "notices")
		shuffled := rapid.Permutation(notices).Draw(t, "shuffled")
		if x, y := state(notices), state(shuffled); x != y {
			t.Fatalf("states after merging in two orders:\n%s\n%s", x, y)
		}
	})
}

func TestCapacityKeepsQuarantines(t *testing.T) {
	q := New(Settings{
		Capacity: 8,
	})
	expires := start.Add(time.Minute).UnixMilli()
	for f := uint64(1); f <= 100; f++ {
		epoch := uint64(1)
		if f <= 4 {
			epoch = 3
		}
		q.Merge(start, &peer.Quarantine{
			Fingerprint: f,
			Expires:     expires + int64(f),
			Epoch:       epoch,
			Targets:     []string{"a", "b"},
		})
	}
	if len(q.entries) != 8 || len(q.List(start)) != 4 || q.effective.Load() != 8 {
		t.Errorf("%d entries, %d quarantined; want 8 and 4", len(q.entries), len(q.List(start)))
	}
	if q.Notices(start.Add(time.Hour)); len(q.entries) != 0 || q.effective.Load() != 0 {
		t.Errorf("%d entries after an hour, want 0", len(q.entries))
	}
}

func TestConcurrentUse(t *testing.T) {
	q := New(Settings{})
	var wg sync.WaitGroup
	for n := range 8 {
		wg.Go(func() {
			for i := range 1000 {
				now := start.Add(time.Duration(i) * time.Millisecond)
				target := q.Target(fmt.Sprint("target", (n+i)%3))
				attempt, v := target.Begin(now, uint64(1+i%5), "corrib", "s")
				switch {
				case v != Allowed:
				case i%100 == n:
					target.RecordLoss(now, attempt)
				default:
					target.End(attempt, true)
				}
				q.Notices(now)
			}
		})
	}
	wg.Wait()
	for id, target := range q.targets {
		if len(target.attempts) != 0 || target.isolated {
			t.Errorf("%s: %d in flight, isolated %v; want none", id, len(target.attempts), target.isolated)
		}
	}
	if q.Notices(start.Add(time.Hour)); q.effective.Load() != 0 {
		t.Errorf("%d effective entries after an hour, want 0", q.effective.Load())
	}
}

func TestFingerprint(t *testing.T) {
	prints := []uint64{
		Fingerprint("corrib", []byte("ab"), []byte("c")),
		Fingerprint("corrib", []byte("a"), []byte("bc")),
		Fingerprint("corri", []byte("bab"), []byte("c")),
		Fingerprint("corrib", []byte("abc")),
	}
	slices.Sort(prints)
	if len(slices.Compact(prints)) != 4 {
		t.Errorf("different requests have equal fingerprints: %x", prints)
	}
}

func BenchmarkBeginEnd(b *testing.B) {
	cases := []struct {
		name string
		q    *Quarantiner
	}{
		{name: "quiet", q: New(Settings{})},
		{name: "quarantine", q: newQuarantined(start)},
	}
	for _, c := range cases {
		b.Run(c.name, func(b *testing.B) {
			b.ReportAllocs()
			t := c.q.Target("c")
			now := start.Add(lossWindow)
			f := uint64(1000)
			for b.Loop() {
				f++
				r, _ := t.Begin(now, f, "corrib", "shard")
				t.End(r, true)
			}
		})
	}
}
