// Package mutationforwarder routes a mutation to one target of its shard, by way
// of a daemon that gathers for that target.
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

// ErrNotExecuted reports that no target was asked to execute the mutation.
var ErrNotExecuted = errors.New("mutation was not executed")

// connectTimeout bounds the wait for a connection to the gatherer.
const connectTimeout = 500 * time.Millisecond

// Connector returns connections to other daemons. Ready waits until the connection
// is established or ctx ends.
type Connector interface {
	Ready(ctx context.Context, address string) (*grpc.ClientConn, error)
}

// Configs returns the configuration in force.
type Configs interface {
	Index() *indexer.Index
}

// DrainTracker reports which targets are draining. A draining target takes no new
// requests.
type DrainTracker interface {
	Draining(target string) bool
}

// Local executes mutations on the targets that this daemon gathers for.
type Local interface {
	Mutate(ctx context.Context, in *peer.MutateRequest) (*target.Outcome, error)
}

// Forwarder routes mutations. It is safe for concurrent use.
type Forwarder struct {
	// ID is the id of this daemon.
	ID           string
	Configs      Configs
	Placement    coordinator.Placement
	DrainTracker DrainTracker
	Connector    Connector
	Local        Local
	// Unresponsive reports whether the daemon at an address does not respond. If it is
	// nil, all daemons count as responsive.
	Unresponsive func(address string) bool
}

// Forward sends a mutation to one target of its shard and returns the outcome. It
// tries another gatherer or replica only if no target can have executed the
// mutation in the previous try.
//
// An error that matches ErrNotExecuted reports that no target was asked. After any
// other error, a target may have executed the mutation. The same holds for an
// outcome, unless its status is STATUS_SHED or STATUS_LEAVING.
func (f *Forwarder) Forward(ctx context.Context, m *target.Mutation) (*target.Outcome, error) {
	snapshot, err := f.Configs.Index().ResolveSnapshot(m.GetCollection(), m.GetVersion(), "")
	if err != nil {
		return nil, errors.Join(ErrNotExecuted, err)
	}
	at := snapshot.IndexOfKey(m.GetRecord().GetKey())
	if at < 0 {
		return nil, eris.Wrapf(ErrNotExecuted, "locate key %q: not in the range of any shard", m.GetRecord().GetKey())
	}
	shard := snapshot.Shard(at)
	m.Shard = shard.ID()
	groups := shard.ReplicasByDataCentre()
	var out *target.Outcome
	err = eris.Wrapf(ErrNotExecuted, "select replica of shard %s: all replicas are draining", shard.ID())
	for _, t := range shard.Replicas() {
		if f.DrainTracker.Draining(t.GetId()) {
			continue
		}
		if out, err = f.sendToTarget(ctx, t, assigner.GroupName(groups[t.GetDatacentre()]), m); mayHaveExecuted(m.GetKey(), out, err) {
			return out, err
		}
	}
	return out, err
}

// unresponsiveLast returns the daemons with the unresponsive ones moved to the end.
func (f *Forwarder) unresponsiveLast(daemons []assigner.Daemon) []assigner.Daemon {
	out := make([]assigner.Daemon, 0, len(daemons))
	var unresponsive []assigner.Daemon
	for _, d := range daemons {
		if f.Unresponsive != nil && d.ID != f.ID && f.Unresponsive(d.Address) {
			unresponsive = append(unresponsive, d)
			continue
		}
		out = append(out, d)
	}
	return append(out, unresponsive...)
}

// mayHaveExecuted reports whether a target may have executed the mutation with the
// given key. An outcome for a different key is not evidence that this mutation was
// refused, so that it returns true.
func mayHaveExecuted(key string, out *target.Outcome, err error) bool {
	if err != nil {
		return !errors.Is(err, ErrNotExecuted)
	}
	if out.GetKey() != key {
		return true
	}
	return out.GetStatus() != target.Status_STATUS_SHED && out.GetStatus() != target.Status_STATUS_LEAVING
}

// sendToTarget tries the gatherers of a target in turn. It stops at the first one
// that returns an outcome or that may have passed the mutation on.
func (f *Forwarder) sendToTarget(ctx context.Context, t *config.Target, group string, m *target.Mutation) (*target.Outcome, error) {
	in := &peer.MutateRequest{
		Target:   t.GetId(),
		Mutation: m,
	}
	var out *target.Outcome
	err := eris.Wrapf(ErrNotExecuted, "select gatherer of target %s: no daemon gathers for it", t.GetId())
	for _, d := range f.unresponsiveLast(f.Placement.Gatherers(t.GetDatacentre(), group)) {
		if out, err = f.sendToDaemon(ctx, d, in); mayHaveExecuted(m.GetKey(), out, err) || err == nil {
			return out, err
		}
	}
	return out, err
}

// sendToDaemon sends a mutation to one daemon, or executes it locally if this is
// the daemon itself.
func (f *Forwarder) sendToDaemon(ctx context.Context, d assigner.Daemon, in *peer.MutateRequest) (*target.Outcome, error) {
	if d.ID == f.ID {
		return f.Local.Mutate(ctx, in)
	}
	wait, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	conn, err := f.Connector.Ready(wait, d.Address)
	if err != nil {
		return nil, errors.Join(ErrNotExecuted, err)
	}
	out, err := peer.NewPeerClient(conn).Mutate(ctx, in)
	if err != nil {
		return nil, eris.Wrapf(err, "send mutation to daemon %s", d.ID)
	}
	return out, nil
}
