// Package kvserver serves a subset of the etcd v3 API from memory, with
// switches for the faults of the platform's key-value service.
package kvserver

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"google.golang.org/grpc"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/peer"

	etcd "plantaincleat/tier/gen/etcdserverpb"
)

const (
	// messageLimit is the size in bytes of the largest request.
	messageLimit = 64 << 20
	// pingInterval is the shortest time between the keepalive pings of a client.
	pingInterval = 5 * time.Second
)

// Server is the service. Create it with New.
type Server struct {
	etcd.UnimplementedKVServer
	etcd.UnimplementedWatchServer
	etcd.UnimplementedLeaseServer

	clock    clockwork.Clock
	store    *store
	switches *switches
	counters counters

	mu sync.Mutex
	// stale is the state that reads are answered from while Stale is on.
	stale         *space
	staleRevision int64
}

// New returns an empty service whose leases and delays follow clock.
func New(clock clockwork.Clock) *Server {
	s := &Server{
		clock:    clock,
		store:    newStore(clock),
		switches: &switches{clock: clock},
	}
	s.switches.set(Faults{})
	return s
}

// Register adds the service to a gRPC server.
func (s *Server) Register(r grpc.ServiceRegistrar) {
	etcd.RegisterKVServer(r, s)
	etcd.RegisterWatchServer(r, s)
	etcd.RegisterLeaseServer(r, s)
}

// Options returns the gRPC server options that the service needs.
func Options() []grpc.ServerOption {
	return []grpc.ServerOption{
		grpc.MaxRecvMsgSize(messageLimit),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{
			MinTime:             pingInterval,
			PermitWithoutStream: true,
		}),
	}
}

// SetFaults replaces all faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.StaleReads && s.stale == nil {
		old, revision := s.store.snapshot()
		s.stale, s.staleRevision = &old, revision
	}
	if !f.StaleReads {
		s.stale = nil
	}
	s.switches.set(f)
}

// Faults returns the present faults. Lost and Late count down.
func (s *Server) Faults() Faults {
	f, _ := s.switches.get()
	return f
}

// Counts returns the calls since the start.
func (s *Server) Counts() Counts {
	return s.counters.load()
}

// Compact drops the history up to and including a revision.
func (s *Server) Compact(revision int64) {
	s.store.compact(revision)
}

// Dump returns the present items whose keys start with prefix. It counts as
// no call and meets no fault.
func (s *Server) Dump(prefix string) []*etcd.KeyValue {
	return s.store.lookup(&etcd.RangeRequest{
		Key:      []byte(prefix),
		RangeEnd: prefixEnd(prefix),
	}).Kvs
}

// prefixEnd returns the end of the range of all keys with a prefix.
func prefixEnd(prefix string) []byte {
	end := []byte(prefix)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < 0xff {
			end[i]++
			return end[:i+1]
		}
	}
	return []byte{0}
}

// Range implements the KV service.
func (s *Server) Range(ctx context.Context, r *etcd.RangeRequest) (*etcd.RangeResponse, error) {
	s.counters.reads.Add(1)
	if err := s.enter(ctx, false); err != nil {
		return nil, err
	}
	s.mu.Lock()
	stale, revision := s.stale, s.staleRevision
	s.mu.Unlock()
	if stale != nil {
		return stale.find(revision, r), nil
	}
	response := s.store.lookup(r)
	if r.Revision > response.Header.Revision {
		return nil, errFuture
	}
	if r.Revision > 0 && r.Revision < response.Header.Revision {
		return nil, errCompacted
	}
	return response, nil
}

// Txn implements the KV service.
func (s *Server) Txn(ctx context.Context, r *etcd.TxnRequest) (*etcd.TxnResponse, error) {
	s.counters.writes.Add(1)
	if err := s.enter(ctx, true); err != nil {
		return nil, err
	}
	outcome, landing := s.switches.draw()
	if outcome == fateLate {
		s.clock.AfterFunc(landing, func() {
			// The caller was told that the outcome is unknown.
			_, _ = s.store.txn(r)
		})
		return nil, errTimeout
	}
	response, err := s.store.txn(r)
	if outcome == fateLost {
		return nil, errTimeout
	}
	return response, err
}

// LeaseGrant implements the Lease service.
func (s *Server) LeaseGrant(ctx context.Context, r *etcd.LeaseGrantRequest) (*etcd.LeaseGrantResponse, error) {
	s.counters.leases.Add(1)
	if err := s.enter(ctx, true); err != nil {
		return nil, err
	}
	id, err := s.store.grant(r.ID, r.TTL)
	if err != nil {
		return nil, err
	}
	return &etcd.LeaseGrantResponse{
		ID:  id,
		TTL: r.TTL,
	}, nil
}

// LeaseRevoke implements the Lease service.
func (s *Server) LeaseRevoke(ctx context.Context, r *etcd.LeaseRevokeRequest) (*etcd.LeaseRevokeResponse, error) {
	s.counters.leases.Add(1)
	if err := s.enter(ctx, true); err != nil {
		return nil, err
	}
	if err := s.store.revoke(r.ID); err != nil {
		return nil, err
	}
	return &etcd.LeaseRevokeResponse{}, nil
}

// LeaseKeepAlive implements the Lease service.
func (s *Server) LeaseKeepAlive(stream grpc.BidiStreamingServer[etcd.LeaseKeepAliveRequest, etcd.LeaseKeepAliveResponse]) error {
	for {
		r, err := stream.Recv()
		if err != nil {
			return ended(err)
		}
		s.counters.leases.Add(1)
		if err := s.enter(stream.Context(), true); err != nil {
			return err
		}
		err = stream.Send(&etcd.LeaseKeepAliveResponse{
			ID:  r.ID,
			TTL: s.store.renew(r.ID),
		})
		if err != nil {
			return err
		}
	}
}

// enter applies outage, limits and delay to one call.
func (s *Server) enter(ctx context.Context, write bool) error {
	f, _ := s.switches.get()
	if f.out(caller(ctx)) {
		s.counters.refused.Add(1)
		return errNoLeader
	}
	if !s.switches.admit(write) {
		s.counters.refused.Add(1)
		return errTooMany
	}
	return s.wait(ctx, time.Duration(f.Delay))
}

// wait sleeps for d on the clock or until ctx ends.
func (s *Server) wait(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return nil
	}
	select {
	case <-s.clock.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// caller returns the IP address of the caller of a gRPC call.
func caller(ctx context.Context) string {
	p, ok := peer.FromContext(ctx)
	if !ok {
		return ""
	}
	host, _, err := net.SplitHostPort(p.Addr.String())
	if err != nil {
		return ""
	}
	return host
}
