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
	// writerTries is the number of daemons that a claim is sent to before this
	// daemon's own writer is used.
	writerTries = 2
	// tryTimeout bounds one try. Asking another daemon afterwards is safe, since
	// claims are idempotent and any daemon may write to any bucket.
	tryTimeout = 3 * time.Second
	// connectTimeout bounds the wait for a connection to another daemon.
	connectTimeout = 300 * time.Millisecond
)

// Daemon is a live daemon that can write the claims of a bucket.
type Daemon struct {
	ID      string
	Address string
}

// Members lists the live daemons, including this one.
type Members interface {
	Daemons() []Daemon
}

// Connector provides connections to other daemons. Ready returns when the
// connection to the address is established or ctx ends.
type Connector interface {
	Ready(ctx context.Context, address string) (*grpc.ClientConn, error)
}

// Client sends each claim to the daemon that writes the bucket of its key. It is
// safe for concurrent use.
type Client struct {
	// ID identifies this daemon, whose bucket writer is Local.
	ID        string
	Local     *BucketWriter
	Members   Members
	Connector Connector
	Clock     clockwork.Clock
}

// Claim asks up to writerTries daemons and then this daemon's own writer to
// decide a claim. VERDICT_UNAVAILABLE means that the claim was not and will not
// be written by this call. VERDICT_UNKNOWN means that it may have been written
// or may still be.
func (c *Client) Claim(ctx context.Context, claim *peer.Claim) *peer.ClaimResult {
	key, err := ParseKey(claim.GetKey())
	if err != nil {
		return newResult(claim, peer.Verdict_VERDICT_REFUSED)
	}
	in := &peer.ClaimRequest{
		Bucket: key.Bucket(),
		Claims: []*peer.Claim{claim},
	}
	uncertain := false
	writers := c.writers(key.Bucket())
	for i, d := range writers {
		if ctx.Err() != nil {
			break
		}
		result := c.try(ctx, d, in, c.tryLimit(ctx, len(writers)-i))
		switch result.GetVerdict() {
		case peer.Verdict_VERDICT_UNAVAILABLE:
		case peer.Verdict_VERDICT_UNKNOWN, peer.Verdict_VERDICT_UNSPECIFIED:
			uncertain = true
		default:
			return result
		}
	}
	if uncertain {
		return newResult(claim, peer.Verdict_VERDICT_UNKNOWN)
	}
	return newResult(claim, peer.Verdict_VERDICT_UNAVAILABLE)
}

// newResult returns the result of a claim without an outcome.
func newResult(claim *peer.Claim, v peer.Verdict) *peer.ClaimResult {
	return &peer.ClaimResult{
		Key:     claim.GetKey(),
		Verdict: v,
	}
}

// tryLimit returns the time limit of the next try when the given number of tries
// remains. It divides the time until the deadline evenly, so that a daemon that
// does not answer leaves time for the remaining tries.
func (c *Client) tryLimit(ctx context.Context, tries int) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return tryTimeout
	}
	return min(tryTimeout, c.Clock.Until(deadline)/time.Duration(tries))
}

// try sends the request to one daemon and returns the result of its only claim.
func (c *Client) try(ctx context.Context, d Daemon, in *peer.ClaimRequest, limit time.Duration) *peer.ClaimResult {
	claim := in.GetClaims()[0]
	ctx, cancel := clockwork.WithTimeout(ctx, c.Clock, limit)
	defer cancel()
	if d.ID == c.ID {
		reply, err := c.Local.Claim(ctx, in)
		return singleResult(claim, reply, err)
	}
	connectCtx, cancelConnect := clockwork.WithTimeout(ctx, c.Clock, connectTimeout)
	conn, err := c.Connector.Ready(connectCtx, d.Address)
	cancelConnect()
	if err != nil {
		return newResult(claim, peer.Verdict_VERDICT_UNAVAILABLE)
	}
	reply, err := peer.NewPeerClient(conn).Claim(ctx, in)
	return singleResult(claim, reply, err)
}

// singleResult returns the result in a reply to a single claim. It returns
// VERDICT_UNKNOWN on an error, or if the reply does not have exactly one result
// with the key of the claim.
func singleResult(claim *peer.Claim, reply *peer.ClaimReply, err error) *peer.ClaimResult {
	results := reply.GetResults()
	if err != nil || len(results) != 1 || results[0].GetKey() != claim.GetKey() {
		return newResult(claim, peer.Verdict_VERDICT_UNKNOWN)
	}
	return results[0]
}

// writers returns the daemons to ask, in order: the first writerTries daemons by
// rendezvous hashing (Thaler and Ravishankar, 1998), then this daemon if it is
// not among them.
func (c *Client) writers(bucket uint32) []Daemon {
	daemons := slices.Clone(c.Members.Daemons())
	name := strconv.FormatUint(uint64(bucket), 10)
	slices.SortFunc(daemons, func(a, b Daemon) int {
		return cmp.Or(
			cmp.Compare(hasher.Strings(name, b.ID), hasher.Strings(name, a.ID)),
			cmp.Compare(a.ID, b.ID),
		)
	})
	if len(daemons) > writerTries {
		daemons = daemons[:writerTries]
	}
	if !slices.ContainsFunc(daemons, func(d Daemon) bool { return d.ID == c.ID }) {
		daemons = append(daemons, Daemon{ID: c.ID})
	}
	return daemons
}
