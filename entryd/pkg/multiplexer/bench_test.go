package multiplexer

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"

	"github.com/jonboulle/clockwork"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"plantaincleat/tier/gen/target"
)

// echoer is a target that answers every call at once.
type echoer struct {
	target.UnimplementedTargetServer
}

func (echoer) Exchange(stream target.Target_ExchangeServer) error {
	for {
		calls, err := stream.Recv()
		if err != nil {
			return nil
		}
		out := &target.Answers{}
		for _, c := range calls.GetCalls() {
			out.Answers = append(out.Answers, newAnswer(c))
		}
		if err := stream.Send(out); err != nil {
			return err
		}
	}
}

var benchRecords = newRecords()

func newAnswer(c *target.Call) *target.Answer {
	out := &target.Answer{
		Nonce:       c.GetNonce(),
		Target:      "target-000001",
		Incarnation: 1,
		Snapshot:    c.GetSearch().GetSnapshot(),
		Shard:       c.GetSearch().GetShard(),
		Status:      target.Status_STATUS_DONE,
		Load:        &target.Load{},
		Query:       1,
		Records:     benchRecords,
	}
	return out
}

// newRecords returns the ten records of every answer.
func newRecords() []*target.Record {
	var out []*target.Record
	for i := range 10 {
		out = append(out, &target.Record{
			Key:   fmt.Sprintf("record-%04d", i),
			Score: float64(i),
			Text:  "one of the ten records",
		})
	}
	return out
}

func newSearchCall(nonce uint64) *target.Call {
	return &target.Call{
		Nonce: nonce,
		Body: &target.Call_Search{
			Search: &target.Search{
				Collection: "collection",
				Version:    "v1",
				Snapshot:   "2030-01-02T03:04:05Z",
				Shard:      "shard-0001",
				Query: &target.Query{
					Terms: []string{"plantain", "cleat"},
					Limit: 10,
				},
				Remaining: 230_000,
				Trace:     "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-00",
			},
		},
	}
}

// unarySearch describes a unary method that takes one call and returns one
// answer, for comparison with the stream.
var unarySearch = grpc.ServiceDesc{
	ServiceName: "bench.Unary",
	HandlerType: (*any)(nil),
	Methods: []grpc.MethodDesc{{
		MethodName: "Search",
		Handler: func(_ any, _ context.Context, decode func(any) error, _ grpc.UnaryServerInterceptor) (any, error) {
			in := &target.Call{}
			if err := decode(in); err != nil {
				return nil, err
			}
			return newAnswer(in), nil
		},
	}},
}

func serve(b *testing.B) *grpc.ClientConn {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	g := grpc.NewServer()
	target.RegisterTargetServer(g, echoer{})
	g.RegisterService(&unarySearch, nil)
	go func() { _ = g.Serve(l) }()
	b.Cleanup(g.Stop)
	conn, err := grpc.NewClient(l.Addr().String(), grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = conn.Close() })
	return conn
}

// BenchmarkUnary sends each search in a unary call. The result includes the work
// of client and server.
func BenchmarkUnary(b *testing.B) {
	conn := serve(b)
	b.ReportAllocs()
	for b.Loop() {
		out := &target.Answer{}
		if err := conn.Invoke(b.Context(), "/bench.Unary/Search", newSearchCall(1), out); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkLink sends searches over a Link in bursts, which the link batches. Each
// op is one search. The result includes the work of client and server.
func BenchmarkLink(b *testing.B) {
	for _, burst := range []int{1, 4, 16, 64} {
		b.Run(fmt.Sprintf("burst=%d", burst), func(b *testing.B) {
			conn := serve(b)
			dial := func(string) (grpc.ClientConnInterface, error) { return conn, nil }
			l := NewTargetLink("bench", dial, clockwork.NewRealClock())
			b.Cleanup(l.Close)
			b.ReportAllocs()
			b.ResetTimer()
			nonce := uint64(0)
			for n := 0; n < b.N; n += burst {
				var wg sync.WaitGroup
				wg.Add(burst)
				for range burst {
					nonce++
					l.Send(nonce, newSearchCall(nonce), func(a *target.Answer, _ error) {
						l.Forget(a.GetNonce())
						wg.Done()
					})
				}
				wg.Wait()
			}
		})
	}
}
