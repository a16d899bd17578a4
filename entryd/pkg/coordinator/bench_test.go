package coordinator

import (
	"context"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"google.golang.org/grpc"
	"google.golang.org/grpc/metadata"

	"plantaincleat/entryd/pkg/assigner"
	"plantaincleat/entryd/pkg/gatherer"
	"plantaincleat/entryd/pkg/quarantiner"
	"plantaincleat/tier/gen/config"
	"plantaincleat/tier/gen/peer"
	"plantaincleat/tier/gen/target"
	"plantaincleat/tier/pkg/indexer"
	"plantaincleat/tier/pkg/tracer"
)

// loopback is a connection to a simulated daemon in this process. It answers every
// sub-plan at once and without encoding, or not at all if it is unresponsive.
type loopback struct {
	id           string
	unresponsive bool
}

func (l loopback) Invoke(context.Context, string, any, any, ...grpc.CallOption) error { return nil }

func (l loopback) NewStream(ctx context.Context, _ *grpc.StreamDesc, _ string, _ ...grpc.CallOption) (grpc.ClientStream, error) {
	return &loopbackStream{
		loopback: l,
		ctx:      ctx,
		out:      make(chan []*peer.Partial, 64),
	}, nil
}

type loopbackStream struct {
	loopback
	ctx context.Context
	out chan []*peer.Partial
}

func (s *loopbackStream) Header() (metadata.MD, error) { return nil, nil }
func (s *loopbackStream) Trailer() metadata.MD         { return nil }
func (s *loopbackStream) CloseSend() error             { return nil }
func (s *loopbackStream) Context() context.Context     { return s.ctx }

func (s *loopbackStream) SendMsg(m any) error {
	if s.unresponsive {
		return nil
	}
	var partials []*peer.Partial
	for _, t := range m.(*peer.Tasks).GetTasks() {
		if g := t.GetGather(); g != nil {
			partials = append(partials, s.answer(t.GetNonce(), g))
		}
	}
	s.out <- partials
	return nil
}

func (s *loopbackStream) answer(nonce uint64, g *peer.Gather) *peer.Partial {
	p := &peer.Partial{
		Nonce:    nonce,
		Daemon:   s.id,
		Snapshot: g.GetSnapshot(),
		Last:     true,
		Sent:     uint32(len(g.GetShards())),
	}
	for _, w := range g.GetShards() {
		p.Covered = append(p.Covered, w.GetShard())
	}
	return p
}

func (s *loopbackStream) RecvMsg(m any) error {
	select {
	case partials := <-s.out:
		m.(*peer.Partials).Partials = partials
		return nil
	case <-s.ctx.Done():
		return s.ctx.Err()
	}
}

type fixedConfigs struct {
	index *indexer.Index
}

func (f fixedConfigs) Index() *indexer.Index { return f.index }

type fixedPlacement struct {
	*assigner.Placement
}

func (fixedPlacement) Version() uint64 { return 1 }

type noBudget struct{}

func (noBudget) Sent(int)                     {}
func (noBudget) Hedge(int, time.Time) bool    { return false }
func (noBudget) Retry(int, time.Time) bool    { return false }
func (noBudget) Failover(int, time.Time) bool { return true }

const (
	benchDataCentres = 7
	// benchDaemons is the number of daemons in each data centre.
	benchDaemons = 64
	// benchTargets is the number of targets for every three shards.
	benchTargets = 8
)

func dataCentre(i int) string { return fmt.Sprintf("dc%d", i%benchDataCentres) }

// benchConfig returns a configuration with one collection, whose replicas are in
// different data centres.
func benchConfig(shards int) *config.Config {
	cfg := &config.Config{}
	s := &config.Snapshot{
		Id: "2030-01-02T03:04:05Z",
	}
	for i := range shards {
		s.Shards = append(s.Shards, &config.Shard{
			Id:   fmt.Sprintf("shard-%04d", i),
			From: fmt.Sprintf("%04d", i),
			To:   fmt.Sprintf("%04d", i+1),
		})
	}
	for i := range shards * benchTargets / 3 {
		t := &config.Target{
			Id:          fmt.Sprintf("target-%06d", i),
			Address:     fmt.Sprintf("target-%06d", i),
			Datacentre:  dataCentre(i),
			Slots:       2,
			Connections: 25,
		}
		cfg.Targets = append(cfg.Targets, t)
		shard := s.GetShards()[i%shards]
		shard.Replicas = append(shard.Replicas, t.GetId())
	}
	cfg.Collections = []*config.Collection{{
		Name: "collection",
		Versions: []*config.Version{{
			Name:      "v1",
			Snapshots: []*config.Snapshot{s},
		}},
	}}
	return cfg
}

func acceptedOf(cfg *config.Config) *config.Accepted {
	return &config.Accepted{
		Config: cfg,
	}
}

// newRoot returns a root that is not one of the placed daemons, so that it sends all
// sub-plans to other daemons.
func newRoot(b *testing.B, shards int, unresponsive bool) *Coordinator {
	if _, err := tracer.Configure("bench", "", 0); err != nil {
		b.Fatal(err)
	}
	cfg := benchConfig(shards)
	in := assigner.Input{
		Self:   dataCentre(0) + "-00",
		Config: cfg,
	}
	for i := range benchDataCentres * benchDaemons {
		id := fmt.Sprintf("%s-%02d", dataCentre(i), i/benchDataCentres)
		in.Daemons = append(in.Daemons, assigner.Daemon{
			ID:         id,
			Address:    id,
			DataCentre: dataCentre(i),
		})
	}
	c := New(Options{
		ID:         "root",
		DataCentre: dataCentre(0),
		Configs: fixedConfigs{
			index: indexer.New(acceptedOf(cfg)),
		},
		Placement: fixedPlacement{
			Placement: assigner.New(in),
		},
		Dial: func(address string) (grpc.ClientConnInterface, error) {
			return loopback{
				id:           address,
				unresponsive: unresponsive,
			}, nil
		},
		Gatherer: gatherer.New(gatherer.Options{
			ID:         "root",
			Clock:      clockwork.NewRealClock(),
			Quarantine: quarantiner.New(quarantiner.Settings{}),
		}),
		Clock:  clockwork.NewRealClock(),
		Budget: noBudget{},
	})
	b.Cleanup(c.Close)
	return c
}

func newRequest() *Request {
	return &Request{
		Collection: "collection",
		Version:    "v1",
		Query: &target.Query{
			Terms: []string{"plantain", "cleat"},
			Limit: 10,
		},
		Deadline:    time.Now().Add(time.Hour),
		Institution: "kahikatea",
		Fingerprint: 1,
	}
}

var benchSizes = []int{30, 100, 300, 710}

// BenchmarkRun runs queries one after the other, with gatherers in this process that
// answer at once without a transport.
func BenchmarkRun(b *testing.B) {
	for _, shards := range benchSizes {
		b.Run(fmt.Sprintf("shards=%d", shards), func(b *testing.B) {
			c := newRoot(b, shards, false)
			plans := 0
			b.ReportAllocs()
			for b.Loop() {
				r, err := c.Run(b.Context(), newRequest())
				if err != nil || len(r.Covered) != shards {
					b.Fatalf("%d covered shards, want %d (error %v)", len(r.Covered), shards, err)
				}
				plans = len(r.SubPlans)
			}
			b.ReportMetric(float64(plans), "subplans")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*shards), "ns/shard")
		})
	}
}

// BenchmarkFlight reports the bytes of heap and stack that a query in flight uses.
func BenchmarkFlight(b *testing.B) {
	const queries = 200
	for _, shards := range benchSizes {
		b.Run(fmt.Sprintf("shards=%d", shards), func(b *testing.B) {
			c := newRoot(b, shards, true)
			s, err := c.Configs.Index().ResolveSnapshot("collection", "v1", "")
			if err != nil {
				b.Fatal(err)
			}
			c.pathTable(s)
			before := memoryInUse()
			ctx, cancel := context.WithCancel(b.Context())
			done := make(chan struct{}, queries)
			for range queries {
				go func() {
					_, _ = c.Run(ctx, newRequest())
					done <- struct{}{}
				}()
			}
			for c.Counts().Queries.Load() < queries {
				time.Sleep(time.Millisecond)
			}
			time.Sleep(500 * time.Millisecond)
			b.ReportMetric((memoryInUse()-before)/queries, "B/query")
			b.ReportMetric(0, "ns/op")
			cancel()
			for range queries {
				<-done
			}
		})
	}
}

// memoryInUse returns the bytes of heap and stack in use after a garbage collection.
func memoryInUse() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

// BenchmarkPathTable computes the path table of a snapshot, as after each change of the
// members or the configuration.
func BenchmarkPathTable(b *testing.B) {
	for _, shards := range benchSizes {
		b.Run(fmt.Sprintf("shards=%d", shards), func(b *testing.B) {
			c := newRoot(b, shards, false)
			s, err := c.Configs.Index().ResolveSnapshot("collection", "v1", "")
			if err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			for b.Loop() {
				c.newPathTable(s)
			}
		})
	}
}
