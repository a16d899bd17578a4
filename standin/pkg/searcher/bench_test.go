package searcher

import (
	"net"
	"testing"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"plantaincleat/tier/gen/target"
)

// BenchmarkExchange measures searches that are sent in batches over one TCP connection to
// a target whose execution time is zero.
func BenchmarkExchange(b *testing.B) {
	const batch = 16
	s := New(Options{
		ID:         "t1",
		Slots:      batch,
		QueueLimit: batch,
	})
	s.SetHoldings(newConfig())
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	g := grpc.NewServer()
	target.RegisterTargetServer(g, s)
	go g.Serve(l)
	defer g.Stop()
	cc, err := grpc.NewClient(l.Addr().String(), grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		b.Fatal(err)
	}
	defer cc.Close()
	stream, err := target.NewTargetClient(cc).Exchange(b.Context())
	if err != nil {
		b.Fatal(err)
	}
	calls := &target.Calls{}
	for range batch {
		calls.Calls = append(calls.Calls, &target.Call{
			Body: &target.Call_Search{Search: newSearch("a")},
		})
	}
	b.ReportAllocs()
	for b.Loop() {
		if err := stream.Send(calls); err != nil {
			b.Fatal(err)
		}
		for n := 0; n < batch; {
			answers, err := stream.Recv()
			if err != nil {
				b.Fatal(err)
			}
			n += len(answers.GetAnswers())
		}
	}
	b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N)/batch, "µs/call")
}
