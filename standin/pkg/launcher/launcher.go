// Package launcher runs many stand-in targets in one process. One HTTP handler sets
// their faults and returns their counts and executions.
package launcher

import (
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"
	"google.golang.org/grpc/credentials"

	"plantaincleat/standin/pkg/searcher"
	"plantaincleat/tier/gen/config"
)

const (
	// CrashExitStatus is the exit status of the process after a crash, if crashed
	// targets are not restarted.
	CrashExitStatus = 3

	// drainPollInterval is the interval at which Drain checks for accepted work.
	drainPollInterval = 10 * time.Millisecond
)

// Options describe a Launcher.
type Options struct {
	// Seed makes execution times and random faults repeatable. The seed of a
	// target is derived from it and from the target's id.
	Seed uint64
	// RestartDelay is the time after which a crashed target restarts. If it is
	// zero, a crash ends the process.
	RestartDelay time.Duration
	// Journal receives one JSON line for each execution of a mutation. It may be
	// nil.
	Journal io.Writer
	// Credentials secure the targets' listeners. If nil, they serve plain text.
	Credentials credentials.TransportCredentials
	// Exit ends the process. It is called only if RestartDelay is zero.
	Exit func(status int)
	// Clock defaults to the real clock.
	Clock clockwork.Clock
	// Logger defaults to slog.Default.
	Logger *slog.Logger
}

// Launcher runs the targets of one process. Create it with New.
type Launcher struct {
	options Options
	servers []*server
	crashes atomic.Int64

	mu         sync.Mutex
	executions []searcher.Execution
}

// New prepares the targets of a configuration that the groups name. Start serves
// them.
func New(cfg *config.Config, groups []Group, o Options) (*Launcher, error) {
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
	if o.Logger == nil {
		o.Logger = slog.Default()
	}
	l := &Launcher{
		options: o,
	}
	targets := make(map[string]*config.Target)
	for _, t := range cfg.GetTargets() {
		targets[t.GetId()] = t
	}
	for _, g := range groups {
		if err := l.addGroup(cfg, g, targets); err != nil {
			return nil, err
		}
	}
	return l, nil
}

func (l *Launcher) addGroup(cfg *config.Config, g Group, targets map[string]*config.Target) error {
	ids := g.IDs
	if len(ids) == 0 {
		ids = slices.Sorted(maps.Keys(targets))
	}
	for _, id := range ids {
		t, ok := targets[id]
		if !ok {
			return eris.Errorf("field ids: the configuration has no target %q", id)
		}
		l.servers = append(l.servers, &server{
			launcher: l,
			group:    g,
			target:   t,
			cfg:      cfg,
		})
	}
	return nil
}

// Start opens the listeners of all targets and serves them. If one cannot be opened,
// it closes the others and returns the error.
func (l *Launcher) Start() error {
	for _, s := range l.servers {
		if err := s.start(); err != nil {
			l.Stop()
			return err
		}
	}
	return nil
}

// SetHoldings replaces the snapshots and shards of all targets by those that the
// configuration assigns to them.
func (l *Launcher) SetHoldings(cfg *config.Config) {
	for _, s := range l.servers {
		s.setHoldings(cfg)
	}
}

// Drain makes all targets refuse new work. It returns when accepted work is finished
// or when ctx ends.
func (l *Launcher) Drain(ctx context.Context) {
	var wg sync.WaitGroup
	for _, s := range l.servers {
		wg.Go(func() { s.drain(ctx) })
	}
	wg.Wait()
}

// Stop closes all listeners and connections. Targets are not started again.
func (l *Launcher) Stop() {
	for _, s := range l.servers {
		s.stop()
	}
}

// Executions returns the executions of mutations by all targets since the start of
// the process, in the order of execution. They include executions before a crash.
func (l *Launcher) Executions() []searcher.Execution {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]searcher.Execution{}, l.executions...)
}

// findServers returns the servers of the targets with the given ids, or all servers
// if there are no ids.
func (l *Launcher) findServers(ids []string) ([]*server, error) {
	if len(ids) == 0 {
		return l.servers, nil
	}
	found := make([]*server, 0, len(ids))
	for _, id := range ids {
		i := slices.IndexFunc(l.servers, func(s *server) bool { return s.target.GetId() == id })
		if i < 0 {
			return nil, eris.Errorf("field target: this process has no target %q", id)
		}
		found = append(found, l.servers[i])
	}
	return found, nil
}

func (l *Launcher) recordExecution(e searcher.Execution) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.executions = append(l.executions, e)
	if l.options.Journal == nil {
		return
	}
	line, err := json.Marshal(e)
	if err == nil {
		_, err = l.options.Journal.Write(append(line, '\n'))
	}
	if err != nil {
		l.logError(eris.Wrapf(err, "write journal entry of target %s", e.Target))
	}
}

func (l *Launcher) recordCrash(s *server) {
	l.crashes.Add(1)
	s.mu.Lock()
	s.crashes++
	s.mu.Unlock()
	l.options.Logger.Warn("stand-in target crashed and restarts after the restart delay", "target", s.target.GetId())
}

func (l *Launcher) logError(err error) {
	l.options.Logger.Error("stand-in target failed to start, to serve or to write its journal", "err", err.Error())
}

func targetSeed(id string) uint64 {
	return xxhash.Sum64String(id)
}
