package scatterer

import (
	"context"
	"errors"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"google.golang.org/grpc"

	"plantaincleat/entryd/pkg/assigner"
	"plantaincleat/entryd/pkg/cataloger"
	"plantaincleat/entryd/pkg/httpsender"
	"plantaincleat/entryd/pkg/router"
	"plantaincleat/tier/gen/peer"
)

// TestOwnerStaysInServiceAfterQuarantine guards against a request that crashes targets and
// takes the daemons that refuse it out of service.
func TestOwnerStaysInServiceAfterQuarantine(t *testing.T) {
	tests := []struct {
		name         string
		err          error
		outOfService bool
	}{
		{name: "refused because it crashes targets", err: errQuarantined},
		{name: "failed", err: errors.New("connection lost"), outOfService: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			j := &job{
				Scatterer: New(Options{
					Clock: clockwork.NewFakeClock(),
				}),
				events: make(chan event, missLimit),
			}
			o := j.owners.get(assigner.Daemon{
				ID:      "owner",
				Address: "address",
			})
			for range missLimit {
				o.ackEstimator.Send(j.Clock.Now())
				j.ownerFailed(context.Background(), &attempt{
					dest: destination{
						owner: o,
					},
				}, test.err, j.Clock.Now())
			}
			if got := o.outOfService(j.Clock.Now()); got != test.outOfService {
				t.Errorf("out of service: %v, want %v", got, test.outOfService)
			}
		})
	}
}

// TestSuspectedSendIsFinal guards against a suspected request that goes to another target
// or another shard after a target of the first shard has ended.
func TestSuspectedSendIsFinal(t *testing.T) {
	clock := clockwork.NewFakeClock()
	catalogs := newCatalogs(10)
	s := New(Options{
		Clock:    clock,
		Catalogs: catalogs,
	})
	now := clock.Now()
	r := &Request{
		ID:       "id",
		Method:   "GET",
		Path:     "/all/x",
		Received: now,
		Deadline: now.Add(time.Second),
	}
	plan := s.crashes.Plan(now, r.Subject())
	s.crashes.RecordCrashes(now, &plan, "shard-2", 1)
	j := newRoot(s, r, catalogs.Catalog().Route("all"), s.crashes.Plan(now, r.Subject()))
	actions := j.query.Start(now)
	if len(actions) != 1 || j.pools[actions[0].Units[0]].Name() != "shard-2" {
		t.Fatalf("started %v, want one attempt at shard-2", actions)
	}
	j.ctx, j.cancel = context.WithCancel(context.Background())
	defer j.cancel()
	next := j.query.Answer(actions[0].Nonce, nil, []router.MissingUnit{{
		Unit:   actions[0].Units[0],
		Reason: peer.Reason_REASON_CRASHED,
	}}, true, now)
	if len(next) > 0 || !j.query.Done() {
		t.Errorf("started %v after the target had ended, want no attempt", next)
	}
	if crashes, until := s.crashes.RecordCrashes(now, &j.plan, "shard-2", 2); crashes != 3 || until.IsZero() {
		t.Errorf("%d crashes, refused until %v; want 3 and a refusal", crashes, until)
	}
	if p := s.crashes.Plan(now, r.Subject()); !p.Refused {
		t.Error("the request is not refused after three crashes")
	}
	if _, res := s.planSend(context.Background(), r, j.route, r.Subject()); res == nil || res.Outcome != Refused || res.Reason != peer.Reason_REASON_QUARANTINED {
		t.Errorf("result %+v, want a refusal", res)
	}
}

// TestQuarantinedWhileItWaits guards against a request that waits for a connection or for another
// target, and is sent after its daemon has learnt that it is refused.
func TestQuarantinedWhileItWaits(t *testing.T) {
	clock := clockwork.NewFakeClock()
	catalogs := newCatalogs(1)
	s := New(Options{
		Clock:    clock,
		Catalogs: catalogs,
	})
	r := &Request{Method: "GET", Path: "/all/x", Caller: "first"}
	other := &Request{Method: "GET", Path: "/all/x", Caller: "second"}
	j := newRoot(s, r, catalogs.Catalog().Route("all"), s.crashes.Plan(clock.Now(), r.Subject()))
	for i := range 3 {
		if j.quarantined(clock.Now()) {
			t.Errorf("refused after %d crashes", i)
		}
		plan := s.crashes.Plan(clock.Now(), other.Subject())
		s.crashes.RecordCrashes(clock.Now(), &plan, "shard-0", 1)
	}
	if !j.quarantined(clock.Now()) {
		t.Error("not refused after three crashes of an equal request")
	}
}

// TestGivingUpAtDeadlineIsNoAnswer guards against the end of a suspicion by a target that gave
// up a request at its deadline, and so did not execute what may crash it.
func TestGivingUpAtDeadlineIsNoAnswer(t *testing.T) {
	signed := http.Header{"Signature": {"s"}}
	tests := []struct {
		name            string
		single, failure *httpsender.Answer
		want            bool
	}{
		{name: "none"},
		{name: "answer", single: &httpsender.Answer{Status: http.StatusOK}, want: true},
		{name: "error", failure: &httpsender.Answer{Status: http.StatusInternalServerError, Header: signed}, want: true},
		{name: "error of an intermediary", failure: &httpsender.Answer{Status: http.StatusInternalServerError}},
		{name: "given up, idempotent", failure: &httpsender.Answer{Status: http.StatusGatewayTimeout, Header: signed}},
		{name: "given up, not idempotent", single: &httpsender.Answer{Status: http.StatusGatewayTimeout, Header: signed}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			j := &job{
				Scatterer: New(Options{
					Signature: "Signature",
				}),
				route:   &cataloger.Route{},
				single:  test.single,
				failure: test.failure,
			}
			if got := j.answered(0); got != test.want {
				t.Errorf("answered: %v, want %v", got, test.want)
			}
		})
	}
}

// replyStream is the stream of a request of another daemon. It keeps the last reply.
type replyStream struct {
	grpc.ServerStream
	ctx   context.Context
	reply chan *peer.ScatterReply
}

func (s *replyStream) Context() context.Context { return s.ctx }

func (s *replyStream) Send(r *peer.ScatterReply) error {
	s.reply <- r
	return nil
}

func (s *replyStream) Recv() (*peer.ScatterRequest, error) { return nil, io.EOF }

// TestOwnerLooksAgainAfterItsTurn guards against a suspected request that waited at the owner
// of a shard for an equal one, and that is sent although that one has shown that it crashes
// targets.
func TestOwnerLooksAgainAfterItsTurn(t *testing.T) {
	catalogs := newCatalogs(10)
	s := New(Options{
		Clock:    clockwork.NewRealClock(),
		Catalogs: catalogs,
	})
	r := &Request{Method: "GET", Path: "/all/x", Caller: "first"}
	other := &Request{Method: "GET", Path: "/all/x", Caller: "second"}
	endTurn := s.takeTurn(t.Context(), r.Subject(), "shard-2", time.Second)
	stream := &replyStream{
		ctx:   t.Context(),
		reply: make(chan *peer.ScatterReply, 1),
	}
	in := &peer.ScatterRequest{
		Route:     "all",
		Shards:    []string{"shard-2"},
		Suspected: true,
		Content:   other.Subject().Content(),
		Caller:    other.Subject().Caller(),
	}
	ended := make(chan error, 1)
	go func() {
		ended <- s.serveSuspected(stream, in, catalogs.Catalog(), catalogs.Catalog().Route("all"), other.Subject())
	}()
	for range 3 {
		plan := s.crashes.Plan(s.Clock.Now(), r.Subject())
		s.crashes.RecordCrashes(s.Clock.Now(), &plan, "shard-2", 1)
	}
	endTurn()
	if err := <-ended; err != nil {
		t.Fatal(err)
	}
	reply := <-stream.reply
	if len(reply.GetLacks()) != 1 || reply.GetLacks()[0].GetReason() != peer.Reason_REASON_QUARANTINED || !reply.GetUntouched() {
		t.Errorf("reply %v, want a refusal that promises that nothing was sent", reply)
	}
}
