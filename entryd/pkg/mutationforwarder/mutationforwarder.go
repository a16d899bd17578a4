// Package mutationforwarder hands a mutation to the one target that runs it, through
// the daemon that gathers for that target.
package mutationforwarder

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/grpc"

	"plantaincleat/entryd/pkg/assigner"
	"plantaincleat/entryd/pkg/coordinator"
	"plantaincleat/tier/gen/config"
	"plantaincleat/tier/gen/peer"
	"plantaincleat/tier/gen/target"
	"plantaincleat/tier/pkg/indexer"
)

// ErrNotExecuted reports that no target was asked to run the mutation.
var ErrNotExecuted = errors.New("mutation was not run")

// connectWait bounds the wait for a connection to the gatherer.
const connectWait = 500 * time.Millisecond

// Connector returns established connections.
type Connector interface {
	Ready(ctx context.Context, address string) (*grpc.ClientConn, error)
}

// Configs returns the configuration in force.
type Configs interface {
	Index() *indexer.Index
}

// DrainTracker tells which targets take no new work.
type DrainTracker interface {
	Draining(target string) bool
}

// Local runs mutations on the targets that this daemon gathers.
type Local interface {
	Mutate(ctx context.Context, in *peer.MutateRequest) (*target.Outcome, error)
}

// Forwarder routes mutations. It is safe for concurrent use.
type Forwarder struct {
	ID           string
	Configs      Configs
	Placement    coordinator.Placement
	DrainTracker DrainTracker
	Connector    Connector
	Local        Local
	// Unresponsive reports whether a daemon has fallen silent. Nil means never.
	Unresponsive func(address string) bool
}

// Forward has one target run a mutation. It tries other gatherers and replicas
// only after a try that certainly reached no target. Errors that match ErrNotRun
// state that no target was asked; after any other error a target may have run
// the mutation. So does an outcome, unless its status is STATUS_SHED or
// STATUS_LEAVING.
func (f *Forwarder) Forward(ctx context.Context, m *target.Mutation) (*target.Outcome, error) {
	snapshot, err := f.Configs.Index().ResolveSnapshot(m.GetCollection(), m.GetVersion(), "")
	if err != nil {
		return nil, errors.Join(ErrNotExecuted, err)
	}
	at := snapshot.IndexOfKey(m.GetRecord().GetKey())
	if at < 0 {
		return nil, eris.Wrapf(ErrNotExecuted, "route: key %q is in no shard", m.GetRecord().GetKey())
	}
	shard := snapshot.Shard(at)
	m.Shard = shard.ID()
	groups := shard.ReplicasByDataCentre()
	var out *target.Outcome
	err = eris.Wrapf(ErrNotExecuted, "route: every replica of shard %s is leaving", shard.ID())
	for _, t := range shard.Replicas() {
		if f.DrainTracker.Draining(t.GetId()) {
			continue
		}
		if out, err = f.toTarget(ctx, t, assigner.GroupName(groups[t.GetDatacentre()]), m); ran(m.GetKey(), out, err) {
			return out, err
		}
	}
	return out, err
}

// ordered puts the daemons that have fallen silent last.
func (f *Forwarder) ordered(daemons []assigner.Daemon) []assigner.Daemon {
	out := make([]assigner.Daemon, 0, len(daemons))
	var silent []assigner.Daemon
	for _, d := range daemons {
		if f.Unresponsive != nil && d.ID != f.ID && f.Unresponsive(d.Address) {
			silent = append(silent, d)
			continue
		}
		out = append(out, d)
	}
	return append(out, silent...)
}

// ran reports whether a target may have run the mutation with a key. A refusal
// of another one proves nothing.
func ran(key string, out *target.Outcome, err error) bool {
	if err != nil {
		return !errors.Is(err, ErrNotExecuted)
	}
	if out.GetKey() != key {
		return true
	}
	return out.GetStatus() != target.Status_STATUS_SHED && out.GetStatus() != target.Status_STATUS_LEAVING
}

// toTarget tries the gatherers of a target in turn.
func (f *Forwarder) toTarget(ctx context.Context, t *config.Target, group string, m *target.Mutation) (*target.Outcome, error) {
	in := &peer.MutateRequest{
		Target:   t.GetId(),
		Mutation: m,
	}
	var out *target.Outcome
	err := eris.Wrapf(ErrNotExecuted, "route: no daemon gathers for target %s", t.GetId())
	for _, d := range f.ordered(f.Placement.Gatherers(t.GetDatacentre(), group)) {
		if out, err = f.send(ctx, d, in); ran(m.GetKey(), out, err) || err == nil {
			return out, err
		}
	}
	return out, err
}

func (f *Forwarder) send(ctx context.Context, d assigner.Daemon, in *peer.MutateRequest) (*target.Outcome, error) {
	if d.ID == f.ID {
		return f.Local.Mutate(ctx, in)
	}
	wait, cancel := context.WithTimeout(ctx, connectWait)
	defer cancel()
	conn, err := f.Connector.Ready(wait, d.Address)
	if err != nil {
		return nil, errors.Join(ErrNotExecuted, err)
	}
	out, err := peer.NewPeerClient(conn).Mutate(ctx, in)
	if err != nil {
		return nil, eris.Wrapf(err, "mutate: daemon %s", d.ID)
	}
	return out, nil
}
