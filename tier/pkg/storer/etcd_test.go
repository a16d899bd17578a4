package storer

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	etcd "plantaincleat/tier/gen/etcdserverpb"
)

// scriptedKV is a key-value server whose transactions return what answer returns.
type scriptedKV struct {
	etcd.UnimplementedKVServer
	calls  int
	answer func(ctx context.Context) (*etcd.TxnResponse, error)
}

func (s *scriptedKV) Txn(ctx context.Context, _ *etcd.TxnRequest) (*etcd.TxnResponse, error) {
	s.calls++
	return s.answer(ctx)
}

func mustDial(t *testing.T, addresses ...string) *Etcd {
	t.Helper()
	e, err := DialEtcd(addresses, grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { e.Close() })
	return e
}

func serve(t *testing.T, s *scriptedKV) (string, *grpc.Server) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	g := grpc.NewServer()
	etcd.RegisterKVServer(g, s)
	go g.Serve(l)
	t.Cleanup(g.Stop)
	return l.Addr().String(), g
}

// unusedAddress returns a loopback address at which nothing listens.
func unusedAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

func TestCommitErrors(t *testing.T) {
	fail := func(code codes.Code, message string) func(context.Context) (*etcd.TxnResponse, error) {
		return func(context.Context) (*etcd.TxnResponse, error) { return nil, status.Error(code, message) }
	}
	tests := []struct {
		name   string
		answer func(context.Context) (*etcd.TxnResponse, error)
		want   error
	}{
		{
			name:   "no leader",
			answer: fail(codes.Unavailable, "etcdserver: no leader"),
			want:   ErrUnavailable,
		},
		{
			name:   "rate limit",
			answer: fail(codes.ResourceExhausted, "etcdserver: too many requests"),
			want:   ErrUnavailable,
		},
		{
			name:   "invalid",
			answer: fail(codes.InvalidArgument, "etcdserver: duplicate key given in txn request"),
			want:   ErrUnavailable,
		},
		{
			name:   "timeout at the service",
			answer: fail(codes.Unavailable, "etcdserver: request timed out"),
			want:   ErrUnknownOutcome,
		},
		{
			name:   "answer too large",
			answer: fail(codes.ResourceExhausted, "received message larger than max"),
			want:   ErrUnknownOutcome,
		},
		{
			name:   "internal",
			answer: fail(codes.Internal, ""),
			want:   ErrUnknownOutcome,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := &scriptedKV{answer: test.answer}
			address, _ := serve(t, s)
			_, err := mustDial(t, address).Commit(context.Background(), Txn{})
			if !errors.Is(err, test.want) {
				t.Errorf("err = %v, want %v", err, test.want)
			}
			if s.calls != 1 {
				t.Errorf("calls = %d, want 1", s.calls)
			}
		})
	}
}

func TestCommitNotSent(t *testing.T) {
	e := mustDial(t, unusedAddress(t))
	if _, err := e.Commit(context.Background(), Txn{}); !errors.Is(err, ErrUnavailable) {
		t.Errorf("commit without a listener: %v, want ErrUnavailable", err)
	}
	address, _ := serve(t, &scriptedKV{})
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if _, err := mustDial(t, address).Commit(ctx, Txn{}); !errors.Is(err, ErrUnavailable) {
		t.Errorf("commit with a cancelled context: %v, want ErrUnavailable", err)
	}
}

func TestCommitConnectionLost(t *testing.T) {
	s := &scriptedKV{}
	address, g := serve(t, s)
	s.answer = func(ctx context.Context) (*etcd.TxnResponse, error) {
		go g.Stop()
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if _, err := mustDial(t, address).Commit(context.Background(), Txn{}); !errors.Is(err, ErrUnknownOutcome) {
		t.Errorf("commit with the connection lost: %v, want ErrUnknownOutcome", err)
	}
	if s.calls != 1 {
		t.Errorf("calls = %d, want 1", s.calls)
	}
}

func TestCommitDeadline(t *testing.T) {
	s := &scriptedKV{}
	address, _ := serve(t, s)
	ctx, cancel := context.WithTimeout(context.Background(), time.Hour)
	s.answer = func(ctx context.Context) (*etcd.TxnResponse, error) {
		cancel()
		<-ctx.Done()
		return &etcd.TxnResponse{}, nil
	}
	if _, err := mustDial(t, address).Commit(ctx, Txn{}); !errors.Is(err, ErrUnknownOutcome) {
		t.Errorf("commit cancelled during execution: %v, want ErrUnknownOutcome", err)
	}
}

func TestSeveralAddresses(t *testing.T) {
	s := &scriptedKV{
		answer: func(context.Context) (*etcd.TxnResponse, error) {
			return &etcd.TxnResponse{Succeeded: true}, nil
		},
	}
	address, _ := serve(t, s)
	result, err := mustDial(t, unusedAddress(t), address).Commit(context.Background(), Txn{})
	if err != nil || !result.Applied {
		t.Errorf("commit with one of two addresses unreachable = %v, %v", result, err)
	}
}

func TestDialEtcdRefuses(t *testing.T) {
	for _, addresses := range [][]string{nil, {"127.0.0.1"}} {
		if _, err := DialEtcd(addresses); err == nil {
			t.Errorf("DialEtcd(%v) returned no error", addresses)
		}
	}
}
