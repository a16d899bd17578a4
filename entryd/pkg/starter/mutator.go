package starter

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"github.com/jonboulle/clockwork"
	"google.golang.org/grpc/status"

	"plantaincleat/entryd/pkg/claimer"
	"plantaincleat/entryd/pkg/crashtracker"
	"plantaincleat/entryd/pkg/dispatcher"
	"plantaincleat/entryd/pkg/gatherer"
	"plantaincleat/entryd/pkg/httphandler"
	"plantaincleat/entryd/pkg/mutationforwarder"
	"plantaincleat/tier/gen/target"
	"plantaincleat/tier/pkg/tracer"
)

// buildMutations creates the components that execute mutations: the bucket writer, the
// forwarder and the dispatcher.
func (d *Daemon) buildMutations() {
	d.bucketWriter = claimer.New(d.store, d.clock, claimer.Config{
		WriterID:  d.cfg.GetId() + "@" + d.clock.Now().UTC().Format(time.RFC3339Nano),
		Retention: func() time.Duration { return d.configs.Index().Policy().GetRetention().AsDuration() },
	})
	claims := &claimer.Client{
		ID:    d.cfg.GetId(),
		Local: d.bucketWriter,
		Members: &claimDaemons{
			daemon: d,
		},
		Connector: d.dialer,
		Clock:     d.clock,
	}
	forwarder := &mutationforwarder.Forwarder{
		ID:           d.cfg.GetId(),
		Configs:      d.configs,
		Placement:    &d.placement,
		DrainTracker: d.drainTracker,
		Connector:    d.dialer,
		Local:        d.gatherer,
		Unresponsive: func(address string) bool { return d.coordinator.Unresponsive(address) },
	}
	d.crashes.PublishTo(d.gossip)
	d.dispatcher = dispatcher.New(claims, &targetMutator{
		forwarder: forwarder,
		crashes:   &d.crashes,
		clock:     d.clock,
	}, d.clock)
}

// claimDaemons implements claimer.Members. It lists the daemons that may write claims:
// this one, and those that are live and not unresponsive.
type claimDaemons struct {
	daemon *Daemon
}

// Daemons implements claimer.Members.
func (c *claimDaemons) Daemons() []claimer.Daemon {
	var out []claimer.Daemon
	view := c.daemon.gossip.View()
	for _, m := range view.Members() {
		if m.ID() == view.Self().ID() || (m.Live() && !c.daemon.coordinator.Unresponsive(m.Address())) {
			out = append(out, claimer.Daemon{
				ID:      m.ID(),
				Address: m.Address(),
			})
		}
	}
	return out
}

// targetMutator implements dispatcher.Mutator with a forwarder. It keeps mutations that
// crash targets from further ones.
type targetMutator struct {
	forwarder *mutationforwarder.Forwarder
	crashes   *crashtracker.Tracker
	clock     clockwork.Clock
}

// errMutationCrashes reports that a mutation was not sent because it crashes targets.
var errMutationCrashes = errors.New("the mutation crashes the targets that execute it")

// Mutate implements dispatcher.Mutator. Its error is dispatcher.ErrNotSent if the
// mutation was not executed.
func (t *targetMutator) Mutate(ctx context.Context, m *target.Mutation) (*target.Outcome, error) {
	plan := t.crashes.Plan(t.clock.Now(), mutationSubject(m.GetCollection(), m.GetVersion(), m.GetRecord()))
	if plan.Refused {
		return nil, errors.Join(dispatcher.ErrNotSent, errMutationCrashes)
	}
	out, err := t.forwarder.Forward(ctx, m)
	t.recordCrash(&plan, m, out, err)
	if errors.Is(err, mutationforwarder.ErrNotExecuted) {
		return nil, errors.Join(dispatcher.ErrNotSent, err)
	}
	return out, err
}

// recordCrash records whether the target of a mutation ended or answered.
func (t *targetMutator) recordCrash(plan *crashtracker.Plan, m *target.Mutation, out *target.Outcome, err error) {
	now, shard := t.clock.Now(), m.GetShard()
	if err == nil && (out.GetStatus() == target.Status_STATUS_DONE || out.GetStatus() == target.Status_STATUS_FAILED) {
		t.crashes.RecordAnswer(now, plan, func(pool string) bool { return pool == shard })
	}
	if status.Code(err) != gatherer.TargetEndedCode {
		return
	}
	t.crashes.RecordEnd(now, shard, plan.Subject())
	crashes, until := t.crashes.RecordCrashes(now, plan, shard, 1)
	slog.Info("target ended while it had a mutation", "key", m.GetKey(), "shard", shard, "crashes", crashes, "refused", !until.IsZero(), "err", err.Error())
}

// mutationSubject returns what identifies a mutation when it is sent again with another
// request key.
func mutationSubject(collection, version string, r *target.Record) crashtracker.Subject {
	return crashtracker.NewSubject("", []byte(collection), []byte(version), []byte(r.GetKey()), []byte(r.GetText()))
}

// mutator implements httphandler.Mutator with a dispatcher.
type mutator struct {
	dispatcher *dispatcher.Dispatcher
	crashes    *crashtracker.Tracker
	clock      clockwork.Clock
}

// refusalsByResult maps the kinds of the dispatcher's results to refusals.
var refusalsByResult = map[dispatcher.Kind]struct {
	kind      httphandler.Kind
	execution httphandler.Execution
}{
	dispatcher.KindUnknown: {
		kind:      httphandler.KindOutcomeUnknown,
		execution: httphandler.ExecutionUnknown,
	},
	dispatcher.KindNotExecuted: {
		kind:      httphandler.KindUnavailable,
		execution: httphandler.NotExecuted,
	},
	dispatcher.KindMismatch: {
		kind:      httphandler.KindMismatch,
		execution: httphandler.NotExecuted,
	},
	dispatcher.KindExpired: {
		kind:      httphandler.KindExpired,
		execution: httphandler.ExecutionUnknown,
	},
	dispatcher.KindRefused: {
		kind:      httphandler.KindMalformed,
		execution: httphandler.NotExecuted,
	},
}

// refuseCrashing returns the refusal of the first send of a mutation that crashes targets,
// and nil for any other. A later send may ask for the outcome of an earlier one and is not
// refused here; it is not sent to a target either.
func (m *mutator) refuseCrashing(in *httphandler.Mutation) error {
	now := m.clock.Now()
	plan := m.crashes.Plan(now, mutationSubject(in.Collection, in.Version, in.Record))
	if in.Attempt != 1 || !plan.Refused {
		return nil
	}
	return &httphandler.Refusal{
		Kind:       httphandler.KindQuarantined,
		Execution:  httphandler.NotExecuted,
		Message:    errMutationCrashes.Error(),
		RetryAfter: plan.Until.Sub(now),
	}
}

// Mutate implements httphandler.Mutator.
func (m *mutator) Mutate(ctx context.Context, in *httphandler.Mutation) (*target.Outcome, error) {
	if err := m.refuseCrashing(in); err != nil {
		return nil, err
	}
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
		return mutationResult(r.Outcome)
	}
	refusal := &httphandler.Refusal{
		Kind:       refusalsByResult[r.Kind].kind,
		Execution:  refusalsByResult[r.Kind].execution,
		Message:    r.Reason,
		RetryAfter: r.RetryAfter,
	}
	if r.Kind == dispatcher.KindRefused {
		refusal.Field = httphandler.HeaderRequestKey
	}
	return nil, refusal
}

// mutationResult returns the outcome of a mutation that a target has executed, or a
// refusal if the target reports a failure. It may have executed a part of the mutation
// in that case.
func mutationResult(out *target.Outcome) (*target.Outcome, error) {
	if out.GetStatus() == target.Status_STATUS_DONE {
		return out, nil
	}
	return nil, &httphandler.Refusal{
		Kind:      httphandler.KindOutcomeUnknown,
		Execution: httphandler.ExecutionUnknown,
		Message:   "target " + out.GetTarget() + " failed while executing the mutation: " + out.GetDetail(),
	}
}
