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

// Duration is a time.Duration that is encoded as a string such as "50ms" in JSON.
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

// Faults are the faults that the service simulates. The zero value has none.
type Faults struct {
	// Outage makes every call fail as unavailable and ends every watch.
	Outage bool `json:"outage"`
	// OutagePrefixes limits Outage to callers whose IP address starts with one of
	// these strings. If empty, Outage applies to all callers.
	OutagePrefixes []string `json:"cut,omitempty"`
	// Delay is the delay of each call and of each batch of watch events.
	Delay Duration `json:"delay"`
	// LoseAnswers is the number of next writes that take effect but fail with an
	// unknown outcome.
	LoseAnswers int64 `json:"lost"`
	// DelayWrites is the number of next writes that fail with an unknown outcome at
	// once and take effect after WriteDelay. LoseAnswers is used up first.
	DelayWrites int64 `json:"late"`
	// WriteDelay is the time until a delayed write takes effect.
	WriteDelay Duration `json:"landing"`
	// StaleReads answers reads from the state at the time when it was set.
	StaleReads bool `json:"stale"`
	// MuteWatches withholds events from watches, which stay open. The events are sent
	// once it is unset.
	MuteWatches bool `json:"mute"`
	// ReadLimit and WriteLimit are the maximum numbers of calls per second. Zero
	// means no limit. Creating a watch counts as a read, a lease call as a write.
	ReadLimit  int `json:"reads"`
	WriteLimit int `json:"writes"`
}

// Counts are counts of calls since the start, including refused ones.
type Counts struct {
	Reads  int64 `json:"reads"`
	Writes int64 `json:"writes"`
	// LeaseCalls counts grants, renewals and revocations of leases.
	LeaseCalls int64 `json:"leases"`
	// WatchesCreated counts the requests to create a watch.
	WatchesCreated int64 `json:"opened"`
	// OpenWatches is the number of watches that are open now.
	OpenWatches int64 `json:"watches"`
	// Refused counts the calls that an outage or a limit refused.
	Refused int64 `json:"refused"`
}

// counters holds the atomic counters behind Counts.
type counters struct {
	reads, writes, leaseCalls, watchesCreated, openWatches, refused atomic.Int64
}

func (c *counters) load() Counts {
	return Counts{
		Reads:          c.reads.Load(),
		Writes:         c.writes.Load(),
		LeaseCalls:     c.leaseCalls.Load(),
		WatchesCreated: c.watchesCreated.Load(),
		OpenWatches:    c.openWatches.Load(),
		Refused:        c.refused.Load(),
	}
}

// faultState holds the faults in force and the rate limiters of reads and writes.
type faultState struct {
	clock clockwork.Clock

	mu     sync.Mutex
	faults Faults
	reads  *rate.Limiter
	writes *rate.Limiter
	// changed is closed and replaced when the faults are replaced.
	changed chan struct{}
}

// set replaces the faults and closes the channel that earlier calls of get returned.
func (s *faultState) set(f Faults) {
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

// get returns the faults and a channel that is closed when they are replaced.
func (s *faultState) get() (Faults, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults, s.changed
}

// allow reports whether the limit of reads or writes permits one more call now.
func (s *faultState) allow(write bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.reads
	if write {
		l = s.writes
	}
	return l.AllowN(s.clock.Now(), 1)
}

// writeOutcome says whether and how a fault affects a write.
type writeOutcome int

const (
	// writeApplied means that no fault affects the write.
	writeApplied writeOutcome = iota
	// writeAnswerLost means that the write takes effect and its answer is lost.
	writeAnswerLost
	// writeDelayed means that the write fails at once and takes effect later.
	writeDelayed
)

// nextWriteOutcome returns the outcome of the next write and, if it is delayed, the delay.
// It decrements LoseAnswers or DelayWrites.
func (s *faultState) nextWriteOutcome() (writeOutcome, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.faults.LoseAnswers > 0:
		s.faults.LoseAnswers--
		return writeAnswerLost, 0
	case s.faults.DelayWrites > 0:
		s.faults.DelayWrites--
		return writeDelayed, time.Duration(s.faults.WriteDelay)
	default:
		return writeApplied, 0
	}
}

// newLimiter returns a limiter whose burst is the limit of one second. Zero means no limit.
func newLimiter(perSecond int) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), perSecond)
}

// refuses reports whether an outage applies to the caller with this IP address.
func (f *Faults) refuses(caller string) bool {
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
