package gossiper

import (
	"math/rand/v2"
	"testing"
	"time"

	"plantaincleat/tier/gen/peer"
)

// settle is enough for a fleet of the tests' sizes to find itself.
const settle = 15 * time.Second

func TestFleetLearnsAll(t *testing.T) {
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
			w.run(settle)
			w.requireAlive(t, c.dcs*c.hosts)
			for _, n := range w.order {
				if !n.m.Synced() {
					t.Errorf("%s is not awake", n.cfg.Self.ID)
				}
			}
		})
	}
}

func TestDeadAndRestarted(t *testing.T) {
	for _, hosts := range []int{3, 30} {
		w := fleet(3, hosts, nil)
		w.run(settle)
		victim := w.order[4]
		victim.down = true
		took, ok := w.until(time.Minute, func(n *node) bool { return dead(n.state("d1-001")) })
		if !ok {
			t.Fatalf("%d hosts: death not known everywhere after %v", hosts, took)
		}
		w.run(time.Second)
		w.requireAlive(t, 3*hosts-1)
		before, _ := w.order[0].m.View().Lookup("d1-001")
		w.start(victim.cfg)
		took, ok = w.until(settle, func(n *node) bool {
			m, _ := n.m.View().Lookup("d1-001")
			return m.Live() && m.Incarnation() > before.Incarnation()
		})
		if !ok {
			t.Errorf("%d hosts: restart not known everywhere after %v", hosts, took)
		}
	}
}

func TestRestartWithClockBehind(t *testing.T) {
	w := fleet(1, 3, nil)
	w.run(settle)
	n := w.order[1]
	late := w.now
	w.now = late.Add(-time.Hour)
	w.start(n.cfg)
	w.now = late
	w.run(settle)
	w.requireAlive(t, 3)
	if got := n.m.self().incarnation; got < uint64(late.Add(-time.Minute).UnixMilli()) {
		t.Errorf("incarnation %d is not above the one before the restart", got)
	}
}

// Another daemon at the address of a dead one does not keep it alive.
func TestReplacedAtSameAddress(t *testing.T) {
	w := fleet(1, 4, nil)
	w.run(settle)
	cfg := w.order[2].cfg
	cfg.Self.ID = "d0-new"
	w.start(cfg)
	w.run(settle)
	if got := w.order[0].state("d0-002"); got != peer.State_STATE_DEAD {
		t.Errorf("the replaced daemon is %v", got)
	}
	w.requireAlive(t, 4)
}

// An exchange that failed during a freeze says nothing about the other end.
func TestCallBeforeFreeze(t *testing.T) {
	w := fleet(1, 2, nil)
	w.run(settle)
	m := w.order[0].m
	w.now = m.Next()
	actions := m.Tick(w.now)
	w.now = w.now.Add(DefaultSuspicion)
	for _, a := range actions {
		m.Done(w.now, a.ID(), nil, errLost)
	}
	if got := w.order[0].state("d0-001"); got != peer.State_STATE_ALIVE || len(actions) == 0 {
		t.Errorf("state %v after %d exchanges", got, len(actions))
	}
}

// A record that the rumour has missed comes with the repair of tables.
func TestMissedRumour(t *testing.T) {
	w := fleet(2, 5, nil)
	w.run(settle)
	far := w.order[1].m
	lost := far.neighbours()[0]
	if lost.id == far.delegates("dc1")[0].id || lost.id == far.delegates("dc1")[1].id {
		lost = far.neighbours()[1]
	}
	for _, n := range w.order {
		if n.cfg.Self.DataCentre == "dc0" {
			n.m.table.hash ^= lost.hash()
			n.m.table.index = nil
			delete(n.m.table.records, lost.id)
		}
	}
	w.run(settle)
	w.requireAlive(t, 10)
}

// One message in ten is lost, and nobody dies by it.
func TestLoss(t *testing.T) {
	w := fleet(3, 10, nil)
	w.run(settle)
	rng := rand.New(rand.NewPCG(1, 2))
	w.lose = func() bool { return rng.IntN(10) == 0 }
	for range 120 {
		w.run(time.Second)
		for _, n := range w.order {
			for _, m := range n.m.View().Members() {
				if dead(m.State()) {
					t.Fatalf("%s takes %s for dead", n.cfg.Self.ID, m.ID())
				}
			}
		}
	}
}

// After any sequence of crashes, restarts, freezes and cuts the fleet finds
// itself whole.
func TestRandomFaults(t *testing.T) {
	for seed := range uint64(8) {
		w := fleet(3, 5, nil)
		w.run(settle)
		rng := rand.New(rand.NewPCG(seed, 1))
		for range 25 {
			n := w.order[rng.IntN(len(w.order))]
			island := w.order[rng.IntN(len(w.order))].cfg.Self
			switch rng.IntN(5) {
			case 0:
				n.down = true
			case 1:
				n.frozen = !n.down
			case 2:
				w.cut = func(from, to Identity) bool {
					return (from.DataCentre == island.DataCentre) != (to.DataCentre == island.DataCentre)
				}
			case 3:
				w.cut = func(from, to Identity) bool { return from.ID < island.ID && to.ID > island.ID }
			case 4:
				w.mend(n)
			}
			w.run(time.Duration(rng.Int64N(int64(10 * time.Second))))
		}
		w.cut = func(_, _ Identity) bool { return false }
		for _, n := range w.order {
			w.mend(n)
		}
		w.run(time.Minute)
		w.requireAlive(t, 15)
		for _, n := range w.order {
			if n.m.table.hash != w.order[0].m.table.hash || !n.m.Synced() {
				t.Errorf("seed %d: %s has another table or is not awake", seed, n.cfg.Self.ID)
			}
		}
	}
}

func TestLeave(t *testing.T) {
	w := fleet(3, 10, nil)
	w.run(settle)
	n := w.order[4]
	w.send(n, n.m.Leave(w.now))
	w.arm(n)
	took, ok := w.until(3*time.Second, func(n *node) bool {
		return n.state("d1-001") == peer.State_STATE_LEFT
	})
	if !ok {
		t.Errorf("leave not known everywhere after %v", took)
	}
	w.run(settle)
	if got := w.order[0].state("d1-001"); got != peer.State_STATE_LEFT {
		t.Errorf("state %v after a leave", got)
	}
}

// A daemon that nobody reaches is declared dead although it still sends, and
// comes back when it can be reached.
func TestDeaf(t *testing.T) {
	w := fleet(2, 5, nil)
	w.run(settle)
	w.deaf = "d0-002"
	w.run(settle)
	for _, n := range w.order {
		if got := n.state("d0-002"); n.cfg.Self.ID != "d0-002" && got != peer.State_STATE_DEAD {
			t.Errorf("%s takes the deaf daemon for %v", n.cfg.Self.ID, got)
		}
	}
	w.deaf = ""
	w.run(settle)
	w.requireAlive(t, 10)
}

func TestFreezeAndWake(t *testing.T) {
	w := fleet(1, 5, nil)
	w.run(settle)
	n := w.order[2]
	before := n.m.self().incarnation
	n.frozen = true
	w.run(10 * time.Second)
	if got := w.order[0].state("d0-002"); got != peer.State_STATE_DEAD {
		t.Fatalf("state of a frozen daemon is %v", got)
	}
	w.order[3].down = true
	w.run(10 * time.Second)
	w.thaw(n)
	if n.m.Synced() {
		t.Error("awake right after a freeze")
	}
	if n.m.self().incarnation <= before {
		t.Error("incarnation not raised by the freeze")
	}
	w.run(time.Second)
	if !n.m.Synced() {
		t.Error("not awake after the others have answered")
	}
	if got := n.state("d0-003"); got != peer.State_STATE_DEAD {
		t.Errorf("death during the freeze not known: %v", got)
	}
	w.run(settle)
	w.requireAlive(t, 4)
}

func TestRevisionAndNoticeReachAll(t *testing.T) {
	for _, hosts := range []int{3, 20} {
		w := fleet(5, hosts, nil)
		w.run(settle)
		w.order[7].m.SetRevision(w.now, 42)
		w.order[7].m.Publish(w.now, leaving("t1", 7, w.now.Add(time.Minute).UnixMilli()))
		w.arm(w.order[7])
		took, ok := w.until(500*time.Millisecond, func(n *node) bool {
			return n.m.View().Mark() == 42 && len(n.m.Notices()) == 1
		})
		if !ok {
			t.Errorf("%d hosts: not known everywhere after %v", hosts, took)
		}
		for _, n := range w.order {
			n.m.SetRevision(w.now, 42)
		}
		took, ok = w.until(5*time.Second, func(n *node) bool {
			return len(n.m.View().Holders(42)) == 5*hosts-1
		})
		if !ok {
			t.Errorf("%d hosts: confirmations not known everywhere after %v", hosts, took)
		}
		w.run(time.Minute)
		if got := w.order[0].m.Notices(); len(got) != 0 {
			t.Errorf("%d notices after their expiry", len(got))
		}
	}
}

func TestDemands(t *testing.T) {
	w := fleet(3, 3, nil)
	w.run(settle)
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
			t.Errorf("%s sees a demand of %v, want 90", n.cfg.Self.ID, total)
		}
	}
	w.run(time.Minute + DefaultExpiry)
	if got := w.order[0].m.Demands(); len(got) != 0 {
		t.Errorf("%d demands after their expiry", len(got))
	}
}

func leaving(target string, incarnation uint64, expires int64) *peer.Notice {
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
