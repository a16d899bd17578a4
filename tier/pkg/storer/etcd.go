package storer

import (
	"context"
	"net"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/peer"
	"google.golang.org/grpc/resolver"
	"google.golang.org/grpc/resolver/manual"
	"google.golang.org/grpc/stats"
	"google.golang.org/grpc/status"

	etcd "plantaincleat/tier/gen/etcdserverpb"
)

const (
	// maxResponseBytes is the size of the largest response that is accepted.
	maxResponseBytes = 64 << 20
	// pingInterval and pingTimeout are the keepalive parameters of connections.
	// A connection on which a ping is not answered in time is closed.
	pingInterval = 10 * time.Second
	pingTimeout  = 5 * time.Second
	// minRedialDelay and maxRedialDelay bound the time between two attempts to
	// connect.
	minRedialDelay = 100 * time.Millisecond
	maxRedialDelay = 2 * time.Second
	// connectTimeout is the longest time that one attempt to connect may take.
	connectTimeout = 3 * time.Second
	// resolverScheme is the URL scheme of the resolver that returns the fixed
	// list of addresses.
	resolverScheme = "plantaincleat-kv"
	// serviceConfig makes gRPC spread the calls over all connected addresses.
	serviceConfig = `{"loadBalancingConfig":[{"round_robin":{}}]}`
)

// Messages with which etcd refuses a call before execution. The status codes alone
// do not tell that: etcd also returns them for writes that may have taken effect.
const (
	refusedNoLeader = "etcdserver: no leader"
	refusedTooMany  = "etcdserver: too many requests"
)

// Etcd is a Store that uses the etcd v3 API. It never retries a call: its caller
// decides whether a write may be repeated. It is safe for concurrent use.
type Etcd struct {
	conn      *grpc.ClientConn
	addresses string
	kv        etcd.KVClient
	watch     etcd.WatchClient
	lease     etcd.LeaseClient
}

// DialEtcd returns a Store that spreads its calls over the given addresses, which
// include a port. The options must include transport credentials.
// Connections are made when they are first needed.
func DialEtcd(addresses []string, options ...grpc.DialOption) (*Etcd, error) {
	if len(addresses) == 0 {
		return nil, eris.New("dial key-value service: no address is configured")
	}
	state := resolver.State{}
	for _, address := range addresses {
		host, _, err := net.SplitHostPort(address)
		if err != nil {
			return nil, eris.Wrapf(err, "dial key-value service: peer %s", address)
		}
		state.Endpoints = append(state.Endpoints, resolver.Endpoint{
			Addresses: []resolver.Address{{
				Addr:       address,
				ServerName: host,
			}},
		})
	}
	addressList := manual.NewBuilderWithScheme(resolverScheme)
	addressList.InitialState(state)
	options = append(defaultOptions(addressList), options...)
	conn, err := grpc.NewClient(resolverScheme+":///kv", options...)
	if err != nil {
		return nil, eris.Wrapf(err, "dial key-value service: peer %s", strings.Join(addresses, ","))
	}
	return &Etcd{
		conn:      conn,
		addresses: strings.Join(addresses, ","),
		kv:        etcd.NewKVClient(conn),
		watch:     etcd.NewWatchClient(conn),
		lease:     etcd.NewLeaseClient(conn),
	}, nil
}

// defaultOptions returns the dial options that DialEtcd sets in addition to those
// of its caller.
func defaultOptions(addresses resolver.Builder) []grpc.DialOption {
	return []grpc.DialOption{
		grpc.WithResolvers(addresses),
		grpc.WithDefaultServiceConfig(serviceConfig),
		grpc.WithDisableRetry(),
		grpc.WithStatsHandler(sentHandler{}),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxResponseBytes)),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{
			Time:    pingInterval,
			Timeout: pingTimeout,
		}),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff: backoff.Config{
				BaseDelay:  minRedialDelay,
				Multiplier: backoff.DefaultConfig.Multiplier,
				Jitter:     backoff.DefaultConfig.Jitter,
				MaxDelay:   maxRedialDelay,
			},
			MinConnectTimeout: connectTimeout,
		}),
	}
}

// Close closes all connections. Calls in flight fail.
func (e *Etcd) Close() error {
	return e.conn.Close()
}

// Read implements Store.
func (e *Etcd) Read(ctx context.Context, prefix string) (Page, error) {
	return e.readRange(ctx, &etcd.RangeRequest{
		Key:      []byte(prefix),
		RangeEnd: prefixEnd(prefix),
	})
}

// Get implements Store.
func (e *Etcd) Get(ctx context.Context, key string) (Item, bool, error) {
	page, err := e.readRange(ctx, &etcd.RangeRequest{Key: []byte(key)})
	if err != nil || len(page.Items) == 0 {
		return Item{}, false, err
	}
	return page.Items[0], true, nil
}

func (e *Etcd) readRange(ctx context.Context, r *etcd.RangeRequest) (Page, error) {
	var from peer.Peer
	response, err := e.kv.Range(requireLeader(ctx), r, grpc.Peer(&from))
	if err != nil {
		return Page{}, eris.Wrapf(ErrUnavailable, "read %q: peer %s: %v", r.Key, e.peerName(&from), err)
	}
	page := Page{
		Items:    make([]Item, 0, len(response.Kvs)),
		Revision: response.GetHeader().GetRevision(),
	}
	for _, kv := range response.Kvs {
		page.Items = append(page.Items, newItem(kv))
	}
	return page, nil
}

// Commit implements Store.
func (e *Etcd) Commit(ctx context.Context, txn Txn) (Result, error) {
	var from peer.Peer
	sent := new(atomic.Bool)
	ctx = context.WithValue(requireLeader(ctx), sentKey{}, sent)
	response, err := e.kv.Txn(ctx, newTxnRequest(txn), grpc.Peer(&from))
	if err != nil {
		return Result{}, eris.Wrapf(writeError(err, sent.Load()), "commit: peer %s: %v", e.peerName(&from), err)
	}
	return Result{
		Applied:  response.Succeeded,
		Revision: response.GetHeader().GetRevision(),
	}, nil
}

// GrantLease implements Store.
func (e *Etcd) GrantLease(ctx context.Context, ttl int64) (int64, error) {
	var from peer.Peer
	response, err := e.lease.LeaseGrant(ctx, &etcd.LeaseGrantRequest{TTL: ttl}, grpc.Peer(&from))
	if err != nil {
		return 0, eris.Wrapf(ErrUnavailable, "grant lease: peer %s: %v", e.peerName(&from), err)
	}
	return response.ID, nil
}

// RenewLease implements Store.
func (e *Etcd) RenewLease(ctx context.Context, lease int64) (int64, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := e.lease.LeaseKeepAlive(ctx)
	if err == nil {
		err = stream.Send(&etcd.LeaseKeepAliveRequest{ID: lease})
	}
	if err != nil {
		return 0, eris.Wrapf(ErrUnavailable, "renew lease %d: peer %s: %v", lease, e.addresses, err)
	}
	response, err := stream.Recv()
	if err != nil {
		return 0, eris.Wrapf(ErrUnavailable, "renew lease %d: peer %s: %v", lease, e.addresses, err)
	}
	return response.TTL, nil
}

// RevokeLease implements Store.
func (e *Etcd) RevokeLease(ctx context.Context, lease int64) error {
	var from peer.Peer
	sent := new(atomic.Bool)
	ctx = context.WithValue(ctx, sentKey{}, sent)
	_, err := e.lease.LeaseRevoke(ctx, &etcd.LeaseRevokeRequest{ID: lease}, grpc.Peer(&from))
	if err != nil && status.Code(err) != codes.NotFound {
		return eris.Wrapf(writeError(err, sent.Load()), "revoke lease %d: peer %s: %v", lease, e.peerName(&from), err)
	}
	return nil
}

// peerName returns the address of the peer that a call was sent to, or all
// addresses if it was not sent.
func (e *Etcd) peerName(from *peer.Peer) string {
	if from.Addr == nil {
		return e.addresses
	}
	return from.Addr.String()
}

// writeError classifies the error of a write as ErrUnavailable or
// ErrUnknownOutcome. It is certain that a write had no effect only if the call was
// never passed to a transport or the service refused it before execution.
func writeError(err error, sent bool) error {
	if !sent {
		return ErrUnavailable
	}
	s := status.Convert(err)
	switch s.Code() {
	case codes.InvalidArgument, codes.NotFound, codes.FailedPrecondition, codes.OutOfRange,
		codes.PermissionDenied, codes.Unauthenticated, codes.Unimplemented:
		return ErrUnavailable
	}
	switch s.Message() {
	case refusedNoLeader, refusedTooMany:
		return ErrUnavailable
	}
	return ErrUnknownOutcome
}

// requireLeader adds the metadata with which etcd refuses a call at once, before
// execution, if it has no quorum.
func requireLeader(ctx context.Context) context.Context {
	return metadata.AppendToOutgoingContext(ctx, "hasleader", "true")
}

// sentKey is the context key of the flag that sentHandler sets.
type sentKey struct{}

// sentHandler sets the flag in the context of a call as soon as the call is passed
// to a transport.
type sentHandler struct{}

// TagRPC implements stats.Handler.
func (sentHandler) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }

// HandleRPC implements stats.Handler.
func (sentHandler) HandleRPC(ctx context.Context, s stats.RPCStats) {
	if _, ok := s.(*stats.OutHeader); !ok {
		return
	}
	if sent, ok := ctx.Value(sentKey{}).(*atomic.Bool); ok {
		sent.Store(true)
	}
}

// TagConn implements stats.Handler.
func (sentHandler) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

// HandleConn implements stats.Handler.
func (sentHandler) HandleConn(context.Context, stats.ConnStats) {}

func newTxnRequest(txn Txn) *etcd.TxnRequest {
	r := &etcd.TxnRequest{}
	for _, c := range txn.Conditions {
		r.Compare = append(r.Compare, &etcd.Compare{
			Result:      etcd.Compare_EQUAL,
			Target:      etcd.Compare_MOD,
			Key:         []byte(c.Key),
			TargetUnion: &etcd.Compare_ModRevision{ModRevision: c.ModRevision},
		})
	}
	for _, w := range txn.Writes {
		r.Success = append(r.Success, newOp(w))
	}
	return r
}

func newOp(w Write) *etcd.RequestOp {
	if w.Delete {
		return &etcd.RequestOp{
			Request: &etcd.RequestOp_RequestDeleteRange{
				RequestDeleteRange: &etcd.DeleteRangeRequest{Key: []byte(w.Key)},
			},
		}
	}
	return &etcd.RequestOp{
		Request: &etcd.RequestOp_RequestPut{
			RequestPut: &etcd.PutRequest{
				Key:   []byte(w.Key),
				Value: w.Value,
				Lease: w.LeaseID,
			},
		},
	}
}

func newItem(kv *etcd.KeyValue) Item {
	return Item{
		Key:            string(kv.Key),
		Value:          kv.Value,
		CreateRevision: kv.CreateRevision,
		ModRevision:    kv.ModRevision,
	}
}

// prefixEnd returns the exclusive end of the range of all keys that start with
// prefix.
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
