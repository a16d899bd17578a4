package scatterer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/jonboulle/clockwork"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	"plantaincleat/entryd/pkg/estimator"
	"plantaincleat/entryd/pkg/httpsender"
	"plantaincleat/tier/gen/peer"
	"plantaincleat/tier/pkg/tracer"
)

// replyMargin is the time that an owner's reply needs to arrive and to be merged.
const replyMargin = 5 * time.Millisecond

// goalGrace is the time after the goal at which a missing reply counts as late.
const goalGrace = 5 * time.Millisecond

// sendToOwner sends an attempt to the owner of its shards, which replies with their
// merged answer, or to a relay, which replies with the answer of one target.
func (j *job) sendToOwner(ctx context.Context, a *attempt) {
	defer a.cancel()
	call := newPeerCall(ctx, j.request.Deadline)
	defer call.end()
	begin := j.Clock.Now()
	defer func() { j.recordSpan(a, begin, j.Clock.Now()) }()
	o := a.dest.owner
	ackTimer := time.AfterFunc(o.ackTimeout(), func() { o.recordLateAck(j.Clock.Now()) })
	defer ackTimer.Stop()
	release, err := j.reserveCopy(j.request.Body)
	if err != nil {
		j.ownerFailed(ctx, a, err, begin)
		return
	}
	defer release()
	stream, err := j.openStream(call.ctx, a, begin)
	if err == nil {
		err = awaitHeader(stream)
	}
	if err != nil {
		j.ownerFailed(ctx, a, err, begin)
		return
	}
	if ackTimer.Stop() {
		o.recordAckInTime(j.Clock.Now())
	}
	o.ackEstimator.Answer(j.Clock.Now(), a.ticket, estimator.Report{Incarnation: 1})
	a.acknowledged = true
	// If a send fails, the call has failed and receiveReplies returns its error.
	a.sendAccepted = func() { _ = stream.Send(&peer.ScatterRequest{Accepted: true}) }
	a.sendAbandoned = func() { _ = stream.Send(&peer.ScatterRequest{Abandoned: true}) }
	j.sendEvent(event{
		attempt:      a,
		acknowledged: true,
	})
	j.receiveReplies(ctx, call, a, stream, begin)
}

// receiveReplies passes the replies of an owner to the job.
func (j *job) receiveReplies(ctx context.Context, call *peerCall, a *attempt, stream peer.Peer_ScatterClient, begin time.Time) {
	o := a.dest.owner
	goalTimer := time.AfterFunc(j.goal.Sub(begin)+goalGrace, func() { o.recordLateReply(j.Clock.Now()) })
	defer goalTimer.Stop()
	for {
		reply, err := stream.Recv()
		if err != nil {
			j.ownerFailed(ctx, a, err, begin)
			return
		}
		if goalTimer.Stop() {
			o.recordReplyInTime(j.Clock.Now())
		}
		last := reply.GetLast() || reply.GetAnswer().GetContinued()
		answer := call.decodeAnswer(reply, stream)
		j.sendEvent(event{
			attempt: a,
			reply:   reply,
			answer:  answer,
			last:    last,
			took:    j.Clock.Since(begin),
		})
		if last {
			break
		}
	}
}

// awaitHeader waits for an owner's acknowledgement, which is the header of the stream.
func awaitHeader(stream peer.Peer_ScatterClient) error {
	header, err := stream.Header()
	if err == nil && header == nil {
		// The call has ended without a header.
		_, err = stream.Recv()
	}
	switch status.Code(err) {
	case codes.FailedPrecondition:
		return fmt.Errorf("owner refused the request: %w: %w", httpsender.ErrNotSent, err)
	case quarantinedCode:
		return fmt.Errorf("owner refused the request: %w: %w: %w", errQuarantined, httpsender.ErrNotSent, err)
	}
	return err
}

// openStream opens a stream to the owner of an attempt and sends the request. An error
// that wraps httpsender.ErrNotSent reports that nothing was sent to the owner.
func (j *job) openStream(ctx context.Context, a *attempt, now time.Time) (peer.Peer_ScatterClient, error) {
	conn, err := j.Dial(a.dest.owner.address)
	if err != nil {
		return nil, fmt.Errorf("connect to daemon %s: %w: %w", a.dest.owner.id, httpsender.ErrNotSent, err)
	}
	stream, err := peer.NewPeerClient(conn).Scatter(ctx)
	if err != nil {
		return nil, fmt.Errorf("open scatter stream to daemon %s: %w: %w", a.dest.owner.id, httpsender.ErrNotSent, err)
	}
	if err := stream.Send(j.encode(a, now)); err != nil {
		return nil, fmt.Errorf("send scatter request to daemon %s: %w", a.dest.owner.id, err)
	}
	return stream, nil
}

// encode returns the request for the units of an attempt. If a unit was sent before,
// the owner may make only one attempt per unit.
func (j *job) encode(a *attempt, now time.Time) *peer.ScatterRequest {
	in := &peer.ScatterRequest{
		Id:        []byte(j.request.ID),
		Method:    []byte(j.request.Method),
		Path:      []byte(j.request.Path),
		Host:      []byte(j.request.Host),
		Body:      j.request.Body,
		Route:     j.route.GetName(),
		Top:       j.route.GetTop(),
		Attempts:  max(j.route.GetAttempts(), 1),
		Left:      j.request.Deadline.Sub(now).Microseconds(),
		Goal:      (j.goal.Sub(now) - replyMargin).Microseconds(),
		Sent:      now.UnixMilli(),
		Content:   j.plan.Subject().Content(),
		Caller:    j.plan.Subject().Caller(),
		Rank:      proto.Uint32(j.request.Rank),
		Suspected: a.trial,
	}
	if tracer.Sampled(j.ctx) {
		in.Trace = tracer.Inject(j.ctx)
	}
	in.Headers = encodeHeaders(j.request.Header)
	for _, u := range a.units {
		in.Shards = append(in.Shards, j.pools[u].Name())
	}
	if a.resent || !j.route.GetIdempotent() {
		in.Attempts = 1
	}
	return in
}

// ownerFailed records the failure of an owner and passes it to the job.
func (j *job) ownerFailed(ctx context.Context, a *attempt, err error, begin time.Time) {
	if !a.acknowledged {
		a.dest.owner.ackEstimator.Drop()
	}
	if ctx.Err() == nil && !errors.Is(err, errQuarantined) && !errors.Is(err, errNoRoom) {
		a.dest.owner.recordLateAck(j.Clock.Now())
	}
	j.sendEvent(event{
		attempt: a,
		last:    true,
		err:     err,
		took:    j.Clock.Since(begin),
	})
}

// probeOwner checks whether an owner that is out of service acknowledges a request in
// time again. A request without shards only tests the connection.
func (s *Scatterer) probeOwner(o *owner) {
	ctx, cancel := clockwork.WithTimeout(context.Background(), s.Clock, ownerProbeInterval)
	defer cancel()
	begin := s.Clock.Now()
	stream, err := s.openProbe(ctx, o.address, &peer.ScatterRequest{
		Sent: begin.UnixMilli(),
	})
	if err != nil {
		return
	}
	if _, err = stream.Header(); err != nil {
		return
	}
	if _, err = stream.Recv(); errors.Is(err, io.EOF) && s.Clock.Since(begin) <= maxAckTimeout {
		o.recordAckInTime(s.Clock.Now())
	}
}

// openProbe opens a stream to a daemon and sends a request without shards.
func (s *Scatterer) openProbe(ctx context.Context, address string, in *peer.ScatterRequest) (peer.Peer_ScatterClient, error) {
	conn, err := s.Dial(address)
	if err != nil {
		return nil, fmt.Errorf("connect to daemon at %s: %w", address, err)
	}
	stream, err := peer.NewPeerClient(conn).Scatter(ctx)
	if err != nil {
		return nil, fmt.Errorf("open probe stream to daemon at %s: %w", address, err)
	}
	if err := stream.Send(in); err != nil {
		return nil, fmt.Errorf("send probe to daemon at %s: %w", address, err)
	}
	return stream, nil
}
