package gossiper

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"plantaincleat/tier/gen/peer"
)

// localTransport is a Transport between Runners in one process.
type localTransport struct {
	mu      sync.Mutex
	runners map[string]*Runner
}

func (l *localTransport) find(address string) (*Runner, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r := l.runners[address]; r != nil {
		return r, nil
	}
	return nil, errNoReply
}

func (l *localTransport) set(address string, r *Runner) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runners[address] = r
}

func (l *localTransport) Exchange(ctx context.Context, address string, v *peer.Views) (*peer.Views, error) {
	r, err := l.find(address)
	if err != nil {
		return nil, err
	}
	return r.Gossip(ctx, v)
}

func (l *localTransport) Probe(ctx context.Context, address, probed string) (bool, error) {
	r, err := l.find(address)
	if err != nil {
		return false, err
	}
	reply, err := r.Probe(ctx, &peer.ProbeRequest{
		Address: probed,
	})
	return reply.GetAlive(), err
}

func runnerConfig(i int) Config {
	return Config{
		Self: Identity{
			ID:         fmt.Sprintf("d%d", i),
			Address:    fmt.Sprintf("10.0.0.%d:7000", i),
			DataCentre: "dc0",
		},
		Seeds:  []string{"10.0.0.0:7000"},
		Source: rand.NewPCG(1, uint64(i)),
	}
}

func TestRunner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		net := &localTransport{
			runners: make(map[string]*Runner),
		}
		var runners []*Runner
		var running sync.WaitGroup
		for i := range 4 {
			cfg := runnerConfig(i)
			r := NewRunner(cfg, clockwork.NewRealClock(), net)
			net.set(cfg.Self.Address, r)
			runners = append(runners, r)
			running.Go(func() { r.Run(ctx) })
		}
		changes, unsubscribe := runners[3].Subscribe()
		defer unsubscribe()
		time.Sleep(5 * time.Second)
		for i, r := range runners {
			if got := len(r.View().LiveIn("dc0")); got != 4 || !r.Synced() {
				t.Errorf("runner %d: %d members, synced %v", i, got, r.Synced())
			}
		}
		select {
		case <-changes:
		default:
			t.Error("no value on the channel of Subscribe after changes")
		}
		runners[0].SetRevision(3)
		runners[0].SetDemand("corrib", 5, 1)
		runners[0].Publish(newLeavingNotice("t1", 0, time.Now().Add(time.Minute).UnixMilli()))
		time.Sleep(2 * time.Second)
		last := runners[3]
		if last.View().HighestRevision() != 3 || len(last.Notices()) != 1 || len(last.Demands()) != 1 {
			t.Errorf("highest revision %d, %d notices, %d demands", last.View().HighestRevision(), len(last.Notices()), len(last.Demands()))
		}
		net.set("10.0.0.9:7000", NewRunner(runnerConfig(9), clockwork.NewRealClock(), net))
		reply, err := last.Probe(ctx, &peer.ProbeRequest{
			Address: "10.0.0.9:7000",
		})
		if err != nil || reply.GetAlive() {
			t.Errorf("probe of an address that is no member's: %v, error %v", reply, err)
		}
		runners[1].Leave(ctx)
		net.set("10.0.0.2:7000", nil)
		time.Sleep(8 * time.Second)
		for id, want := range map[string]peer.State{
			"d1": peer.State_STATE_LEFT,
			"d2": peer.State_STATE_DEAD,
		} {
			if m, _ := last.View().Lookup(id); m.State() != want {
				t.Errorf("%s is %v, want %v", id, m.State(), want)
			}
		}
		cancel()
		running.Wait()
	})
}

// Synced returns false at once after a freeze, before the machine has run
// again.
func TestRunnerNotSyncedAfterFreeze(t *testing.T) {
	clock := clockwork.NewFakeClock()
	cfg := runnerConfig(0)
	cfg.Seeds = nil
	r := NewRunner(cfg, clock, &localTransport{})
	clock.Advance(DefaultRoundInterval)
	r.update(r.machine.Tick)
	if !r.Synced() {
		t.Fatal("a daemon without other members is not synced")
	}
	clock.Advance(DefaultSuspicionTimeout)
	if r.Synced() {
		t.Error("synced after a freeze")
	}
	r.SetSeeds(nil)
	if r.Synced() {
		t.Error("synced after a freeze once an input other than a tick was processed")
	}
}

type server struct {
	peer.UnimplementedPeerServer
	*Runner
}

func (s server) Gossip(ctx context.Context, v *peer.Views) (*peer.Views, error) {
	return s.Runner.Gossip(ctx, v)
}

func (s server) Probe(ctx context.Context, r *peer.ProbeRequest) (*peer.ProbeReply, error) {
	return s.Runner.Probe(ctx, r)
}

// countedConn counts the bytes read and written on a connection.
type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// newTransportPair starts a gRPC server with a Runner and returns a transport
// to it, its address, and a counter of the bytes in both directions.
func newTransportPair(tb testing.TB) (Transport, string, *atomic.Int64) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	cfg := runnerConfig(0)
	cfg.Self.Address = listener.Addr().String()
	s := grpc.NewServer()
	peer.RegisterPeerServer(s, server{
		Runner: NewRunner(cfg, clockwork.NewRealClock(), &localTransport{}),
	})
	go func() { _ = s.Serve(listener) }()
	tb.Cleanup(s.Stop)
	var bytes atomic.Int64
	dial := func(_ context.Context, address string) (net.Conn, error) {
		c, err := net.Dial("tcp", address)
		return countedConn{
			Conn:  c,
			bytes: &bytes,
		}, err
	}
	conn, err := grpc.NewClient("passthrough:///"+cfg.Self.Address,
		grpc.WithContextDialer(dial),
		grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { _ = conn.Close() })
	transport := NewTransport(func(string) (grpc.ClientConnInterface, error) { return conn, nil })
	return transport, cfg.Self.Address, &bytes
}

func TestTransport(t *testing.T) {
	transport, address, _ := newTransportPair(t)
	reply, err := transport.Exchange(t.Context(), address, &peer.Views{
		Sender: "stranger",
	})
	if err != nil {
		t.Fatal(err)
	}
	if !reply.GetFull() || reply.GetSender() != "d0" {
		t.Errorf("answer to an unknown daemon: %v", reply)
	}
	if _, err := transport.Probe(t.Context(), address, address); err != nil {
		t.Error(err)
	}
}

// TestSinceTellsOneEndOfAFreeze guards against a freeze whose end is told as several times, by each
// of which a daemon would begin anew what it does for the fleet.
func TestSinceTellsOneEndOfAFreeze(t *testing.T) {
	clock := clockwork.NewFakeClock()
	r := NewRunner(runnerConfig(0), clock, &localTransport{})
	start := r.Since()
	clock.Advance(DefaultSuspicionTimeout / 2)
	r.SetRevision(1)
	if got := r.Since(); !got.Equal(start) {
		t.Errorf("runs since %v without a freeze, want its start at %v", got, start)
	}
	for range 2 {
		clock.Advance(2 * DefaultSuspicionTimeout)
		end := clock.Now()
		for range 3 {
			if got := r.Since(); !got.Equal(end) {
				t.Errorf("runs since %v before an input, want the end of the freeze at %v", got, end)
			}
			clock.Advance(time.Millisecond)
		}
		for range 2 {
			r.SetRevision(2)
			if got := r.Since(); !got.Equal(end) {
				t.Errorf("runs since %v after an input, want the end of the freeze at %v", got, end)
			}
			clock.Advance(time.Millisecond)
		}
	}
}
