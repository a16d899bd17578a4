// Package scatterer serves plain requests. It sends each request to one target of a
// pool, or to one target of each shard of a route and merges the answers.
//
// The package router decides where a request is sent, when it is sent again and when
// it ends. This package executes the attempts and classifies the answers.
package scatterer

import (
	"context"
	"errors"
	"strings"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"go.opentelemetry.io/otel/attribute"
	"golang.org/x/sync/singleflight"
	"google.golang.org/grpc"

	"plantaincleat/entryd/pkg/assigner"
	"plantaincleat/entryd/pkg/cataloger"
	"plantaincleat/entryd/pkg/crashtracker"
	"plantaincleat/entryd/pkg/httpsender"
	"plantaincleat/entryd/pkg/valuer"
	"plantaincleat/entryd/pkg/withholder"
	"plantaincleat/tier/pkg/tracer"
)

// Options configure a Scatterer.
type Options struct {
	Clock clockwork.Clock
	// DataCentre is the data centre of this daemon.
	DataCentre string
	// Signature is the header that a successful response of a target must have.
	Signature string
	// Announcements names the headers in which targets announce something of themselves.
	Announcements withholder.Headers
	// LoadHeader is the header in which targets tell their load, or empty.
	LoadHeader string
	// InstanceHeader is the header with the id of the target that sends an answer.
	InstanceHeader string
	// InstitutionHeader is the header in which targets get the name of the institution of
	// a request.
	InstitutionHeader string
	// RemotePenalty is added to the expected latency of a target in a remote data centre.
	// Zero means DefaultRemotePenalty.
	RemotePenalty time.Duration
	// ID is the id of this daemon.
	ID string
	// Placement returns the owners of the shards. If it is nil, the daemon sends all
	// sub-requests to targets itself and Dial is not used.
	Placement Placement
	// Dial returns a connection to another daemon.
	Dial Dial
	// Catalogs returns the current catalog, for requests of other daemons, and what the
	// targets have announced.
	Catalogs Catalogs
	// PartitionDetector reports whether the daemon is partitioned from the remote data
	// centres. It may be nil.
	PartitionDetector PartitionDetector
	// ReachDetector is told what becomes of requests to targets, and reports whether the
	// daemon is isolated from all of them. It may be nil.
	ReachDetector ReachDetector
	// Membership is this daemon's own part in the fleet. If it is nil, the daemon neither leaves
	// nor freezes.
	Membership Membership
	// Account is where copies of requests are charged. If it is nil, there is room for all.
	Account Account
	// Cores is the number of processor cores that the daemon may use, which can be a
	// fraction. Zero means one.
	Cores float64
}

// Placement returns the owners of the shards, which send the sub-requests to the
// targets, and the daemons that reach targets.
type Placement interface {
	Owners() *assigner.Owners
	// Peers returns the other live daemons, and Relays those of them that may send a request to
	// targets in place of this one. The slices must not be modified.
	Peers() []assigner.Daemon
	Relays() []assigner.Daemon
	// Isolated reports whether a daemon has said that it reaches no target.
	Isolated(daemon string) bool
}

// Membership is this daemon's own part in the fleet.
type Membership interface {
	// Since returns since when the daemon has run without a gap: its start or the end of its
	// last freeze.
	Since() time.Time
	// Leaving reports whether the daemon leaves the fleet.
	Leaving() bool
}

// Account accounts for what requests hold.
type Account interface {
	// Reserve charges n bytes, which release gives back. It reports whether there is room.
	Reserve(n int64) (release func(), ok bool)
}

// Dial returns a connection to a daemon, which need not be ready yet.
type Dial func(address string) (grpc.ClientConnInterface, error)

// Catalogs returns the current catalog and what its targets have announced.
type Catalogs interface {
	Catalog() *cataloger.Catalog
	Withholder() *withholder.Table
}

// PartitionDetector reports whether the daemon is partitioned from the remote data
// centres.
type PartitionDetector interface {
	Partitioned() bool
}

// ReachDetector is told what becomes of requests to targets, and detects whether the daemon
// is isolated.
type ReachDetector interface {
	// RecordSent records that a request is sent to a target with the given p95 latency. One
	// call of the next three methods follows.
	RecordSent(target string, p95 time.Duration)
	RecordHeard(target string)
	RecordFailed(target string)
	RecordDropped(target string)
	// RecordUnreachable records that no connection to a target could be opened.
	RecordUnreachable(target string)
	// Isolated reports whether the daemon reaches no target, and Doubtful whether that may
	// be so.
	Isolated() bool
	Doubtful() bool
	// Lost returns a channel that is closed while the daemon is isolated.
	Lost() <-chan struct{}
	// ReachesTarget reports whether a target, and not another process at its address, answers
	// a probe of this daemon.
	ReachesTarget(ctx context.Context, target string) bool
}

// DefaultRemotePenalty is the default of Options.RemotePenalty.
const DefaultRemotePenalty = 4 * time.Millisecond

const (
	// cpuTimePerRequest is the processor time that one core needs to read a request and to
	// merge and send its answer.
	cpuTimePerRequest = 1200 * time.Microsecond
	// goalMargin is the fraction of a latency goal that is reserved for waiting for the
	// processor on a busy host.
	goalMargin = 0.03
)

// Scatterer serves requests. It is safe for concurrent use.
type Scatterer struct {
	Options
	nonces        atomic.Uint64
	running       atomic.Int64
	endedAttempts atomic.Int64
	owners        owners
	forecast      valuer.Forecast
	returns       valuer.Returns[crashtracker.Subject]
	tally         valuer.Tally
	pauses        shardPauses
	unreached     unreachedShards
	linkChecks    singleflight.Group
	crashes       crashtracker.Tracker
	turns         crashtracker.Turns
	contentTurns  crashtracker.Turns
	stopping      stopSignals
}

// New returns a Scatterer with the given options.
func New(o Options) *Scatterer {
	if o.RemotePenalty <= 0 {
		o.RemotePenalty = DefaultRemotePenalty
	}
	if o.Cores <= 0 {
		o.Cores = 1
	}
	return &Scatterer{
		Options:  o,
		stopping: newStopSignals(),
	}
}

// goal returns the time by which the merge of the answer has to start for the caller
// to get it within the latency goal of the route.
func (s *Scatterer) goal(r *Request, route *cataloger.Route) time.Time {
	latency := route.GetGoal().AsDuration()
	margin := time.Duration(float64(cpuTimePerRequest)/s.Cores + goalMargin*float64(latency))
	return r.Received.Add(latency - r.RTT - margin)
}

// Crashes returns the requests that are suspected of crashing targets.
func (s *Scatterer) Crashes() *crashtracker.Tracker { return &s.crashes }

// EndedAttempts returns the number of attempts during which the target ended.
func (s *Scatterer) EndedAttempts() int64 { return s.endedAttempts.Load() }

// Running returns the number of requests that are being served.
func (s *Scatterer) Running() int64 { return s.running.Load() }

// Serve serves a request on a route. It returns when the request is answered or refused, when
// EndRequests is called, or soon after the end of ctx, the context of the caller's connection.
func (s *Scatterer) Serve(ctx context.Context, r *Request, route *cataloger.Route) *Result {
	subject := r.Subject()
	res := s.serve(ctx, r, route, subject)
	res.Subject = subject
	s.recordRefusal(res)
	return res
}

func (s *Scatterer) serve(ctx context.Context, r *Request, route *cataloger.Route, subject crashtracker.Subject) *Result {
	s.running.Add(1)
	defer s.running.Add(-1)
	if res := s.refuseStopping(route); res != nil {
		return res
	}
	plan, res := s.planSend(ctx, r, route, subject)
	if res != nil {
		return res
	}
	defer plan.endTurn()
	if res := s.refuseUnreachable(r, route); res != nil {
		return res
	}
	if res := s.refuseWithheld(route); res != nil {
		return res
	}
	if res := s.refuseOverloaded(r, s.Catalogs.Catalog(), route, subject); res != nil {
		return res
	}
	ctx, span := tracer.StartSpan(tracer.Extract(ctx, r.Header.Get("Traceparent")), "request",
		idAttribute(r.ID), attribute.String("route", route.GetName()))
	defer span.End()
	j := newRoot(s, r, route, plan.Plan)
	j.arbiter = plan.arbiter
	j.run(ctx)
	j.awaitOutcome()
	if j.abandoned {
		j.cancel()
	}
	j.recordCrashes()
	res = j.result()
	j.finish(res.Answer)
	return res
}

// idAttribute returns the id of a request for a trace span, which has to be UTF-8.
func idAttribute(id string) attribute.KeyValue {
	return attribute.String("id", strings.ToValidUTF8(id, "\uFFFD"))
}

// notExecuted reports whether an attempt that ended with err was certainly not
// executed.
func notExecuted(err error) bool {
	return errors.Is(err, httpsender.ErrNotSent) || errors.Is(err, httpsender.ErrBusy) ||
		errors.Is(err, httpsender.ErrNotExecuted) || errors.Is(err, httpsender.ErrWrongTarget)
}
