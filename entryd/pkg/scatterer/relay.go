package scatterer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"plantaincleat/entryd/pkg/assigner"
	"plantaincleat/entryd/pkg/httpsender"
	"plantaincleat/tier/gen/peer"
	"plantaincleat/tier/pkg/ranker"
)

const (
	// maxRelays is the number of daemons that a unit is sent to in place of this one.
	maxRelays = 2
	// triedBeforeRelay is the number of replicas that this daemon does not reach before it
	// sends a unit to a relay, while it reaches others.
	triedBeforeRelay = 2
	// pieceSize is the size in bytes of the pieces in which a long body is passed on.
	pieceSize = 32 << 10
)

// chooseRelay returns another daemon that sends a unit to its targets in place of this one,
// which does not reach them. A relay sends to targets only, so that a request makes one detour
// at most. Requests are divided among the relays by their ids.
func (s *selector) chooseRelay(unit int, tried []destination, now time.Time) (destination, bool) {
	j := s.job
	if !j.root || j.Placement == nil || !j.isolated() && !s.failsToReach(unit, tried) {
		return destination{}, false
	}
	ranked := j.Placement.Owners().Ranked(j.pools[unit].Name())
	isRelay := func(dest destination) bool {
		return dest.owner != nil && !slices.ContainsFunc(ranked, func(d assigner.Daemon) bool { return d.ID == dest.owner.id })
	}
	if countFunc(tried, isRelay) >= maxRelays {
		return destination{}, false
	}
	for _, d := range ranker.Rank(slices.Clone(j.Placement.Relays()), j.request.ID, daemonID) {
		dest := destination{owner: j.owners.get(d)}
		if slices.Contains(tried, dest) || j.Placement.Isolated(d.ID) || j.partitionedFrom(d.DataCentre) {
			continue
		}
		if !dest.owner.outOfService(now) {
			return dest, true
		}
		if dest.owner.probeDue(now) {
			go j.probeOwner(dest.owner)
		}
	}
	return destination{}, false
}

func daemonID(d assigner.Daemon) string { return d.ID }

// failsToReach reports whether this daemon could not open a connection to several replicas of
// a unit, and has sent the unit to none.
func (s *selector) failsToReach(unit int, tried []destination) bool {
	if s.job.route.Scattered() || s.job.query.Reason(unit) != peer.Reason_REASON_UNREACHABLE {
		return false
	}
	return countFunc(tried, func(dest destination) bool { return dest.replica != nil }) >= triedBeforeRelay
}

// countFunc returns the number of elements for which f returns true.
func countFunc[T any](list []T, f func(T) bool) int {
	n := 0
	for _, e := range list {
		if f(e) {
			n++
		}
	}
	return n
}

// peerCall is a call of another daemon. Its context ends with that of the attempt, until an
// answer is received that is passed on in pieces.
type peerCall struct {
	ctx    context.Context
	cancel context.CancelFunc
	// detach separates the call from the context of the attempt.
	detach   func() bool
	detached bool
}

func newPeerCall(ctx context.Context, deadline time.Time) *peerCall {
	c := &peerCall{}
	c.ctx, c.cancel = context.WithDeadline(context.WithoutCancel(ctx), deadline)
	c.detach = context.AfterFunc(ctx, c.cancel)
	return c
}

// end ends the call unless the rest of an answer is still read from it.
func (c *peerCall) end() {
	if !c.detached {
		c.detach()
		c.cancel()
	}
}

// decodeAnswer returns the answer of a target in a reply, or nil. If its body is passed on in
// pieces, closing Answer.Rest ends the call. What a relay of an earlier build has taken for an
// answer, but has the status of none, is left out.
func (c *peerCall) decodeAnswer(reply *peer.ScatterReply, stream peer.Peer_ScatterClient) *httpsender.Answer {
	in := reply.GetAnswer()
	if in == nil || !httpsender.IsFinal(int(in.GetStatus())) {
		return nil
	}
	answer := &httpsender.Answer{
		Status: int(in.GetStatus()),
		Header: decodeHeaders(in.GetHeaders()),
		Body:   in.GetBody(),
		Length: in.GetLength(),
	}
	if in.GetContinued() {
		c.detach()
		c.detached = true
		answer.Rest = &relayedBody{
			stream: stream,
			cancel: c.cancel,
		}
	}
	return answer
}

// relayedBody reads the rest of a body that another daemon passes on in pieces.
type relayedBody struct {
	stream  peer.Peer_ScatterClient
	cancel  context.CancelFunc
	pending []byte
	last    bool
}

// Read implements io.Reader. It returns io.EOF only after the last piece.
func (b *relayedBody) Read(p []byte) (int, error) {
	for len(b.pending) == 0 {
		if b.last {
			return 0, io.EOF
		}
		reply, err := b.stream.Recv()
		if err != nil {
			return 0, fmt.Errorf("receive piece of an answer from a relay: %w", errors.Join(httpsender.ErrIncomplete, err))
		}
		b.pending, b.last = reply.GetPiece(), reply.GetLast()
	}
	n := copy(p, b.pending)
	b.pending = b.pending[n:]
	return n, nil
}

// Close implements io.Closer.
func (b *relayedBody) Close() error {
	b.cancel()
	return nil
}

// storeRelayed stores the answer of a target that a relay has passed on, and returns the units
// that it covers. A relay of an earlier build may pass on one that is not returnable.
func (j *job) storeRelayed(a *attempt, e event) []int {
	if !j.query.Pending(a.nonce) {
		return nil
	}
	if e.reply.GetAnswer().GetFailed() && j.route.GetIdempotent() || claimsNotExecuted(e.answer.Status) {
		j.keepFailure(e.answer)
		return nil
	}
	j.storeAnswer(a.units[0], e.answer)
	return a.units
}

// finalAnswer returns the answer of one target on a route without shards, or nil.
func (c *collector) finalAnswer() *httpsender.Answer {
	if c.route.Scattered() {
		return nil
	}
	return c.returnable()
}

// sendAnswer sends the last reply with the answer of one target, and its body in pieces if it
// is too long to be kept in memory.
func (c *collector) sendAnswer(stream peer.Peer_ScatterServer, answer *httpsender.Answer) error {
	reply := c.reply(true)
	reply.Answer = &peer.Answer{
		Status:    uint32(answer.Status),
		Body:      answer.Body,
		Length:    answer.Length,
		Continued: answer.Rest != nil,
		Failed:    c.single == nil,
		Headers:   encodeHeaders(answer.Header),
	}
	reply.Last = answer.Rest == nil
	if err := stream.Send(reply); err != nil || reply.GetLast() {
		return err
	}
	buffer := make([]byte, pieceSize)
	for {
		n, err := answer.Rest.Read(buffer)
		end := err == io.EOF
		if err != nil && !end {
			return status.Errorf(codes.DataLoss, "pass on the answer to request %s: %v", c.request.ID, err)
		}
		piece := &peer.ScatterReply{
			Piece: slices.Clone(buffer[:n]),
			Last:  end,
		}
		if err := stream.Send(piece); err != nil || end {
			return err
		}
	}
}
