package scatterer

import (
	"net/http"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"plantaincleat/entryd/pkg/cataloger"
	"plantaincleat/entryd/pkg/merger"
	"plantaincleat/entryd/pkg/router"
	"plantaincleat/tier/gen/peer"
	"plantaincleat/tier/pkg/tracer"
)

// maxAge is the time on the way after which a request is refused. It allows for
// clocks that differ.
const maxAge = 500 * time.Millisecond

// Scatter serves a request of another daemon for some shards: it asks their
// targets and replies with what they answer, once all have or the goal has
// passed, and then with each further part.
func (s *Scatterer) Scatter(stream peer.Peer_ScatterServer) error {
	s.running.Add(1)
	defer s.running.Add(-1)
	in, err := stream.Recv()
	if err != nil {
		return err
	}
	if age := s.Clock.Now().UnixMilli() - in.GetSent(); age > maxAge.Milliseconds() {
		return status.Errorf(codes.FailedPrecondition, "request %s was sent %d ms ago", in.GetId(), age)
	}
	if len(in.GetShards()) == 0 {
		return stream.SendHeader(metadata.MD{})
	}
	catalog := s.Catalogs.Catalog()
	route := catalog.Route(in.GetRoute())
	if route == nil {
		return status.Errorf(codes.FailedPrecondition, "route %s is unknown at revision %d", in.GetRoute(), catalog.Revision())
	}
	if err := stream.SendHeader(metadata.MD{}); err != nil {
		return err
	}
	return s.newCollector(in, catalog, route).run(stream)
}

// collector serves a request of another daemon.
type collector struct {
	*job
	in *peer.ScatterRequest
	// sent tells which units were in a reply.
	sent []bool
	// flushed is true once the goal has passed.
	flushed bool
	// accepted gets the other daemon's word that it counts on this one.
	accepted chan struct{}
	// failures are events that wait for that word, as other targets may have to be
	// asked.
	failures []event
}

func (s *Scatterer) newCollector(in *peer.ScatterRequest, catalog *cataloger.Catalog, route *cataloger.Route) *collector {
	now := s.Clock.Now()
	r := &Request{
		ID:       in.GetId(),
		Method:   in.GetMethod(),
		Path:     in.GetPath(),
		Host:     in.GetHost(),
		Header:   make(http.Header, len(in.GetHeaders())),
		Body:     in.GetBody(),
		Received: now,
		Deadline: now.Add(time.Duration(in.GetLeft()) * time.Microsecond),
	}
	for _, h := range in.GetHeaders() {
		r.Header.Add(h.GetName(), h.GetValue())
	}
	j := &job{
		Scatterer: s,
		request:   r,
		route:     route,
		goal:      now.Add(time.Duration(in.GetGoal()) * time.Microsecond),
	}
	for _, name := range in.GetShards() {
		j.pools = append(j.pools, catalog.Pool(name))
	}
	j.prepare(router.Options{
		Deadline:      r.Deadline,
		Hedging:       true,
		MaxExecutions: max(int(in.GetAttempts()), 1),
	})
	return &collector{
		job:      j,
		in:       in,
		sent:     make([]bool, len(j.pools)),
		accepted: make(chan struct{}),
	}
}

// run serves the request until all units are answered or closed, or until the
// other daemon wants no more.
func (c *collector) run(stream peer.Peer_ScatterServer) error {
	ctx := stream.Context()
	if c.in.GetTrace() != "" {
		var span trace.Span
		ctx, span = tracer.StartSpan(tracer.Extract(ctx, c.in.GetTrace()), "scatter", attribute.String("id", c.in.GetId()))
		defer span.End()
	}
	c.begin(ctx)
	defer c.leave()
	go c.listen(stream, c.accepted)
	timer := c.Clock.NewTimer(time.Hour)
	defer timer.Stop()
	for !c.query.Done() {
		timer.Reset(c.wake().Sub(c.Clock.Now()))
		var e *event
		select {
		case one := <-c.events:
			e = &one
		case <-c.accepted:
			c.confirm()
		case <-timer.Chan():
		case <-ctx.Done():
		}
		// Nothing more is sent once the other daemon has withdrawn the request: it
		// may have gone elsewhere.
		if ctx.Err() != nil {
			return status.FromContextError(ctx.Err()).Err()
		}
		switch {
		case e == nil:
			c.do(c.query.Tick(c.Clock.Now()))
		case !c.confirmed && !c.sound(*e):
			c.failures = append(c.failures, *e)
		default:
			c.take(*e)
		}
		if err := c.flush(stream); err != nil {
			return err
		}
	}
	return stream.Send(c.reply(true))
}

// listen waits until the other daemon says that it counts on this one.
func (c *collector) listen(stream peer.Peer_ScatterServer, accepted chan<- struct{}) {
	if in, err := stream.Recv(); err == nil && in.GetAccepted() {
		close(accepted)
	}
}

// confirm lets second targets be asked, and takes in what has waited for that.
func (c *collector) confirm() {
	c.confirmed = true
	c.accepted = nil
	for _, e := range c.failures {
		c.take(e)
	}
	c.failures = nil
}

// wake returns when there is something to do without an event.
func (c *collector) wake() time.Time {
	wake := c.query.NextTick()
	if !c.flushed && c.goal.Before(wake) {
		return c.goal
	}
	return wake
}

// flush replies with what has come in, once the goal has passed.
func (c *collector) flush(stream peer.Peer_ScatterServer) error {
	if c.query.Done() || c.Clock.Now().Before(c.goal) {
		return nil
	}
	reply := c.reply(false)
	if c.flushed && len(reply.GetCovered()) == 0 {
		return nil
	}
	// The first one is sent even if it is empty: it shows that this daemon works.
	c.flushed = true
	return stream.Send(reply)
}

// reply returns the units that were in no reply yet, and in the last one those
// that will not be answered.
func (c *collector) reply(last bool) *peer.ScatterReply {
	out := &peer.ScatterReply{Last: last}
	var parts [][]byte
	for _, g := range c.answers.list {
		// Targets answer one unit each.
		u := g.units[0]
		if c.sent[u] {
			continue
		}
		c.sent[u] = true
		out.Covered = append(out.Covered, uint32(u))
		out.Signatures = append(out.Signatures, g.signatures...)
		parts = append(parts, g.records)
	}
	for u := range c.pools {
		if last && !c.query.Covered(u) {
			out.Lacks = append(out.Lacks, &peer.ScatterLack{
				Shard:  uint32(u),
				Reason: c.query.Reason(u),
			})
		}
	}
	now := c.Clock.Now()
	for u, p := range c.pools {
		if d := c.finish(p, now); d >= busyFinish {
			out.Loads = append(out.Loads, &peer.ScatterLoad{
				Shard:  uint32(u),
				Finish: uint32(d.Milliseconds()),
			})
		}
	}
	out.Records = merger.Top(parts, recordWidth, int(c.in.GetTop()))
	return out
}
