package quarantiner

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"plantaincleat/tier/gen/peer"
)

var start = time.UnixMilli(1_700_000_000_000)

// request is a request to one shard in the simulation.
type request struct {
	fingerprint uint64
	shard       int
	crashes     bool
	target      int
	attempt     Attempt
	notice      *peer.Quarantine
	ticksLeft   int
	denied      bool
	done        bool
}

// fleet simulates daemons and targets. Each shard has replicas on three
// consecutive targets. The targets are divided among the daemons.
type fleet struct {
	daemons  []*Quarantiner
	now      time.Time
	down     []int
	requests []*request
	crashes  int
}

func (f *fleet) daemon(i int) *Quarantiner {
	return f.daemons[i%len(f.daemons)]
}

func (f *fleet) target(i int) *Target {
	return f.daemon(i).Target(fmt.Sprint("target", i))
}

// gossip merges the notices of each daemon into all others.
func (f *fleet) gossip() {
	for _, from := range f.daemons {
		for _, n := range from.Notices(f.now) {
			for _, to := range f.daemons {
				to.Merge(f.now, n)
			}
		}
	}
}

// tick advances the time by a millisecond, starts waiting requests and executes
// the running ones.
func (f *fleet) tick() {
	f.now = f.now.Add(time.Millisecond)
	for i := range f.down {
		f.down[i] = max(f.down[i]-1, 0)
	}
	for _, r := range f.requests {
		switch {
		case r.done || r.denied:
		case r.target < 0:
			f.assign(r)
		case r.ticksLeft > 0:
			r.ticksLeft--
		case r.crashes:
			f.crash(r.target)
		default:
			f.target(r.target).End(r.attempt, true)
			r.done = true
		}
	}
}

// assign starts a waiting request on a replica of its shard, if one allows it.
func (f *fleet) assign(r *request) {
	for k := range 3 {
		i := (r.shard + k) % len(f.down)
		if f.down[i] > 0 {
			continue
		}
		if r.notice != nil {
			f.daemon(i).Merge(f.now, r.notice)
		}
		attempt, decision := f.target(i).Begin(f.now, r.fingerprint, "corrib", fmt.Sprint(r.shard))
		switch decision {
		case Denied:
			r.denied = true
			return
		case Allowed:
			r.attempt, r.target = attempt, i
			return
		}
	}
}

// crash loses a target with all requests that run on it.
func (f *fleet) crash(i int) {
	f.crashes++
	f.down[i] = 20
	for _, r := range f.requests {
		if r.target == i && !r.done {
			f.target(i).RecordLoss(f.now, r.attempt)
		}
	}
	for _, r := range f.requests {
		if r.target == i && !r.done {
			f.target(i).End(r.attempt, false)
			r.notice = f.daemon(i).Notice(f.now, r.fingerprint)
			r.target = -1
			r.ticksLeft = 3
		}
	}
}

func TestCrashingRequestsQuarantinedOthersComplete(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &fleet{
			now:  start,
			down: make([]int, rapid.IntRange(4, 8).Draw(t, "targets")),
		}
		for range rapid.IntRange(1, 3).Draw(t, "daemons") {
			f.daemons = append(f.daemons, New(Settings{}))
		}
		interval := rapid.SampledFrom([]int{1, 50, 200}).Draw(t, "interval")
		crashing := rapid.IntRange(1, 2).Draw(t, "crashing")
		gap := rapid.SampledFrom([]int{0, 1, 60}).Draw(t, "gap")
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		next := uint64(100)
		for tick := range 3000 {
			for n := range crashing {
				if tick == 10+n*gap {
					f.requests = append(f.requests, &request{
						fingerprint: uint64(n + 1),
						shard:       random.IntN(len(f.down)),
						crashes:     true,
						target:      -1,
						ticksLeft:   random.IntN(4),
					})
				}
			}
			if tick < 200 && random.IntN(3) > 0 {
				next++
				f.requests = append(f.requests, &request{
					fingerprint: []uint64{next, 50, 51}[random.IntN(3)],
					shard:       random.IntN(len(f.down)),
					target:      -1,
					ticksLeft:   1 + random.IntN(8),
				})
			}
			f.tick()
			if tick%interval == 0 {
				f.gossip()
			}
		}
		if f.crashes > 2*crashing {
			t.Fatalf("%d crashes by %d crashing requests", f.crashes, crashing)
		}
		for _, r := range f.requests {
			if r.crashes && !r.denied || !r.crashes && !r.done {
				t.Fatalf("a crashing request was not denied or another one not completed: %+v", *r)
			}
		}
		for _, q := range f.daemons {
			if got := len(q.List(f.now)); got != crashing {
				t.Fatalf("%d requests quarantined, want %d", got, crashing)
			}
		}
	})
}

// All targets are lost within a lossWindow, some before and some after a
// suspected request has run alone. Nothing is quarantined.
func TestMassLossQuarantinesNothing(t *testing.T) {
	q := New(Settings{})
	a, b := q.Target("a"), q.Target("b")
	crash(a, start)
	if _, v := a.Begin(start, 7, "corrib", "s"); v != Avoid {
		t.Errorf("decision %v on the suspected target, want Avoid", v)
	}
	if v := crash(b, start); v != Allowed {
		t.Fatalf("decision %v on another target, want Allowed", v)
	}
	for i := range 3 {
		other := q.Target(fmt.Sprint(i))
		attempt, _ := other.Begin(start, uint64(100+i), "corrib", "s")
		other.RecordLoss(start.Add(100*time.Millisecond), attempt)
	}
	during := start.Add(200 * time.Millisecond)
	if _, v := q.Target("c").Begin(during, 7, "corrib", "s"); v != Denied {
		t.Errorf("decision %v during the losses, want Denied", v)
	}
	other := New(Settings{})
	other.Merge(during, q.Notice(during, 7))
	later := start.Add(time.Second)
	attempt, v := q.Target("c").Begin(later, 7, "corrib", "s")
	if v != Allowed || len(q.List(later)) > 0 {
		t.Fatalf("decision %v after the losses, want Allowed; quarantined %v", v, q.List(later))
	}
	other.Merge(later, q.Notice(later, 7))
	if p := other.Plan(later, 7); p.Mode != Canary {
		t.Errorf("plan of the other daemon: %+v, want mode Canary", p)
	}
	q.Target("c").End(attempt, true)
	if q.Suspected(later, 7) {
		t.Error("a request is still suspected after it has completed")
	}
}

// crash starts fingerprint 7 on a target and loses the target.
func crash(t *Target, now time.Time) Decision {
	attempt, decision := t.Begin(now, 7, "corrib", "s")
	if decision == Allowed {
		t.RecordLoss(now, attempt)
	}
	return decision
}

func TestLossCountedOnce(t *testing.T) {
	q := New(Settings{})
	a := q.Target("a")
	attempt, _ := a.Begin(start, 7, "corrib", "s")
	other, _ := a.Begin(start, 8, "corrib", "s")
	a.RecordLoss(start, attempt)
	next, v := a.Begin(start, 9, "corrib", "s")
	a.RecordLoss(start, other)
	a.End(other, true)
	if v != Allowed || !q.Suspected(start, 7) || !q.Suspected(start, 8) || q.Suspected(start, 9) {
		t.Error("only the requests in flight at the loss must be suspected")
	}
	a.End(next, true)
	if len(a.attempts) > 0 {
		t.Errorf("attempts still in flight: %v", a.attempts)
	}
}

// newQuarantined returns a Quarantiner that has quarantined fingerprint 7.
func newQuarantined(now time.Time) *Quarantiner {
	q := New(Settings{})
	for _, id := range []string{"a", "b"} {
		crash(q.Target(id), now)
	}
	return q
}

func TestPlan(t *testing.T) {
	now := start
	q := New(Settings{
		Canary: true,
	})
	if p := q.Plan(now, 7); p.Mode != Canary || p.Suspected {
		t.Errorf("plan of a first request: %+v", p)
	}
	q.RecordCompletion(7)
	if p := q.Plan(now, 7); p.Mode != Unrestricted {
		t.Errorf("plan of a request that has completed: %+v", p)
	}
	crash(q.Target("a"), now)
	if p := q.Plan(now, 7); p.Mode != Canary || p.Shard != "s" || !p.Suspected {
		t.Errorf("plan of a suspected request: %+v", p)
	}
	crash(q.Target("b"), now)
	if p := q.Plan(now, 7); p.Mode != Refused || !p.Expires.Equal(now.Add(lossWindow)) {
		t.Errorf("plan of a pending request: %+v", p)
	}
	now = now.Add(lossWindow)
	if p := q.Plan(now, 7); p.Mode != Refused || !p.Expires.Equal(start.Add(DefaultPeriod)) {
		t.Errorf("plan of a quarantined request: %+v", p)
	}
	if p := q.Plan(start.Add(DefaultPeriod), 7); p.Mode != Unrestricted {
		t.Errorf("plan after the quarantine period: %+v", p)
	}
}

func TestSuspicionLimitedToShard(t *testing.T) {
	q := New(Settings{})
	crash(q.Target("a"), start)
	cases := []struct {
		target, shard string
		want          Decision
		suspected     bool
	}{
		{target: "b", shard: "u", want: Allowed, suspected: true},
		{target: "busy", shard: "v", want: Allowed, suspected: true},
		{target: "busy", shard: "s", want: Busy, suspected: true},
		{target: "a", shard: "s", want: Avoid, suspected: true},
		{target: "c", shard: "s", want: Allowed, suspected: false},
		{target: "a", shard: "s", want: Allowed, suspected: false},
	}
	q.Target("busy").Begin(start, 1000, "corrib", "v")
	for _, c := range cases {
		attempt, v := q.Target(c.target).Begin(start, 7, "corrib", c.shard)
		if v != c.want {
			t.Errorf("shard %s on target %s: decision %v, want %v", c.shard, c.target, v, c.want)
		}
		if v == Allowed {
			q.Target(c.target).End(attempt, true)
		}
		if got := q.Suspected(start, 7); got != c.suspected {
			t.Errorf("after shard %s on target %s: suspected %v", c.shard, c.target, got)
		}
	}
}
