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
	median = 10 * time.Millisecond
	ample  = int64(time.Hour / time.Microsecond)
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

// bench is a searcher under test with one open stream.
type bench struct {
	t        *testing.T
	clock    *clockwork.FakeClock
	searcher *Searcher
	client   target.TargetClient
	stream   grpc.BidiStreamingClient[target.Calls, target.Answers]
}

func newBench(t *testing.T, o Options) *bench {
	t.Helper()
	b := &bench{
		t:     t,
		clock: clockwork.NewFakeClock(),
	}
	o.ID = "t1"
	o.Clock = b.clock
	o.LatencyModel.Median = median
	b.searcher = New(o)
	b.searcher.SetHoldings(newConfig())
	l := bufconn.Listen(1 << 20)
	g := grpc.NewServer()
	target.RegisterTargetServer(g, b.searcher)
	go g.Serve(l)
	t.Cleanup(g.Stop)
	cc, err := grpc.NewClient("passthrough:///t1",
		grpc.WithContextDialer(func(ctx context.Context, _ string) (net.Conn, error) { return l.DialContext(ctx) }),
		grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { cc.Close() })
	b.client = target.NewTargetClient(cc)
	if b.stream, err = b.client.Exchange(t.Context()); err != nil {
		t.Fatal(err)
	}
	return b
}

func newSearch(shard string) *target.Search {
	return &target.Search{
		Collection: "entries",
		Version:    "v1",
		Snapshot:   "s1",
		Shard:      shard,
		Query:      &target.Query{},
		Remaining:  ample,
	}
}

func (b *bench) call(nonce uint64, s *target.Search) {
	b.t.Helper()
	c := &target.Call{
		Nonce: nonce,
		Body:  &target.Call_Search{Search: s},
	}
	b.send(c)
}

func (b *bench) send(c *target.Call) {
	b.t.Helper()
	if err := b.stream.Send(&target.Calls{Calls: []*target.Call{c}}); err != nil {
		b.t.Fatal(err)
	}
}

// answers receives n answers and returns them by nonce.
func (b *bench) answers(n int) map[uint64][]*target.Answer {
	b.t.Helper()
	got := make(map[uint64][]*target.Answer)
	for n > 0 {
		m, err := b.stream.Recv()
		if err != nil {
			b.t.Fatal(err)
		}
		for _, a := range m.GetAnswers() {
			got[a.GetNonce()] = append(got[a.GetNonce()], a)
			n--
		}
	}
	return got
}

// running blocks until n requests hold a slot.
func (b *bench) running(n int) {
	b.t.Helper()
	if err := b.clock.BlockUntilContext(b.t.Context(), n); err != nil {
		b.t.Fatal(err)
	}
}

func wantStatus(t *testing.T, a *target.Answer, want target.Status) {
	t.Helper()
	if a.GetStatus() != want {
		t.Errorf("answer %d: status %v, want %v", a.GetNonce(), a.GetStatus(), want)
	}
}

func TestSlotsQueueAndShed(t *testing.T) {
	b := newBench(t, Options{
		Slots: 2,
		Queue: 1,
	})
	for nonce := uint64(1); nonce <= 4; nonce++ {
		b.call(nonce, newSearch("a"))
	}
	shed := b.answers(1)[4][0]
	wantStatus(t, shed, target.Status_STATUS_SHED)
	if shed.GetLoad().GetQueue() != 1 {
		t.Errorf("queue %d, want 1", shed.GetLoad().GetQueue())
	}
	b.running(2)
	b.clock.Advance(median)
	first := b.answers(2)
	b.running(1)
	b.clock.Advance(median)
	second := b.answers(1)
	for _, a := range []*target.Answer{first[1][0], first[2][0], second[3][0]} {
		wantStatus(t, a, target.Status_STATUS_DONE)
		if a.GetLoad().GetService() != uint32(median.Microseconds()) {
			t.Errorf("service %d µs, want %d", a.GetLoad().GetService(), median.Microseconds())
		}
	}
}

func TestStampsAndRecords(t *testing.T) {
	b := newBench(t, Options{Slots: 1})
	q := &target.Query{Limit: 3}
	search := newSearch("b")
	search.Query = q
	b.call(7, search)
	b.running(1)
	b.clock.Advance(median)
	a := b.answers(1)[7][0]
	if a.GetTarget() != "t1" || a.GetSnapshot() != "s1" || a.GetShard() != "b" || a.GetIncarnation() != b.searcher.Incarnation() || a.GetQuery() != queryhasher.Hash(q) {
		t.Errorf("stamp %s %s %s %d %d", a.GetTarget(), a.GetSnapshot(), a.GetShard(), a.GetIncarnation(), a.GetQuery())
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
		t.Errorf("%d records differ from the %d synthesised", len(a.GetRecords()), len(want))
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
			b := newBench(t, Options{Slots: 1})
			if err := b.searcher.SetFaults(tt.faults); err != nil {
				t.Fatal(err)
			}
			s := newSearch("a")
			if tt.change != nil {
				tt.change(s)
			}
			b.call(1, s)
			a := b.answers(1)[1][0]
			wantStatus(t, a, tt.want)
			if len(a.GetRecords()) != 0 {
				t.Error("a refusal carries records")
			}
			if a.GetLoad().GetLeaving() != tt.faults.Drain {
				t.Errorf("leaving %v, want %v", a.GetLoad().GetLeaving(), tt.faults.Drain)
			}
		})
	}
}

func TestCancelAndExpiryWhileQueued(t *testing.T) {
	b := newBench(t, Options{
		Slots: 1,
		Queue: 3,
	})
	brief := newSearch("a")
	brief.Remaining = median.Microseconds()
	b.call(1, newSearch("a"))
	b.call(2, brief)
	b.call(3, newSearch("a"))
	b.send(&target.Call{
		Nonce: 3,
		Body:  &target.Call_Cancel{Cancel: true},
	})
	wantStatus(t, b.answers(1)[3][0], target.Status_STATUS_CANCELLED)
	b.running(1)
	b.clock.Advance(median)
	got := b.answers(2)
	wantStatus(t, got[1][0], target.Status_STATUS_DONE)
	wantStatus(t, got[2][0], target.Status_STATUS_EXPIRED)
}

func TestLeavingFinishesAcceptedWork(t *testing.T) {
	b := newBench(t, Options{Slots: 1})
	b.call(1, newSearch("a"))
	b.running(1)
	b.searcher.StartDraining()
	b.call(2, newSearch("a"))
	wantStatus(t, b.answers(1)[2][0], target.Status_STATUS_LEAVING)
	if b.searcher.Idle() {
		t.Error("idle while a request runs")
	}
	b.clock.Advance(median)
	a := b.answers(1)[1][0]
	wantStatus(t, a, target.Status_STATUS_DONE)
	if !a.GetLoad().GetLeaving() {
		t.Error("the answer does not say that the target is leaving")
	}
	if got := b.searcher.Counts().WhileDraining; got != 1 {
		t.Errorf("%d requests counted after the drain began, want 1", got)
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
				t.Errorf("nonce 1 carries shard %q and query %x, want those of nonce 2", a.GetShard(), a.GetQuery())
			}
		}},
		{name: "duplicate", faults: Faults{Duplicate: 1}, want: 4, check: func(t *testing.T, got map[uint64][]*target.Answer) {
			if n := len(got[1]); n != 2 {
				t.Errorf("%d answers, want 2", n)
			}
		}},
		{name: "foreign", faults: Faults{WrongShard: 1}, want: 2, check: func(t *testing.T, got map[uint64][]*target.Answer) {
			if key := got[1][0].GetRecords()[0].GetKey(); key < "b" {
				t.Errorf("shard a carries record %q, want one of shard b", key)
			}
		}},
		{name: "fail", faults: Faults{Fail: 1}, want: 2, check: func(t *testing.T, got map[uint64][]*target.Answer) {
			wantStatus(t, got[1][0], target.Status_STATUS_FAILED)
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newBench(t, Options{Slots: 2})
			if err := b.searcher.SetFaults(tt.faults); err != nil {
				t.Fatal(err)
			}
			b.call(1, newSearch("a"))
			second := newSearch("b")
			second.Query = &target.Query{Limit: 2}
			b.call(2, second)
			b.running(2)
			b.clock.Advance(median)
			tt.check(t, b.answers(tt.want))
		})
	}
}

func TestFreezeAndLate(t *testing.T) {
	b := newBench(t, Options{Slots: 1})
	faults := Faults{
		Freeze:    true,
		Late:      1,
		LagMillis: 5,
	}
	if err := b.searcher.SetFaults(faults); err != nil {
		t.Fatal(err)
	}
	b.call(1, newSearch("a"))
	b.running(1)
	b.clock.Advance(median)
	b.running(1)
	b.clock.Advance(faults.lag())
	if err := b.searcher.SetFaults(Faults{}); err != nil {
		t.Fatal(err)
	}
	wantStatus(t, b.answers(1)[1][0], target.Status_STATUS_DONE)
}

func TestCrash(t *testing.T) {
	crashed := make(chan struct{})
	b := newBench(t, Options{
		Slots: 1,
		Crash: func() { close(crashed) },
	})
	s := newSearch("a")
	s.Query.Terms = []string{synthesizer.CrashTerm}
	b.call(1, s)
	b.running(1)
	b.clock.Advance(median)
	<-crashed
}

func TestFaultsAreValidated(t *testing.T) {
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
