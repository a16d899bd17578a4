// Package kvserver serves a subset of the etcd v3 API from memory. It simulates faults of
// the platform's key-value service.
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
	// maxMessageBytes is the size in bytes of the largest request.
	maxMessageBytes = 64 << 20
	// minPingInterval is the shortest allowed time between keepalive pings of a client.
	minPingInterval = 5 * time.Second
)

// Server is the key-value service. Create it with New. It is safe for concurrent use.
type Server struct {
	etcd.UnimplementedKVServer
	etcd.UnimplementedWatchServer
	etcd.UnimplementedLeaseServer

	clock    clockwork.Clock
	store    *store
	faults   *faultState
	counters counters

	mu sync.Mutex
	// staleSpace is the key space that reads are answered from while the fault
	// StaleReads is set, staleRevision its revision. It is nil otherwise.
	staleSpace    *keySpace
	staleRevision int64
}

// New returns an empty service. Leases, delays and limits use clock.
func New(clock clockwork.Clock) *Server {
	s := &Server{
		clock:  clock,
		store:  newStore(clock),
		faults: &faultState{clock: clock},
	}
	s.faults.set(Faults{})
	return s
}

// Register adds the service to a gRPC server.
func (s *Server) Register(r grpc.ServiceRegistrar) {
	etcd.RegisterKVServer(r, s)
	etcd.RegisterWatchServer(r, s)
	etcd.RegisterLeaseServer(r, s)
}

// ServerOptions returns the gRPC server options that the service requires.
func ServerOptions() []grpc.ServerOption {
	return []grpc.ServerOption{
		grpc.MaxRecvMsgSize(maxMessageBytes),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{
			MinTime:             minPingInterval,
			PermitWithoutStream: true,
		}),
	}
}

// SetFaults replaces all faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.StaleReads && s.staleSpace == nil {
		old, revision := s.store.snapshot()
		s.staleSpace, s.staleRevision = &old, revision
	}
	if !f.StaleReads {
		s.staleSpace = nil
	}
	s.faults.set(f)
}

// Faults returns the faults in force. LoseAnswers and DelayWrites decrease with each
// write that they affect.
func (s *Server) Faults() Faults {
	f, _ := s.faults.get()
	return f
}

// Counts returns the counts of calls since the start.
func (s *Server) Counts() Counts {
	return s.counters.load()
}

// Compact drops the history up to and including a revision.
func (s *Server) Compact(revision int64) {
	s.store.compact(revision)
}

// Dump returns the present items whose keys start with prefix. It is not counted as a call
// and is not subject to faults.
func (s *Server) Dump(prefix string) []*etcd.KeyValue {
	return s.store.lookup(&etcd.RangeRequest{
		Key:      []byte(prefix),
		RangeEnd: prefixEnd(prefix),
	}).Kvs
}

// prefixEnd returns the range end, in the sense of the etcd API, of all keys with a prefix.
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
	if err := s.admitCall(ctx, false); err != nil {
		return nil, err
	}
	s.mu.Lock()
	stale, revision := s.staleSpace, s.staleRevision
	s.mu.Unlock()
	if stale != nil {
		return stale.find(revision, r), nil
	}
	response := s.store.lookup(r)
	if r.Revision > response.Header.Revision {
		return nil, errFutureRevision
	}
	// The store keeps only the latest key space.
	if r.Revision > 0 && r.Revision < response.Header.Revision {
		return nil, errCompacted
	}
	return response, nil
}

// Txn implements the KV service.
func (s *Server) Txn(ctx context.Context, r *etcd.TxnRequest) (*etcd.TxnResponse, error) {
	s.counters.writes.Add(1)
	if err := s.admitCall(ctx, true); err != nil {
		return nil, err
	}
	outcome, delay := s.faults.nextWriteOutcome()
	if outcome == writeDelayed {
		s.clock.AfterFunc(delay, func() {
			// The caller has already received errTimeout.
			_, _ = s.store.txn(r)
		})
		return nil, errTimeout
	}
	response, err := s.store.txn(r)
	if outcome == writeAnswerLost {
		return nil, errTimeout
	}
	return response, err
}

// LeaseGrant implements the Lease service.
func (s *Server) LeaseGrant(ctx context.Context, r *etcd.LeaseGrantRequest) (*etcd.LeaseGrantResponse, error) {
	s.counters.leaseCalls.Add(1)
	if err := s.admitCall(ctx, true); err != nil {
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
	s.counters.leaseCalls.Add(1)
	if err := s.admitCall(ctx, true); err != nil {
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
			return streamError(err)
		}
		s.counters.leaseCalls.Add(1)
		if err := s.admitCall(stream.Context(), true); err != nil {
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

// admitCall applies the faults Outage, ReadLimit, WriteLimit and Delay to one call. It
// returns an error if the call is refused or ctx ends during the delay.
func (s *Server) admitCall(ctx context.Context, write bool) error {
	f, _ := s.faults.get()
	if f.refuses(callerIP(ctx)) {
		s.counters.refused.Add(1)
		return errNoLeader
	}
	if !s.faults.allow(write) {
		s.counters.refused.Add(1)
		return errTooManyRequests
	}
	return s.wait(ctx, time.Duration(f.Delay))
}

// wait blocks for d. It returns the error of ctx if ctx ends first.
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

// callerIP returns the IP address of the caller of a gRPC call, empty if unknown.
func callerIP(ctx context.Context) string {
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
