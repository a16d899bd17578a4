package gossiper

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"plantaincleat/tier/gen/peer"
)

// cpuTime returns the CPU time used by this process.
func cpuTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// newPooledDialer returns a Dialer that dials each address once. It adds the
// bytes of all connections to bytes.
func newPooledDialer(b *testing.B, bytes *atomic.Int64) Dialer {
	var mu sync.Mutex
	conns := make(map[string]*grpc.ClientConn)
	dial := func(ctx context.Context, address string) (net.Conn, error) {
		c, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
		return countedConn{
			Conn:  c,
			bytes: bytes,
		}, err
	}
	return func(address string) (grpc.ClientConnInterface, error) {
		mu.Lock()
		defer mu.Unlock()
		if c := conns[address]; c != nil {
			return c, nil
		}
		c, err := grpc.NewClient("passthrough:///"+address, grpc.WithContextDialer(dial),
			grpc.WithTransportCredentials(insecure.NewCredentials()))
		if err != nil {
			return nil, err
		}
		b.Cleanup(func() { _ = c.Close() })
		conns[address] = c
		return c, nil
	}
}

// BenchmarkFleet gossips in real time over gRPC on the loopback interface, with
// all daemons in this process. Per daemon it reports the CPU time in percent of
// a core, the bytes per second sent and received without TCP and IP headers,
// and the memory in use in MB.
func BenchmarkFleet(b *testing.B) {
	for _, s := range fleetSizes[:3] {
		b.Run(fmt.Sprint(s.dcs*s.hosts), func(b *testing.B) {
			const warm, length = 20 * time.Second, 20 * time.Second
			ctx, cancel := context.WithCancel(b.Context())
			var bytes atomic.Int64
			var running sync.WaitGroup
			var runners []*Runner
			var listeners []net.Listener
			for range s.dcs * s.hosts {
				l, err := net.Listen("tcp", "127.0.0.1:0")
				if err != nil {
					b.Fatal(err)
				}
				listeners = append(listeners, l)
			}
			for i, l := range listeners {
				cfg := runnerConfig(i)
				cfg.Self.Address = l.Addr().String()
				cfg.Self.DataCentre = fmt.Sprintf("dc%d", i%s.dcs)
				cfg.Seeds = []string{listeners[0].Addr().String(), listeners[1].Addr().String()}
				cfg.Source = rand.NewPCG(2, uint64(i))
				r := NewRunner(cfg, clockwork.NewRealClock(), NewTransport(newPooledDialer(b, &bytes)))
				g := grpc.NewServer()
				peer.RegisterPeerServer(g, server{
					Runner: r,
				})
				running.Go(func() { _ = g.Serve(l) })
				running.Go(func() { r.Run(ctx) })
				b.Cleanup(g.Stop)
				runners = append(runners, r)
			}
			for b.Loop() {
				time.Sleep(warm)
				cpu, start := cpuTime(b), bytes.Load()
				time.Sleep(length)
				n := float64(len(runners))
				share := 100 * (cpuTime(b) - cpu).Seconds() / length.Seconds() / n
				b.ReportMetric(share, "%core")
				// Each byte is counted once, on the dialling side.
				b.ReportMetric(2*float64(bytes.Load()-start)/length.Seconds()/n, "B/s")
				var m runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&m)
				b.ReportMetric(float64(m.HeapInuse+m.StackInuse)/n/1e6, "MB")
				for _, r := range runners {
					if got := len(r.View().Members()); got != len(runners) {
						b.Errorf("%d members, want %d", got, len(runners))
					}
				}
			}
			cancel()
			b.ReportMetric(0, "ns/op")
		})
	}
}
