package soaker

import (
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"plantaincleat/standin/pkg/relayer"
)

// TestPartitionedDataCentreServes partitions a data centre that has a replica
// of each shard. The links still accept connections but pass nothing on. The
// data centre must stay ready and answer its callers.
func TestPartitionedDataCentreServes(t *testing.T) {
	const (
		// detectionTime is the time after the start of the partition during
		// which requests may fail.
		detectionTime = 1500 * time.Millisecond
		partitionTime = 4 * time.Second
	)
	f, err := newFleet(buildDaemon(t), "", t.TempDir(), daemons, len(dataCentres))
	if err != nil {
		t.Fatal(err)
	}
	defer f.close()
	s := &Soak{
		fleet: f,
	}
	client := &http.Client{Timeout: callerDeadline}
	s.awaitReady(t)
	time.Sleep(servedPeriod)
	c := &caller{
		soak:   s,
		random: rand.New(rand.NewPCG(1, 1)),
		daemon: f.daemons[0],
	}
	defer c.closeConn()
	defer f.addRules(f.partitionRules(0, relayer.Cut)...)()
	begin := time.Now()
	failed, ready := 0, true
	for time.Since(begin) < partitionTime {
		time.Sleep(meanRequestGap)
		rec := c.callTo(f.daemons[0], routeAll)
		if time.Since(begin) < detectionTime {
			continue
		}
		f.pollReadiness(client, f.daemons[0])
		ready = ready && f.daemons[0].ready.Load()
		if rec.status != http.StatusOK || verifyMerged(f.platform, rec) != nil {
			failed++
		}
	}
	if failed > 0 || !ready {
		t.Errorf("%d requests were not answered in full while the data centre was partitioned; ready all the time: %v", failed, ready)
	}
}
