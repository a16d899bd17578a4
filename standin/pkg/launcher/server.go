package launcher

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/grpc"
	"google.golang.org/grpc/keepalive"

	"plantaincleat/standin/pkg/connlimiter"
	"plantaincleat/standin/pkg/searcher"
	"plantaincleat/tier/gen/config"
	"plantaincleat/tier/gen/target"
)

// maxStreams is the maximum number of concurrent gRPC streams on a connection.
// Mutations are unary calls, so each of them takes a stream.
const maxStreams = 1 << 16

// server serves one target. After a crash, it starts again with a new searcher and a
// new listener.
type server struct {
	launcher *Launcher
	group    Group
	target   *config.Target

	mu       sync.Mutex
	cfg      *config.Config
	searcher *searcher.Searcher
	listener *connlimiter.Listener
	grpc     *grpc.Server
	crashes  int64
	closed   bool
}

// start opens the listener and serves the target in the background. After stop it
// does nothing.
func (s *server) start() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return nil
	}
	l, err := net.Listen("tcp", s.target.GetAddress())
	if err != nil {
		return eris.Wrapf(err, "open listener of target %s at %s", s.target.GetId(), s.target.GetAddress())
	}
	s.listener = connlimiter.New(l, connlimiter.Options{
		MaxConns:  int(s.target.GetConnections()),
		SetupTime: s.group.SetupTime,
		Clock:     s.launcher.options.Clock,
	})
	s.searcher = s.newSearcher()
	s.grpc = grpc.NewServer(
		grpc.Creds(s.launcher.options.Credentials),
		grpc.MaxConcurrentStreams(maxStreams),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{
			MinTime:             time.Second,
			PermitWithoutStream: true,
		}),
	)
	target.RegisterTargetServer(s.grpc, s.searcher)
	go s.serve(s.grpc, s.listener)
	return nil
}

func (s *server) serve(g *grpc.Server, l net.Listener) {
	if err := g.Serve(l); err != nil {
		s.launcher.logError(eris.Wrapf(err, "serve target %s", s.target.GetId()))
	}
}

func (s *server) newSearcher() *searcher.Searcher {
	o := &s.launcher.options
	created := searcher.New(searcher.Options{
		ID:           s.target.GetId(),
		Slots:        int(s.target.GetSlots()),
		QueueLimit:   s.group.QueueLimit,
		Seed:         o.Seed + targetSeed(s.target.GetId()),
		LatencyModel: s.group.LatencyModel,
		Clock:        o.Clock,
		OnCrash:      s.crash,
		OnExecution:  s.launcher.recordExecution,
	})
	created.SetHoldings(s.cfg)
	return created
}

// setHoldings replaces the snapshots and shards of the target by those that the
// configuration assigns to it.
func (s *server) setHoldings(cfg *config.Config) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cfg = cfg
	if s.searcher != nil {
		s.searcher.SetHoldings(cfg)
	}
}

// current returns the searcher and the listener since the latest start. Both are nil
// before it.
func (s *server) current() (*searcher.Searcher, *connlimiter.Listener) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.searcher, s.listener
}

// crash ends the process if there is no restart delay. Otherwise it closes all
// connections of the target and restarts it after the delay, in the background.
func (s *server) crash() {
	if s.launcher.options.RestartDelay <= 0 {
		s.launcher.options.Exit(CrashExitStatus)
		return
	}
	go s.restart()
}

func (s *server) restart() {
	s.mu.Lock()
	g := s.grpc
	s.grpc = nil
	s.mu.Unlock()
	if g == nil {
		return
	}
	s.launcher.recordCrash(s)
	g.Stop()
	<-s.launcher.options.Clock.After(s.launcher.options.RestartDelay)
	if err := s.start(); err != nil {
		s.launcher.logError(err)
	}
}

// drain makes the target refuse new work. It returns when accepted work is finished
// or when ctx ends.
func (s *server) drain(ctx context.Context) {
	current, _ := s.current()
	if current == nil {
		return
	}
	current.StartDraining()
	ticker := s.launcher.options.Clock.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for !current.Idle() {
		select {
		case <-ticker.Chan():
		case <-ctx.Done():
			return
		}
	}
}

// stop closes the listener and all connections. The target is not started again.
func (s *server) stop() {
	s.mu.Lock()
	s.closed = true
	g := s.grpc
	s.grpc = nil
	s.mu.Unlock()
	if g != nil {
		g.Stop()
	}
}
