package gatherer

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"google.golang.org/grpc"
	"google.golang.org/grpc/metadata"
	"google.golang.org/protobuf/proto"

	"plantaincleat/entryd/pkg/quarantiner"
	"plantaincleat/tier/gen/config"
	"plantaincleat/tier/gen/peer"
	"plantaincleat/tier/gen/target"
	"plantaincleat/tier/pkg/indexer"
)

// loopback is a connection to a simulated target in this process. It answers every
// search at once and without encoding.
type loopback struct {
	id string
}

func (l loopback) Invoke(context.Context, string, any, any, ...grpc.CallOption) error { return nil }

func (l loopback) NewStream(ctx context.Context, _ *grpc.StreamDesc, _ string, _ ...grpc.CallOption) (grpc.ClientStream, error) {
	return &loopbackStream{
		id:  l.id,
		ctx: ctx,
		out: make(chan []*target.Answer, 64),
	}, nil
}

type loopbackStream struct {
	id  string
	ctx context.Context
	out chan []*target.Answer
}

func (s *loopbackStream) Header() (metadata.MD, error) { return nil, nil }
func (s *loopbackStream) Trailer() metadata.MD         { return nil }
func (s *loopbackStream) CloseSend() error             { return nil }
func (s *loopbackStream) Context() context.Context     { return s.ctx }

func (s *loopbackStream) SendMsg(m any) error {
	calls := m.(*target.Calls).GetCalls()
	answers := make([]*target.Answer, 0, len(calls))
	for _, c := range calls {
		if c.GetSearch() != nil {
			answers = append(answers, &target.Answer{
				Nonce:       c.GetNonce(),
				Target:      s.id,
				Incarnation: 1,
				Snapshot:    c.GetSearch().GetSnapshot(),
				Shard:       c.GetSearch().GetShard(),
				Status:      target.Status_STATUS_DONE,
			})
		}
	}
	s.out <- answers
	return nil
}

func (s *loopbackStream) RecvMsg(m any) error {
	select {
	case answers := <-s.out:
		m.(*target.Answers).Answers = answers
		return nil
	case <-s.ctx.Done():
		return s.ctx.Err()
	}
}

type fixedConfigs struct {
	index *indexer.Index
}

func (f fixedConfigs) Index() *indexer.Index { return f.index }

type noDraining struct{}

func (noDraining) Draining(string) bool    { return false }
func (noDraining) Announce(string, uint64) {}

type noBudget struct{}

func (noBudget) Sent(int)                     {}
func (noBudget) Hedge(int, time.Time) bool    { return false }
func (noBudget) Retry(int, time.Time) bool    { return false }
func (noBudget) Failover(int, time.Time) bool { return true }

// newBenchGatherer returns a gatherer and a sub-plan over n shards. Each shard has two
// targets of its own.
func newBenchGatherer(b *testing.B, n int) (*Gatherer, *peer.Gather) {
	cfg := &config.Config{}
	task := &peer.Gather{
		Collection:  "collection",
		Version:     "v1",
		Snapshot:    "2030-01-02T03:04:05Z",
		Remaining:   time.Hour.Microseconds(),
		Fingerprint: 1,
		Institution: "kahikatea",
		Query: &target.Query{
			Terms: []string{"plantain", "cleat"},
			Limit: 10,
		},
	}
	for i := range n {
		w := &peer.Wanted{
			Shard: fmt.Sprintf("shard-%04d", i),
			From:  fmt.Sprintf("%04d", i),
			To:    fmt.Sprintf("%04d", i+1),
		}
		for r := range 2 {
			t := &config.Target{
				Id:      fmt.Sprintf("target-%06d-%d", i, r),
				Address: fmt.Sprintf("target-%06d-%d", i, r),
				Slots:   8,
			}
			cfg.Targets = append(cfg.Targets, t)
			w.Targets = append(w.Targets, t.GetId())
		}
		task.Shards = append(task.Shards, w)
	}
	g := New(Options{
		ID: "entry-1",
		Configs: fixedConfigs{
			index: indexer.New(&config.Accepted{
				Config: cfg,
			}),
		},
		DrainTracker: noDraining{},
		Dial: func(address string) (grpc.ClientConnInterface, error) {
			return loopback{
				id: address,
			}, nil
		},
		Clock:        clockwork.NewRealClock(),
		Budget:       noBudget{},
		Quarantine:   quarantiner.New(quarantiner.Settings{}),
		OnTargetLost: func() {},
	})
	b.Cleanup(g.Close)
	return g, task
}

// BenchmarkRun runs sub-plans one after the other, with targets in this process that
// answer at once without a transport.
func BenchmarkRun(b *testing.B) {
	for _, n := range []int{8, 34, 100, 300} {
		b.Run(fmt.Sprintf("shards=%d", n), func(b *testing.B) {
			g, task := newBenchGatherer(b, n)
			covered := 0
			emit := func(p *peer.Partial) { covered += len(p.GetCovered()) }
			g.Run(b.Context(), 1, task, emit)
			covered = 0
			b.ReportAllocs()
			for b.Loop() {
				g.Run(b.Context(), 1, task, emit)
			}
			if covered != b.N*n {
				b.Fatalf("%d covered shards, want %d", covered, b.N*n)
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*n), "ns/shard")
		})
	}
}

// BenchmarkPartial encodes and decodes a partial of ten records, with attempts and
// without, and reports its encoded size.
func BenchmarkPartial(b *testing.B) {
	for _, attempts := range []bool{true, false} {
		for _, n := range []int{8, 34, 100, 300} {
			b.Run(fmt.Sprintf("attempts=%v/shards=%d", attempts, n), func(b *testing.B) {
				p := newPartial(n, attempts)
				size := 0
				b.ReportAllocs()
				for b.Loop() {
					encoded, err := proto.Marshal(p)
					if err != nil {
						b.Fatal(err)
					}
					size = len(encoded)
					if err := proto.Unmarshal(encoded, &peer.Partial{}); err != nil {
						b.Fatal(err)
					}
				}
				b.ReportMetric(float64(size), "bytes")
				b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*n), "ns/shard")
			})
		}
	}
}

func newPartial(n int, attempts bool) *peer.Partial {
	p := &peer.Partial{
		Nonce:    1,
		Daemon:   "entry-1",
		Snapshot: "2030-01-02T03:04:05Z",
		Last:     true,
		Sent:     uint32(n),
	}
	for i := range n {
		shard := fmt.Sprintf("shard-%04d", i)
		p.Covered = append(p.Covered, shard)
		if attempts {
			p.Attempts = append(p.Attempts, &peer.Attempt{
				Shard:  shard,
				Target: fmt.Sprintf("target-%06d", i),
				Status: target.Status_STATUS_DONE,
				Start:  100,
				Sent:   200,
				End:    5000,
			})
		}
	}
	for i := range 10 {
		p.Records = append(p.Records, &target.Record{
			Key:   fmt.Sprintf("record-%04d", i),
			Score: float64(i),
			Text:  "one of the ten records",
		})
	}
	return p
}
