package claimer

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/google/uuid"
	"google.golang.org/protobuf/proto"

	"plantaincleat/tier/gen/peer"
	"plantaincleat/tier/gen/target"
)

// BenchmarkLedgerLoad decodes and applies the log of a full bucket, which has a
// claim to take and a claim to record for each key.
func BenchmarkLedgerLoad(b *testing.B) {
	const keys, batch = defaultMaxKeys, 128
	var stored [][]byte
	size := 0
	for i := range keys / batch {
		e := &peer.Entry{Sequence: uint64(i + 1)}
		for j := range batch {
			id, _ := uuid.NewV7()
			for _, kind := range []peer.ClaimKind{take, record} {
				c := &peer.Claim{
					Key:         id.String(),
					Dispatcher:  "0123456789012345678901",
					Kind:        kind,
					Fingerprint: uint64(j) << 40,
					Attempt:     1,
				}
				if kind == record {
					c.Dispatcher = e.Claims[len(e.Claims)-1].GetDispatcher()
					c.Outcome = &target.Outcome{
						Key:         c.GetKey(),
						Target:      "entrants-00a",
						Incarnation: uint64(time.Now().UnixNano()),
						Status:      target.Status_STATUS_DONE,
						Detail:      fmt.Sprint("accepted p-", c.GetKey()),
					}
				}
				e.Claims = append(e.Claims, c)
			}
		}
		value, _ := proto.Marshal(e)
		stored = append(stored, value)
		size += len(value)
	}
	var before, after runtime.MemStats
	for b.Loop() {
		runtime.GC()
		runtime.ReadMemStats(&before)
		var l Ledger
		for _, value := range stored {
			e := &peer.Entry{}
			_ = proto.Unmarshal(value, e)
			l.Apply(e)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		runtime.KeepAlive(&l)
	}
	b.ReportMetric(float64(size)/keys, "stored-bytes/key")
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/keys, "heap-bytes/key")
}
