package adopter

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"plantaincleat/tier/pkg/storer"
)

// scenario runs f in a bubble with its own clock.
func scenario(t *testing.T, f func(n *network)) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(t)
		defer n.stopAll()
		f(n)
		synctest.Wait()
	})
}

func pass(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

var all = []string{"wlg", "akl", "chc"}

// TestChangeReachesAll also checks that the calls to the store do not grow
// with the fleet.
func TestChangeReachesAll(t *testing.T) {
	for _, each := range []int{2, 10, 40} {
		t.Run(fmt.Sprintf("daemons=%d", 3*each), func(t *testing.T) {
			scenario(t, func(n *network) {
				n.fleet(each)
				pass(2 * time.Second)
				n.expect(0, all...)
				before := n.store.Counts()
				n.propose("a")
				pass(2 * time.Second)
				n.expect(1, all...)
				pass(8 * time.Second)
				n.expectStale("wlg", 0, 4*time.Second)
				// Six readers check once a second and read the change once. The
				// proposal itself reads three times.
				if reads := n.store.Counts().Reads - before.Reads; reads > 6*11+6+3 {
					t.Errorf("reads = %d", reads)
				}
				if watches := n.store.Counts().Watches; watches != 6 {
					t.Errorf("watches = %d", watches)
				}
			})
		})
	}
}

func TestLostWatch(t *testing.T) {
	scenario(t, func(n *network) {
		n.fleet(3)
		pass(2 * time.Second)
		n.store.SetUnavailable(true)
		n.store.SetUnavailable(false)
		n.propose("a")
		n.store.Compact()
		pass(3 * time.Second)
		n.expect(1, all...)
		n.propose("b")
		pass(2 * time.Second)
		n.expect(2, all...)
	})
}

func TestStaleReads(t *testing.T) {
	scenario(t, func(n *network) {
		n.fleet(3)
		n.propose("a")
		pass(2 * time.Second)
		n.store.SetStale(true)
		pass(3 * time.Second)
		n.store.SetStale(false)
		n.propose("b")
		pass(2 * time.Second)
		n.expect(2, all...)
		// A replica of the store that is behind answers from now on.
		n.setOld(&storer.Memory{})
		pass(5 * time.Second)
		n.expect(2, all...)
		n.expectStale("akl", 4*time.Second, 7*time.Second)
	})
}

func TestOutageAndRestart(t *testing.T) {
	scenario(t, func(n *network) {
		n.fleet(3)
		n.propose("a")
		pass(2 * time.Second)
		n.store.SetUnavailable(true)
		pass(time.Minute)
		n.expectStale("chc", time.Minute, 65*time.Second)
		// All daemons of a data centre are replaced during the outage.
		for i := range 3 {
			n.daemons[fmt.Sprintf("wlg%d", i)].stop()
			n.start("wlg", i)
		}
		pass(2 * time.Second)
		n.expect(1, all...)
		n.expectStale("wlg", time.Minute, 70*time.Second)
		n.store.SetUnavailable(false)
		pass(3 * time.Second)
		n.expectStale("wlg", 0, 3*time.Second)
	})
}

func TestOutageWithoutPeers(t *testing.T) {
	scenario(t, func(n *network) {
		n.store.SetUnavailable(true)
		d := n.start("wlg", 0)
		pass(time.Minute)
		if d.Current() != nil {
			t.Error("a daemon without peers has a configuration during an outage")
		}
		if _, ok := d.Staleness(); ok {
			t.Error("it states a staleness")
		}
	})
}

func TestStoreCutFromOneDataCentre(t *testing.T) {
	scenario(t, func(n *network) {
		n.fleet(3)
		n.propose("a")
		pass(2 * time.Second)
		n.isolate("wlg", false)
		n.propose("b")
		pass(3 * time.Second)
		n.expect(2, all...)
		pass(10 * time.Second)
		n.expectStale("wlg", 0, 8*time.Second)
	})
}

func TestCutDataCentre(t *testing.T) {
	scenario(t, func(n *network) {
		n.fleet(3)
		n.propose("a")
		pass(2 * time.Second)
		n.isolate("wlg", true)
		n.propose("b")
		pass(30 * time.Second)
		n.expect(1, "wlg")
		n.expect(2, "akl", "chc")
		n.expectStale("wlg", 29*time.Second, 35*time.Second)
		n.heal()
		pass(3 * time.Second)
		n.expect(2, all...)
	})
}

func TestSubscribe(t *testing.T) {
	scenario(t, func(n *network) {
		d := n.start("wlg", 0)
		changes, unsubscribe := d.Runner.Subscribe()
		defer unsubscribe()
		n.propose("a")
		<-changes
		if got := d.Current().GetHead().GetRevision(); got != 1 {
			t.Errorf("revision = %d", got)
		}
	})
}
