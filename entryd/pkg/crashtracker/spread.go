package crashtracker

import (
	"log/slog"
	"strconv"
	"time"

	"plantaincleat/tier/gen/peer"
)

// Publisher spreads notices to the other daemons.
type Publisher interface {
	Publish(n *peer.Notice)
}

// PublishTo makes the tracker publish each suspicion that it changes.
func (t *Tracker) PublishTo(p Publisher) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.publisher = p
}

// publish publishes suspicions that this daemon has changed. t.mu is not held.
func publish(p Publisher, changed []*peer.Suspicion) {
	if p == nil {
		return
	}
	for _, s := range changed {
		p.Publish(&peer.Notice{
			Body: &peer.Notice_Suspicion{
				Suspicion: s,
			},
		})
	}
}

// MergeNotices merges the suspicions among the notices of other daemons.
func (t *Tracker) MergeNotices(now time.Time, notices []*peer.Notice) {
	for _, n := range notices {
		s := n.GetSuspicion()
		if s != nil && t.Merge(now, s) {
			slog.Info("other daemons refuse a request that crashes targets", "fingerprint", strconv.FormatUint(s.GetFingerprint(), fingerprintBase),
				"pool", s.GetPool(), "crashes", s.GetCrashes(), "until", time.UnixMilli(s.GetUntil()))
		}
	}
}
