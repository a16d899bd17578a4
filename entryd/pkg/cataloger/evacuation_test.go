package cataloger

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"plantaincleat/tier/gen/config"
)

// evacuating returns a configuration with a target in each of three data centres, of which
// some are evacuated.
func evacuating(revision uint64, evacuated ...string) *config.Accepted {
	var targets []*config.Target
	for _, dc := range []string{"dc-1", "dc-2", "dc-3"} {
		t := target(dc, "p", false)
		t.Datacentre = dc
		targets = append(targets, t)
	}
	out := accepted(revision, targets...)
	out.Config.Policy = &config.Policy{}
	for _, dc := range evacuated {
		out.Config.Policy.Evacuations = append(out.Config.Policy.Evacuations, &config.Evacuation{
			Datacentre: dc,
			Revision:   int64(revision),
		})
	}
	return out
}

// open returns the data centres of the targets that may get requests.
func open(c *Catalog, now time.Time) map[string]bool {
	out := make(map[string]bool)
	for _, r := range c.Pool("p").Replicas() {
		if !r.Unavailable(now) {
			out[r.DataCentre()] = true
		}
	}
	return out
}

// TestEvacuationOfDataCentreAtPeak guards against requests that are sent to a data centre
// after its evacuation because they were waiting for a connection or hold an older catalog,
// and against the loss of those in flight.
func TestEvacuationOfDataCentreAtPeak(t *testing.T) {
	clock := clockwork.NewFakeClock()
	c := newCataloger(clock)
	c.Adopt(evacuating(1))
	before := c.Catalog()
	evacuated := before.Pool("p").Replicas()[0]
	for range 30 {
		if !evacuated.State().Enter(clock.Now()) {
			t.Fatal("no request before the evacuation")
		}
	}
	c.Adopt(evacuating(2, "dc-1"))
	if got := open(c.Catalog(), clock.Now()); got["dc-1"] || !got["dc-2"] || !got["dc-3"] {
		t.Errorf("data centres that may get requests: %v", got)
	}
	if evacuated.State().Enter(clock.Now()) || open(before, clock.Now())["dc-1"] {
		t.Error("a request that was waiting is sent to the evacuated data centre")
	}
	list := c.Catalog().Evacuations()
	if len(list) != 1 || list[0].DataCentre != "dc-1" || list[0].Revision != 2 || list[0].Targets != 1 || list[0].Running != 30 {
		t.Errorf("evacuations %+v, want dc-1 with 30 requests", list)
	}
	for range 30 {
		evacuated.State().Exit(clock.Now(), true)
	}
	clock.Advance(time.Minute)
	c.Adopt(evacuating(3, "dc-1"))
	if list := c.Catalog().Evacuations(); list[0].Running != 0 || !list[0].Since.Equal(clock.Now().Add(-time.Minute)) {
		t.Errorf("evacuations %+v, want dc-1 for a minute without requests", list)
	}
}

// TestReturnFromEvacuationBySteps guards against a wave of requests to a data centre that is
// taken back: its targets get one request at first, and more with each answer.
func TestReturnFromEvacuationBySteps(t *testing.T) {
	clock := clockwork.NewFakeClock()
	c := newCataloger(clock)
	c.Adopt(evacuating(1, "dc-1"))
	c.Adopt(evacuating(2))
	r := c.Catalog().Pool("p").Replicas()[0]
	if r.Unavailable(clock.Now()) || len(c.Catalog().Evacuations()) != 0 {
		t.Fatal("data centre is still evacuated")
	}
	for _, want := range []int{1, 2, 4, 8, 50} {
		entered := 0
		for entered < 50 && r.State().Enter(clock.Now()) {
			entered++
		}
		if entered != want {
			t.Errorf("%d requests at once, want %d", entered, want)
		}
		r.State().Exit(clock.Now(), true)
		for range entered - 1 {
			r.State().Exit(clock.Now(), false)
		}
	}
}

// TestOlderConfigurationLiftsNoEvacuation guards against an evacuation that ends because a
// configuration from before it arrives late, and against one that spares new targets.
func TestOlderConfigurationLiftsNoEvacuation(t *testing.T) {
	clock := clockwork.NewFakeClock()
	c := newCataloger(clock)
	c.Adopt(evacuating(5, "dc-1"))
	c.Adopt(evacuating(4))
	if open(c.Catalog(), clock.Now())["dc-1"] {
		t.Error("evacuation was lifted by an older configuration")
	}
	next := evacuating(6, "dc-1")
	next.Config.Targets[0].Started = 7
	c.Adopt(next)
	if open(c.Catalog(), clock.Now())["dc-1"] {
		t.Error("a target that has restarted gets requests")
	}
}

// TestNothingLeftBesideEvacuations covers pools whose last targets are evacuated.
func TestNothingLeftBesideEvacuations(t *testing.T) {
	tests := []struct {
		name      string
		evacuated []string
		draining  []string
		want      bool
	}{
		{name: "one left", evacuated: []string{"dc-1", "dc-2"}},
		{name: "all evacuated", evacuated: []string{"dc-1", "dc-2", "dc-3"}, want: true},
		{name: "last one drains", evacuated: []string{"dc-1", "dc-2"}, draining: []string{"dc-3"}, want: true},
		{name: "all drain", draining: []string{"dc-1", "dc-2", "dc-3"}},
		{name: "unknown data centre", evacuated: []string{"elsewhere"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			c := newCataloger(clock)
			a := evacuating(1, test.evacuated...)
			for _, one := range a.Config.Targets {
				for _, dc := range test.draining {
					one.Leaving = one.Leaving || one.Datacentre == dc
				}
			}
			c.Adopt(a)
			w := c.Catalog().Pool("p").Withheld(clock.Now())
			if w.Evacuated != test.want || w.Until.IsZero() == test.want {
				t.Errorf("withholding %+v, want evacuated %v", w, test.want)
			}
		})
	}
}
