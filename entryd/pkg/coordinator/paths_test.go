package coordinator

import (
	"runtime"
	"sync"
	"sync/atomic"
	"testing"

	"plantaincleat/entryd/pkg/assigner"
	"plantaincleat/tier/pkg/indexer"
)

// countingPlacement is a Placement that counts its lookups. Each lookup yields to other
// goroutines, so that concurrent computations would overlap.
type countingPlacement struct {
	lookups atomic.Int64
}

func (p *countingPlacement) Gatherers(string, string) []assigner.Daemon {
	p.lookups.Add(1)
	runtime.Gosched()
	return nil
}

func (p *countingPlacement) Version() uint64 { return 1 }

// TestPathTableBuiltOnce checks that concurrent queries share one path table, which is
// computed once.
func TestPathTableBuiltOnce(t *testing.T) {
	const shards, queries = 3, 8
	placement := &countingPlacement{}
	c := New(Options{
		Placement: placement,
	})
	s, err := indexer.New(acceptedOf(benchConfig(shards))).ResolveSnapshot("collection", "v1", "")
	if err != nil {
		t.Fatal(err)
	}
	replicas := 0
	for i := range s.ShardCount() {
		replicas += len(s.Shard(i).Replicas())
	}
	tables := make([]*pathTable, queries)
	var wg sync.WaitGroup
	for i := range queries {
		wg.Go(func() { tables[i] = c.pathTable(s) })
	}
	wg.Wait()
	for i, table := range tables {
		if table != tables[0] {
			t.Errorf("query %d has another path table than query 0", i)
		}
	}
	if got := placement.lookups.Load(); got != int64(replicas) {
		t.Errorf("%d lookups of gatherers, want %d", got, replicas)
	}
}
