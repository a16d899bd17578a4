package gossiper

import (
	"math/rand/v2"
	"testing"
	"time"

	"plantaincleat/tier/gen/peer"
)

// convergenceTime is enough for the fleets of these tests to converge.
const convergenceTime = 15 * time.Second

func TestFleetConverges(t *testing.T) {
	cases := []struct {
		name       string
		dcs, hosts int
	}{
		{
			name:  "one",
			dcs:   1,
			hosts: 1,
		},
		{
			name:  "nine",
			dcs:   3,
			hosts: 3,
		},
		{
			name:  "hundred",
			dcs:   5,
			hosts: 20,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := fleet(c.dcs, c.hosts, nil)
			w.run(convergenceTime)
			w.requireAlive(t, c.dcs*c.hosts)
			for _, n := range w.order {
				if !n.m.Synced() {
					t.Errorf("%s is not synced", n.cfg.Self.ID)
				}
			}
		})
	}
}

func TestDeathAndRestart(t *testing.T) {
	for _, hosts := range []int{3, 30} {
		w := fleet(3, hosts, nil)
		w.run(convergenceTime)
		victim := w.order[4]
		victim.stopped = true
		took, ok := w.runUntil(time.Minute, func(n *node) bool { return dead(n.state("d1-001")) })
		if !ok {
			t.Fatalf("%d hosts: death not known by all daemons after %v", hosts, took)
		}
		w.run(time.Second)
		w.requireAlive(t, 3*hosts-1)
		before, _ := w.order[0].m.View().Lookup("d1-001")
		w.startNode(victim.cfg)
		took, ok = w.runUntil(convergenceTime, func(n *node) bool {
			m, _ := n.m.View().Lookup("d1-001")
			return m.Live() && m.Incarnation() > before.Incarnation()
		})
		if !ok {
			t.Errorf("%d hosts: restart not known by all daemons after %v", hosts, took)
		}
	}
}

func TestRestartWithClockBehind(t *testing.T) {
	w := fleet(1, 3, nil)
	w.run(convergenceTime)
	n := w.order[1]
	current := w.now
	w.now = current.Add(-time.Hour)
	w.startNode(n.cfg)
	w.now = current
	w.run(convergenceTime)
	w.requireAlive(t, 3)
	if got := n.m.self().incarnation; got < uint64(current.Add(-time.Minute).UnixMilli()) {
		t.Errorf("incarnation %d after the restart is not higher than before", got)
	}
}

// A member is declared dead even if another daemon answers at its address.
func TestReplacementAtSameAddress(t *testing.T) {
	w := fleet(1, 4, nil)
	w.run(convergenceTime)
	cfg := w.order[2].cfg
	cfg.Self.ID = "d0-new"
	w.startNode(cfg)
	w.run(convergenceTime)
	if got := w.order[0].state("d0-002"); got != peer.State_STATE_DEAD {
		t.Errorf("state of the replaced daemon is %v, want dead", got)
	}
	w.requireAlive(t, 4)
}

// An exchange that was open when the daemon froze and then failed says nothing
// about the member.
func TestFailureFromBeforeFreezeIgnored(t *testing.T) {
	w := fleet(1, 2, nil)
	w.run(convergenceTime)
	m := w.order[0].m
	w.now = m.Next()
	actions := m.Tick(w.now)
	w.now = w.now.Add(DefaultSuspicionTimeout)
	for _, a := range actions {
		m.HandleReply(w.now, a.ID(), nil, errNoReply)
	}
	if got := w.order[0].state("d0-001"); got != peer.State_STATE_ALIVE || len(actions) == 0 {
		t.Errorf("state %v after %d failed exchanges, want alive after at least one", got, len(actions))
	}
}

// A record that was missed by all daemons of a data centre is restored by the
// exchange of whole tables.
func TestTableRepair(t *testing.T) {
	w := fleet(2, 5, nil)
	w.run(convergenceTime)
	remote := w.order[1].m
	missing := remote.localPeers()[0]
	if missing.id == remote.representatives("dc1")[0].id || missing.id == remote.representatives("dc1")[1].id {
		missing = remote.localPeers()[1]
	}
	for _, n := range w.order {
		if n.cfg.Self.DataCentre == "dc0" {
			n.m.table.hash ^= missing.hash()
			n.m.table.index = nil
			delete(n.m.table.records, missing.id)
		}
	}
	w.run(convergenceTime)
	w.requireAlive(t, 10)
}

// With one message in ten lost, no member is declared dead.
func TestMessageLoss(t *testing.T) {
	w := fleet(3, 10, nil)
	w.run(convergenceTime)
	rng := rand.New(rand.NewPCG(1, 2))
	w.drop = func() bool { return rng.IntN(10) == 0 }
	for range 120 {
		w.run(time.Second)
		for _, n := range w.order {
			for _, m := range n.m.View().Members() {
				if dead(m.State()) {
					t.Fatalf("%s has declared %s dead", n.cfg.Self.ID, m.ID())
				}
			}
		}
	}
}

// After a random sequence of crashes, restarts, freezes and partitions the
// fleet converges.
func TestRandomFaults(t *testing.T) {
	for seed := range uint64(8) {
		w := fleet(3, 5, nil)
		w.run(convergenceTime)
		rng := rand.New(rand.NewPCG(seed, 1))
		for range 25 {
			n := w.order[rng.IntN(len(w.order))]
			pivot := w.order[rng.IntN(len(w.order))].cfg.Self
			switch rng.IntN(5) {
			case 0:
				n.stopped = true
			case 1:
				n.frozen = !n.stopped
			case 2:
				w.partitioned = func(from, to Identity) bool {
					return (from.DataCentre == pivot.DataCentre) != (to.DataCentre == pivot.DataCentre)
				}
			case 3:
				w.partitioned = func(from, to Identity) bool { return from.ID < pivot.ID && to.ID > pivot.ID }
			case 4:
				w.repair(n)
			}
			w.run(time.Duration(rng.Int64N(int64(10 * time.Second))))
		}
		w.partitioned = func(_, _ Identity) bool { return false }
		for _, n := range w.order {
			w.repair(n)
		}
		w.run(time.Minute)
		w.requireAlive(t, 15)
		for _, n := range w.order {
			if n.m.table.hash != w.order[0].m.table.hash || !n.m.Synced() {
				t.Errorf("seed %d: %s has a different table or is not synced", seed, n.cfg.Self.ID)
			}
		}
	}
}

func TestLeave(t *testing.T) {
	w := fleet(3, 10, nil)
	w.run(convergenceTime)
	n := w.order[4]
	w.send(n, n.m.Leave(w.now))
	w.scheduleTick(n)
	took, ok := w.runUntil(3*time.Second, func(n *node) bool {
		return n.state("d1-001") == peer.State_STATE_LEFT
	})
	if !ok {
		t.Errorf("leave not known by all daemons after %v", took)
	}
	w.run(convergenceTime)
	if got := w.order[0].state("d1-001"); got != peer.State_STATE_LEFT {
		t.Errorf("state %v after a leave, want left", got)
	}
}

// A daemon that can send but cannot be reached is declared dead, and becomes
// alive again when it can be reached.
func TestUnreachableMember(t *testing.T) {
	w := fleet(2, 5, nil)
	w.run(convergenceTime)
	w.unreachableID = "d0-002"
	w.run(convergenceTime)
	for _, n := range w.order {
		if got := n.state("d0-002"); n.cfg.Self.ID != "d0-002" && got != peer.State_STATE_DEAD {
			t.Errorf("%s: state of the unreachable daemon is %v, want dead", n.cfg.Self.ID, got)
		}
	}
	w.unreachableID = ""
	w.run(convergenceTime)
	w.requireAlive(t, 10)
}

func TestFreezeAndWake(t *testing.T) {
	w := fleet(1, 5, nil)
	w.run(convergenceTime)
	n := w.order[2]
	before := n.m.self().incarnation
	n.frozen = true
	w.run(10 * time.Second)
	if got := w.order[0].state("d0-002"); got != peer.State_STATE_DEAD {
		t.Fatalf("state of a frozen daemon is %v, want dead", got)
	}
	w.order[3].stopped = true
	w.run(10 * time.Second)
	w.unfreeze(n)
	if n.m.Synced() {
		t.Error("synced right after a freeze")
	}
	if got := n.m.self().incarnation; got < before+InterruptionStep {
		t.Errorf("incarnation raised by %d by the freeze, want %d at least", got-before, InterruptionStep)
	}
	if got := n.m.Since(); !got.Equal(w.now) {
		t.Errorf("runs without a gap since %v, want the end of the freeze at %v", got, w.now)
	}
	w.run(time.Second)
	if !n.m.Synced() {
		t.Error("not synced after the other daemons have answered")
	}
	if got := n.state("d0-003"); got != peer.State_STATE_DEAD {
		t.Errorf("state of a daemon that died during the freeze is %v, want dead", got)
	}
	w.run(convergenceTime)
	w.requireAlive(t, 4)
}

// TestCutOffDaemon guards against a daemon that keeps its part in the fleet by its view from before a cut from all
// others: it has to tell that it hears from none before they can find it dead.
func TestCutOffDaemon(t *testing.T) {
	w := fleet(2, 5, nil)
	w.run(convergenceTime)
	n := w.order[4]
	id := n.cfg.Self.ID
	cut := w.now
	w.partitioned = func(from, to Identity) bool { return from.ID == id || to.ID == id }
	w.run(DefaultSuspicionTimeout)
	if got := w.order[0].state(id); got == peer.State_STATE_DEAD {
		t.Errorf("dead %v after the last contact, want no sooner than after that", DefaultSuspicionTimeout)
	}
	w.run(6 * time.Second)
	if contact := n.m.LastContact(); contact.After(cut.Add(latency)) {
		t.Errorf("last contact %v after the begin of the cut", contact.Sub(cut))
	}
	if got := w.order[0].state(id); got != peer.State_STATE_DEAD {
		t.Fatalf("state of a daemon that is cut off is %v, want dead", got)
	}
	w.partitioned = func(_, _ Identity) bool { return false }
	healed := w.now
	w.run(convergenceTime)
	if !n.m.LastContact().After(healed) {
		t.Error("no contact after the cut")
	}
	w.requireAlive(t, 10)
}

func TestRevisionAndNoticePropagation(t *testing.T) {
	for _, hosts := range []int{3, 20} {
		w := fleet(5, hosts, nil)
		w.run(convergenceTime)
		w.order[7].m.SetRevision(w.now, 42)
		w.order[7].m.Publish(w.now, newLeavingNotice("t1", 7, w.now.Add(time.Minute).UnixMilli()))
		w.scheduleTick(w.order[7])
		took, ok := w.runUntil(500*time.Millisecond, func(n *node) bool {
			return n.m.View().HighestRevision() == 42 && len(n.m.Notices()) == 1
		})
		if !ok {
			t.Errorf("%d hosts: revision and notice not known by all daemons after %v", hosts, took)
		}
		for _, n := range w.order {
			n.m.SetRevision(w.now, 42)
		}
		took, ok = w.runUntil(5*time.Second, func(n *node) bool {
			return len(n.m.View().LiveWithRevision(42)) == 5*hosts-1
		})
		if !ok {
			t.Errorf("%d hosts: confirmations not known by all daemons after %v", hosts, took)
		}
		w.run(time.Minute)
		if got := w.order[0].m.Notices(); len(got) != 0 {
			t.Errorf("%d notices after their expiry, want 0", len(got))
		}
	}
}

func TestDemands(t *testing.T) {
	w := fleet(3, 3, nil)
	w.run(convergenceTime)
	for _, n := range w.order {
		n.m.SetDemand(w.now, "corrib", 10, 2)
	}
	w.run(15 * time.Second)
	for _, n := range w.order {
		total := 0.0
		for _, d := range n.m.Demands() {
			total += d.GetRate()
		}
		if total != 90 {
			t.Errorf("%s sees a total demand of %v, want 90", n.cfg.Self.ID, total)
		}
	}
	w.run(time.Minute + DefaultDemandTTL)
	if got := w.order[0].m.Demands(); len(got) != 0 {
		t.Errorf("%d demands after their expiry, want 0", len(got))
	}
}

func newLeavingNotice(target string, incarnation uint64, expires int64) *peer.Notice {
	return &peer.Notice{
		Body: &peer.Notice_Leaving{
			Leaving: &peer.Leaving{
				Target:      target,
				Incarnation: incarnation,
				Expires:     expires,
			},
		},
	}
}
