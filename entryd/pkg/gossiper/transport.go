package gossiper

import (
	"context"

	"github.com/rotisserie/eris"
	"google.golang.org/grpc"

	"plantaincleat/tier/gen/peer"
)

// Transport sends messages to other daemons. Implementations are safe for
// concurrent use.
type Transport interface {
	// Exchange sends a message to the daemon at address and returns the answer.
	Exchange(ctx context.Context, address string, v *peer.Views) (*peer.Views, error)
	// Probe asks the daemon at address whether the daemon at probed answers.
	Probe(ctx context.Context, address, probed string) (bool, error)
}

// Dialer returns a connection to the daemon at an address. It may return the
// same connection several times and need not wait until it is ready.
type Dialer func(address string) (grpc.ClientConnInterface, error)

// grpcTransport is a Transport over the Peer service.
type grpcTransport struct {
	dial Dialer
}

// NewTransport returns a Transport that calls the Peer service over the
// connections of dial.
func NewTransport(dial Dialer) Transport {
	return &grpcTransport{
		dial: dial,
	}
}

// Exchange implements Transport.
func (t *grpcTransport) Exchange(ctx context.Context, address string, v *peer.Views) (*peer.Views, error) {
	conn, err := t.dial(address)
	if err != nil {
		return nil, eris.Wrapf(err, "gossip: dial peer %s", address)
	}
	reply, err := peer.NewPeerClient(conn).Gossip(ctx, v)
	if err != nil {
		return nil, eris.Wrapf(err, "gossip: exchange with peer %s", address)
	}
	return reply, nil
}

// Probe implements Transport.
func (t *grpcTransport) Probe(ctx context.Context, address, probed string) (bool, error) {
	conn, err := t.dial(address)
	if err != nil {
		return false, eris.Wrapf(err, "probe of %s: dial peer %s", probed, address)
	}
	reply, err := peer.NewPeerClient(conn).Probe(ctx, &peer.ProbeRequest{
		Address: probed,
	})
	if err != nil {
		return false, eris.Wrapf(err, "probe of %s: request to peer %s", probed, address)
	}
	return reply.GetAlive(), nil
}
