package searcher

import (
	"context"
	"net"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/test/bufconn"

	"plantaincleat/tier/gen/config"
	"plantaincleat/tier/gen/target"
	"plantaincleat/tier/pkg/queryhasher"
	"plantaincleat/tier/pkg/synthesizer"
)

const (
	medianTime  = 10 * time.Millisecond
	ampleMicros = int64(time.Hour / time.Microsecond)
)

func shards(ids ...string) []*config.Shard {
	var list []*config.Shard
	for i, id := range ids {
		s := &config.Shard{
			Id:       id,
			From:     id,
			Replicas: []string{"t1"},
		}
		if i+1 < len(ids) {
			s.To = ids[i+1]
		}
		list = append(list, s)
	}
	return list
}

func newConfig() *config.Config {
	return &config.Config{
		Collections: []*config.Collection{{
			Name: "entries",
			Versions: []*config.Version{{
				Name: "v1",
				Snapshots: []*config.Snapshot{
					{
						Id:     "s1",
						Shards: shards("a", "b"),
					},
					{
						Id:     "s2",
						Shards: shards("a", "b"),
					},
				},
			}},
		}},
	}
}

// fixture is a Searcher under test, a client and one open stream.
type fixture struct {
	t        *testing.T
	clock    *clockwork.FakeClock
	searcher *Searcher
	client   target.TargetClient
	stream   grpc.BidiStreamingClient[target.Calls, target.Answers]
}

func newFixture(t *testing.T, o Options) *fixture {
	t.Helper()
	f := &fixture{
		t:     t,
		clock: clockwork.NewFakeClock(),
	}
	o.ID = "t1"
	o.Clock = f.clock
	o.LatencyModel.Median = medianTime
	f.searcher = New(o)
	f.searcher.SetHoldings(newConfig())
	l := bufconn.Listen(1 << 20)
	g := grpc.NewServer()
	target.RegisterTargetServer(g, f.searcher)
	go g.Serve(l)
	t.Cleanup(g.Stop)
	cc, err := grpc.NewClient("passthrough:///t1",
		grpc.WithContextDialer(func(ctx context.Context, _ string) (net.Conn, error) { return l.DialContext(ctx) }),
		grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { cc.Close() })
	f.client = target.NewTargetClient(cc)
	if f.stream, err = f.client.Exchange(t.Context()); err != nil {
		t.Fatal(err)
	}
	return f
}

func newSearch(shard string) *target.Search {
	return &target.Search{
		Collection: "entries",
		Version:    "v1",
		Snapshot:   "s1",
		Shard:      shard,
		Query:      &target.Query{},
		Remaining:  ampleMicros,
	}
}

func (f *fixture) call(nonce uint64, s *target.Search) {
	f.t.Helper()
	c := &target.Call{
		Nonce: nonce,
		Body:  &target.Call_Search{Search: s},
	}
	f.send(c)
}

func (f *fixture) send(c *target.Call) {
	f.t.Helper()
	if err := f.stream.Send(&target.Calls{Calls: []*target.Call{c}}); err != nil {
		f.t.Fatal(err)
	}
}

// answers receives n answers and returns them, by nonce.
func (f *fixture) answers(n int) map[uint64][]*target.Answer {
	f.t.Helper()
	got := make(map[uint64][]*target.Answer)
	for n > 0 {
		m, err := f.stream.Recv()
		if err != nil {
			f.t.Fatal(err)
		}
		for _, a := range m.GetAnswers() {
			got[a.GetNonce()] = append(got[a.GetNonce()], a)
			n--
		}
	}
	return got
}

// waitRunning blocks until n timers of the fake clock run, one per request that has a
// slot or is delayed.
func (f *fixture) waitRunning(n int) {
	f.t.Helper()
	if err := f.clock.BlockUntilContext(f.t.Context(), n); err != nil {
		f.t.Fatal(err)
	}
}

func wantStatus(t *testing.T, a *target.Answer, want target.Status) {
	t.Helper()
	if a.GetStatus() != want {
		t.Errorf("answer %d: status %v, want %v", a.GetNonce(), a.GetStatus(), want)
	}
}

func TestSlotsQueueAndShed(t *testing.T) {
	f := newFixture(t, Options{
		Slots:      2,
		QueueLimit: 1,
	})
	for nonce := uint64(1); nonce <= 4; nonce++ {
		f.call(nonce, newSearch("a"))
	}
	shed := f.answers(1)[4][0]
	wantStatus(t, shed, target.Status_STATUS_SHED)
	if shed.GetLoad().GetQueue() != 1 {
		t.Errorf("queue %d, want 1", shed.GetLoad().GetQueue())
	}
	f.waitRunning(2)
	f.clock.Advance(medianTime)
	first := f.answers(2)
	f.waitRunning(1)
	f.clock.Advance(medianTime)
	second := f.answers(1)
	for _, a := range []*target.Answer{first[1][0], first[2][0], second[3][0]} {
		wantStatus(t, a, target.Status_STATUS_DONE)
		if a.GetLoad().GetService() != uint32(medianTime.Microseconds()) {
			t.Errorf("execution time %d µs, want %d", a.GetLoad().GetService(), medianTime.Microseconds())
		}
	}
}

func TestAnswerFieldsAndRecords(t *testing.T) {
	f := newFixture(t, Options{Slots: 1})
	q := &target.Query{Limit: 3}
	search := newSearch("b")
	search.Query = q
	f.call(7, search)
	f.waitRunning(1)
	f.clock.Advance(medianTime)
	a := f.answers(1)[7][0]
	if a.GetTarget() != "t1" || a.GetSnapshot() != "s1" || a.GetShard() != "b" || a.GetIncarnation() != f.searcher.Incarnation() || a.GetQuery() != queryhasher.Hash(q) {
		t.Errorf("answer has target %s, snapshot %s, shard %s, incarnation %d and query hash %d", a.GetTarget(), a.GetSnapshot(), a.GetShard(), a.GetIncarnation(), a.GetQuery())
	}
	want := synthesizer.MatchingRecords(synthesizer.Shard{
		Collection: "entries",
		Version:    "v1",
		Snapshot:   "s1",
		ID:         "b",
		From:       "b",
	}, q)
	same := func(a, b *target.Record) bool { return a.String() == b.String() }
	if !slices.EqualFunc(a.GetRecords(), want, same) {
		t.Errorf("answer has %d records that differ from the %d synthesised ones", len(a.GetRecords()), len(want))
	}
}

func TestRefusalsAtArrival(t *testing.T) {
	tests := []struct {
		name   string
		faults Faults
		change func(*target.Search)
		want   target.Status
	}{
		{name: "unknown snapshot", change: func(s *target.Search) { s.Snapshot = "s0" }, want: target.Status_STATUS_DROPPED},
		{name: "dropped snapshot", faults: Faults{DropSnapshots: []string{"s1"}}, want: target.Status_STATUS_DROPPED},
		{name: "unknown shard", change: func(s *target.Search) { s.Shard = "z" }, want: target.Status_STATUS_ABSENT},
		{name: "expired", change: func(s *target.Search) { s.Remaining = 0 }, want: target.Status_STATUS_EXPIRED},
		{name: "shed", faults: Faults{Shed: 1}, want: target.Status_STATUS_SHED},
		{name: "leaving", faults: Faults{Drain: true}, want: target.Status_STATUS_LEAVING},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t, Options{Slots: 1})
			if err := f.searcher.SetFaults(tt.faults); err != nil {
				t.Fatal(err)
			}
			s := newSearch("a")
			if tt.change != nil {
				tt.change(s)
			}
			f.call(1, s)
			a := f.answers(1)[1][0]
			wantStatus(t, a, tt.want)
			if len(a.GetRecords()) != 0 {
				t.Error("refusal contains records")
			}
			if a.GetLoad().GetLeaving() != tt.faults.Drain {
				t.Errorf("load reports leaving %v, want %v", a.GetLoad().GetLeaving(), tt.faults.Drain)
			}
		})
	}
}

func TestCancelAndExpiryWhileQueued(t *testing.T) {
	f := newFixture(t, Options{
		Slots:      1,
		QueueLimit: 3,
	})
	expiring := newSearch("a")
	expiring.Remaining = medianTime.Microseconds()
	f.call(1, newSearch("a"))
	f.call(2, expiring)
	f.call(3, newSearch("a"))
	f.send(&target.Call{
		Nonce: 3,
		Body:  &target.Call_Cancel{Cancel: true},
	})
	wantStatus(t, f.answers(1)[3][0], target.Status_STATUS_CANCELLED)
	f.waitRunning(1)
	f.clock.Advance(medianTime)
	got := f.answers(2)
	wantStatus(t, got[1][0], target.Status_STATUS_DONE)
	wantStatus(t, got[2][0], target.Status_STATUS_EXPIRED)
}

func TestDrainingFinishesAcceptedWork(t *testing.T) {
	f := newFixture(t, Options{Slots: 1})
	f.call(1, newSearch("a"))
	f.waitRunning(1)
	f.searcher.StartDraining()
	f.call(2, newSearch("a"))
	wantStatus(t, f.answers(1)[2][0], target.Status_STATUS_LEAVING)
	if f.searcher.Idle() {
		t.Error("Idle() = true while a request is being executed")
	}
	f.clock.Advance(medianTime)
	a := f.answers(1)[1][0]
	wantStatus(t, a, target.Status_STATUS_DONE)
	if !a.GetLoad().GetLeaving() {
		t.Error("load of the answer does not report that the target is leaving")
	}
	if got := f.searcher.Counts().WhileDraining; got != 1 {
		t.Errorf("WhileDraining = %d, want 1", got)
	}
}

func TestAnswerFaults(t *testing.T) {
	tests := []struct {
		name   string
		faults Faults
		want   int
		check  func(*testing.T, map[uint64][]*target.Answer)
	}{
		{name: "stamp", faults: Faults{SnapshotOverride: "s2"}, want: 2, check: func(t *testing.T, got map[uint64][]*target.Answer) {
			if s := got[1][0].GetSnapshot(); s != "s2" {
				t.Errorf("snapshot %q, want s2", s)
			}
		}},
		{name: "cross", faults: Faults{SwapNonces: 1}, want: 2, check: func(t *testing.T, got map[uint64][]*target.Answer) {
			if a := got[1][0]; a.GetShard() != "b" || a.GetQuery() != queryhasher.Hash(&target.Query{Limit: 2}) {
				t.Errorf("answer with nonce 1 has shard %q and query hash %x, want those of nonce 2", a.GetShard(), a.GetQuery())
			}
		}},
		{name: "duplicate", faults: Faults{Duplicate: 1}, want: 4, check: func(t *testing.T, got map[uint64][]*target.Answer) {
			if n := len(got[1]); n != 2 {
				t.Errorf("%d answers with nonce 1, want 2", n)
			}
		}},
		{name: "foreign", faults: Faults{WrongShard: 1}, want: 2, check: func(t *testing.T, got map[uint64][]*target.Answer) {
			if key := got[1][0].GetRecords()[0].GetKey(); key < "b" {
				t.Errorf("answer for shard a holds record %q, want one of shard b", key)
			}
		}},
		{name: "fail", faults: Faults{Fail: 1}, want: 2, check: func(t *testing.T, got map[uint64][]*target.Answer) {
			wantStatus(t, got[1][0], target.Status_STATUS_FAILED)
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t, Options{Slots: 2})
			if err := f.searcher.SetFaults(tt.faults); err != nil {
				t.Fatal(err)
			}
			f.call(1, newSearch("a"))
			second := newSearch("b")
			second.Query = &target.Query{Limit: 2}
			f.call(2, second)
			f.waitRunning(2)
			f.clock.Advance(medianTime)
			tt.check(t, f.answers(tt.want))
		})
	}
}

func TestFreezeWithholdsLateAnswer(t *testing.T) {
	f := newFixture(t, Options{Slots: 1})
	faults := Faults{
		Freeze:    true,
		Late:      1,
		LagMillis: 5,
	}
	if err := f.searcher.SetFaults(faults); err != nil {
		t.Fatal(err)
	}
	f.call(1, newSearch("a"))
	f.waitRunning(1)
	f.clock.Advance(medianTime)
	f.waitRunning(1)
	f.clock.Advance(faults.lag())
	if err := f.searcher.SetFaults(Faults{}); err != nil {
		t.Fatal(err)
	}
	wantStatus(t, f.answers(1)[1][0], target.Status_STATUS_DONE)
}

func TestCrash(t *testing.T) {
	crashed := make(chan struct{})
	f := newFixture(t, Options{
		Slots:   1,
		OnCrash: func() { close(crashed) },
	})
	s := newSearch("a")
	s.Query.Terms = []string{synthesizer.CrashTerm}
	f.call(1, s)
	f.waitRunning(1)
	f.clock.Advance(medianTime)
	<-crashed
}

func TestFaultsValidate(t *testing.T) {
	tests := []struct {
		faults Faults
		want   string
	}{
		{faults: Faults{Slow: 1.5}, want: "field slow: 1.5 is not in [0,1]"},
		{faults: Faults{LoseOutcome: -1}, want: "field lose: -1 is not in [0,1]"},
		{faults: Faults{DelayFactor: -2}, want: "field delay: -2 is negative"},
	}
	for _, tt := range tests {
		if err := New(Options{}).SetFaults(tt.faults); err == nil || err.Error() != tt.want {
			t.Errorf("SetFaults() = %v, want %s", err, tt.want)
		}
	}
}
