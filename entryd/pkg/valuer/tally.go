package valuer

import (
	"slices"
	"sync"
	"time"
)

const (
	// maxKinds is the number of priorities that are counted separately. All less urgent ones
	// count as the last of them.
	maxKinds = 8
	// tallyInterval is the shortest time between two log lines about too little room.
	tallyInterval = time.Second
)

// KindCounts counts what happened to the requests of one priority because of too little room.
type KindCounts struct {
	// Rank is the priority, 0 for the highest.
	Rank uint32 `json:"rank"`
	// Waited counts the sub-requests that waited for a connection to a target, and WaitedMS
	// is the sum of their waits in milliseconds.
	Waited   uint64 `json:"waited"`
	WaitedMS uint64 `json:"waited_ms"`
	// TurnedAway counts the sub-requests that no target's queue had room for.
	TurnedAway uint64 `json:"turned_away"`
	// Refused counts the requests that were refused at their arrival, and Returned those
	// that returned after they were refused.
	Refused  uint64 `json:"refused"`
	Returned uint64 `json:"returned"`
}

// Tally counts who waited and who was turned away, by priority. The zero value is ready for
// use, and a nil Tally counts nothing. It is safe for concurrent use.
type Tally struct {
	mu     sync.Mutex
	counts [maxKinds]KindCounts
	// changed is true if a request was refused or turned away since the last log line.
	changed bool
	logged  time.Time
}

// RecordWait records how long a sub-request waited for a connection.
func (t *Tally) RecordWait(rank uint32, waited time.Duration) {
	t.update(rank, false, func(c *KindCounts) {
		c.Waited++
		c.WaitedMS += uint64(waited.Milliseconds())
	})
}

// RecordTurnedAway records a sub-request that no queue had room for.
func (t *Tally) RecordTurnedAway(rank uint32) {
	t.update(rank, true, func(c *KindCounts) { c.TurnedAway++ })
}

// RecordRefused records a request that was refused at its arrival.
func (t *Tally) RecordRefused(rank uint32) {
	t.update(rank, true, func(c *KindCounts) { c.Refused++ })
}

// RecordReturned records the return of a request that was refused before.
func (t *Tally) RecordReturned(rank uint32) {
	t.update(rank, false, func(c *KindCounts) { c.Returned++ })
}

func (t *Tally) update(rank uint32, changed bool, change func(*KindCounts)) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	i := min(rank, maxKinds-1)
	t.counts[i].Rank = i
	t.changed = t.changed || changed
	change(&t.counts[i])
}

// Counts returns the counts of the priorities that have any.
func (t *Tally) Counts() []KindCounts {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.list()
}

func (t *Tally) list() []KindCounts {
	return slices.DeleteFunc(slices.Clone(t.counts[:]), func(c KindCounts) bool {
		return c == KindCounts{Rank: c.Rank}
	})
}

// Due returns the counts for a log line, and false if none is due: nothing was refused since
// the last one, or that is not a second ago.
func (t *Tally) Due(now time.Time) ([]KindCounts, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.changed || now.Sub(t.logged) < tallyInterval {
		return nil, false
	}
	t.changed = false
	t.logged = now
	return t.list(), true
}
