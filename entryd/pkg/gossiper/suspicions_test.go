package gossiper

import (
	"testing"
	"time"

	"plantaincleat/tier/gen/peer"
)

func suspicionNotice(fingerprint uint64, crashes uint32, expires time.Time) *peer.Notice {
	return &peer.Notice{
		Body: &peer.Notice_Suspicion{
			Suspicion: &peer.Suspicion{
				Fingerprint: fingerprint,
				Crashes:     crashes,
				Expires:     expires.UnixMilli(),
			},
		},
	}
}

// TestSuspicionsAreBounded guards against notices that grow with the number of requests,
// and against a refusal that gives way to mere suspicions.
func TestSuspicionsAreBounded(t *testing.T) {
	const refused = 1 << 40
	now := time.Unix(1_800_000_000, 0)
	set := newNoticeSet()
	set.add(suspicionNotice(refused, 3, now.Add(time.Second)), 1, now)
	for i := range uint64(MaxSuspicions + 10) {
		set.add(suspicionNotice(1+i, 1, now.Add(time.Minute)), 1, now)
	}
	if n := len(set.keys); n != MaxSuspicions || n != len(set.byKey) {
		t.Errorf("%d keys and %d notices, want %d", n, len(set.byKey), MaxSuspicions)
	}
	if _, ok := set.byKey[noticeKey{request: refused}]; !ok {
		t.Error("the suspicion with most crashes was removed")
	}
	if !set.expire(now.Add(time.Hour)) || set.hash != 0 {
		t.Errorf("hash %x of an empty set, want 0", set.hash)
	}
}

// TestIsolationWithoutEndIsIgnored guards against a notice by which a daemon owns no shards for
// good.
func TestIsolationWithoutEndIsIgnored(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	tests := []struct {
		name string
		life time.Duration
		want bool
	}{
		{name: "usual", life: 10 * time.Second, want: true},
		{name: "longest", life: maxIsolationLife, want: true},
		{name: "too long", life: maxIsolationLife + time.Millisecond},
		{name: "over", life: 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			set := newNoticeSet()
			added := set.add(&peer.Notice{
				Body: &peer.Notice_Isolation{
					Isolation: &peer.Isolation{
						Daemon:   "d",
						Expires:  now.Add(test.life).UnixMilli(),
						Isolated: true,
					},
				},
			}, 1, now)
			if added != test.want {
				t.Errorf("notice taken: %v, want %v", added, test.want)
			}
		})
	}
}
