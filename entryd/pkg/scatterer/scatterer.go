// Package scatterer serves plain requests: it forwards each one to a target of
// one pool, or to a target of each shard, and merges what they answer.
//
// Where a request goes, when it is sent again and when it ends is decided by
// the package router. This package runs the attempts and judges the answers.
package scatterer

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"go.opentelemetry.io/otel/attribute"
	"google.golang.org/grpc"

	"plantaincleat/entryd/pkg/assigner"
	"plantaincleat/entryd/pkg/cataloger"
	"plantaincleat/entryd/pkg/forecaster"
	"plantaincleat/entryd/pkg/httpsender"
	"plantaincleat/tier/gen/peer"
	"plantaincleat/tier/pkg/tracer"
)

// Request is a caller's request.
type Request struct {
	// ID is unique for each attempt of a caller.
	ID     string
	Method string
	// Path holds the path and the query, as the caller sent them.
	Path   string
	Host   string
	Header http.Header
	Body   []byte
	// Received is when the request arrived.
	Received time.Time
	// RTT is the time that the request and its answer spend between the caller and
	// the daemon, zero if unknown.
	RTT time.Duration
	// Deadline is when the caller stops waiting.
	Deadline time.Time
}

// Outcome tells how a request ended.
type Outcome int

// Outcomes of a request.
const (
	// Answered means that the answer is a target's own.
	Answered Outcome = iota
	// Merged means that the answer was merged from parts.
	Merged
	// Refused means that the request was not run and never will be.
	Refused
	// Failed means that the request may have run, and no answer came.
	Failed
	// Expired means that the time has run out. The request may have run.
	Expired
	// Abandoned means that the caller has left.
	Abandoned
)

var outcomeNames = []string{"answered", "merged", "refused", "failed", "expired", "abandoned"}

// String returns the name of the outcome in logs.
func (o Outcome) String() string { return outcomeNames[o] }

// Result is how a request ended.
type Result struct {
	Outcome Outcome
	// Answer is the target's, if the outcome is Answered.
	Answer *httpsender.Answer
	// Body holds the merged records, if the outcome is Merged.
	Body []byte
	// Signatures are those of the parts that were merged.
	Signatures []string
	// Shards is the number of shards of the route.
	Shards int
	// Reason tells why shards are missing.
	Reason peer.Reason
	// RetryAfter is when a request that was not run may be sent again.
	RetryAfter time.Duration
	// Attempts is what was done, in order.
	Attempts []Attempt
	// Hedges and Retries count the attempts beyond the first ones.
	Hedges, Retries int
}

// Attempt is one sub-request to a target, for logs.
type Attempt struct {
	Shard  string
	Target string
	Hedge  bool
	// Start is the time since the request arrived.
	Start time.Duration
	// Took is zero while the attempt is running.
	Took   time.Duration
	Result string
}

// Options set up a Scatterer.
type Options struct {
	Clock clockwork.Clock
	// DataCentre is the daemon's own.
	DataCentre string
	// Signature is the header that makes a target's answer valid.
	Signature string
	// RemotePenalty is the time by which a target of another data centre has to be
	// sooner to be preferred. Zero takes the default.
	RemotePenalty time.Duration
	// ID is the daemon's own.
	ID string
	// Placement tells which daemons ask the targets of a shard. Without it, and
	// without Dial, every daemon asks by itself.
	Placement Placement
	// Dial returns the connection to another daemon.
	Dial Dial
	// Catalogs returns the configuration in force, for requests of other
	// daemons.
	Catalogs Catalogs
	// PartitionDetector tells whether the daemon is cut off from other data centres. It
	// is optional.
	PartitionDetector PartitionDetector
	// Cores is the daemon's share of a core. Zero counts as one.
	Cores float64
}

// Placement tells which daemons ask the targets of a shard.
type Placement interface {
	Owners() *assigner.Owners
}

// Dial returns the connection to a daemon. It need not wait until it is ready.
type Dial func(address string) (grpc.ClientConnInterface, error)

// Catalogs returns the configuration in force.
type Catalogs interface {
	Catalog() *cataloger.Catalog
}

// PartitionDetector tells whether the daemon is cut off from other data centres.
type PartitionDetector interface {
	Partitioned() bool
}

// DefaultRemotePenalty is that of Options.
const DefaultRemotePenalty = 4 * time.Millisecond

const (
	// sendWork is the processor time of a core in which a request is read and its
	// answer is merged and sent.
	sendWork = 1200 * time.Microsecond
	// goalMargin is the part of a latency goal that is left for waits on a busy
	// host.
	goalMargin = 0.03
)

// Scatterer serves requests. It is safe for concurrent use.
type Scatterer struct {
	Options
	nonces   atomic.Uint64
	running  atomic.Int64
	owners   owners
	forecast forecaster.Forecaster
}

// New returns a Scatterer.
func New(o Options) *Scatterer {
	if o.RemotePenalty <= 0 {
		o.RemotePenalty = DefaultRemotePenalty
	}
	if o.Cores <= 0 {
		o.Cores = 1
	}
	return &Scatterer{
		Options: o,
	}
}

// goal returns when the answer to a request has to be merged to reach the caller
// in time.
func (s *Scatterer) goal(r *Request, route *cataloger.Route) time.Time {
	latency := route.GetGoal().AsDuration()
	margin := time.Duration(float64(sendWork)/s.Cores + goalMargin*float64(latency))
	return r.Received.Add(latency - r.RTT - margin)
}

// Running returns the number of requests that are being served.
func (s *Scatterer) Running() int64 { return s.running.Load() }

// Serve serves one request by a route until it is answered, refused or ctx, the
// caller's connection, has ended.
func (s *Scatterer) Serve(ctx context.Context, r *Request, route *cataloger.Route) *Result {
	s.running.Add(1)
	defer s.running.Add(-1)
	if res := s.refuseOutOfReach(r, route); res != nil {
		return res
	}
	if res := s.overloaded(r, route); res != nil {
		return res
	}
	ctx, span := tracer.StartSpan(tracer.Extract(ctx, r.Header.Get("Traceparent")), "request",
		attribute.String("id", r.ID), attribute.String("route", route.GetName()))
	defer span.End()
	j := newRoot(s, r, route)
	j.run(ctx)
	return j.result(ctx)
}

// unrun reports whether an attempt that ended with err certainly did not run.
func unrun(err error) bool {
	return errors.Is(err, httpsender.ErrNotSent) || errors.Is(err, httpsender.ErrBusy) ||
		errors.Is(err, httpsender.ErrNotExecuted) || errors.Is(err, httpsender.ErrWrongTarget)
}
