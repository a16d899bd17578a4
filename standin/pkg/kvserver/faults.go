package kvserver

import (
	"encoding/json"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"
	"golang.org/x/time/rate"
)

// Duration is a time.Duration that stands as a string such as "50ms" in JSON.
type Duration time.Duration

// MarshalJSON implements json.Marshaler.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// UnmarshalJSON implements json.Unmarshaler.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var s string
	if err := json.Unmarshal(data, &s); err != nil {
		return eris.Wrap(err, "duration: want a string such as \"50ms\"")
	}
	v, err := time.ParseDuration(s)
	if err != nil || v < 0 {
		return eris.Errorf("duration: bad value %q", s)
	}
	*d = Duration(v)
	return nil
}

// Faults are the switches that make the service misbehave. The zero value
// switches all of them off.
type Faults struct {
	// Outage refuses every call as unavailable and ends every watch.
	Outage bool `json:"outage"`
	// OutagePrefixes limits Outage to callers whose IP address starts with one of these.
	OutagePrefixes []string `json:"cut,omitempty"`
	// Delay is waited before each call and before each batch of watch events.
	Delay Duration `json:"delay"`
	// LoseAnswers is the number of coming writes that take effect with the answer lost.
	LoseAnswers int64 `json:"lost"`
	// DelayWrites is the number of coming writes that are answered with an unknown
	// outcome at once and take effect after Landing.
	DelayWrites int64 `json:"late"`
	// WriteDelay is the time until a late write takes effect.
	WriteDelay Duration `json:"landing"`
	// StaleReads answers reads from the state at the time it was switched on.
	StaleReads bool `json:"stale"`
	// MuteWatches keeps watches open without delivering events.
	MuteWatches bool `json:"mute"`
	// ReadLimit and Writes limit the calls per second. Zero means no limit.
	ReadLimit  int `json:"reads"`
	WriteLimit int `json:"writes"`
}

// Counts are the calls since the start, refused ones included.
type Counts struct {
	Reads  int64 `json:"reads"`
	Writes int64 `json:"writes"`
	// LeaseCalls counts grants, renewals and revocations.
	LeaseCalls int64 `json:"leases"`
	// WatchesCreated counts the watches that were ever created.
	WatchesCreated int64 `json:"opened"`
	// OpenWatches is the number that waits at present.
	OpenWatches int64 `json:"watches"`
	// Refused counts the calls refused by an outage or a limit.
	Refused int64 `json:"refused"`
}

// counters are the atomics behind Counts.
type counters struct {
	reads, writes, leases, opened, watches, refused atomic.Int64
}

func (c *counters) load() Counts {
	return Counts{
		Reads:          c.reads.Load(),
		Writes:         c.writes.Load(),
		LeaseCalls:     c.leases.Load(),
		WatchesCreated: c.opened.Load(),
		OpenWatches:    c.watches.Load(),
		Refused:        c.refused.Load(),
	}
}

// switches hold the present faults.
type switches struct {
	clock clockwork.Clock

	mu      sync.Mutex
	faults  Faults
	reads   *rate.Limiter
	writes  *rate.Limiter
	changed chan struct{}
}

// set replaces the faults and wakes those who wait for a change.
func (s *switches) set(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.reads == nil || f.ReadLimit != s.faults.ReadLimit {
		s.reads = newLimiter(f.ReadLimit)
	}
	if s.writes == nil || f.WriteLimit != s.faults.WriteLimit {
		s.writes = newLimiter(f.WriteLimit)
	}
	s.faults = f
	if s.changed != nil {
		close(s.changed)
	}
	s.changed = make(chan struct{})
}

// get returns the faults and a channel that is closed when they change.
func (s *switches) get() (Faults, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults, s.changed
}

// admit tells whether the limit of reads or writes has room for one more.
func (s *switches) admit(write bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.reads
	if write {
		l = s.writes
	}
	return l.AllowN(s.clock.Now(), 1)
}

// fate is what happens to one write.
type fate int

const (
	fateDone fate = iota
	fateLost
	fateLate
)

// draw takes the fate of the next write off the counts.
func (s *switches) draw() (fate, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.faults.LoseAnswers > 0:
		s.faults.LoseAnswers--
		return fateLost, 0
	case s.faults.DelayWrites > 0:
		s.faults.DelayWrites--
		return fateLate, time.Duration(s.faults.WriteDelay)
	default:
		return fateDone, 0
	}
}

func newLimiter(perSecond int) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), perSecond)
}

// out tells whether a caller meets an outage.
func (f *Faults) out(caller string) bool {
	if !f.Outage {
		return false
	}
	for _, prefix := range f.OutagePrefixes {
		if strings.HasPrefix(caller, prefix) {
			return true
		}
	}
	return len(f.OutagePrefixes) == 0
}
