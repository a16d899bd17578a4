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

// noticeLife is how long a notice holds unless it is renewed.
const noticeLife = 30 * time.Second

// Board spreads notices over the fleet.
type Board interface {
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
	board   Board
	configs Configs
	clock   clockwork.Clock
	// announced holds the expiry of each notice in force by target.
	announced atomic.Pointer[map[string]time.Time]
}

// New returns a drainer.
func New(board Board, configs Configs, clock clockwork.Clock) *Tracker {
	d := &Tracker{
		board:   board,
		configs: configs,
		clock:   clock,
	}
	d.refresh()
	return d
}

// Run follows the notices until ctx ends.
func (d *Tracker) Run(ctx context.Context) {
	changed, stop := d.board.Subscribe()
	defer stop()
	for {
		d.refresh()
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

func (d *Tracker) refresh() {
	out := map[string]time.Time{}
	for _, n := range d.board.Notices() {
		l := n.GetLeaving()
		if l == nil {
			continue
		}
		expiry := time.UnixMilli(l.GetExpires())
		if expiry.After(out[l.GetTarget()]) {
			out[l.GetTarget()] = expiry
		}
	}
	d.announced.Store(&out)
}

// Draining reports whether a target takes no new work.
func (d *Tracker) Draining(target string) bool {
	if d.configs.Index().Target(target).GetLeaving() {
		return true
	}
	expiry, ok := (*d.announced.Load())[target]
	return ok && d.clock.Now().Before(expiry)
}

// Announce tells the fleet that one incarnation of a target is leaving. It
// renews an earlier notice once half of its life has passed.
func (d *Tracker) Announce(target string, incarnation uint64) {
	now := d.clock.Now()
	if expiry, ok := (*d.announced.Load())[target]; ok && expiry.Sub(now) > noticeLife/2 {
		return
	}
	d.board.Publish(&peer.Notice{
		Body: &peer.Notice_Leaving{
			Leaving: &peer.Leaving{
				Target:      target,
				Incarnation: incarnation,
				Expires:     now.Add(noticeLife).UnixMilli(),
			},
		},
	})
	d.refresh()
}

// ListDraining returns the targets that are leaving.
func (d *Tracker) ListDraining() []string {
	var out []string
	for _, t := range d.configs.Index().Accepted().GetConfig().GetTargets() {
		if d.Draining(t.GetId()) {
			out = append(out, t.GetId())
		}
	}
	return out
}
