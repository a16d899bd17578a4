package gossiper

import (
	"testing"
	"time"

	"plantaincleat/tier/gen/peer"
)

// If one daemon cannot send to another, indirect probes keep the member from
// being suspected. Without indirect probes it is suspected.
func TestOneWayPartition(t *testing.T) {
	cases := []struct {
		name    string
		proxies int
		suspect bool
	}{
		{
			name:    "indirect probes",
			proxies: DefaultIndirectProbes,
		},
		{
			name:    "no indirect probes",
			proxies: -1,
			suspect: true,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := fleet(1, 5, func(cfg *Config) { cfg.IndirectProbes = c.proxies })
			w.run(convergenceTime)
			w.partitioned = func(from, to Identity) bool { return from.ID == "d0-001" && to.ID == "d0-002" }
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

// A daemon that can reach other data centres, but no member of its own,
// declares no member dead: the indirect probe through a remote data centre
// succeeds.
func TestPartitionWithinDataCentre(t *testing.T) {
	w := fleet(3, 3, nil)
	w.run(convergenceTime)
	w.partitioned = func(from, to Identity) bool {
		return from.DataCentre == "dc1" && to.DataCentre == "dc1" &&
			(from.ID == "d1-001" || to.ID == "d1-001")
	}
	for range 300 {
		w.run(100 * time.Millisecond)
		for _, n := range w.order {
			for _, m := range n.m.View().Members() {
				if m.State() != peer.State_STATE_ALIVE {
					t.Fatalf("%s: state of %s is %v, want alive", n.cfg.Self.ID, m.ID(), m.State())
				}
			}
		}
	}
}

func TestPartitionedDataCentre(t *testing.T) {
	for _, hosts := range []int{3, 20} {
		w := fleet(3, hosts, nil)
		w.run(convergenceTime)
		w.partitioned = func(from, to Identity) bool {
			return (from.DataCentre == "dc2") != (to.DataCentre == "dc2")
		}
		took, ok := w.runUntil(30*time.Second, func(n *node) bool {
			if n.cfg.Self.DataCentre == "dc2" {
				return n.alive() == hosts
			}
			return n.alive() == 2*hosts
		})
		if !ok {
			t.Fatalf("%d hosts: partition not noticed after %v", hosts, took)
		}
		w.run(5 * time.Minute)
		if got := w.order[0].state("d2-001"); got != peer.State_STATE_ALIVE {
			t.Errorf("state of a member in the partitioned data centre is %v: only its own data centre may declare it dead", got)
		}
		w.order[5].stopped = true // d2-001
		w.partitioned = func(_, _ Identity) bool { return false }
		took, ok = w.runUntil(20*time.Second, func(n *node) bool { return n.alive() == 3*hosts-1 })
		if !ok {
			t.Errorf("%d hosts: members missing %v after the end of the partition", hosts, took)
		}
	}
}

// Two of three data centres are partitioned from each other while the third
// reaches both. No member is declared dead, and each of the two counts the
// other as unreachable.
func TestPartialPartition(t *testing.T) {
	w := fleet(3, 5, nil)
	w.run(convergenceTime)
	w.partitioned = func(from, to Identity) bool {
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

// The two halves of a split data centre declare each other dead and merge again
// after the partition.
func TestSplitDataCentreHeals(t *testing.T) {
	w := fleet(1, 6, nil)
	w.run(convergenceTime)
	half := func(i Identity) bool { return i.ID < "d0-003" }
	w.partitioned = func(from, to Identity) bool { return half(from) != half(to) }
	w.run(30 * time.Second)
	w.requireAlive(t, 3)
	w.partitioned = func(_, _ Identity) bool { return false }
	w.run(20 * time.Second)
	w.requireAlive(t, 6)
}

// A daemon that recovers from a freeze during a partition continues alone after
// SuspicionTimeout.
func TestFreezeEndsDuringPartition(t *testing.T) {
	w := fleet(1, 3, nil)
	w.run(convergenceTime)
	n := w.order[1]
	n.frozen = true
	w.run(10 * time.Second)
	w.partitioned = func(from, to Identity) bool { return from.ID == "d0-001" || to.ID == "d0-001" }
	w.unfreeze(n)
	w.run(time.Second)
	if n.m.Synced() {
		t.Error("synced before another daemon has answered")
	}
	w.run(5 * time.Second)
	if !n.m.Synced() {
		t.Error("not synced long after the suspicion timeout")
	}
}
