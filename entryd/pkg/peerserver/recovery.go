package peerserver

import (
	"context"
	"fmt"
	"log/slog"
	"runtime/debug"
	"time"

	"github.com/grpc-ecosystem/go-grpc-middleware/v2/interceptors/recovery"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// handshakeTimeout bounds the time in which a connection becomes one of gRPC.
const handshakeTimeout = 5 * time.Second

// maxStackBytes bounds the stack in the log line of a panic.
const maxStackBytes = 2 << 10

// NewServer returns a gRPC server on which a panic of a call's handler ends that call with
// codes.Internal instead of the process.
func NewServer(options ...grpc.ServerOption) *grpc.Server {
	handler := recovery.WithRecoveryHandlerContext(endCall)
	return grpc.NewServer(append(options,
		grpc.ConnectionTimeout(handshakeTimeout),
		grpc.ChainUnaryInterceptor(recovery.UnaryServerInterceptor(handler)),
		grpc.ChainStreamInterceptor(recovery.StreamServerInterceptor(handler)),
	)...)
}

// endCall logs a panic and returns the error with which its call ends.
func endCall(ctx context.Context, cause any) error {
	call, _ := grpc.Method(ctx)
	stack := debug.Stack()
	slog.Error("call of a peer ended by a panic", "call", call, "err", fmt.Sprint(cause), "stack", string(stack[:min(len(stack), maxStackBytes)]))
	return status.Errorf(codes.Internal, "%s: %v", call, cause)
}
