// Package coordinator answers queries as their root: it pins a snapshot, sends
// sub-plans to gatherers, merges their partials and states the coverage.
package coordinator

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"plantaincleat/entryd/pkg/assigner"
	"plantaincleat/entryd/pkg/estimator"
	"plantaincleat/entryd/pkg/gatherer"
	"plantaincleat/entryd/pkg/multiplexer"
	"plantaincleat/entryd/pkg/router"
	"plantaincleat/tier/gen/peer"
	"plantaincleat/tier/gen/target"
	"plantaincleat/tier/pkg/indexer"
)

// Errors of Run.
var (
	// ErrSnapshotGone reports that a cursor's snapshot is not served any more.
	ErrSnapshotGone = errors.New("the cursor's snapshot is not served any more")
	// ErrQuarantined reports that the request was quarantined while it ran.
	ErrQuarantined = errors.New("the request was quarantined while it ran")
)

// Placement tells which daemons gather for which targets.
type Placement interface {
	// Gatherers returns the daemons that gather a shard group of a data
	// centre, in order of preference. placer.Name names a group.
	Gatherers(dataCentre, group string) []assigner.Daemon
	// Version changes whenever Gatherers may return something else.
	Version() uint64
}

// Request is one admitted query.
type Request struct {
	Collection string
	Version    string
	// Snapshot is set for later pages. Empty pins the current one.
	Snapshot string
	Query    *target.Query
	Deadline time.Time
	// Goal is the time from which an answer at the floor is enough. Zero
	// waits for every shard.
	Goal        time.Time
	Floor       float64
	Institution string
	Fingerprint uint64
	// Suspected requests are not hedged.
	Suspected bool
	// Canary requests ask one shard first: the one named by First if the
	// snapshot has it.
	Canary     bool
	FirstShard string
}

// Result is the answer to a query.
type Result struct {
	Revision uint64
	Snapshot *indexer.Snapshot
	Covered  []string
	Missing  []*peer.Missing
	Records  []*target.Record
	Stats    Stats
	Attempts []*peer.Attempt
	SubPlans []SubPlan
	// CrashedTargets are the targets whose connection was lost while they ran the
	// request.
	CrashedTargets []string
	// QueueTime is the longest time that a first attempt waited for a place at a
	// target.
	QueueTime time.Duration
	// Restarts counts the snapshots that were given up for a newer one.
	Restarts int
}

// Stats count sub-requests to targets.
type Stats struct {
	// Needed is the number of shards.
	Needed  int `json:"needed"`
	Sent    int `json:"sent"`
	Hedges  int `json:"hedges"`
	Retries int `json:"retries"`
}

// SubPlan is one sub-plan as the root saw it.
type SubPlan struct {
	Daemon     string   `json:"daemon"`
	DataCentre string   `json:"datacentre"`
	Shards     []string `json:"shards"`
	Hedge      bool     `json:"hedge"`
	// Start and End are microseconds after the start of the query. End is
	// zero if the sub-plan did not end.
	Start int64  `json:"start"`
	End   int64  `json:"end"`
	Error string `json:"error,omitempty"`
}

// Options are the collaborators of a Coordinator.
type Options struct {
	ID         string
	DataCentre string
	Configs    gatherer.Configs
	Placement  Placement
	Gatherer   *gatherer.Gatherer
	Dial       multiplexer.Dialer
	Clock      clockwork.Clock
	Budget     router.Budget
}

// Counts are the counters of a coordinator.
type Counts struct {
	Queries        atomic.Int64
	PartialResults atomic.Int64
	Restarts       atomic.Int64
	// Mismatched counts partials that did not match their sub-plan.
	Mismatched  atomic.Int64
	Hedges      atomic.Int64
	Retries     atomic.Int64
	LateAnswers atomic.Int64
}

// Coordinator is the root of queries. It is safe for concurrent use.
type Coordinator struct {
	Options
	counts Counts
	nonce  atomic.Uint64
	plans  atomic.Pointer[planCache]
	group  estimator.Group
	slow   slowTargets

	mu    sync.RWMutex
	peers map[string]*neighbour
}

// neighbour is another daemon as a gatherer.
type neighbour struct {
	link  *multiplexer.PeerLink
	gauge *estimator.Estimator
}

// peerSlots is the number of sub-plans that a daemon runs at once.
const peerSlots = 256

// New returns a coordinator.
func New(o Options) *Coordinator {
	return &Coordinator{
		Options: o,
		peers:   map[string]*neighbour{},
	}
}

// Counts returns the coordinator's counters.
func (c *Coordinator) Counts() *Counts { return &c.counts }

// Run answers a query. If targets have dropped the pinned snapshot, the whole
// query starts again on the current one while time allows.
func (c *Coordinator) Run(ctx context.Context, r *Request) (*Result, error) {
	c.counts.Queries.Add(1)
	ix := c.Configs.Index()
	snapshot, err := ix.ResolveSnapshot(r.Collection, r.Version, r.Snapshot)
	if err != nil {
		return nil, err
	}
	restarts := 0
	for {
		s := newSearch(c, r, ix, snapshot)
		s.run(ctx)
		if s.quarantined() {
			return nil, ErrQuarantined
		}
		if !s.dropped || !c.Clock.Now().Before(r.Deadline) {
			return c.result(s, restarts), nil
		}
		if r.Snapshot != "" {
			return nil, ErrSnapshotGone
		}
		ix = c.Configs.Index()
		next, err := ix.ResolveSnapshot(r.Collection, r.Version, "")
		if err != nil || next.ID() == snapshot.ID() {
			return c.result(s, restarts), nil
		}
		snapshot = next
		restarts++
		c.counts.Restarts.Add(1)
	}
}

func (c *Coordinator) result(s *search, restarts int) *Result {
	out := &Result{
		Revision:       s.index.Revision(),
		Snapshot:       s.snapshot,
		Records:        s.merged.Records(),
		Attempts:       s.attempts,
		SubPlans:       s.plans(),
		CrashedTargets: s.crashed,
		QueueTime:      s.waited(),
		Restarts:       restarts,
		Stats: Stats{
			Needed:  s.snapshot.ShardCount(),
			Sent:    s.sent,
			Hedges:  s.hedges(),
			Retries: s.query.Retries(),
		},
	}
	out.Covered = make([]string, 0, s.merged.Count())
	for i := range s.snapshot.ShardCount() {
		id := s.snapshot.Shard(i).ID()
		if s.merged.Covered(i) {
			out.Covered = append(out.Covered, id)
			continue
		}
		out.Missing = append(out.Missing, &peer.Missing{
			Shard:  id,
			Reason: s.reason(i),
		})
	}
	c.counts.Hedges.Add(int64(out.Stats.Hedges))
	c.counts.Retries.Add(int64(out.Stats.Retries))
	c.counts.LateAnswers.Add(int64(s.query.LateAnswers()))
	if len(out.Missing) > 0 {
		c.counts.PartialResults.Add(1)
	}
	return out
}

// neighbour returns the daemon at an address, with its link.
func (c *Coordinator) neighbour(address string) *neighbour {
	c.mu.RLock()
	n := c.peers[address]
	c.mu.RUnlock()
	if n != nil {
		return n
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if n = c.peers[address]; n == nil {
		n = &neighbour{
			link: multiplexer.NewPeerLink(address, c.Dial, c.Clock),
			gauge: c.group.New(estimator.Settings{
				Slots: peerSlots,
			}),
		}
		c.peers[address] = n
	}
	return n
}

// Unresponsive reports whether the daemon at an address has left sub-plans unanswered
// while others answered.
func (c *Coordinator) Unresponsive(address string) bool {
	c.mu.RLock()
	n := c.peers[address]
	c.mu.RUnlock()
	return n != nil && n.gauge.Suspected()
}

// RetainLinks closes the links to daemons at all other addresses.
func (c *Coordinator) RetainLinks(addresses map[string]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, n := range c.peers {
		if !addresses[address] {
			delete(c.peers, address)
			n.link.Close()
		}
	}
}

// Close ends the links to other daemons.
func (c *Coordinator) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, n := range c.peers {
		n.link.Close()
	}
}
