package scatterer

import (
	"slices"
	"time"

	"go.opentelemetry.io/otel/trace"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"plantaincleat/entryd/pkg/cataloger"
	"plantaincleat/entryd/pkg/crashtracker"
	"plantaincleat/entryd/pkg/merger"
	"plantaincleat/entryd/pkg/router"
	"plantaincleat/tier/gen/peer"
	"plantaincleat/tier/pkg/tracer"
)

// maxRequestAge is the age from which a request of another daemon is refused, counted
// from its sending. It allows for differences between the clocks of the daemons.
const maxRequestAge = 500 * time.Millisecond

// Scatter serves a request of another daemon for some shards. It sends the request to
// targets of these shards and replies with their merged answers. The first reply is
// sent when all shards have answered or when the goal has passed. After the goal, a
// further reply follows for each shard that answers later.
func (s *Scatterer) Scatter(stream peer.Peer_ScatterServer) error {
	s.running.Add(1)
	defer s.running.Add(-1)
	in, err := stream.Recv()
	if err != nil {
		return err
	}
	if age := s.Clock.Now().UnixMilli() - in.GetSent(); age > maxRequestAge.Milliseconds() {
		return status.Errorf(codes.FailedPrecondition, "refuse request %s: sent %d ms ago, more than the maximum age", in.GetId(), age)
	}
	if len(in.GetShards()) == 0 {
		return s.serveProbe(stream, in)
	}
	if s.mayNotSend() {
		return errStopping
	}
	release, ok := s.reserveReceived(in)
	if !ok {
		return stream.Send(rejectAll(in, peer.Reason_REASON_SHED))
	}
	defer release()
	catalog := s.Catalogs.Catalog()
	route := catalog.Route(in.GetRoute())
	if route == nil {
		return status.Errorf(codes.FailedPrecondition, "look up route %s: not in the configuration at revision %d", in.GetRoute(), catalog.Revision())
	}
	subject := crashtracker.SubjectOf(in.GetContent(), in.GetCaller())
	plan := s.crashes.Plan(s.Clock.Now(), subject)
	if plan.Refused {
		return status.Errorf(quarantinedCode, "request %s is refused until %s because it crashes targets", in.GetId(), plan.Until)
	}
	if err := stream.SendHeader(metadata.MD{}); err != nil {
		return err
	}
	if in.GetSuspected() {
		return s.serveSuspected(stream, in, catalog, route, subject)
	}
	return s.newCollector(in, catalog, route, plan).run(stream)
}

// serveSuspected serves a request of another daemon that is suspected of crashing targets.
// The requests before it may have shown meanwhile that it does. What it shows itself is
// recorded before the next one begins, which the notice of the other daemon may not be.
func (s *Scatterer) serveSuspected(stream peer.Peer_ScatterServer, in *peer.ScatterRequest, catalog *cataloger.Catalog, route *cataloger.Route, subject crashtracker.Subject) error {
	if !s.mayArbitrateForOthers(s.Clock.Now()) {
		return stream.Send(rejectAll(in, peer.Reason_REASON_SHED))
	}
	endTurn := s.takeTurn(stream.Context(), subject, in.GetShards()[0], turnTimeout)
	if endTurn == nil {
		return stream.Send(rejectAll(in, peer.Reason_REASON_SHED))
	}
	defer endTurn()
	plan := s.crashes.Plan(s.Clock.Now(), subject)
	if plan.Refused {
		return stream.Send(rejectAll(in, peer.Reason_REASON_QUARANTINED))
	}
	plan.Suspected = true
	c := s.newCollector(in, catalog, route, plan)
	c.tries = true
	defer c.recordCrashes()
	return c.run(stream)
}

// collector serves a request of another daemon.
type collector struct {
	*job
	in *peer.ScatterRequest
	// urgent is the rank of the most urgent route over shards.
	urgent uint32
	// sent holds for each unit whether a reply has contained it.
	sent []bool
	// pastGoal is true once the first reply after the goal was sent.
	pastGoal bool
	// accepted is closed when the other daemon has accepted this one, which means that it
	// does not send the request elsewhere unless this daemon fails.
	accepted chan struct{}
	// left is closed when the other daemon says that the caller has left.
	left chan struct{}
	// pendingFailures are the events of failed attempts that wait for accepted. They may
	// lead to requests to other targets.
	pendingFailures []event
}

func (s *Scatterer) newCollector(in *peer.ScatterRequest, catalog *cataloger.Catalog, route *cataloger.Route, plan crashtracker.Plan) *collector {
	now := s.Clock.Now()
	r := &Request{
		ID:       string(in.GetId()),
		Method:   string(in.GetMethod()),
		Path:     string(in.GetPath()),
		Host:     string(in.GetHost()),
		Header:   decodeHeaders(in.GetHeaders()),
		Body:     in.GetBody(),
		Received: now,
		Deadline: now.Add(time.Duration(in.GetLeft()) * time.Microsecond),
	}
	s.describeOrigin(r, in, catalog, route)
	j := &job{
		Scatterer: s,
		request:   r,
		route:     route,
		plan:      plan,
		goal:      now.Add(time.Duration(in.GetGoal()) * time.Microsecond),
	}
	for _, name := range in.GetShards() {
		j.pools = append(j.pools, catalog.Pool(name))
	}
	j.prepare(router.Options{
		Deadline:      r.Deadline,
		Hedging:       route.GetIdempotent() && !plan.Suspected,
		MaxExecutions: max(int(in.GetAttempts()), 1),
	})
	return &collector{
		job:      j,
		in:       in,
		urgent:   mostUrgent(catalog),
		sent:     make([]bool, len(j.pools)),
		accepted: make(chan struct{}),
		left:     make(chan struct{}),
	}
}

// describeOrigin sets the institution and the priority of a request of another daemon.
func (s *Scatterer) describeOrigin(r *Request, in *peer.ScatterRequest, catalog *cataloger.Catalog, route *cataloger.Route) {
	if catalog.Keys().Required() {
		r.Institution = r.Header.Get(s.InstitutionHeader)
	}
	r.Rank = route.GetRank()
	if in.Rank != nil {
		r.Rank = in.GetRank()
	}
}

// run serves the request until all units are answered or given up, or until the other
// daemon ends the stream.
func (c *collector) run(stream peer.Peer_ScatterServer) error {
	ctx := stream.Context()
	if c.in.GetTrace() != "" {
		var span trace.Span
		ctx, span = tracer.StartSpan(tracer.Extract(ctx, c.in.GetTrace()), "scatter", idAttribute(c.request.ID))
		defer span.End()
	}
	c.startAll(ctx)
	defer c.finish(nil)
	defer c.stop()
	go c.receive(stream, c.accepted, c.left)
	timer := c.Clock.NewTimer(time.Hour)
	defer timer.Stop()
	lost, sendsEnded, requestsEnded := c.lost(), c.stopping.sendsEnded, c.stopping.requestsEnded
	for !c.query.Done() {
		timer.Reset(c.nextWake().Sub(c.Clock.Now()))
		var e *event
		select {
		case received := <-c.events:
			e = &received
		case <-c.accepted:
			c.confirm()
		case <-c.left:
			c.closed = true
			c.handlePending()
			c.abandon()
			return stream.Send(c.reply(true))
		case <-lost:
			lost = nil
			c.loseReach()
		case <-sendsEnded:
			sendsEnded = nil
			c.withdrawWaiting()
		case <-requestsEnded:
			requestsEnded = nil
			c.expire()
		case <-timer.Chan():
		case <-ctx.Done():
		}
		// Nothing is sent after the other daemon has withdrawn the request, because it
		// may have sent the request elsewhere.
		if ctx.Err() != nil {
			c.settle()
			return status.FromContextError(ctx.Err()).Err()
		}
		switch {
		case e == nil:
			c.apply(c.query.Tick(c.Clock.Now()))
		case !c.confirmed && !c.succeeded(*e):
			// It may never be handled.
			c.keepStream(e.answer)
			c.pendingFailures = append(c.pendingFailures, *e)
		default:
			c.handle(*e)
		}
		if err := c.flush(stream); err != nil {
			return err
		}
	}
	if answer := c.finalAnswer(); answer != nil {
		return c.sendAnswer(stream, answer)
	}
	return stream.Send(c.reply(true))
}

// settle handles what attempts have shown of their targets after the other daemon has withdrawn
// the request.
func (c *collector) settle() {
	c.closed = true
	c.handlePending()
	c.awaitOutcome()
}

// receive receives the later messages of the other daemon. It closes accepted when that accepts
// this daemon, and left when the caller has left.
func (c *collector) receive(stream peer.Peer_ScatterServer, accepted, left chan<- struct{}) {
	for {
		in, err := stream.Recv()
		switch {
		case err != nil:
			return
		case in.GetAbandoned():
			close(left)
			return
		case in.GetAccepted() && accepted != nil:
			close(accepted)
			accepted = nil
		}
	}
}

// confirm allows requests to second targets and handles the pending failures.
func (c *collector) confirm() {
	c.confirmed = true
	c.accepted = nil
	c.handlePending()
}

// handlePending handles the failures that have waited for accepted.
func (c *collector) handlePending() {
	for _, e := range c.pendingFailures {
		c.handle(e)
	}
	c.pendingFailures = nil
}

// nextWake returns when the collector has to act if no event arrives.
func (c *collector) nextWake() time.Time {
	wake := c.query.NextTick()
	if !c.pastGoal && c.goal.Before(wake) {
		return c.goal
	}
	return wake
}

// flush sends the answers that no reply has contained, once the goal has passed.
func (c *collector) flush(stream peer.Peer_ScatterServer) error {
	if c.query.Done() || c.Clock.Now().Before(c.goal) {
		return nil
	}
	reply := c.reply(false)
	if c.pastGoal && len(reply.GetCovered()) == 0 {
		return nil
	}
	// The first reply is sent even if it is empty. It shows that this daemon works.
	c.pastGoal = true
	return stream.Send(reply)
}

// reply returns a reply with the units that no earlier reply has contained and with
// the expected latency of each busy shard. The last reply also lists the units that
// will not be answered.
func (c *collector) reply(last bool) *peer.ScatterReply {
	out := &peer.ScatterReply{
		Last:      last,
		Untouched: last && !c.mayHaveExecuted(),
	}
	var records [][]byte
	for _, p := range c.answers.list {
		// A partial from a target contains one unit.
		u := p.units[0]
		if c.sent[u] {
			continue
		}
		c.sent[u] = true
		out.Covered = append(out.Covered, uint32(u))
		out.Signatures = append(out.Signatures, encodeSignatures(p.signatures)...)
		records = append(records, p.records)
	}
	for u := range c.pools {
		if !c.query.Covered(u) {
			out.Ended = append(out.Ended, slices.Repeat([]uint32{uint32(u)}, c.ended[u])...)
		}
		if last && !c.query.Covered(u) {
			out.Lacks = append(out.Lacks, c.lack(u))
		}
	}
	now := c.Clock.Now()
	doubtful := c.doubtful()
	for u, pool := range c.pools {
		if c.reachesNone(pool, now) {
			out.Unreached = append(out.Unreached, uint32(u))
		}
		// What may be due to this daemon's links is not reported as a load of targets.
		if load := c.loadOf(pool, c.urgent, now); load.Latency >= minReportedLatency && !doubtful {
			out.Loads = append(out.Loads, encodeLoad(u, load))
		}
	}
	out.Leaving = c.leavingTargets(now)
	out.Records = merger.Top(records, recordWidth, int(c.in.GetTop()))
	return out
}
