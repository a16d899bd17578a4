// Package searcher is a stand-in for one target. It answers searches from synthesised
// records and executes mutations by logging them. Slots, a bounded queue, execution
// times and faults are configurable.
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

// Options describe a Searcher.
type Options struct {
	ID string
	// Slots is the number of requests that are executed at once, at least one.
	Slots int
	// QueueLimit is the number of requests that may wait for a slot.
	QueueLimit int
	// Seed makes execution times and random faults repeatable.
	Seed         uint64
	LatencyModel LatencyModel
	// Clock defaults to the real clock.
	Clock clockwork.Clock
	// OnCrash is called when a request with the crash term is executed. If nil,
	// the term has no effect.
	OnCrash func()
	// OnExecution is called for each execution of a mutation. It may be nil.
	OnExecution func(Execution)
}

// Searcher is one stand-in target. It implements target.TargetServer and is safe for
// concurrent use. Create it with New.
type Searcher struct {
	target.UnimplementedTargetServer

	id          string
	clock       clockwork.Clock
	started     time.Time
	incarnation uint64
	sampler     *sampler
	executor    *executor
	onCrash     func()
	onExecution func(Execution)

	faults   atomic.Pointer[Faults]
	holdings atomic.Pointer[Holdings]
	counts   counts

	mu         sync.Mutex
	unfrozen   chan struct{}
	streams    []*stream
	executions []Execution
}

// New returns a target without holdings. Its incarnation is the time of the call in
// Unix nanoseconds.
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
			clock:      o.Clock,
			slots:      max(1, o.Slots),
			queueLimit: o.QueueLimit,
		},
		onCrash:     o.OnCrash,
		onExecution: o.OnExecution,
		unfrozen:    make(chan struct{}),
	}
	close(s.unfrozen)
	s.faults.Store(&Faults{})
	s.holdings.Store(&Holdings{})
	return s
}

// ID returns the target's id.
func (s *Searcher) ID() string { return s.id }

// Incarnation returns the target's incarnation, which is higher after each restart.
func (s *Searcher) Incarnation() uint64 { return s.incarnation }

// SetHoldings replaces the target's snapshots and shards by those that the operators'
// configuration assigns to it.
func (s *Searcher) SetHoldings(cfg *config.Config) {
	s.holdings.Store(NewHoldings(cfg, s.id))
}

// Faults returns the faults in force.
func (s *Searcher) Faults() Faults { return *s.faults.Load() }

// SetFaults replaces the faults in force. It returns an error, and changes nothing, if
// a field is out of range.
func (s *Searcher) SetFaults(f Faults) error {
	if err := f.Validate(); err != nil {
		return err
	}
	f.DropSnapshots = slices.Clone(f.DropSnapshots)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setFrozen(f.Freeze)
	s.faults.Store(&f)
	s.executor.setDraining(f.Drain)
	for _, st := range s.streams {
		st.outbox.notify()
	}
	return nil
}

// StartDraining makes the target refuse new work. It still finishes accepted work.
func (s *Searcher) StartDraining() {
	f := s.Faults()
	f.Drain = true
	// SetFaults cannot fail because the faults in force are valid.
	_ = s.SetFaults(f)
}

// Idle reports whether the target has no request in execution and none in the queue.
func (s *Searcher) Idle() bool {
	queued, running := s.executor.load()
	return queued+running == 0
}

// setFrozen replaces or closes the channel unfrozen when the fault Freeze changes. The
// caller holds mu.
func (s *Searcher) setFrozen(frozen bool) {
	switch wasFrozen := s.Faults().Freeze; {
	case frozen && !wasFrozen:
		s.unfrozen = make(chan struct{})
	case !frozen && wasFrozen:
		close(s.unfrozen)
	}
}

// untilUnfrozen returns a channel that is closed once answers may be sent.
func (s *Searcher) untilUnfrozen() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.unfrozen
}

// uptime returns the time since the target started.
func (s *Searcher) uptime() time.Duration {
	return s.clock.Since(s.started)
}

// expiryAfter returns the time at which a request expires, given the microseconds that
// remain to it. If these are zero or less, it has already expired.
func (s *Searcher) expiryAfter(remaining int64) time.Time {
	return s.clock.Now().Add(time.Duration(remaining) * time.Microsecond)
}

// load returns the load that is reported with an answer. service is the execution time
// of the answered request.
func (s *Searcher) load(service time.Duration) *target.Load {
	queued, _ := s.executor.load()
	return &target.Load{
		Queue:   uint32(queued),
		Service: uint32(service.Microseconds()),
		Leaving: s.Faults().Drain,
	}
}
