package gossiper

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
)

// fleetSizes are the sizes of the fleets that the benchmarks simulate.
var fleetSizes = []struct {
	dcs, hosts int
}{
	{
		dcs:   3,
		hosts: 3,
	},
	{
		dcs:   3,
		hosts: 10,
	},
	{
		dcs:   5,
		hosts: 20,
	},
	{
		dcs:   6,
		hosts: 50,
	},
	{
		dcs:   7,
		hosts: 64,
	},
}

// messageOverhead is the number of bytes that one message adds to its encoding:
// 80 in HTTP/2 and gRPC, as measured by BenchmarkExchange, and 52 each for the
// TCP and IP headers and for the acknowledgement.
const messageOverhead = 80 + 2*52

// runFleetSizes runs a benchmark on a converged fleet of each size.
func runFleetSizes(b *testing.B, run func(b *testing.B, w *network)) {
	for _, s := range fleetSizes {
		b.Run(fmt.Sprint(s.dcs*s.hosts), func(b *testing.B) {
			w := fleet(s.dcs, s.hosts, nil)
			w.run(90 * time.Second)
			if got := w.order[0].alive(); got != s.dcs*s.hosts {
				b.Fatalf("%d live members, want %d", got, s.dcs*s.hosts)
			}
			run(b, w)
		})
	}
}

// measureLoad simulates one minute, calls step before each second, and reports
// the messages and bytes that each daemon sends and the CPU time and
// allocations of its machine. A request counts for the daemon that opens the
// exchange, the answer for the daemon that returns it.
func measureLoad(b *testing.B, w *network, step func(second int)) {
	const seconds = 60
	w.measuresBytes = true
	for b.Loop() {
		var before, after runtime.MemStats
		for _, n := range w.order {
			n.sent, n.bytes = 0, 0
		}
		runtime.ReadMemStats(&before)
		start := time.Now()
		for s := range seconds {
			step(s)
			w.run(time.Second)
		}
		elapsed := time.Since(start)
		runtime.ReadMemStats(&after)
		oldest, ages, count := 0.0, 0.0, 0.0
		now := uint64(w.now.UnixMilli())
		for _, d := range w.order[0].m.Demands() {
			age := float64(now - d.GetBeat())
			oldest, ages, count = max(oldest, age), ages+age, count+1
		}
		b.ReportMetric(oldest, "oldest-ms")
		b.ReportMetric(ages/max(count, 1), "age-ms")
		sent, bytes, most := 0, 0, 0
		for _, n := range w.order {
			all := n.bytes + n.sent*messageOverhead
			sent += n.sent
			bytes += all
			most = max(most, all)
		}
		daemonSeconds := float64(len(w.order)) * seconds
		b.ReportMetric(float64(sent)/daemonSeconds, "sent/s")
		b.ReportMetric(float64(bytes)/daemonSeconds, "B/s")
		b.ReportMetric(float64(most)/seconds, "most-B/s")
		b.ReportMetric(float64(elapsed.Microseconds())/daemonSeconds, "us/s")
		b.ReportMetric(float64(after.Mallocs-before.Mallocs)/daemonSeconds, "allocs/s")
		b.ReportMetric(float64(after.TotalAlloc-before.TotalAlloc)/daemonSeconds, "allocB/s")
	}
	b.ReportMetric(0, "ns/op")
}

// BenchmarkQuiet measures a fleet in which nothing changes.
func BenchmarkQuiet(b *testing.B) {
	runFleetSizes(b, func(b *testing.B, w *network) { measureLoad(b, w, func(int) {}) })
}

// BenchmarkBusy measures a minute with a change of configuration, a draining
// target, two restarts, and demands of two institutions from each daemon every
// second.
func BenchmarkBusy(b *testing.B) {
	runFleetSizes(b, func(b *testing.B, w *network) {
		revision := uint64(0)
		measureLoad(b, w, func(second int) {
			switch second {
			case 5:
				revision++
				w.order[3].m.SetRevision(w.now, revision)
				w.scheduleTick(w.order[3])
			case 6:
				for _, n := range w.order {
					n.m.SetRevision(w.now, revision)
				}
			case 20:
				w.order[4].m.Publish(w.now, newLeavingNotice("target-17", revision, w.now.Add(time.Minute).UnixMilli()))
				w.scheduleTick(w.order[4])
			case 30, 40:
				w.startNode(w.order[5].cfg)
			}
			for i, n := range w.order {
				n.m.SetDemand(w.now, "kahikatea", 100+float64((second+i)%10), 3)
				n.m.SetDemand(w.now, "corrib", 100+float64((second+i)%10), 3)
			}
		})
	})
}

// BenchmarkSpread reports the simulated time until all daemons know of a
// revision, a notice, a leave and a death, and until all daemons know that all
// have adopted the revision. It reports the longest time of several runs.
func BenchmarkSpread(b *testing.B) {
	runFleetSizes(b, func(b *testing.B, w *network) {
		const runs = 5
		worst := make(map[string]time.Duration)
		measure := func(name string, ok func(*node) bool) {
			took, found := w.runUntil(time.Minute, ok)
			if !found {
				b.Errorf("%s: not known by all daemons after a minute", name)
			}
			worst[name] = max(worst[name], took)
			w.run(3 * time.Second)
		}
		for b.Loop() {
			for i := range runs {
				first := w.order[(7*i+1)%len(w.order)]
				revision := first.m.View().HighestRevision() + 1
				first.m.SetRevision(w.now, revision)
				w.scheduleTick(first)
				measure("revision-ms", func(n *node) bool { return n.m.highestRevision == revision })
				for _, n := range w.order {
					n.m.SetRevision(w.now, revision)
				}
				measure("confirmed-ms", func(n *node) bool {
					for _, r := range n.m.table.indexed().present {
						if r.revision < revision {
							return false
						}
					}
					return true
				})
				first.m.Publish(w.now, newLeavingNotice("t", revision, w.now.Add(time.Hour).UnixMilli()))
				w.scheduleTick(first)
				known := len(first.m.notices.keys)
				measure("notice-ms", func(n *node) bool { return len(n.m.notices.keys) == known })
				victim := w.order[(11*i+2)%len(w.order)]
				id := victim.cfg.Self.ID
				gone := func(n *node) bool { return n == victim || dead(n.m.table.records[id].state) }
				w.send(victim, victim.m.Leave(w.now))
				w.scheduleTick(victim)
				measure("leave-ms", gone)
				w.startNode(victim.cfg)
				w.run(10 * time.Second)
				victim.stopped = true
				measure("death-ms", gone)
				w.startNode(victim.cfg)
				w.run(10 * time.Second)
			}
		}
		for name, took := range worst {
			b.ReportMetric(float64(took.Milliseconds()), name)
		}
		b.ReportMetric(0, "ns/op")
	})
}

// BenchmarkExchange measures one exchange over gRPC on the loopback interface
// with both ends in this process. It reports the bytes on the connection beyond
// those of the two encoded messages.
func BenchmarkExchange(b *testing.B) {
	transport, address, bytes := newTransportPair(b)
	w := fleet(1, 9, nil)
	w.run(convergenceTime)
	v := w.order[0].m.ProbeMessage()
	encoded := 0
	if _, err := transport.Exchange(b.Context(), address, v); err != nil {
		b.Fatal(err)
	}
	bytes.Store(0)
	b.ReportAllocs()
	for b.Loop() {
		reply, err := transport.Exchange(b.Context(), address, v)
		if err != nil {
			b.Fatal(err)
		}
		encoded += proto.Size(v) + proto.Size(reply)
	}
	b.ReportMetric(float64(bytes.Load()-int64(encoded))/float64(b.N)/2, "extraB/message")
}
