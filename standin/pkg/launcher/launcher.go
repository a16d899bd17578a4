// Package launcher runs many stand-in targets in one process, with one HTTP
// listener to switch their faults and to read what they did.
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
	// CrashStatus is the exit status of a process that a request crashed.
	CrashStatus = 3

	drainInterval = 10 * time.Millisecond
)

// Options describe the process.
type Options struct {
	Seed uint64
	// Restart is the time after which a crashed target comes back. Zero
	// means that a crash ends the whole process.
	Restart time.Duration
	// Journal receives one JSON line for each run of a mutation. It may be nil.
	Journal io.Writer
	// Credentials are those of the targets' listeners, plain text if nil.
	Credentials credentials.TransportCredentials
	// Exit ends the process.
	Exit func(status int)
	// Clock is the real clock if nil.
	Clock clockwork.Clock
	// Logger is the default logger if nil.
	Logger *slog.Logger
}

// Launcher runs targets.
type Launcher struct {
	options Options
	servers []*server
	crashes atomic.Int64

	mu         sync.Mutex
	executions []searcher.Execution
}

// New prepares the targets of a configuration that the groups name.
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
	known := make(map[string]*config.Target)
	for _, t := range cfg.GetTargets() {
		known[t.GetId()] = t
	}
	for _, g := range groups {
		if err := l.add(cfg, g, known); err != nil {
			return nil, err
		}
	}
	return l, nil
}

func (l *Launcher) add(cfg *config.Config, g Group, known map[string]*config.Target) error {
	ids := g.IDs
	if len(ids) == 0 {
		ids = slices.Sorted(maps.Keys(known))
	}
	for _, id := range ids {
		t, ok := known[id]
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

// Start opens every listener. If one fails, those before it are closed.
func (l *Launcher) Start() error {
	for _, s := range l.servers {
		if err := s.start(); err != nil {
			l.Stop()
			return err
		}
	}
	return nil
}

// SetHoldings gives every target what the configuration says that it holds.
func (l *Launcher) SetHoldings(cfg *config.Config) {
	for _, s := range l.servers {
		s.hold(cfg)
	}
}

// Drain lets every target refuse new work and waits for accepted work, until
// ctx ends.
func (l *Launcher) Drain(ctx context.Context) {
	var wg sync.WaitGroup
	for _, s := range l.servers {
		wg.Go(func() { s.drain(ctx) })
	}
	wg.Wait()
}

// Stop closes every listener and connection.
func (l *Launcher) Stop() {
	for _, s := range l.servers {
		s.stop()
	}
}

// Executions returns the runs of mutations at all targets since the start of
// the process, in the order of their runs.
func (l *Launcher) Executions() []searcher.Execution {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]searcher.Execution{}, l.executions...)
}

// find returns the servers of the ids, or all if there are none.
func (l *Launcher) find(ids []string) ([]*server, error) {
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

func (l *Launcher) journal(e searcher.Execution) {
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
		l.report(eris.Wrapf(err, "journal: target %s", e.Target))
	}
}

func (l *Launcher) crashed(s *server) {
	l.crashes.Add(1)
	s.mu.Lock()
	s.crashes++
	s.mu.Unlock()
	l.options.Logger.Warn("target crashed", "target", s.target.GetId())
}

func (l *Launcher) report(err error) {
	l.options.Logger.Error("target failed", "error", err.Error())
}

func seedOf(id string) uint64 {
	return xxhash.Sum64String(id)
}
