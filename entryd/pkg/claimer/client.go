package claimer

import (
	"cmp"
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/jonboulle/clockwork"
	"google.golang.org/grpc"

	"plantaincleat/tier/gen/peer"
	"plantaincleat/tier/pkg/hasher"
)

const (
	// keeperTries is the number of daemons that a claim is sent to before the
	// own keeper is used.
	keeperTries = 2
	// tryTimeout bounds one try. Another keeper may be asked after it, since
	// claims are idempotent and any daemon may be a keeper.
	tryTimeout = 3 * time.Second
	// connectTimeout bounds the wait for a connection to a keeper.
	connectTimeout = 300 * time.Millisecond
)

// Daemon is a live daemon that can be a keeper.
type Daemon struct {
	ID      string
	Address string
}

// Members lists the live daemons, the own one included.
type Members interface {
	Daemons() []Daemon
}

// Connector returns established connections.
type Connector interface {
	Ready(ctx context.Context, address string) (*grpc.ClientConn, error)
}

// Client sends claims to the keepers of their buckets. It is safe for
// concurrent use.
type Client struct {
	// ID is the own daemon, whose keeper is Local.
	ID        string
	Local     *BucketWriter
	Members   Members
	Connector Connector
	Clock     clockwork.Clock
}

// Claim decides one claim. VERDICT_UNAVAILABLE states that no try of this call
// was or will be written; VERDICT_UNKNOWN that one may be.
func (c *Client) Claim(ctx context.Context, claim *peer.Claim) *peer.ClaimResult {
	key, err := ParseKey(claim.GetKey())
	if err != nil {
		return failure(claim, peer.Verdict_VERDICT_REFUSED)
	}
	in := &peer.ClaimRequest{
		Bucket: key.Bucket(),
		Claims: []*peer.Claim{claim},
	}
	unsure := false
	keepers := c.keepers(key.Bucket())
	for i, d := range keepers {
		if ctx.Err() != nil {
			break
		}
		result := c.try(ctx, d, in, c.share(ctx, len(keepers)-i))
		switch result.GetVerdict() {
		case peer.Verdict_VERDICT_UNAVAILABLE:
		case peer.Verdict_VERDICT_UNKNOWN, peer.Verdict_VERDICT_UNSPECIFIED:
			unsure = true
		default:
			return result
		}
	}
	if unsure {
		return failure(claim, peer.Verdict_VERDICT_UNKNOWN)
	}
	return failure(claim, peer.Verdict_VERDICT_UNAVAILABLE)
}

func failure(claim *peer.Claim, v peer.Verdict) *peer.ClaimResult {
	return &peer.ClaimResult{
		Key:     claim.GetKey(),
		Verdict: v,
	}
}

// share is the time for the next of some tries, so that a keeper that does not
// answer leaves time for the others.
func (c *Client) share(ctx context.Context, tries int) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return tryTimeout
	}
	return min(tryTimeout, c.Clock.Until(deadline)/time.Duration(tries))
}

// try asks one keeper.
func (c *Client) try(ctx context.Context, d Daemon, in *peer.ClaimRequest, limit time.Duration) *peer.ClaimResult {
	claim := in.GetClaims()[0]
	ctx, cancel := clockwork.WithTimeout(ctx, c.Clock, limit)
	defer cancel()
	if d.ID == c.ID {
		reply, err := c.Local.Claim(ctx, in)
		return only(claim, reply, err)
	}
	wait, stop := clockwork.WithTimeout(ctx, c.Clock, connectTimeout)
	conn, err := c.Connector.Ready(wait, d.Address)
	stop()
	if err != nil {
		return failure(claim, peer.Verdict_VERDICT_UNAVAILABLE)
	}
	reply, err := peer.NewPeerClient(conn).Claim(ctx, in)
	return only(claim, reply, err)
}

// only returns the one result of a reply, if it is that of the claim.
func only(claim *peer.Claim, reply *peer.ClaimReply, err error) *peer.ClaimResult {
	results := reply.GetResults()
	if err != nil || len(results) != 1 || results[0].GetKey() != claim.GetKey() {
		return failure(claim, peer.Verdict_VERDICT_UNKNOWN)
	}
	return results[0]
}

// keepers returns the daemons to ask: the first by rendezvous hashing (Thaler
// and Ravishankar, 1998), then the own one if it is not among them.
func (c *Client) keepers(bucket uint32) []Daemon {
	daemons := slices.Clone(c.Members.Daemons())
	name := strconv.FormatUint(uint64(bucket), 10)
	slices.SortFunc(daemons, func(a, b Daemon) int {
		return cmp.Or(
			cmp.Compare(hasher.Strings(name, b.ID), hasher.Strings(name, a.ID)),
			cmp.Compare(a.ID, b.ID),
		)
	})
	if len(daemons) > keeperTries {
		daemons = daemons[:keeperTries]
	}
	if !slices.ContainsFunc(daemons, func(d Daemon) bool { return d.ID == c.ID }) {
		daemons = append(daemons, Daemon{ID: c.ID})
	}
	return daemons
}
