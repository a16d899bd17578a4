package adopter

import (
	"context"

	"google.golang.org/grpc"
	"google.golang.org/grpc/encoding/gzip"

	"plantaincleat/tier/gen/config"
	"plantaincleat/tier/gen/peer"
)

// maxAnswerBytes bounds the size in bytes of a pulled configuration.
const maxAnswerBytes = 64 << 20

// grpcPuller is a Puller over the Peer service.
type grpcPuller struct {
	dial func(address string) (grpc.ClientConnInterface, error)
}

// NewPuller returns a Puller that calls the Peer service over the connections
// of dial. Answers are compressed.
func NewPuller(dial func(address string) (grpc.ClientConnInterface, error)) Puller {
	return &grpcPuller{dial: dial}
}

// Pull implements Puller.
func (p *grpcPuller) Pull(ctx context.Context, address string, r *peer.FetchRequest) (*config.Accepted, error) {
	conn, err := p.dial(address)
	if err != nil {
		return nil, err
	}
	return peer.NewPeerClient(conn).Fetch(ctx, r,
		grpc.UseCompressor(gzip.Name), grpc.MaxCallRecvMsgSize(maxAnswerBytes))
}
