package adopter

import (
	"flag"
	"testing"
)

// orders is the number of random orders of events that are played, each with its own seed.
var orders = flag.Int("orders", 300, "random orders of events to play over fleets of machines")

// TestChangeInForceWhicheverDaemonsAreLost guards against a change that daemons in touch with the store act on
// too late, since all who read the store for them have lost power, are frozen or are cut off.
func TestChangeInForceWhicheverDaemonsAreLost(t *testing.T) {
	for seed := range uint64(*orders) {
		f := newSimulatedFleet(seed, 8)
		f.disturb()
		for range 1 + f.rng.IntN(4) {
			f.after(f.between(troubleFrom, troubleUntil), f.change)
		}
		f.play()
		for _, late := range f.late {
			t.Errorf("seed %d: %s", seed, late)
		}
		if t.Failed() {
			t.FailNow()
		}
	}
}

// TestFewDaemonsReadStore guards against calls to the store that grow with the fleet: while nothing is wrong,
// one daemon of each data centre reads it.
func TestFewDaemonsReadStore(t *testing.T) {
	f := newSimulatedFleet(1, 150)
	f.play()
	readers := 0
	for _, d := range f.daemons {
		if d.m.Counters().Looks > 0 {
			t.Errorf("%s looked into the store %d times, nothing was wrong", d.ID, d.m.Counters().Looks)
		}
		if d.reads > 0 {
			readers++
		}
	}
	if readers != 3 {
		t.Errorf("%d of %d daemons read the store, want one of each data centre", readers, len(f.daemons))
	}
}

// TestLooksBoundedWithoutReaders guards against daemons that all go on reading the store once the readers are lost.
// Each looks once, and then leaves it to the few that have taken over. If more are lost than may take over, each looks
// once in TakeoverAfter until gossip has forgotten the lost ones.
func TestLooksBoundedWithoutReaders(t *testing.T) {
	tests := []struct {
		lost  int
		looks uint64
	}{
		{lost: 1, looks: 1},
		{lost: 2, looks: 2},
		{lost: 8, looks: 4},
	}
	for _, test := range tests {
		f := newSimulatedFleet(1, 150)
		dark := start.Add(troubleFrom)
		for _, d := range f.daemons {
			if d.m.fleet.rank < test.lost {
				d.dark = span{
					from:  dark,
					until: start.Add(2 * orderLength),
				}
				f.forget(d, dark)
			}
		}
		f.play()
		readers := map[string]int{}
		for _, d := range f.daemons {
			if d.dark.holds(f.now) {
				continue
			}
			if looks := d.m.Counters().Looks; looks > test.looks {
				t.Errorf("%d lost in each data centre: %s of rank %d has looked %d times, at most %d wanted", test.lost, d.ID, d.m.fleet.rank, looks, test.looks)
			}
			if d.m.Reader(f.now) {
				readers[d.DataCentre]++
			}
		}
		for datacentre, n := range readers {
			if n > 1+takeoverRanks {
				t.Errorf("%d lost in each data centre: %d readers in %s, want %d at most", test.lost, n, datacentre, 1+takeoverRanks)
			}
		}
	}
}
