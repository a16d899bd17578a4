package scatterer

import (
	"context"
	"fmt"
	"time"

	"plantaincleat/entryd/pkg/estimator"
	"plantaincleat/entryd/pkg/requester"
	"plantaincleat/tier/gen/peer"
)

// returnTime is what an owner's reply needs to arrive and to be merged.
const returnTime = 4 * time.Millisecond

// delegate asks the owner of some shards for their merged answer.
func (j *job) delegate(ctx context.Context, a *attempt) {
	defer a.cancel()
	begin := j.Clock.Now()
	stream, err := j.call(ctx, a, begin)
	if err == nil {
		err = j.acknowledge(stream, a)
	}
	if err != nil {
		j.lost(ctx, a, err, begin)
		return
	}
	for {
		reply, err := stream.Recv()
		if err != nil {
			j.lost(ctx, a, err, begin)
			return
		}
		j.report(event{
			attempt: a,
			reply:   reply,
			last:    reply.GetLast(),
			took:    j.Clock.Since(begin),
		})
		if reply.GetLast() {
			return
		}
	}
}

// call starts the call.
func (j *job) call(ctx context.Context, a *attempt, now time.Time) (peer.Peer_ScatterClient, error) {
	conn, err := j.Dial(a.path.owner.address)
	if err != nil {
		return nil, fmt.Errorf("daemon %s: %w: %w", a.path.owner.id, requester.ErrUnsent, err)
	}
	stream, err := peer.NewPeerClient(conn).Scatter(ctx, j.encode(a, now))
	if err != nil {
		return nil, fmt.Errorf("daemon %s: scatter: %w", a.path.owner.id, err)
	}
	return stream, nil
}

// encode returns the request for the units of an attempt. The owner of a unit
// that was sent before may ask one target only.
func (j *job) encode(a *attempt, now time.Time) *peer.ScatterRequest {
	in := &peer.ScatterRequest{
		Id:       j.request.ID,
		Method:   j.request.Method,
		Path:     j.request.Path,
		Host:     j.request.Host,
		Body:     j.request.Body,
		Route:    j.route.GetName(),
		Top:      j.route.GetTop(),
		Attempts: max(j.route.GetAttempts(), 1),
		Left:     j.request.Deadline.Sub(now).Microseconds(),
		Goal:     (j.goal.Sub(now) - returnTime).Microseconds(),
	}
	for name, values := range j.request.Header {
		for _, v := range values {
			in.Headers = append(in.Headers, &peer.Header{
				Name:  name,
				Value: v,
			})
		}
	}
	for _, u := range a.units {
		in.Shards = append(in.Shards, j.pools[u].Name())
	}
	if a.again {
		in.Attempts = 1
	}
	return in
}

// acknowledge waits until the owner has accepted the request.
func (j *job) acknowledge(stream peer.Peer_ScatterClient, a *attempt) error {
	if _, err := stream.Header(); err != nil {
		return fmt.Errorf("daemon %s: acknowledge: %w", a.path.owner.id, err)
	}
	a.path.owner.gauge.Answer(j.Clock.Now(), a.ticket, estimator.Report{Incarnation: 1})
	a.acknowledged = true
	j.report(event{
		attempt:      a,
		acknowledged: true,
	})
	return nil
}

// lost reports that an owner has failed.
func (j *job) lost(ctx context.Context, a *attempt, err error, begin time.Time) {
	switch {
	case a.acknowledged:
	case ctx.Err() != nil:
		a.path.owner.gauge.Drop()
	default:
		a.path.owner.gauge.Fail()
	}
	j.report(event{
		attempt: a,
		last:    true,
		err:     err,
		took:    j.Clock.Since(begin),
	})
}
