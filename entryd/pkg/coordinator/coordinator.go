// Package coordinator answers queries as their root. It selects a snapshot, sends
// sub-plans to gatherers, merges their partials and reports which shards the answer
// covers.
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
	// ErrSnapshotGone reports that targets no longer serve the snapshot of a cursor.
	ErrSnapshotGone = errors.New("the snapshot of the cursor is no longer served")
	// ErrQuarantined reports that the request was quarantined while it was executed.
	ErrQuarantined = errors.New("the request was quarantined while it was executed")
)

// Placement provides the gatherers of the shard groups.
type Placement interface {
	// Gatherers returns the daemons that gather a shard group of a data
	// centre, in order of preference. assigner.GroupName returns the name of a
	// group.
	Gatherers(dataCentre, group string) []assigner.Daemon
	// Version changes whenever the results of Gatherers may change.
	Version() uint64
}

// Request is one admitted query.
type Request struct {
	Collection string
	Version    string
	// Snapshot is the id of the snapshot to query, as a cursor names it. Empty selects
	// the current snapshot.
	Snapshot string
	Query    *target.Query
	Deadline time.Time
	// Goal is the time from which the query ends as soon as its coverage reaches
	// Floor. Zero means that the query waits for every shard.
	Goal time.Time
	// Floor is a fraction of the shards, in [0,1].
	Floor       float64
	Institution string
	Fingerprint uint64
	// Suspected is true for a request that may crash targets. It is not hedged.
	Suspected bool
	// Canary is true for a request that asks one shard before the others.
	// FirstShard names that shard. If the snapshot does not have it, the
	// fingerprint selects the shard.
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
	// CrashedTargets are the ids of the targets whose connection was lost while they
	// executed the request.
	CrashedTargets []string
	// QueueTime is the time that the query waited for capacity at its targets: the
	// longest wait of an attempt, hedges excluded. The wait of a canary's first shard
	// is added.
	QueueTime time.Duration
	// Restarts is the number of snapshots that were abandoned for a newer one.
	Restarts int
}

// Stats counts the sub-requests of a query to targets.
type Stats struct {
	// Needed is the number of shards of the snapshot.
	Needed int `json:"needed"`
	// Sent is the number of sub-requests sent to targets, including hedges and
	// retries.
	Sent int `json:"sent"`
	// Hedges is the number of hedges of the root and its gatherers.
	Hedges int `json:"hedges"`
	// Retries is the number of units that the root sent again.
	Retries int `json:"retries"`
}

// SubPlan describes one sub-plan of a query for the explanation of its answer.
type SubPlan struct {
	Daemon     string   `json:"daemon"`
	DataCentre string   `json:"datacentre"`
	Shards     []string `json:"shards"`
	Hedge      bool     `json:"hedge"`
	// Start and End are in microseconds since the start of the query. End is zero
	// if the sub-plan was cancelled or is still open.
	Start int64  `json:"start"`
	End   int64  `json:"end"`
	Error string `json:"error,omitempty"`
}

// Options are the identity and the dependencies of a Coordinator.
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

// Counts are the counters of a Coordinator since its start.
type Counts struct {
	Queries atomic.Int64
	// PartialResults counts results that do not cover every shard.
	PartialResults atomic.Int64
	// Restarts counts restarts of queries on a newer snapshot.
	Restarts atomic.Int64
	// Mismatched counts partials that did not match their sub-plan.
	Mismatched atomic.Int64
	Hedges     atomic.Int64
	Retries    atomic.Int64
	// LateAnswers counts partials of sub-plans that were no longer pending.
	LateAnswers atomic.Int64
}

// Coordinator runs queries as their root. It is safe for concurrent use.
type Coordinator struct {
	Options
	counts     Counts
	nonce      atomic.Uint64
	paths      atomic.Pointer[pathCache]
	estimators estimator.Group
	slow       slowTargets

	mu    sync.RWMutex
	peers map[string]*peerDaemon
}

// peerDaemon is the connection to a gatherer in another daemon and the estimate of
// its latency.
type peerDaemon struct {
	link      *multiplexer.PeerLink
	estimator *estimator.Estimator
}

// peerSlots is the number of sub-plans that a daemon is assumed to run in parallel.
const peerSlots = 256

// New returns a Coordinator.
func New(o Options) *Coordinator {
	return &Coordinator{
		Options: o,
		peers:   map[string]*peerDaemon{},
	}
}

// Counts returns the counters of the coordinator.
func (c *Coordinator) Counts() *Counts { return &c.counts }

// Run answers a query. If a shard has no replica with the pinned snapshot any more, Run
// restarts the whole query on the current snapshot, if that is a newer one and the
// deadline has not passed. If the request names a snapshot, it returns ErrSnapshotGone
// instead. It returns ErrQuarantined if the request was quarantined meanwhile.
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
		if !s.snapshotDropped || !c.Clock.Now().Before(r.Deadline) {
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

// result builds the result of a search that has ended and counts it.
func (c *Coordinator) result(s *search, restarts int) *Result {
	out := &Result{
		Revision:       s.index.Revision(),
		Snapshot:       s.snapshot,
		Records:        s.merged.Records(),
		Attempts:       s.attempts,
		SubPlans:       s.loggedSubPlans(),
		CrashedTargets: s.crashed,
		QueueTime:      s.queueTime(),
		Restarts:       restarts,
		Stats: Stats{
			Needed:  s.snapshot.ShardCount(),
			Sent:    s.sent,
			Hedges:  s.hedges(),
			Retries: s.query.Retries(),
		},
	}
	out.Covered = make([]string, 0, s.merged.CoveredCount())
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

// peer returns the state of the daemon at an address. It creates the state if it does
// not exist.
func (c *Coordinator) peer(address string) *peerDaemon {
	c.mu.RLock()
	p := c.peers[address]
	c.mu.RUnlock()
	if p != nil {
		return p
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if p = c.peers[address]; p == nil {
		p = &peerDaemon{
			link: multiplexer.NewPeerLink(address, c.Dial, c.Clock),
			estimator: c.estimators.New(estimator.Settings{
				Slots: peerSlots,
			}),
		}
		c.peers[address] = p
	}
	return p
}

// Unresponsive reports whether the daemon at an address has left sub-plans unanswered
// while other daemons answered.
func (c *Coordinator) Unresponsive(address string) bool {
	c.mu.RLock()
	p := c.peers[address]
	c.mu.RUnlock()
	return p != nil && p.estimator.Suspected()
}

// RetainLinks closes the links to all daemons except those at the given addresses.
func (c *Coordinator) RetainLinks(addresses map[string]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, p := range c.peers {
		if !addresses[address] {
			delete(c.peers, address)
			p.link.Close()
		}
	}
}

// Close closes the links to all other daemons.
func (c *Coordinator) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.peers {
		p.link.Close()
	}
}
