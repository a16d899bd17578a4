package gatherer

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/attribute"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/connectivity"
	"google.golang.org/grpc/status"

	"plantaincleat/tier/gen/peer"
	"plantaincleat/tier/gen/target"
	"plantaincleat/tier/pkg/tracer"
)

// connectTimeout bounds the wait for a connection to a target. After it, a mutation is
// reported as not executed.
const connectTimeout = 500 * time.Millisecond

// outcomeGrace is the time to wait for an outcome after the deadline of the caller, so
// that a late outcome can still be recorded. The target enforces the deadline itself.
const outcomeGrace = 5 * time.Second

const (
	// TargetEndedCode is the status code of the error of Mutate if the target ended while
	// it had the mutation.
	TargetEndedCode = codes.Aborted
	// reconnectTimeout is the time after a lost connection within which a target that has
	// not ended accepts a new one.
	reconnectTimeout = 250 * time.Millisecond
	// settleTime is the time within which a connection that is lost no longer counts as
	// ready.
	settleTime = 50 * time.Millisecond
)

// Connector provides connections to targets.
type Connector interface {
	// Ready returns an established connection to an address. It waits for the
	// connection until ctx ends.
	Ready(ctx context.Context, address string) (*grpc.ClientConn, error)
}

// Mutate sends one mutation to one target, once. An outcome with STATUS_SHED or
// STATUS_LEAVING means that the target did not execute the mutation. After an error the
// target may have executed it. The error has TargetEndedCode if the target ended.
func (g *Gatherer) Mutate(ctx context.Context, in *peer.MutateRequest) (*target.Outcome, error) {
	m := in.GetMutation()
	ctx, span := tracer.StartSpan(tracer.Extract(ctx, m.GetTrace()), "handover", attribute.String("target", in.GetTarget()))
	defer span.End()
	t := g.configs.Index().Target(in.GetTarget())
	if t == nil || g.drainTracker.Draining(in.GetTarget()) {
		return notExecuted(in, target.Status_STATUS_LEAVING, "target is unknown or draining"), nil
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(m.GetRemaining())*time.Microsecond+outcomeGrace)
	defer cancel()
	wait, stop := context.WithTimeout(ctx, connectTimeout)
	defer stop()
	conn, err := g.connector.Ready(wait, t.GetAddress())
	if err != nil {
		return notExecuted(in, target.Status_STATUS_SHED, err.Error()), nil
	}
	out, err := target.NewTargetClient(conn).Mutate(ctx, m)
	if err != nil && g.hasEnded(ctx, t.GetAddress(), err) {
		return nil, status.Errorf(TargetEndedCode, "send mutation to target %s, which has ended: %v", in.GetTarget(), err)
	}
	if err != nil {
		return nil, eris.Wrapf(err, "send mutation to target %s", in.GetTarget())
	}
	if out.GetLoad().GetLeaving() {
		g.drainTracker.Announce(in.GetTarget(), out.GetIncarnation())
	}
	return out, nil
}

// hasEnded reports whether a target whose connection was lost during a call accepts no new
// connection either.
func (g *Gatherer) hasEnded(ctx context.Context, address string, err error) bool {
	if status.Code(err) != codes.Unavailable {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, reconnectTimeout)
	defer cancel()
	conn, err := g.connector.Ready(ctx, address)
	if err != nil {
		return true
	}
	// The state of a connection changes a moment after its calls have failed.
	settled, stop := context.WithTimeout(ctx, settleTime)
	defer stop()
	if !conn.WaitForStateChange(settled, connectivity.Ready) {
		return false
	}
	_, err = g.connector.Ready(ctx, address)
	return err != nil
}

// notExecuted returns the outcome of a mutation that no target executed.
func notExecuted(in *peer.MutateRequest, s target.Status, detail string) *target.Outcome {
	return &target.Outcome{
		Key:    in.GetMutation().GetKey(),
		Target: in.GetTarget(),
		Status: s,
		Detail: detail,
	}
}
