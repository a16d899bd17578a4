package scatterer

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"google.golang.org/grpc"

	"plantaincleat/entryd/pkg/assigner"
	"plantaincleat/entryd/pkg/cataloger"
	"plantaincleat/entryd/pkg/httpsender"
	"plantaincleat/tier/gen/config"
	"plantaincleat/tier/gen/peer"
)

// isolatedDetector is the ReachDetector of an isolated daemon.
type isolatedDetector struct {
	ReachDetector
}

// Isolated implements ReachDetector.
func (isolatedDetector) Isolated() bool { return true }

// Lost implements ReachDetector.
func (isolatedDetector) Lost() <-chan struct{} { return nil }

// relayPlacement is a Placement without owners, with fixed relays.
type relayPlacement struct {
	relays   []assigner.Daemon
	isolated []string
}

// Owners implements Placement.
func (p relayPlacement) Owners() *assigner.Owners { return &assigner.Owners{} }

// Relays implements Placement.
func (p relayPlacement) Peers() []assigner.Daemon { return p.relays }

func (p relayPlacement) Relays() []assigner.Daemon { return p.relays }

// Isolated implements Placement.
func (p relayPlacement) Isolated(id string) bool { return slices.Contains(p.isolated, id) }

// newIsolatedRoot returns the job of a write at an isolated daemon.
func newIsolatedRoot(placement Placement) *job {
	clock := clockwork.NewFakeClock()
	catalogs := cataloger.New(cataloger.Options{
		Clock:   clock,
		Headers: &httpsender.Headers{},
	})
	catalogs.Adopt(&config.Accepted{
		Head: &config.Head{Revision: 1},
		Config: &config.Config{
			Routes: []*config.Route{{
				Name:     "write",
				Host:     "h",
				Prefix:   "/",
				Attempts: 2,
				Pools: []*config.Share{{
					Pool:   "pool",
					Weight: 1,
				}},
			}},
			Pools: []*config.Pool{{Name: "pool"}},
			Targets: []*config.Target{{
				Id:      "target",
				Address: "127.0.0.1:1",
				Slots:   1,
				Pool:    "pool",
			}},
		},
	})
	s := New(Options{
		ID:            "self",
		Clock:         clock,
		Catalogs:      catalogs,
		Placement:     placement,
		ReachDetector: isolatedDetector{},
		Dial:          func(string) (grpc.ClientConnInterface, error) { return nil, errors.New("no connection") },
	})
	r := &Request{
		ID:       "id",
		Received: clock.Now(),
		Deadline: clock.Now().Add(time.Second),
	}
	j := newRoot(s, r, catalogs.Catalog().Route("write"), s.crashes.Plan(clock.Now(), r.Subject()))
	j.ctx, j.cancel = context.WithCancel(context.Background())
	return j
}

// TestRelayChoice guards against requests that an isolated daemon sends to targets, to itself or
// to another isolated daemon, and against more detours than there may be.
func TestRelayChoice(t *testing.T) {
	daemons := []assigner.Daemon{{ID: "a", Address: "a"}, {ID: "b", Address: "b"}, {ID: "c", Address: "c"}}
	many := append(slices.Clone(daemons), assigner.Daemon{ID: "d", Address: "d"}, assigner.Daemon{ID: "e", Address: "e"})
	tests := []struct {
		name     string
		relays   []assigner.Daemon
		isolated []string
		want     int
	}{
		{name: "no other daemon"},
		{name: "one other daemon", relays: daemons[:1], want: 1},
		{name: "one of three is isolated", relays: daemons, isolated: []string{"b"}, want: 2},
		{name: "more than there may be", relays: many, want: maxRelays},
		{name: "all are isolated", relays: daemons, isolated: []string{"a", "b", "c"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			j := newIsolatedRoot(relayPlacement{
				relays:   test.relays,
				isolated: test.isolated,
			})
			s := &selector{job: j}
			var tried []destination
			for {
				dest, ok := s.Choose(0, tried, j.Clock.Now())
				if !ok {
					break
				}
				if dest.owner == nil || slices.Contains(test.isolated, dest.owner.id) {
					t.Fatalf("request is sent to %v", dest)
				}
				tried = append(tried, dest)
			}
			if len(tried) != test.want {
				t.Errorf("%d relays, want %d", len(tried), test.want)
			}
		})
	}
}

// TestRelayReplies guards against writes that are refused, or sent again, although a relay may
// have had them executed.
func TestRelayReplies(t *testing.T) {
	daemons := []assigner.Daemon{{ID: "a", Address: "a"}, {ID: "b", Address: "b"}}
	lacking := func(reason peer.Reason, untouched bool) *peer.ScatterReply {
		return &peer.ScatterReply{
			Last:      true,
			Untouched: untouched,
			Lacks:     []*peer.ScatterLack{{Reason: reason}},
		}
	}
	executed := func(reply *peer.ScatterReply) *peer.ScatterReply {
		reply.Lacks[0].Executions = 1
		return reply
	}
	answering := func(status uint32) *peer.ScatterReply {
		return &peer.ScatterReply{
			Last:   true,
			Answer: &peer.Answer{Status: status},
		}
	}
	tests := []struct {
		name  string
		reply *peer.ScatterReply
		err   error
		// again is true if the write may be sent to another daemon.
		again bool
		want  Outcome
	}{
		{name: "not executed", reply: lacking(peer.Reason_REASON_UNREACHABLE, true), again: true, want: Refused},
		{name: "failed at the target", reply: lacking(peer.Reason_REASON_FAILED, false), want: Failed},
		{name: "target that leaves hides one that failed", reply: executed(lacking(peer.Reason_REASON_LEAVING, false)), want: Failed},
		{name: "daemon of a build before relays", reply: &peer.ScatterReply{Last: true}, want: Failed},
		{name: "answer of a target", reply: answering(http.StatusInternalServerError), want: Answered},
		{name: "refusal of a target that has executed it", reply: answering(http.StatusServiceUnavailable), want: Failed},
		{name: "bytes that are no answer, status 0", reply: answering(0), want: Failed},
		{name: "bytes that are no answer, status 600", reply: answering(600), want: Failed},
		{name: "link to the relay lost", err: errors.New("link lost"), want: Failed},
		{name: "nothing was sent", err: httpsender.ErrNotSent, again: true, want: Refused},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			j := newIsolatedRoot(relayPlacement{relays: daemons})
			action := j.query.Start(j.Clock.Now())[0]
			a := &attempt{
				nonce:       action.Nonce,
				units:       action.Units,
				dest:        action.Path,
				cancel:      func() {},
				cancelQueue: func() {},
				log:         &Attempt{},
			}
			j.open[a.nonce] = a
			j.attempts = append(j.attempts, a)
			j.handle(event{
				attempt: a,
				answer:  newPeerCall(t.Context(), j.request.Deadline).decodeAnswer(test.reply, nil),
				reply:   test.reply,
				err:     test.err,
				last:    true,
			})
			if again := len(j.attempts) > 1; again != test.again {
				t.Fatalf("sent again: %v, want %v", again, test.again)
			}
			for !j.query.Done() {
				j.handle(<-j.events)
			}
			if res := j.result(); res.Outcome != test.want {
				t.Errorf("outcome %v, want %v", res.Outcome, test.want)
			}
		})
	}
}
