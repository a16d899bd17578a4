// Package peerserver implements the gRPC service that daemons offer to their peers.
package peerserver

import (
	"context"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"plantaincleat/tier/gen/config"
	"plantaincleat/tier/gen/peer"
	"plantaincleat/tier/gen/target"
)

// Gatherer executes sub-plans.
type Gatherer interface {
	Serve(stream peer.Peer_GatherServer) error
}

// Gossiper exchanges membership views and answers probes.
type Gossiper interface {
	Gossip(ctx context.Context, in *peer.Views) (*peer.Views, error)
	Probe(ctx context.Context, in *peer.ProbeRequest) (*peer.ProbeReply, error)
}

// Fetcher returns the configuration in force.
type Fetcher interface {
	Fetch(ctx context.Context, in *peer.FetchRequest) (*config.Accepted, error)
}

// Claimer grants and records the claims of request keys.
type Claimer interface {
	Claim(ctx context.Context, in *peer.ClaimRequest) (*peer.ClaimReply, error)
}

// Mutator sends a mutation to one target.
type Mutator interface {
	Mutate(ctx context.Context, in *peer.MutateRequest) (*target.Outcome, error)
}

// Scatterer sends plain requests to targets of their shards.
type Scatterer interface {
	Scatter(stream peer.Peer_ScatterServer) error
}

// Lender lends tokens of institutions.
type Lender interface {
	Lend(ctx context.Context, in *peer.LendRequest) (*peer.LendReply, error)
}

// Options hold the implementations of a Server's calls. A call whose implementation
// is nil returns codes.Unimplemented.
type Options struct {
	Gatherer Gatherer
	Gossiper Gossiper
	Fetcher  Fetcher
	Claimer  Claimer
	Mutator  Mutator
	// Scatterer is set in daemons that serve plain requests.
	Scatterer Scatterer
	// Lender is set in daemons that keep limits of institutions for plain requests.
	Lender Lender
}

// Server implements peer.PeerServer by forwarding to its Options.
type Server struct {
	peer.UnimplementedPeerServer
	Options
}

// Register registers the service with a gRPC server.
func Register(s grpc.ServiceRegistrar, o Options) {
	peer.RegisterPeerServer(s, &Server{
		Options: o,
	})
}

// Drain makes s refuse new calls and waits until the running ones have ended or ctx is
// done.
func Drain(ctx context.Context, s *grpc.Server) {
	drained := make(chan struct{})
	go func() {
		s.GracefulStop()
		close(drained)
	}()
	select {
	case <-drained:
	case <-ctx.Done():
	}
}

// unimplemented returns the error for a call that this daemon does not offer.
func unimplemented(call string) error {
	return status.Error(codes.Unimplemented, call+": not offered by this daemon")
}

// Gather implements peer.PeerServer.
func (s *Server) Gather(stream peer.Peer_GatherServer) error {
	if s.Gatherer == nil {
		return unimplemented("gather")
	}
	return s.Gatherer.Serve(stream)
}

// Scatter implements peer.PeerServer.
func (s *Server) Scatter(stream peer.Peer_ScatterServer) error {
	if s.Scatterer == nil {
		return unimplemented("scatter")
	}
	return s.Scatterer.Scatter(stream)
}

// Gossip implements peer.PeerServer.
func (s *Server) Gossip(ctx context.Context, in *peer.Views) (*peer.Views, error) {
	if s.Gossiper == nil {
		return nil, unimplemented("gossip")
	}
	return s.Gossiper.Gossip(ctx, in)
}

// Probe implements peer.PeerServer.
func (s *Server) Probe(ctx context.Context, in *peer.ProbeRequest) (*peer.ProbeReply, error) {
	if s.Gossiper == nil {
		return nil, unimplemented("probe")
	}
	return s.Gossiper.Probe(ctx, in)
}

// Fetch implements peer.PeerServer.
func (s *Server) Fetch(ctx context.Context, in *peer.FetchRequest) (*config.Accepted, error) {
	if s.Fetcher == nil {
		return nil, unimplemented("fetch")
	}
	return s.Fetcher.Fetch(ctx, in)
}

// Claim implements peer.PeerServer.
func (s *Server) Claim(ctx context.Context, in *peer.ClaimRequest) (*peer.ClaimReply, error) {
	if s.Claimer == nil {
		return nil, unimplemented("claim")
	}
	return s.Claimer.Claim(ctx, in)
}

// Mutate implements peer.PeerServer.
func (s *Server) Mutate(ctx context.Context, in *peer.MutateRequest) (*target.Outcome, error) {
	if s.Mutator == nil {
		return nil, unimplemented("mutate")
	}
	return s.Mutator.Mutate(ctx, in)
}

// Lend implements peer.PeerServer.
func (s *Server) Lend(ctx context.Context, in *peer.LendRequest) (*peer.LendReply, error) {
	if s.Lender == nil {
		return nil, unimplemented("lend")
	}
	return s.Lender.Lend(ctx, in)
}
