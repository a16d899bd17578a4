package router

import (
	"fmt"
	"testing"
	"time"
)

// spreadChooser is a Chooser that spreads the units evenly over a number of paths.
type spreadChooser struct {
	paths int
}

func (s spreadChooser) Choose(unit int, tried []int, _ time.Time) (int, bool) {
	if len(tried) > 1 {
		return 0, false
	}
	return (unit + len(tried)) % s.paths, true
}

func (spreadChooser) HedgeDelay(int) time.Duration { return time.Hour }

func (spreadChooser) Prompt(int, int, time.Time) bool { return true }

func (spreadChooser) Failed(int, time.Time) bool { return false }

// BenchmarkQuery runs queries in which every attempt is answered at once: with one
// path for each unit as in a gatherer, or with eight paths for all units as in a root.
func BenchmarkQuery(b *testing.B) {
	for _, separate := range []bool{true, false} {
		for _, units := range []int{8, 34, 100, 300, 710} {
			b.Run(fmt.Sprintf("separate=%v/units=%d", separate, units), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					runQuery(units, separate)
				}
				b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*units), "ns/unit")
			})
		}
	}
}

func runQuery(units int, separate bool) {
	paths := 8
	if separate {
		paths = units
	}
	options := waitForAll()
	options.SeparateUnits = separate
	var nonce uint64
	q := New(units, options, spreadChooser{
		paths: paths,
	}, &tokenBudget{}, func() uint64 {
		nonce++
		return nonce
	})
	for _, a := range q.Start(epoch) {
		q.NextTick()
		q.Answer(a.Nonce, a.Units, nil, true, epoch)
	}
}
