package gatherer

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/attribute"
	"google.golang.org/grpc"

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

// Connector provides connections to targets.
type Connector interface {
	// Ready returns an established connection to an address. It waits for the
	// connection until ctx ends.
	Ready(ctx context.Context, address string) (*grpc.ClientConn, error)
}

// Mutate sends one mutation to one target, once. An outcome with STATUS_SHED or
// STATUS_LEAVING means that the target did not execute the mutation. After an error the
// target may have executed it.
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
	if err != nil {
		return nil, eris.Wrapf(err, "send mutation to target %s", in.GetTarget())
	}
	if out.GetLoad().GetLeaving() {
		g.drainTracker.Announce(in.GetTarget(), out.GetIncarnation())
	}
	return out, nil
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
