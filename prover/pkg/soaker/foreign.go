package soaker

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"plantaincleat/standin/pkg/httpresponder"
)

// foreignBytes makes one to three targets send bytes that belong to no request, or break off in
// the head of an answer.
func (s *Soak) foreignBytes(r *rand.Rand, duration time.Duration) {
	kinds := []httpresponder.Fault{httpresponder.StrayRefusal, httpresponder.TruncateHead}
	s.spoil(r, kinds[r.IntN(len(kinds))], duration)
}

// spoil makes one to three targets spoil a fraction of their requests, all in the same way.
func (s *Soak) spoil(r *rand.Rand, kind httpresponder.Fault, duration time.Duration) {
	all := s.fleet.platform.AllTargets()
	for range 1 + r.IntN(3) {
		t := all[r.IntN(len(all))]
		t.SetFault(func(*http.Request) httpresponder.Fault {
			if rand.Float64() < faultFraction {
				return kind
			}
			return httpresponder.NoFault
		})
		defer t.SetFault(func(*http.Request) httpresponder.Fault { return httpresponder.NoFault })
	}
	time.Sleep(duration)
}

// writeForeignEntry writes an entry of another writer in place of a target's own, which names no
// target. The target writes its own again after the duration.
func (s *Soak) writeForeignEntry(r *rand.Rand, duration time.Duration) {
	targets := s.fleet.platform.ServiceTargets(fmt.Sprintf("shard-%02d", r.IntN(shards)))
	if len(targets) == 0 {
		return
	}
	t := targets[len(targets)-1]
	// The shard whose answers the target's would be mixed with, if the entry named the target.
	other := fmt.Sprintf("shard-%02d", r.IntN(shards))
	values := []string{
		fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"slots":4,"state":"ready"}`, other, t.RegisteredAddress, t.DataCentre),
		fmt.Sprintf(`{"service":%q,"address":"127.0.0.1:70000","zone":%q,"version":"v1","slots":1e30,"state":"ready","warmup-left-ms":0,"sequence":1}`, other, t.DataCentre),
		"[[[[",
		"\xff\x00",
	}
	if err := s.fleet.platform.Store().Put("servers/"+t.ID(), []byte(values[r.IntN(len(values))])); err != nil {
		s.ledger.addFinding("write foreign entry: %v", err)
	}
	time.Sleep(duration)
	if !s.resharded.Load() {
		s.register(t, "ready")
	}
}
