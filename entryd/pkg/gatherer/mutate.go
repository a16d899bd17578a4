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

// connectWait bounds the wait for a connection to a target before a mutation
// is given up as not run.
const connectWait = 500 * time.Millisecond

// outcomeWait is how long a late outcome is waited for after the caller's
// deadline, so that it can be recorded. The target keeps the deadline itself.
const outcomeWait = 5 * time.Second

// Connector returns established connections.
type Connector interface {
	Ready(ctx context.Context, address string) (*grpc.ClientConn, error)
}

// Mutate hands one mutation to one target, once. An outcome whose status is
// STATUS_SHED or STATUS_LEAVING states that the target did not run it. An
// error leaves that unknown.
func (g *Gatherer) Mutate(ctx context.Context, in *peer.MutateRequest) (*target.Outcome, error) {
	m := in.GetMutation()
	ctx, span := tracer.StartSpan(tracer.Extract(ctx, m.GetTrace()), "handover", attribute.String("target", in.GetTarget()))
	defer span.End()
	t := g.configs.Index().Target(in.GetTarget())
	if t == nil || g.drainTracker.Draining(in.GetTarget()) {
		return notRun(in, target.Status_STATUS_LEAVING, "target is unknown or leaving"), nil
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(m.GetRemaining())*time.Microsecond+outcomeWait)
	defer cancel()
	wait, stop := context.WithTimeout(ctx, connectWait)
	defer stop()
	conn, err := g.connector.Ready(wait, t.GetAddress())
	if err != nil {
		return notRun(in, target.Status_STATUS_SHED, err.Error()), nil
	}
	out, err := target.NewTargetClient(conn).Mutate(ctx, m)
	if err != nil {
		return nil, eris.Wrapf(err, "mutate: target %s", in.GetTarget())
	}
	if out.GetLoad().GetLeaving() {
		g.drainTracker.Announce(in.GetTarget(), out.GetIncarnation())
	}
	return out, nil
}

func notRun(in *peer.MutateRequest, s target.Status, detail string) *target.Outcome {
	return &target.Outcome{
		Key:    in.GetMutation().GetKey(),
		Target: in.GetTarget(),
		Status: s,
		Detail: detail,
	}
}
