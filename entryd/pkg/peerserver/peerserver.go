// Package peerserver offers the daemon's services to the other daemons.
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

// Gatherer answers sub-plans.
type Gatherer interface {
	Serve(stream peer.Peer_GatherServer) error
}

// Gossiper exchanges views of the fleet.
type Gossiper interface {
	Gossip(ctx context.Context, in *peer.Views) (*peer.Views, error)
	Probe(ctx context.Context, in *peer.ProbeRequest) (*peer.ProbeReply, error)
}

// Fetcher hands out the configuration in force.
type Fetcher interface {
	Fetch(ctx context.Context, in *peer.FetchRequest) (*config.Accepted, error)
}

// Claimer keeps the claims of request keys.
type Claimer interface {
	Claim(ctx context.Context, in *peer.ClaimRequest) (*peer.ClaimReply, error)
}

// Mutator hands a mutation to one target.
type Mutator interface {
	Mutate(ctx context.Context, in *peer.MutateRequest) (*target.Outcome, error)
}

// Scatterer sends plain requests to the targets of shards.
type Scatterer interface {
	Scatter(stream peer.Peer_ScatterServer) error
}

// Options are the services behind a Server. A nil one is not offered.
type Options struct {
	Gatherer Gatherer
	Gossiper Gossiper
	Fetcher  Fetcher
	Claimer  Claimer
	Mutator  Mutator
	// Scatterer is that of a daemon which serves plain requests.
	Scatterer Scatterer
}

// Server implements the Peer service.
type Server struct {
	peer.UnimplementedPeerServer
	Options
}

// Register adds the service to a gRPC server.
func Register(s grpc.ServiceRegistrar, o Options) {
	peer.RegisterPeerServer(s, &Server{
		Options: o,
	})
}

// Drain lets s take no more calls and waits for those that run, until ctx ends.
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

func unoffered(step string) error { return status.Error(codes.Unimplemented, step+": not offered") }

// Gather implements peer.PeerServer.
func (s *Server) Gather(stream peer.Peer_GatherServer) error {
	return s.Gatherer.Serve(stream)
}

// Scatter implements peer.PeerServer.
func (s *Server) Scatter(stream peer.Peer_ScatterServer) error {
	if s.Scatterer == nil {
		return unoffered("scatter")
	}
	return s.Scatterer.Scatter(stream)
}

// Gossip implements peer.PeerServer.
func (s *Server) Gossip(ctx context.Context, in *peer.Views) (*peer.Views, error) {
	if s.Gossiper == nil {
		return nil, unoffered("gossip")
	}
	return s.Gossiper.Gossip(ctx, in)
}

// Probe implements peer.PeerServer.
func (s *Server) Probe(ctx context.Context, in *peer.ProbeRequest) (*peer.ProbeReply, error) {
	if s.Gossiper == nil {
		return nil, unoffered("probe")
	}
	return s.Gossiper.Probe(ctx, in)
}

// Fetch implements peer.PeerServer.
func (s *Server) Fetch(ctx context.Context, in *peer.FetchRequest) (*config.Accepted, error) {
	if s.Fetcher == nil {
		return nil, unoffered("fetch")
	}
	return s.Fetcher.Fetch(ctx, in)
}

// Claim implements peer.PeerServer.
func (s *Server) Claim(ctx context.Context, in *peer.ClaimRequest) (*peer.ClaimReply, error) {
	if s.Claimer == nil {
		return nil, unoffered("claim")
	}
	return s.Claimer.Claim(ctx, in)
}

// Mutate implements peer.PeerServer.
func (s *Server) Mutate(ctx context.Context, in *peer.MutateRequest) (*target.Outcome, error) {
	if s.Mutator == nil {
		return nil, unoffered("mutate")
	}
	return s.Mutator.Mutate(ctx, in)
}
