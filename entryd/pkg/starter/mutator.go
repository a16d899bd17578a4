package starter

import (
	"context"
	"errors"
	"time"

	"plantaincleat/entryd/pkg/forwarder"
	"plantaincleat/entryd/pkg/handler"
	"plantaincleat/tier/gen/target"
)

// retryPause is the Retry-After of a mutation that was not run.
const retryPause = time.Second

// mutator adapts the forwarder to callers.
type mutator struct {
	forwarder *forwarder.Forwarder
}

func (d *Daemon) newMutator() handler.Mutator {
	return &mutator{
		forwarder: &forwarder.Forwarder{
			ID:         d.cfg.GetId(),
			Configs:    d.configs,
			Placement:  &d.placement,
			Departures: d.drainer,
			Connector:  d.dialer,
			Local:      d.gatherer,
		},
	}
}

// Mutate implements handler.Mutator.
func (m *mutator) Mutate(ctx context.Context, in *handler.Mutation) (*target.Outcome, error) {
	ctx, cancel := context.WithDeadline(ctx, in.Deadline)
	defer cancel()
	out, err := m.forwarder.Forward(ctx, &target.Mutation{
		Key:        in.Key,
		Collection: in.Collection,
		Version:    in.Version,
		Record:     in.Record,
		Remaining:  time.Until(in.Deadline).Microseconds(),
	})
	switch {
	case errors.Is(err, forwarder.ErrNotRun):
		return nil, notRun(err.Error())
	case err != nil:
		return nil, &handler.Refusal{
			Kind:    handler.KindOutcome,
			Message: err.Error(),
			Run:     handler.RunUnknown,
		}
	case out.GetStatus() != target.Status_STATUS_DONE:
		return nil, notRun(out.GetDetail())
	}
	return out, nil
}

func notRun(message string) *handler.Refusal {
	return &handler.Refusal{
		Kind:       handler.KindUnavailable,
		Message:    message,
		Run:        handler.RunNo,
		RetryAfter: retryPause,
	}
}
