package adopter

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"plantaincleat/tier/pkg/storer"
)

// scenario runs f on a network with simulated time.
func scenario(t *testing.T, f func(n *network)) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(t)
		defer n.stopAll()
		f(n)
		synctest.Wait()
	})
}

func advance(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

var allDataCentres = []string{"wlg", "akl", "chc"}

// A change reaches all daemons. The number of calls to the store does not grow
// with the number of daemons.
func TestChangePropagation(t *testing.T) {
	for _, perDataCentre := range []int{2, 10, 40} {
		t.Run(fmt.Sprintf("daemons=%d", 3*perDataCentre), func(t *testing.T) {
			scenario(t, func(n *network) {
				n.startFleet(perDataCentre)
				advance(2 * time.Second)
				n.expectRevision(0, allDataCentres...)
				before := n.store.Counts()
				n.propose("a")
				advance(2 * time.Second)
				n.expectRevision(1, allDataCentres...)
				advance(8 * time.Second)
				n.expectStale("wlg", 0, 4*time.Second)
				// The six readers check once a second and read the change once.
				// The proposal itself takes three reads.
				if reads := n.store.Counts().Reads - before.Reads; reads > 6*11+6+3 {
					t.Errorf("reads = %d, want at most 75", reads)
				}
				if watches := n.store.Counts().Watches; watches != 6 {
					t.Errorf("watches = %d, want 6", watches)
				}
			})
		})
	}
}

// TestRestartOfAllDaemons answers the return of all daemons from a loss of power: one that
// hears of no other has the configuration as soon as it may read it. Until then it refuses
// its callers.
func TestRestartOfAllDaemons(t *testing.T) {
	scenario(t, func(n *network) {
		n.propose("a")
		n.startDelay, n.silent = 300*time.Millisecond, true
		n.start("wlg", 0)
		advance(n.startDelay - time.Millisecond)
		n.expectRevision(0, "wlg")
		advance(50 * time.Millisecond)
		n.expectRevision(1, "wlg")
	})
}

func TestWatchRestart(t *testing.T) {
	scenario(t, func(n *network) {
		n.startFleet(3)
		advance(2 * time.Second)
		n.store.SetUnavailable(true)
		n.store.SetUnavailable(false)
		n.propose("a")
		n.store.Compact()
		advance(3 * time.Second)
		n.expectRevision(1, allDataCentres...)
		n.propose("b")
		advance(2 * time.Second)
		n.expectRevision(2, allDataCentres...)
	})
}

func TestStaleReads(t *testing.T) {
	scenario(t, func(n *network) {
		n.startFleet(3)
		n.propose("a")
		advance(2 * time.Second)
		n.store.SetStale(true)
		advance(3 * time.Second)
		n.store.SetStale(false)
		n.propose("b")
		advance(2 * time.Second)
		n.expectRevision(2, allDataCentres...)
		// From here on a replica of the store that lags behind answers.
		n.setStaleStore(&storer.Memory{})
		advance(5 * time.Second)
		n.expectRevision(2, allDataCentres...)
		n.expectStale("akl", 4*time.Second, 7*time.Second)
	})
}

func TestOutageAndRestart(t *testing.T) {
	scenario(t, func(n *network) {
		n.startFleet(3)
		n.propose("a")
		advance(2 * time.Second)
		n.store.SetUnavailable(true)
		advance(time.Minute)
		n.expectStale("chc", time.Minute, 65*time.Second)
		// All daemons of a data centre are replaced during the outage.
		for i := range 3 {
			n.daemons[fmt.Sprintf("wlg%d", i)].stop()
			n.start("wlg", i)
		}
		advance(2 * time.Second)
		n.expectRevision(1, allDataCentres...)
		n.expectStale("wlg", time.Minute, 70*time.Second)
		n.store.SetUnavailable(false)
		advance(3 * time.Second)
		n.expectStale("wlg", 0, 3*time.Second)
	})
}

func TestOutageWithoutPeers(t *testing.T) {
	scenario(t, func(n *network) {
		n.store.SetUnavailable(true)
		d := n.start("wlg", 0)
		advance(time.Minute)
		if d.Current() != nil {
			t.Error("a daemon without peers has a configuration during an outage")
		}
		if _, ok := d.Staleness(); ok {
			t.Error("a daemon without a configuration reports a staleness")
		}
	})
}

func TestStoreUnreachableFromDataCentre(t *testing.T) {
	scenario(t, func(n *network) {
		n.startFleet(3)
		n.propose("a")
		advance(2 * time.Second)
		n.isolate("wlg", false)
		n.propose("b")
		advance(3 * time.Second)
		n.expectRevision(2, allDataCentres...)
		advance(10 * time.Second)
		n.expectStale("wlg", 0, 8*time.Second)
	})
}

func TestPartitionedDataCentre(t *testing.T) {
	scenario(t, func(n *network) {
		n.startFleet(3)
		n.propose("a")
		advance(2 * time.Second)
		n.isolate("wlg", true)
		n.propose("b")
		advance(30 * time.Second)
		n.expectRevision(1, "wlg")
		n.expectRevision(2, "akl", "chc")
		n.expectStale("wlg", 29*time.Second, 35*time.Second)
		n.heal()
		advance(3 * time.Second)
		n.expectRevision(2, allDataCentres...)
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
			t.Errorf("revision = %d, want 1", got)
		}
	})
}
