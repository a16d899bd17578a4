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

// request is a caller's request to one shard in the simulation.
type request struct {
	fingerprint uint64
	shard       int
	poison      bool
	target      int
	run         Attempt
	notice      *peer.Quarantine
	left        int
	denied      bool
	done        bool
}

// fleet simulates daemons over targets, each shard on a target and the next two
// ones. The targets are divided among the daemons.
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

// gossip gives each daemon the notices of the others.
func (f *fleet) gossip() {
	for _, from := range f.daemons {
		for _, n := range from.Notices(f.now) {
			for _, to := range f.daemons {
				to.Merge(f.now, n)
			}
		}
	}
}

// tick advances by a millisecond: places waiting requests, runs the others.
func (f *fleet) tick() {
	f.now = f.now.Add(time.Millisecond)
	for i := range f.down {
		f.down[i] = max(f.down[i]-1, 0)
	}
	for _, r := range f.requests {
		switch {
		case r.done || r.denied:
		case r.target < 0:
			f.place(r)
		case r.left > 0:
			r.left--
		case r.poison:
			f.crash(r.target)
		default:
			f.target(r.target).End(r.run, true)
			r.done = true
		}
	}
}

func (f *fleet) place(r *request) {
	for k := range 3 {
		i := (r.shard + k) % len(f.down)
		if f.down[i] > 0 {
			continue
		}
		if r.notice != nil {
			f.daemon(i).Merge(f.now, r.notice)
		}
		run, verdict := f.target(i).Begin(f.now, r.fingerprint, "corrib", fmt.Sprint(r.shard))
		switch verdict {
		case Denied:
			r.denied = true
			return
		case Allowed:
			r.run, r.target = run, i
			return
		}
	}
}

// crash loses a target with all that runs on it.
func (f *fleet) crash(i int) {
	f.crashes++
	f.down[i] = 20
	for _, r := range f.requests {
		if r.target == i && !r.done {
			f.target(i).RecordLoss(f.now, r.run)
		}
	}
	for _, r := range f.requests {
		if r.target == i && !r.done {
			f.target(i).End(r.run, false)
			r.notice = f.daemon(i).Notice(f.now, r.fingerprint)
			r.target = -1
			r.left = 3
		}
	}
}

func TestPoisonIsNamedAndInnocentsRun(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &fleet{
			now:  start,
			down: make([]int, rapid.IntRange(4, 8).Draw(t, "targets")),
		}
		for range rapid.IntRange(1, 3).Draw(t, "daemons") {
			f.daemons = append(f.daemons, New(Settings{}))
		}
		interval := rapid.SampledFrom([]int{1, 50, 200}).Draw(t, "interval")
		poisons := rapid.IntRange(1, 2).Draw(t, "poisons")
		gap := rapid.SampledFrom([]int{0, 1, 60}).Draw(t, "gap")
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		next := uint64(100)
		for tick := range 3000 {
			for n := range poisons {
				if tick == 10+n*gap {
					f.requests = append(f.requests, &request{
						fingerprint: uint64(n + 1),
						shard:       random.IntN(len(f.down)),
						poison:      true,
						target:      -1,
						left:        random.IntN(4),
					})
				}
			}
			if tick < 200 && random.IntN(3) > 0 {
				next++
				f.requests = append(f.requests, &request{
					fingerprint: []uint64{next, 50, 51}[random.IntN(3)],
					shard:       random.IntN(len(f.down)),
					target:      -1,
					left:        1 + random.IntN(8),
				})
			}
			f.tick()
			if tick%interval == 0 {
				f.gossip()
			}
		}
		if f.crashes > 2*poisons {
			t.Fatalf("%d crashes by %d poisons", f.crashes, poisons)
		}
		for _, r := range f.requests {
			if r.poison && !r.denied || !r.poison && !r.done {
				t.Fatalf("request %+v", *r)
			}
		}
		for _, q := range f.daemons {
			if got := len(q.List(f.now)); got != poisons {
				t.Fatalf("%d quarantined, %d poisons", got, poisons)
			}
		}
	})
}

// TestManyLossesQuarantineNothing loses all targets within a settle time, some
// before and some after a suspect ran alone.
func TestManyLossesQuarantineNothing(t *testing.T) {
	q := New(Settings{})
	a, b := q.Target("a"), q.Target("b")
	crash(a, start)
	if _, v := a.Begin(start, 7, "corrib", "s"); v != Avoid {
		t.Errorf("verdict %v on the suspected target", v)
	}
	if v := crash(b, start); v != Allowed {
		t.Fatalf("verdict %v on another target", v)
	}
	for i := range 3 {
		other := q.Target(fmt.Sprint(i))
		run, _ := other.Begin(start, uint64(100+i), "corrib", "s")
		other.RecordLoss(start.Add(100*time.Millisecond), run)
	}
	amid := start.Add(200 * time.Millisecond)
	if _, v := q.Target("c").Begin(amid, 7, "corrib", "s"); v != Denied {
		t.Errorf("verdict %v amid the losses", v)
	}
	other := New(Settings{})
	other.Merge(amid, q.Notice(amid, 7))
	later := start.Add(time.Second)
	run, v := q.Target("c").Begin(later, 7, "corrib", "s")
	if v != Allowed || len(q.List(later)) > 0 {
		t.Fatalf("verdict %v after the losses, quarantined %v", v, q.List(later))
	}
	other.Merge(later, q.Notice(later, 7))
	if p := other.Plan(later, 7); p.Mode != Canary {
		t.Errorf("the other daemon: %+v", p)
	}
	q.Target("c").End(run, true)
	if q.Suspected(later, 7) {
		t.Error("suspected after it completed")
	}
}

// crash runs fingerprint 7 on a target and loses the target.
func crash(t *Target, now time.Time) Decision {
	run, verdict := t.Begin(now, 7, "corrib", "s")
	if verdict == Allowed {
		t.RecordLoss(now, run)
	}
	return verdict
}

func TestLossIsCountedOnce(t *testing.T) {
	q := New(Settings{})
	a := q.Target("a")
	run, _ := a.Begin(start, 7, "corrib", "s")
	other, _ := a.Begin(start, 8, "corrib", "s")
	a.RecordLoss(start, run)
	next, v := a.Begin(start, 9, "corrib", "s")
	a.RecordLoss(start, other)
	a.End(other, true)
	if v != Allowed || !q.Suspected(start, 7) || !q.Suspected(start, 8) || q.Suspected(start, 9) {
		t.Error("a request sent after the loss was blamed")
	}
	a.End(next, true)
	if len(a.runs) > 0 {
		t.Errorf("still in flight: %v", a.runs)
	}
}

// poison returns a Quarantiner that has quarantined fingerprint 7.
func poison(now time.Time) *Quarantiner {
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
		t.Errorf("first request: %+v", p)
	}
	q.RecordCompletion(7)
	if p := q.Plan(now, 7); p.Mode != Unrestricted {
		t.Errorf("known request: %+v", p)
	}
	crash(q.Target("a"), now)
	if p := q.Plan(now, 7); p.Mode != Canary || p.Shard != "s" || !p.Suspected {
		t.Errorf("suspect: %+v", p)
	}
	crash(q.Target("b"), now)
	if p := q.Plan(now, 7); p.Mode != Refused || !p.Expires.Equal(now.Add(settle)) {
		t.Errorf("charged: %+v", p)
	}
	now = now.Add(settle)
	if p := q.Plan(now, 7); p.Mode != Refused || !p.Expires.Equal(start.Add(DefaultPeriod)) {
		t.Errorf("quarantined: %+v", p)
	}
	if p := q.Plan(start.Add(DefaultPeriod), 7); p.Mode != Unrestricted {
		t.Errorf("after the period: %+v", p)
	}
}

func TestSuspicionNarrowsToItsShard(t *testing.T) {
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
		run, v := q.Target(c.target).Begin(start, 7, "corrib", c.shard)
		if v != c.want {
			t.Errorf("%s on %s: verdict %v, want %v", c.shard, c.target, v, c.want)
		}
		if v == Allowed {
			q.Target(c.target).End(run, true)
		}
		if got := q.Suspected(start, 7); got != c.suspected {
			t.Errorf("after %s on %s: suspected %v", c.shard, c.target, got)
		}
	}
}
