package searcher

import (
	"sync/atomic"

	"plantaincleat/tier/gen/target"
)

// counts holds the atomic counters behind Counts.
type counts struct {
	calls         atomic.Int64
	whileDraining atomic.Int64
	lastReceived  atomic.Int64
	mutations     atomic.Int64
	crashes       atomic.Int64
	statuses      [target.Status_STATUS_EXPIRED + 1]atomic.Int64
}

// Counts are counts of the requests that one target received since its start. The
// fields from Done on count answers by status.
type Counts struct {
	// Calls counts the requests received.
	Calls int64 `json:"calls"`
	// WhileDraining counts the requests received while the target was draining.
	WhileDraining int64 `json:"stale"`
	// LastReceived is the time of the latest request in Unix nanoseconds, zero
	// before the first.
	LastReceived int64 `json:"last"`
	// Mutations counts the executions of mutations.
	Mutations int64 `json:"mutations"`
	// Crashes counts the crashes caused by requests.
	Crashes   int64 `json:"crashes"`
	Done      int64 `json:"done"`
	Shed      int64 `json:"shed"`
	Leaving   int64 `json:"leaving"`
	Dropped   int64 `json:"dropped"`
	Absent    int64 `json:"absent"`
	Cancelled int64 `json:"cancelled"`
	Failed    int64 `json:"failed"`
	Expired   int64 `json:"expired"`
}

// Counts returns the counts since the start.
func (s *Searcher) Counts() Counts {
	c := &s.counts
	return Counts{
		Calls:         c.calls.Load(),
		WhileDraining: c.whileDraining.Load(),
		LastReceived:  c.lastReceived.Load(),
		Mutations:     c.mutations.Load(),
		Crashes:       c.crashes.Load(),
		Done:          c.statuses[target.Status_STATUS_DONE].Load(),
		Shed:          c.statuses[target.Status_STATUS_SHED].Load(),
		Leaving:       c.statuses[target.Status_STATUS_LEAVING].Load(),
		Dropped:       c.statuses[target.Status_STATUS_DROPPED].Load(),
		Absent:        c.statuses[target.Status_STATUS_ABSENT].Load(),
		Cancelled:     c.statuses[target.Status_STATUS_CANCELLED].Load(),
		Failed:        c.statuses[target.Status_STATUS_FAILED].Load(),
		Expired:       c.statuses[target.Status_STATUS_EXPIRED].Load(),
	}
}

func (c *counts) recordReceived(s *Searcher) {
	c.calls.Add(1)
	c.lastReceived.Store(s.clock.Now().UnixNano())
	if s.faults.Load().Drain {
		c.whileDraining.Add(1)
	}
}

func (c *counts) recordStatus(s target.Status) {
	c.statuses[s].Add(1)
}
