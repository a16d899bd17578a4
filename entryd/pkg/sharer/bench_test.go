package sharer

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"
)

// BenchmarkInstitutions measures a fleet of 450 daemons and 5,000 institutions with limits:
// an observation of the fleet that changes the view, and a loan of each institution.
func BenchmarkInstitutions(b *testing.B) {
	const institutions, daemons = 5000, 450
	now := time.Unix(1000, 0)
	quota := Quota{Window: 5 * time.Second, Overage: 0.1, Slack: 20}
	var list []Daemon
	for i := range daemons {
		list = append(list, Daemon{ID: fmt.Sprint("daemon-", i), DataCentre: fmt.Sprint("dc-", i%3), Live: true})
	}
	limits := make(map[string]Limit)
	var names []string
	for i := range institutions {
		names = append(names, fmt.Sprint("institution-", i))
		limits[names[i]] = Limit{Rate: 2, Burst: 2}
	}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	f := NewFleet(now, "daemon-0", "dc-0", 2, quota)
	f.Observe(now, list)
	l, s := NewLender(quota, f.View()), NewStock(rand.New(rand.NewPCG(1, 2)))
	l.Configure(now, limits)
	s.Configure(limits)
	for _, name := range names {
		s.Take(now, name)
		_, _ = l.Lend(now, Ask{Institution: name, Wanted: 1})
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	heap := float64(after.HeapAlloc-before.HeapAlloc) / 1024
	b.Run("observe", func(b *testing.B) {
		b.ReportMetric(heap, "KiB-held")
		for i := range b.N {
			list[1].Live = i%2 == 0
			if f.Observe(now, list) {
				l.SetView(now, f.View())
			}
		}
	})
	b.Run("order", func(b *testing.B) {
		for i := range b.N {
			f.View().Order(names[i%institutions])
		}
	})
	b.Run("lend", func(b *testing.B) {
		for i := range b.N {
			_, _ = l.Lend(now, Ask{Institution: names[i%institutions], Wanted: 1})
		}
	})
	runtime.KeepAlive(s)
}
