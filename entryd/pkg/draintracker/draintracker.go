// Package draintracker tracks which targets are draining and get no new requests.
package draintracker

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"plantaincleat/tier/gen/peer"
	"plantaincleat/tier/pkg/indexer"
)

// noticeLifetime is the time after which a notice expires unless it is renewed.
const noticeLifetime = 30 * time.Second

// NoticeBoard distributes notices to the daemons of the fleet.
type NoticeBoard interface {
	Publish(n *peer.Notice)
	Notices() []*peer.Notice
	Subscribe() (<-chan struct{}, func())
}

// Configs returns the configuration in force.
type Configs interface {
	Index() *indexer.Index
}

// Tracker combines two sources: what targets and the host list announce, which is
// distributed as notices, and what operators have configured. It is safe for
// concurrent use.
type Tracker struct {
	board   NoticeBoard
	configs Configs
	clock   clockwork.Clock
	// noticeExpiries maps the id of each target with a notice to the latest
	// expiry of its notices.
	noticeExpiries atomic.Pointer[map[string]time.Time]
}

// New returns a tracker of the notices that the board has. Later notices are seen
// once Run is called.
func New(board NoticeBoard, configs Configs, clock clockwork.Clock) *Tracker {
	t := &Tracker{
		board:   board,
		configs: configs,
		clock:   clock,
	}
	t.refresh()
	return t
}

// Run updates the tracker at each change of the notices until ctx is done.
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

// Draining reports whether a target is draining, so that it gets no new requests.
func (t *Tracker) Draining(target string) bool {
	if t.configs.Index().Target(target).GetLeaving() {
		return true
	}
	expiry, ok := (*t.noticeExpiries.Load())[target]
	return ok && t.clock.Now().Before(expiry)
}

// Announce publishes a notice that one incarnation of a target is draining. It does
// nothing while an earlier notice has more than half of its lifetime left.
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

// ListDraining returns the ids of the configured targets that are draining.
func (t *Tracker) ListDraining() []string {
	var out []string
	for _, configured := range t.configs.Index().Accepted().GetConfig().GetTargets() {
		if t.Draining(configured.GetId()) {
			out = append(out, configured.GetId())
		}
	}
	return out
}
