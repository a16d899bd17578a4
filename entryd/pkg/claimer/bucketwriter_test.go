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

// isolatedFleet lists daemons to which no connection can be made.
type isolatedFleet struct{ daemons []Daemon }

func (a *isolatedFleet) Daemons() []Daemon { return a.daemons }

func (a *isolatedFleet) Ready(context.Context, string) (*grpc.ClientConn, error) {
	return nil, errors.New("no connection")
}

// newClient returns the client of daemon "self" in a fleet with the other daemons.
func newClient(bw *BucketWriter, others ...string) *Client {
	members := &isolatedFleet{daemons: []Daemon{{ID: "self"}}}
	for _, id := range others {
		members.daemons = append(members.daemons, Daemon{ID: id})
	}
	return &Client{
		ID:        "self",
		Local:     bw,
		Members:   members,
		Connector: members,
		Clock:     clockwork.NewRealClock(),
	}
}

func TestBucketWriterConcurrentClaims(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &storer.Memory{}
		bw := New(store, clockwork.NewRealClock(), Config{})
		c := newClient(bw, "a", "b", "c")
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
		if len(bw.workers) != 0 {
			t.Error("the state of the idle bucket is still in memory")
		}
		if r := c.Claim(context.Background(), claimOf(take, key, "e", 99)); r.GetVerdict() != held {
			t.Errorf("claim after the idle bucket was removed: %v, want held", r.GetVerdict())
		}
		bw.Close()
	})
}

func TestBucketWriterClaimContextEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &storer.Memory{}
		bw := New(store, clockwork.NewRealClock(), Config{})
		c := newClient(bw)
		store.DelayWrites(1000)
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		r := c.Claim(ctx, claimOf(take, keyAt(time.Now(), 5, 0), "d", 1))
		if r.GetVerdict() != unknown {
			t.Errorf("claim with a pending write at the end of its context: %v, want unknown", r.GetVerdict())
		}
		bw.Close()
		r = c.Claim(context.Background(), claimOf(take, keyAt(time.Now(), 5, 1), "d", 1))
		if r.GetVerdict() != unavailable {
			t.Errorf("claim after Close: %v, want unavailable", r.GetVerdict())
		}
	})
}

// TestClientAsksNextWriterBeforeDeadline checks that the client limits the
// time spent on daemons that do not connect, so that it still asks the local
// writer before the deadline.
func TestClientAsksNextWriterBeforeDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		bw := New(&storer.Memory{}, clockwork.NewRealClock(), Config{})
		defer bw.Close()
		c := newClient(bw, "a", "b", "c", "d", "e", "f", "g")
		c.Connector = unresponsiveConnector{}
		bucket := uint32(0)
		for c.writers(bucket)[0].ID == "self" {
			bucket++
		}
		ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
		defer cancel()
		r := c.Claim(ctx, claimOf(take, keyAt(time.Now(), bucket, 0), "d", 1))
		if r.GetVerdict() != granted {
			t.Errorf("claim while the peers do not answer: %v, want granted by the local writer", r.GetVerdict())
		}
	})
}

// unresponsiveConnector never establishes a connection.
type unresponsiveConnector struct{}

func (unresponsiveConnector) Ready(ctx context.Context, _ string) (*grpc.ClientConn, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

func TestClientSpreadsBucketsOverWriters(t *testing.T) {
	c := newClient(nil, "a", "b", "c", "d", "e", "f", "g")
	first := make(map[string]int)
	for b := range uint32(BucketCount) {
		daemons := c.writers(b)
		first[daemons[0].ID]++
		if last := daemons[len(daemons)-1]; len(daemons) > writerTries && last.ID != "self" {
			t.Errorf("bucket %d: the last daemon to ask is %s, want self", b, last.ID)
		}
	}
	if len(first) < 4 {
		t.Errorf("first daemons of %d buckets: %v, want at least 4 different ones", BucketCount, first)
	}
}
