package starter

import (
	"context"
	"errors"
	"time"

	"plantaincleat/entryd/pkg/claimer"
	"plantaincleat/entryd/pkg/dispatcher"
	"plantaincleat/entryd/pkg/httphandler"
	"plantaincleat/entryd/pkg/mutationforwarder"
	"plantaincleat/tier/gen/target"
	"plantaincleat/tier/pkg/tracer"
)

// buildMutations makes the path of a mutation.
func (d *Daemon) buildMutations() {
	d.keeper = claimer.New(d.store, d.clock, claimer.Config{
		WriterID:  d.cfg.GetId() + "@" + d.clock.Now().UTC().Format(time.RFC3339Nano),
		Retention: func() time.Duration { return d.configs.Index().Policy().GetRetention().AsDuration() },
	})
	claims := &claimer.Client{
		ID:    d.cfg.GetId(),
		Local: d.keeper,
		Members: &keepers{
			daemon: d,
		},
		Connector: d.dialer,
		Clock:     d.clock,
	}
	route := &mutationforwarder.Forwarder{
		ID:           d.cfg.GetId(),
		Configs:      d.configs,
		Placement:    &d.placement,
		DrainTracker: d.drainer,
		Connector:    d.dialer,
		Local:        d.gatherer,
		Unresponsive: func(address string) bool { return d.coordinator.Unresponsive(address) },
	}
	d.dispatcher = dispatcher.New(claims, &handOver{
		forwarder: route,
	}, d.clock)
}

// keepers lists the daemons that may keep claims: those that are live and have
// not fallen silent.
type keepers struct {
	daemon *Daemon
}

// Daemons implements claimer.Members.
func (k *keepers) Daemons() []claimer.Daemon {
	var out []claimer.Daemon
	view := k.daemon.gossip.View()
	for _, m := range view.Members() {
		if m.ID() == view.Self().ID() || (m.Live() && !k.daemon.coordinator.Unresponsive(m.Address())) {
			out = append(out, claimer.Daemon{
				ID:      m.ID(),
				Address: m.Address(),
			})
		}
	}
	return out
}

// handOver lets the dispatcher reach targets through the forwarder.
type handOver struct {
	forwarder *mutationforwarder.Forwarder
}

// Mutate implements dispatcher.Mutator.
func (h *handOver) Mutate(ctx context.Context, m *target.Mutation) (*target.Outcome, error) {
	out, err := h.forwarder.Forward(ctx, m)
	if errors.Is(err, mutationforwarder.ErrNotExecuted) {
		return nil, errors.Join(dispatcher.ErrNotSent, err)
	}
	return out, err
}

// mutator serves callers' mutations.
type mutator struct {
	dispatcher *dispatcher.Dispatcher
}

// resultKinds maps what became of an attempt to refusals.
var resultKinds = map[dispatcher.Kind]struct {
	kind httphandler.Kind
	run  httphandler.Run
}{
	dispatcher.KindUnknown: {
		kind: httphandler.KindOutcome,
		run:  httphandler.RunUnknown,
	},
	dispatcher.KindNotExecuted: {
		kind: httphandler.KindUnavailable,
		run:  httphandler.RunNo,
	},
	dispatcher.KindMismatch: {
		kind: httphandler.KindMismatch,
		run:  httphandler.RunNo,
	},
	dispatcher.KindExpired: {
		kind: httphandler.KindExpired,
		run:  httphandler.RunUnknown,
	},
	dispatcher.KindRefused: {
		kind: httphandler.KindMalformed,
		run:  httphandler.RunNo,
	},
}

// Mutate implements handler.Mutator.
func (m *mutator) Mutate(ctx context.Context, in *httphandler.Mutation) (*target.Outcome, error) {
	r := m.dispatcher.Do(ctx, dispatcher.Request{
		Key:         in.Key,
		Attempt:     in.Attempt,
		Fingerprint: in.Fingerprint,
		Deadline:    in.Deadline,
		Mutation: &target.Mutation{
			Collection: in.Collection,
			Version:    in.Version,
			Record:     in.Record,
			Trace:      tracer.Inject(ctx),
		},
	})
	if r.Kind == dispatcher.KindDone {
		return finished(r.Outcome)
	}
	refusal := &httphandler.Refusal{
		Kind:       resultKinds[r.Kind].kind,
		Run:        resultKinds[r.Kind].run,
		Message:    r.Reason,
		RetryAfter: r.RetryAfter,
	}
	if r.Kind == dispatcher.KindRefused {
		refusal.Field = httphandler.HeaderRequestKey
	}
	return nil, refusal
}

// finished is the answer to a mutation whose outcome is known. A target that
// failed while it ran the request may have done a part of it.
func finished(out *target.Outcome) (*target.Outcome, error) {
	if out.GetStatus() == target.Status_STATUS_DONE {
		return out, nil
	}
	return nil, &httphandler.Refusal{
		Kind:    httphandler.KindOutcome,
		Run:     httphandler.RunUnknown,
		Message: "target " + out.GetTarget() + " failed while it ran the request: " + out.GetDetail(),
	}
}
