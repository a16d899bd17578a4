package gossiper

import (
	"testing"
	"time"

	"plantaincleat/tier/gen/peer"
)

// A one-way cut between two daemons must not kill either: others still reach
// both. Without indirect probes it does.
func TestOneWayCut(t *testing.T) {
	cases := []struct {
		name    string
		proxies int
		suspect bool
	}{
		{
			name:    "indirect probes",
			proxies: DefaultProxies,
		},
		{
			name:    "no indirect probes",
			proxies: -1,
			suspect: true,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := fleet(1, 5, func(cfg *Config) { cfg.Proxies = c.proxies })
			w.run(settle)
			w.cut = func(from, to Identity) bool { return from.ID == "d0-001" && to.ID == "d0-002" }
			suspected := false
			for range 300 {
				w.run(100 * time.Millisecond)
				for _, n := range w.order {
					suspected = suspected || n.state("d0-002") != peer.State_STATE_ALIVE
				}
			}
			if suspected != c.suspect {
				t.Errorf("suspected %v, want %v", suspected, c.suspect)
			}
		})
	}
}

// A daemon that has lost all others of its data centre but reaches other data
// centres is vouched for by those.
func TestLostOwnDataCentre(t *testing.T) {
	w := fleet(3, 3, nil)
	w.run(settle)
	w.cut = func(from, to Identity) bool {
		return from.DataCentre == "dc1" && to.DataCentre == "dc1" &&
			(from.ID == "d1-001" || to.ID == "d1-001")
	}
	for range 300 {
		w.run(100 * time.Millisecond)
		for _, n := range w.order {
			for _, m := range n.m.View().Members() {
				if m.State() != peer.State_STATE_ALIVE {
					t.Fatalf("%s takes %s for %v", n.cfg.Self.ID, m.ID(), m.State())
				}
			}
		}
	}
}

func TestCutDataCentre(t *testing.T) {
	for _, hosts := range []int{3, 20} {
		w := fleet(3, hosts, nil)
		w.run(settle)
		w.cut = func(from, to Identity) bool {
			return (from.DataCentre == "dc2") != (to.DataCentre == "dc2")
		}
		took, ok := w.until(30*time.Second, func(n *node) bool {
			if n.cfg.Self.DataCentre == "dc2" {
				return n.alive() == hosts
			}
			return n.alive() == 2*hosts
		})
		if !ok {
			t.Fatalf("%d hosts: cut not known after %v", hosts, took)
		}
		w.run(5 * time.Minute)
		if got := w.order[0].state("d2-001"); got != peer.State_STATE_ALIVE {
			t.Errorf("a cut member is %v: only its own data centre may judge it", got)
		}
		w.order[5].down = true // d2-001
		w.cut = func(_, _ Identity) bool { return false }
		took, ok = w.until(20*time.Second, func(n *node) bool { return n.alive() == 3*hosts-1 })
		if !ok {
			t.Errorf("%d hosts: not whole %v after the cut healed", hosts, took)
		}
	}
}

// Of three data centres two lose each other while the third reaches both.
// Nobody dies by it.
func TestPartialCut(t *testing.T) {
	w := fleet(3, 5, nil)
	w.run(settle)
	w.cut = func(from, to Identity) bool {
		return from.DataCentre != "dc2" && to.DataCentre != "dc2" && from.DataCentre != to.DataCentre
	}
	w.run(30 * time.Second)
	for _, n := range w.order {
		want := 10
		if n.cfg.Self.DataCentre == "dc2" {
			want = 15
		}
		if got := n.alive(); got != want {
			t.Errorf("%s sees %d live members, want %d", n.cfg.Self.ID, got, want)
		}
	}
}

// Both halves of a split data centre declare the other dead and find each
// other again.
func TestSplitHeals(t *testing.T) {
	w := fleet(1, 6, nil)
	w.run(settle)
	half := func(i Identity) bool { return i.ID < "d0-003" }
	w.cut = func(from, to Identity) bool { return half(from) != half(to) }
	w.run(30 * time.Second)
	w.requireAlive(t, 3)
	w.cut = func(_, _ Identity) bool { return false }
	w.run(20 * time.Second)
	w.requireAlive(t, 6)
}

// A daemon that wakes while cut off goes on alone after the suspicion time.
func TestWakeWhileCutOff(t *testing.T) {
	w := fleet(1, 3, nil)
	w.run(settle)
	n := w.order[1]
	n.frozen = true
	w.run(10 * time.Second)
	w.cut = func(from, to Identity) bool { return from.ID == "d0-001" || to.ID == "d0-001" }
	w.thaw(n)
	w.run(time.Second)
	if n.m.Synced() {
		t.Error("awake before anybody has answered")
	}
	w.run(5 * time.Second)
	if !n.m.Synced() {
		t.Error("not awake long after the suspicion time")
	}
}
