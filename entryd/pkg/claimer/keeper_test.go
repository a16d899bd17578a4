package claimer

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"google.golang.org/grpc"

	"plantaincleat/tier/gen/peer"
	"plantaincleat/tier/pkg/storer"
)

// alone is a fleet whose other daemons cannot be reached.
type alone struct{ daemons []Daemon }

func (a *alone) Daemons() []Daemon { return a.daemons }

func (a *alone) Ready(context.Context, string) (*grpc.ClientConn, error) {
	return nil, errors.New("no connection")
}

func newClient(k *BucketWriter, others ...string) *Client {
	fleet := &alone{daemons: []Daemon{{ID: "self"}}}
	for _, id := range others {
		fleet.daemons = append(fleet.daemons, Daemon{ID: id})
	}
	return &Client{
		ID:        "self",
		Local:     k,
		Members:   fleet,
		Connector: fleet,
		Clock:     clockwork.NewRealClock(),
	}
}

func TestKeeperServesConcurrentClaims(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &storer.Memory{}
		k := New(store, clockwork.NewRealClock(), Config{})
		c := newClient(k, "a", "b", "c")
		key := keyAt(time.Now(), 5, 0)
		var wg sync.WaitGroup
		var mu sync.Mutex
		got := make(map[peer.Verdict]int)
		for i := range 50 {
			wg.Go(func() {
				r := c.Claim(context.Background(), claimOf(take, key, fmt.Sprint("d", i), uint32(i+1)))
				mu.Lock()
				got[r.GetVerdict()]++
				mu.Unlock()
			})
		}
		wg.Wait()
		if got[granted] != 1 || got[held] != 49 {
			t.Errorf("verdicts %v, want 1 granted and 49 held", got)
		}
		if n := store.Counts().Writes; n > 2 {
			t.Errorf("%d writes, want at most 2", n)
		}
		time.Sleep(2 * idleLimit)
		synctest.Wait()
		if len(k.workers) != 0 {
			t.Error("the bucket stays in memory")
		}
		if r := c.Claim(context.Background(), claimOf(take, key, "e", 99)); r.GetVerdict() != held {
			t.Errorf("after the bucket was forgotten: %v, want held", r.GetVerdict())
		}
		k.Close()
	})
}

func TestKeeperEndsAClaimWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &storer.Memory{}
		k := New(store, clockwork.NewRealClock(), Config{})
		c := newClient(k)
		store.DelayWrites(1000)
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		r := c.Claim(ctx, claimOf(take, keyAt(time.Now(), 5, 0), "d", 1))
		if r.GetVerdict() != unknown {
			t.Errorf("claim under way: %v, want unknown", r.GetVerdict())
		}
		k.Close()
		r = c.Claim(context.Background(), claimOf(take, keyAt(time.Now(), 5, 1), "d", 1))
		if r.GetVerdict() != unavailable {
			t.Errorf("after Close: %v, want unavailable", r.GetVerdict())
		}
	})
}

func TestClientAsksTheNextKeeperInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k := New(&storer.Memory{}, clockwork.NewRealClock(), Config{})
		defer k.Close()
		c := newClient(k, "a", "b", "c", "d", "e", "f", "g")
		c.Connector = silent{}
		bucket := uint32(0)
		for c.keepers(bucket)[0].ID == "self" {
			bucket++
		}
		ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
		defer cancel()
		r := c.Claim(ctx, claimOf(take, keyAt(time.Now(), bucket, 0), "d", 1))
		if r.GetVerdict() != granted {
			t.Errorf("with silent keepers: %v, want granted by the own one", r.GetVerdict())
		}
	})
}

// silent daemons do not answer.
type silent struct{}

func (silent) Ready(ctx context.Context, _ string) (*grpc.ClientConn, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

func TestKeepersAreSpreadAndStable(t *testing.T) {
	c := newClient(nil, "a", "b", "c", "d", "e", "f", "g")
	first := make(map[string]int)
	for b := range uint32(Buckets) {
		daemons := c.keepers(b)
		first[daemons[0].ID]++
		if last := daemons[len(daemons)-1]; len(daemons) > keeperTries && last.ID != "self" {
			t.Errorf("bucket %d: the last keeper is %s, want the own daemon", b, last.ID)
		}
	}
	if len(first) < 4 {
		t.Errorf("%d buckets have keepers %v", Buckets, first)
	}
}
