// Package searcher is a stand-in for one target: it answers searches from
// synthesised records and runs mutations by logging them, with slots, a
// bounded queue, execution times and faults.
package searcher

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"plantaincleat/tier/gen/config"
	"plantaincleat/tier/gen/target"
)

// Options describe one stand-in target.
type Options struct {
	ID string
	// Slots is the number of requests that run at once.
	Slots int
	// Queue is the number of requests that may wait for a slot.
	Queue int
	// Seed makes execution times and random faults repeatable.
	Seed         uint64
	LatencyModel LatencyModel
	// Clock is the real clock if nil.
	Clock clockwork.Clock
	// Crash is called when a request with the crash term runs. It may be nil.
	Crash func()
	// Journal receives each execution of a mutation. It may be nil.
	Journal func(Execution)
}

// Searcher is one stand-in target. It implements target.TargetServer.
type Searcher struct {
	target.UnimplementedTargetServer

	id          string
	clock       clockwork.Clock
	started     time.Time
	incarnation uint64
	sampler     *sampler
	executor    *executor
	crash       func()
	journal     func(Execution)

	faults   atomic.Pointer[Faults]
	holdings atomic.Pointer[Holdings]
	counts   counts

	mu         sync.Mutex
	thawed     chan struct{}
	streams    []*stream
	executions []Execution
}

// New returns a target that holds nothing. Its incarnation is the time of the
// call in nanoseconds.
func New(o Options) *Searcher {
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
	s := &Searcher{
		id:          o.ID,
		clock:       o.Clock,
		started:     o.Clock.Now(),
		incarnation: uint64(o.Clock.Now().UnixNano()),
		sampler:     newSampler(o.LatencyModel, o.Seed),
		executor: &executor{
			clock: o.Clock,
			slots: max(1, o.Slots),
			bound: o.Queue,
		},
		crash:   o.Crash,
		journal: o.Journal,
		thawed:  make(chan struct{}),
	}
	close(s.thawed)
	s.faults.Store(&Faults{})
	s.holdings.Store(&Holdings{})
	return s
}

// ID returns the target's id.
func (s *Searcher) ID() string { return s.id }

// Incarnation returns the number that changes at each start.
func (s *Searcher) Incarnation() uint64 { return s.incarnation }

// SetHoldings replaces the snapshots and shards that the target has by those of the
// operators' configuration.
func (s *Searcher) SetHoldings(cfg *config.Config) {
	s.holdings.Store(NewHoldings(cfg, s.id))
}

// Faults returns the faults in force.
func (s *Searcher) Faults() Faults { return *s.faults.Load() }

// SetFaults replaces the faults in force.
func (s *Searcher) SetFaults(f Faults) error {
	if err := f.Validate(); err != nil {
		return err
	}
	f.DropSnapshots = slices.Clone(f.DropSnapshots)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setFrozen(f.Freeze)
	s.faults.Store(&f)
	s.executor.setLeaving(f.Drain)
	for _, st := range s.streams {
		st.outbox.notify()
	}
	return nil
}

// StartDraining makes the target refuse new work. Accepted work is finished.
func (s *Searcher) StartDraining() {
	f := s.Faults()
	f.Drain = true
	// The faults in force are valid, so this cannot fail.
	_ = s.SetFaults(f)
}

// Idle reports whether no request runs or waits.
func (s *Searcher) Idle() bool {
	queued, running := s.executor.load()
	return queued+running == 0
}

// setFrozen replaces the channel that is closed while answers may leave.
func (s *Searcher) setFrozen(frozen bool) {
	switch was := s.Faults().Freeze; {
	case frozen && !was:
		s.thawed = make(chan struct{})
	case !frozen && was:
		close(s.thawed)
	}
}

// thaw returns a channel that is closed once answers may leave.
func (s *Searcher) thaw() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.thawed
}

// age returns the time since the start.
func (s *Searcher) age() time.Duration {
	return s.clock.Since(s.started)
}

// expiry returns the time at which a request with the remaining microseconds
// expires. Zero or less means that it already has.
func (s *Searcher) expiry(remaining int64) time.Time {
	return s.clock.Now().Add(time.Duration(remaining) * time.Microsecond)
}

// load returns the load that is sent with an answer.
func (s *Searcher) load(service time.Duration) *target.Load {
	queued, _ := s.executor.load()
	return &target.Load{
		Queue:   uint32(queued),
		Service: uint32(service.Microseconds()),
		Leaving: s.Faults().Drain,
	}
}
