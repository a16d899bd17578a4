package peerserver

import (
	"context"
	"net"
	"testing"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	"plantaincleat/tier/gen/peer"
)

// panicker is a Gossiper and a Scatterer whose calls panic.
type panicker struct{}

// Gossip implements Gossiper.
func (panicker) Gossip(context.Context, *peer.Views) (*peer.Views, error) { panic("gossip") }

// Probe implements Gossiper.
func (panicker) Probe(context.Context, *peer.ProbeRequest) (*peer.ProbeReply, error) {
	return &peer.ProbeReply{}, nil
}

// Scatter implements Scatterer.
func (panicker) Scatter(peer.Peer_ScatterServer) error { panic("scatter") }

// TestPanicEndsOnlyItsCall guards against an error in one call that ends the process.
func TestPanicEndsOnlyItsCall(t *testing.T) {
	s := NewServer()
	Register(s, Options{
		Gossiper:  panicker{},
		Scatterer: panicker{},
	})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = s.Serve(l) }()
	defer s.Stop()
	conn, err := grpc.NewClient(l.Addr().String(), grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	client := peer.NewPeerClient(conn)
	if _, err := client.Gossip(t.Context(), &peer.Views{}); status.Code(err) != codes.Internal {
		t.Errorf("unary call: %v, want code Internal", err)
	}
	stream, err := client.Scatter(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if _, err := stream.Recv(); status.Code(err) != codes.Internal {
		t.Errorf("streaming call: %v, want code Internal", err)
	}
	if _, err := client.Probe(t.Context(), &peer.ProbeRequest{}); err != nil {
		t.Errorf("call after a panic: %v", err)
	}
}
