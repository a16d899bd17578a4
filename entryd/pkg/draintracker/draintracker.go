// Package draintracker tells which targets are leaving and get no new work.
package draintracker

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"plantaincleat/tier/gen/peer"
	"plantaincleat/tier/pkg/indexer"
)

// noticeLifetime is how long a notice holds unless it is renewed.
const noticeLifetime = 30 * time.Second

// NoticeBoard spreads notices over the fleet.
type NoticeBoard interface {
	Publish(n *peer.Notice)
	Notices() []*peer.Notice
	Subscribe() (<-chan struct{}, func())
}

// Configs returns the configuration in force.
type Configs interface {
	Index() *indexer.Index
}

// Tracker combines the targets' own signals, spread as notices, with the
// operators' configuration. It is safe for concurrent use.
type Tracker struct {
	board   NoticeBoard
	configs Configs
	clock   clockwork.Clock
	// noticeExpiries holds the expiry of each notice in force by target.
	noticeExpiries atomic.Pointer[map[string]time.Time]
}

// New returns a drainer.
func New(board NoticeBoard, configs Configs, clock clockwork.Clock) *Tracker {
	t := &Tracker{
		board:   board,
		configs: configs,
		clock:   clock,
	}
	t.refresh()
	return t
}

// Run follows the notices until ctx ends.
func (t *Tracker) Run(ctx context.Context) {
	changed, stop := t.board.Subscribe()
	defer stop()
	for {
		t.refresh()
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

func (t *Tracker) refresh() {
	out := map[string]time.Time{}
	for _, n := range t.board.Notices() {
		l := n.GetLeaving()
		if l == nil {
			continue
		}
		expiry := time.UnixMilli(l.GetExpires())
		if expiry.After(out[l.GetTarget()]) {
			out[l.GetTarget()] = expiry
		}
	}
	t.noticeExpiries.Store(&out)
}

// Draining reports whether a target takes no new work.
func (t *Tracker) Draining(target string) bool {
	if t.configs.Index().Target(target).GetLeaving() {
		return true
	}
	expiry, ok := (*t.noticeExpiries.Load())[target]
	return ok && t.clock.Now().Before(expiry)
}

// Announce tells the fleet that one incarnation of a target is leaving. It
// renews an earlier notice once half of its life has passed.
func (t *Tracker) Announce(target string, incarnation uint64) {
	now := t.clock.Now()
	if expiry, ok := (*t.noticeExpiries.Load())[target]; ok && expiry.Sub(now) > noticeLifetime/2 {
		return
	}
	t.board.Publish(&peer.Notice{
		Body: &peer.Notice_Leaving{
			Leaving: &peer.Leaving{
				Target:      target,
				Incarnation: incarnation,
				Expires:     now.Add(noticeLifetime).UnixMilli(),
			},
		},
	})
	t.refresh()
}

// ListDraining returns the targets that are leaving.
func (t *Tracker) ListDraining() []string {
	var out []string
	for _, configured := range t.configs.Index().Accepted().GetConfig().GetTargets() {
		if t.Draining(configured.GetId()) {
			out = append(out, configured.GetId())
		}
	}
	return out
}
