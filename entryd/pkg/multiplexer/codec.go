package multiplexer

import (
	"context"

	"google.golang.org/grpc"

	"github.com/jonboulle/clockwork"

	"plantaincleat/tier/gen/peer"
	"plantaincleat/tier/gen/target"
)

// TargetLink is a stream of searches to one target.
type TargetLink = Link[*target.Call, *target.Answer, *target.Calls, *target.Answers]

// PeerLink is a stream of gather tasks to one peer daemon.
type PeerLink = Link[*peer.Task, *peer.Partial, *peer.Tasks, *peer.Partials]

// Dialer returns the connection to an address. The caller must not close it,
// because it is shared.
type Dialer func(address string) (grpc.ClientConnInterface, error)

// NewTargetLink returns a Link to the target at an address. It connects on the
// first request.
func NewTargetLink(address string, dial Dialer, clock clockwork.Clock) *TargetLink {
	codec := Codec[*target.Call, *target.Answer, *target.Calls, *target.Answers]{
		Pack: func(calls []*target.Call) *target.Calls {
			return &target.Calls{
				Calls: calls,
			}
		},
		Unpack: (*target.Answers).GetAnswers,
		Nonce:  (*target.Answer).GetNonce,
	}
	open := func(ctx context.Context) (Stream[*target.Calls, *target.Answers], error) {
		conn, err := dial(address)
		if err != nil {
			return nil, err
		}
		return target.NewTargetClient(conn).Exchange(ctx)
	}
	return New("target "+address, codec, open, clock)
}

// NewPeerLink returns a Link to the daemon at an address. It connects on the first
// request.
func NewPeerLink(address string, dial Dialer, clock clockwork.Clock) *PeerLink {
	codec := Codec[*peer.Task, *peer.Partial, *peer.Tasks, *peer.Partials]{
		Pack: func(tasks []*peer.Task) *peer.Tasks {
			return &peer.Tasks{
				Tasks: tasks,
			}
		},
		Unpack: (*peer.Partials).GetPartials,
		Nonce:  (*peer.Partial).GetNonce,
	}
	open := func(ctx context.Context) (Stream[*peer.Tasks, *peer.Partials], error) {
		conn, err := dial(address)
		if err != nil {
			return nil, err
		}
		return peer.NewPeerClient(conn).Gather(ctx)
	}
	return New("daemon "+address, codec, open, clock)
}
