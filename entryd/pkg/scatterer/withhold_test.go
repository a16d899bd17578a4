package scatterer

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"plantaincleat/entryd/pkg/assigner"
	"plantaincleat/entryd/pkg/httpsender"
	"plantaincleat/entryd/pkg/withholder"
	"plantaincleat/tier/gen/peer"
)

const retryAfter = 2 * time.Second

// pauseAnswer is the answer of a target that asks for a pause of retryAfter.
var pauseAnswer = &httpsender.Answer{
	Status: http.StatusServiceUnavailable,
	Header: http.Header{"Retry-After": {"2"}},
}

// TestFloodOfPauses answers a flood of 503 with Retry-After by who gets the requests
// instead, and which requests are refused at once.
func TestFloodOfPauses(t *testing.T) {
	tests := []struct {
		name string
		// pauses reports whether a target asks for a pause.
		pauses func(id string) bool
		// refused is the Retry-After of a refusal, or zero if requests are sent.
		refused time.Duration
		// units is the number of shards that a request is sent to.
		units int
	}{
		{name: "no target", pauses: func(string) bool { return false }, units: 10},
		{name: "half of the targets", pauses: func(id string) bool { return strings.HasSuffix(id, "near") }, units: 10},
		{name: "all of one shard", pauses: func(id string) bool { return strings.HasPrefix(id, "shard-3") }, units: 9},
		{name: "all of two shards", pauses: func(id string) bool { return strings.HasPrefix(id, "shard-3") || strings.HasPrefix(id, "shard-4") }, refused: retryAfter},
		{name: "all targets", pauses: func(string) bool { return true }, refused: retryAfter},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			j := newTestRoot(clock, nil)
			s, route := j.Scatterer, j.route
			for _, p := range route.Pools() {
				for _, replica := range p.Replicas() {
					if test.pauses(replica.ID()) {
						j.recordAnnouncement(replica.Target, pauseAnswer, httpsender.ErrNotExecuted, clock.Now(), clock.Now())
					}
				}
			}
			res := s.refuseWithheld(route)
			if test.refused > 0 {
				if res == nil || res.RetryAfter != test.refused || res.Reason != peer.Reason_REASON_PAUSED {
					t.Fatalf("result %+v, want a refusal for %v", res, test.refused)
				}
				return
			}
			if res != nil {
				t.Fatalf("refused: %+v", res)
			}
			actions := j.query.Start(clock.Now())
			if len(actions) != test.units {
				t.Errorf("sent to %d shards, want %d", len(actions), test.units)
			}
			for _, a := range actions {
				if test.pauses(a.Path.replica.ID()) {
					t.Errorf("sent to target %s in its pause", a.Path.replica.ID())
				}
			}
			clock.Advance(retryAfter)
			if res := s.refuseWithheld(route); res != nil {
				t.Errorf("refused after the pauses: %+v", res)
			}
		})
	}
}

// TestOwnersWordIsTaken covers what a daemon does with the reply of an owner whose targets
// are leaving or paused: it does not send to them in the owner's place.
func TestOwnersWordIsTaken(t *testing.T) {
	clock := clockwork.NewFakeClock()
	j := newTestRoot(clock, fixedPlacement{owners: ownedBy("owner")})
	s, route := j.Scatterer, j.route
	a := &attempt{
		dest: destination{
			owner: s.owners.get(assigner.Daemon{ID: "owner", Address: "address"}),
		},
	}
	for u, p := range j.pools {
		if s.Placement.Owners().Ranked(p.Name())[0].ID == "owner" {
			a.units = append(a.units, u)
		}
	}
	leaving := j.pools[a.units[0]].Replicas()[0]
	lacks := []*peer.ScatterLack{
		{Shard: 1, Reason: peer.Reason_REASON_PAUSED, Pause: 1500},
		{Shard: 2, Reason: peer.Reason_REASON_PAUSED, Pause: 2000},
	}
	j.recordWithheld(a, &peer.ScatterReply{
		Lacks: lacks,
		Leaving: []*peer.Leaving{{
			Target:  leaving.ID(),
			Expires: clock.Now().Add(time.Minute).UnixMilli(),
		}},
	}, clock.Now())
	for _, replica := range j.pools[a.units[0]].Replicas() {
		if replica.Unavailable(clock.Now()) != (replica == leaving) {
			t.Errorf("target %s: unavailable %v", replica.ID(), replica != leaving)
		}
	}
	res := s.refuseWithheld(route)
	if res == nil || res.RetryAfter != 1500*time.Millisecond {
		t.Errorf("result %+v, want a refusal until the first of two pauses ends, of which one may be missing", res)
	}
	s.Placement = fixedPlacement{owners: ownedBy("another")}
	if res := s.refuseWithheld(route); res != nil {
		t.Errorf("refused because of the pause of an owner that was replaced: %+v", res)
	}
}

// newTestRoot returns the job for a request to all shards of newCatalogs, at a daemon in
// the data centre near.
func newTestRoot(clock clockwork.Clock, placement Placement) *job {
	catalogs := newCatalogs(10)
	s := New(Options{
		Clock:      clock,
		Catalogs:   catalogs,
		DataCentre: "near",
		Placement:  placement,
	})
	r := &Request{
		ID:       "id",
		Received: clock.Now(),
		Deadline: clock.Now().Add(time.Second),
	}
	return newRoot(s, r, catalogs.Catalog().Route("all"), s.crashes.Plan(clock.Now(), r.Subject()))
}

// fixedPlacement is a Placement with fixed owners.
type fixedPlacement struct {
	owners *assigner.Owners
}

// Owners implements Placement.
func (p fixedPlacement) Owners() *assigner.Owners { return p.owners }

// Relays implements Placement.
func (p fixedPlacement) Peers() []assigner.Daemon { return nil }

func (p fixedPlacement) Relays() []assigner.Daemon { return nil }

// Isolated implements Placement.
func (p fixedPlacement) Isolated(string) bool { return false }

// ownedBy returns an assignment of the shards of newCatalogs to one daemon.
func ownedBy(id string) *assigner.Owners {
	daemons := []assigner.Daemon{
		{ID: id, Address: "address", DataCentre: "near", Capacity: 1000},
		{ID: "self", Address: "self", DataCentre: "near", Capacity: 1},
	}
	return assigner.NewOwners("self", daemons, newCatalogs(10).Catalog().Shards())
}

// TestProbeAnswerAnnounces guards against announcements that nothing reads because they are in
// the answers to probes, and against those of another process at a target's address.
func TestProbeAnswerAnnounces(t *testing.T) {
	tests := []struct {
		name    string
		status  int
		header  http.Header
		leaving bool
		paused  bool
	}{
		{name: "healthy", status: http.StatusOK, header: http.Header{"Instance": {"shard-0far"}}},
		{name: "leaving", status: http.StatusOK, header: http.Header{"Instance": {"shard-0far"}, "Leaving": {"1"}}, leaving: true},
		{name: "pause", status: http.StatusServiceUnavailable, header: http.Header{"Retry-After": {"2"}}, paused: true},
		{name: "another process is leaving", status: http.StatusOK, header: http.Header{"Instance": {"shard-1far"}, "Leaving": {"1"}}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			catalogs := newCatalogs(0)
			clock := clockwork.NewFakeClock()
			s := New(Options{
				Clock:          clock,
				Catalogs:       catalogs,
				InstanceHeader: "Instance",
				Announcements: withholder.Headers{
					Leaving: "Leaving",
				},
			})
			target := catalogs.Catalog().Pool("shard-0").Replicas()[0]
			s.RecordProbe(target.Target, &httpsender.Answer{
				Status: test.status,
				Header: test.header,
			})
			if target.State().Leaving() != test.leaving || target.State().PausedUntil(clock.Now()).IsZero() == test.paused {
				t.Errorf("leaving %v, paused until %v; want %v, %v", target.State().Leaving(), target.State().PausedUntil(clock.Now()), test.leaving, test.paused)
			}
		})
	}
}

// TestPauseOfSenderCounts guards against a shard that counts as paused, or as served, by the word
// of an owner that is passed over because it reaches no target.
func TestPauseOfSenderCounts(t *testing.T) {
	clock := clockwork.NewFakeClock()
	j := newTestRoot(clock, nil)
	daemons := []assigner.Daemon{{ID: "a", Address: "a"}, {ID: "b", Address: "b"}, {ID: "c", Address: "c"}}
	var shards []assigner.ShardInput
	for _, p := range j.route.Pools() {
		shards = append(shards, assigner.ShardInput{Name: p.Name()})
	}
	owners := assigner.NewOwners(j.ID, daemons, shards)
	pool := j.route.Pools()[0]
	ranked := owners.Ranked(pool.Name())
	j.Placement = &isolatedOwners{
		owners:   owners,
		isolated: ranked[0].ID,
	}
	now := clock.Now()
	until := now.Add(retryAfter)
	for _, test := range []struct {
		name, owner string
		want        time.Time
	}{
		{name: "owner that is passed over", owner: ranked[0].ID},
		{name: "owner that sends", owner: ranked[1].ID, want: until},
	} {
		t.Run(test.name, func(t *testing.T) {
			reported := map[string]ownerPause{pool.Name(): {owner: test.owner, until: until, reason: peer.Reason_REASON_PAUSED}}
			if got, _ := j.withheldUntil(pool, reported, now); !got.Equal(test.want) {
				t.Errorf("withheld until %v, want %v", got, test.want)
			}
		})
	}
}

// isolatedOwners is a Placement of which one daemon reaches no target.
type isolatedOwners struct {
	relayPlacement
	owners   *assigner.Owners
	isolated string
}

// Owners implements Placement.
func (p *isolatedOwners) Owners() *assigner.Owners { return p.owners }

// Isolated implements Placement.
func (p *isolatedOwners) Isolated(id string) bool { return id == p.isolated }
