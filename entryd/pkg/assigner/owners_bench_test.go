package assigner

import (
	"fmt"
	"testing"
)

// largeDeployment returns the daemons and the shards of a deployment of the given size, of
// which one daemon in twenty is on a large host.
func largeDeployment(daemons, shards int) ([]Daemon, []ShardInput) {
	datacentres := []string{"a", "b", "c", "d", "e"}
	var ds []Daemon
	for i := range daemons {
		capacity := uint32(192)
		if i%20 == 0 {
			capacity = 800
		}
		ds = append(ds, Daemon{
			ID:         fmt.Sprintf("front-%s-%d", datacentres[i%len(datacentres)], i),
			Address:    fmt.Sprintf("10.0.0.%d:7380", i),
			DataCentre: datacentres[i%len(datacentres)],
			Capacity:   capacity,
		})
	}
	var ss []ShardInput
	for i := range shards {
		ss = append(ss, ShardInput{
			Name:        fmt.Sprintf("shard-%03d", i),
			DataCentres: []string{datacentres[i%5], datacentres[(i+1)%5], datacentres[(i+2)%5]},
		})
	}
	return ds, ss
}

// BenchmarkNewOwners shows what a change of the fleet costs each daemon.
func BenchmarkNewOwners(b *testing.B) {
	for _, size := range []struct{ daemons, shards int }{{9, 20}, {64, 225}, {295, 450}} {
		b.Run(fmt.Sprintf("%d daemons, %d shards", size.daemons, size.shards), func(b *testing.B) {
			daemons, shards := largeDeployment(size.daemons, size.shards)
			for b.Loop() {
				NewOwners(daemons[0].ID, daemons, shards)
			}
		})
	}
}
