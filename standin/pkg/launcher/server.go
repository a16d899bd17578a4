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

// maxStreams bounds the streams of one connection. Mutations are unary, so
// that each takes a stream.
const maxStreams = 1 << 16

// server is one target with its listener. A crash replaces the searcher, the
// listener and every connection.
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

// start opens the listener and serves the target in the background.
func (s *server) start() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return nil
	}
	l, err := net.Listen("tcp", s.target.GetAddress())
	if err != nil {
		return eris.Wrapf(err, "listen: target %s at %s", s.target.GetId(), s.target.GetAddress())
	}
	s.listener = connlimiter.New(l, connlimiter.Options{
		Limit: int(s.target.GetConnections()),
		Setup: s.group.Setup,
		Clock: s.launcher.options.Clock,
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
		s.launcher.report(eris.Wrapf(err, "serve: target %s", s.target.GetId()))
	}
}

func (s *server) newSearcher() *searcher.Searcher {
	o := &s.launcher.options
	created := searcher.New(searcher.Options{
		ID:           s.target.GetId(),
		Slots:        int(s.target.GetSlots()),
		Queue:        s.group.Queue,
		Seed:         o.Seed + seedOf(s.target.GetId()),
		LatencyModel: s.group.LatencyModel,
		Clock:        o.Clock,
		Crash:        s.crash,
		Journal:      s.launcher.journal,
	})
	created.SetHoldings(s.cfg)
	return created
}

// hold gives the target what the configuration says that it holds.
func (s *server) hold(cfg *config.Config) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cfg = cfg
	if s.searcher != nil {
		s.searcher.SetHoldings(cfg)
	}
}

// current returns the searcher and the listener in service.
func (s *server) current() (*searcher.Searcher, *connlimiter.Listener) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.searcher, s.listener
}

// crash ends the process, or cuts every connection of the target and starts
// it anew after the restart delay.
func (s *server) crash() {
	if s.launcher.options.Restart <= 0 {
		s.launcher.options.Exit(CrashStatus)
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
	s.launcher.crashed(s)
	g.Stop()
	<-s.launcher.options.Clock.After(s.launcher.options.Restart)
	if err := s.start(); err != nil {
		s.launcher.report(err)
	}
}

// drain refuses new work and waits until accepted work has ended.
func (s *server) drain(ctx context.Context) {
	current, _ := s.current()
	if current == nil {
		return
	}
	current.StartDraining()
	ticker := s.launcher.options.Clock.NewTicker(drainInterval)
	defer ticker.Stop()
	for !current.Idle() {
		select {
		case <-ticker.Chan():
		case <-ctx.Done():
			return
		}
	}
}

// stop closes the listener and every connection.
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
