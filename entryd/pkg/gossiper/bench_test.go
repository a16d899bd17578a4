package gossiper

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
)

// fleetSizes are the fleets that the benchmarks run.
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

// messageOverhead is what one message adds to its encoding in HTTP/2 and gRPC, by
// BenchmarkExchange, and in TCP and IP headers and acknowledgements of 52
// bytes each.
const messageOverhead = 80 + 2*52

func runFleetSizes(b *testing.B, run func(b *testing.B, w *network)) {
	for _, s := range fleetSizes {
		b.Run(fmt.Sprint(s.dcs*s.hosts), func(b *testing.B) {
			w := fleet(s.dcs, s.hosts, nil)
			w.run(90 * time.Second)
			if got := w.order[0].alive(); got != s.dcs*s.hosts {
				b.Fatalf("%d members", got)
			}
			run(b, w)
		})
	}
}

// measureLoad reports what the daemons send in a minute, received messages counted
// as sent ones, and the time of all machines.
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
		spent := time.Since(start)
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
		per := float64(len(w.order)) * seconds
		b.ReportMetric(float64(sent)/per, "sent/s")
		b.ReportMetric(float64(bytes)/per, "B/s")
		b.ReportMetric(float64(most)/seconds, "most-B/s")
		b.ReportMetric(float64(spent.Microseconds())/per, "us/s")
		b.ReportMetric(float64(after.Mallocs-before.Mallocs)/per, "allocs/s")
		b.ReportMetric(float64(after.TotalAlloc-before.TotalAlloc)/per, "allocB/s")
	}
	b.ReportMetric(0, "ns/op")
}

// BenchmarkQuiet is a fleet in which nothing happens.
func BenchmarkQuiet(b *testing.B) {
	runFleetSizes(b, func(b *testing.B, w *network) { measureLoad(b, w, func(int) {}) })
}

// BenchmarkBusy is a minute with a change of configuration, a leaving target,
// two restarts, and two institutions' demands from each daemon every second.
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
				w.order[4].m.Publish(w.now, leaving("target-17", revision, w.now.Add(time.Minute).UnixMilli()))
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
// revision, of a notice, of a leave and of a death, and until all know that
// all have the revision; the worst of some runs.
func BenchmarkSpread(b *testing.B) {
	runFleetSizes(b, func(b *testing.B, w *network) {
		const runs = 5
		worst := make(map[string]time.Duration)
		measure := func(name string, ok func(*node) bool) {
			took, found := w.runUntil(time.Minute, ok)
			if !found {
				b.Errorf("%s not known everywhere", name)
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
				first.m.Publish(w.now, leaving("t", revision, w.now.Add(time.Hour).UnixMilli()))
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
				victim.down = true
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

// BenchmarkExchange is one exchange over gRPC on loopback, both ends in this
// process, with the bytes on the connection that are not the two messages.
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
