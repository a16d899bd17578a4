package reachdetector

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"plantaincleat/entryd/pkg/cataloger"
	"plantaincleat/entryd/pkg/httpsender"
)

// candidate is a target that may be probed.
type candidate struct {
	target *cataloger.Target
	// path is the path at which the target answers probes, or empty.
	path string
}

// probe probes up to n targets: firstProbes of them, and the others at
// the same time if there is no answer within firstWait. It returns the number of those that
// it picked and of those that answered. It returns early once one has.
func (d *Detector) probe(ctx context.Context, n int) (tried, reached int) {
	candidates := d.pick(n)
	ctx, cancel := clockwork.WithTimeout(ctx, d.Clock, probeTimeout)
	defer cancel()
	var answered atomic.Int32
	var wg sync.WaitGroup
	for i, c := range candidates {
		wg.Go(func() {
			if i >= firstProbes && !d.sleep(ctx, firstWait) {
				return
			}
			if d.ask(ctx, c) != nil {
				answered.Add(1)
				cancel()
			}
		})
	}
	wg.Wait()
	return len(candidates), int(answered.Load())
}

// sleep waits and reports whether ctx has not ended meanwhile.
func (d *Detector) sleep(ctx context.Context, wait time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-d.Clock.After(wait):
		return true
	}
}

// ask probes a target and returns its answer, or nil if there is none.
func (d *Detector) ask(ctx context.Context, c candidate) *httpsender.Answer {
	answer, err := c.target.Client().Probe(ctx, c.path)
	if err != nil {
		return nil
	}
	if d.OnAnswer != nil {
		d.OnAnswer(c.target, answer)
	}
	return answer
}

// ReachesTarget reports whether a target answers a probe of this daemon. An answer of another
// process at its address does not count, and a target that may get no requests is not asked.
func (d *Detector) ReachesTarget(ctx context.Context, target string) bool {
	ctx, cancel := clockwork.WithTimeout(ctx, d.Clock, probeTimeout)
	defer cancel()
	for _, p := range d.Catalogs.Catalog().Pools() {
		for _, r := range p.Replicas() {
			if r.ID() != target || r.Unavailable(d.Clock.Now()) {
				continue
			}
			answer := d.ask(ctx, candidate{
				target: r.Target,
				path:   p.ProbePath(),
			})
			return answer != nil && answer.Header.Get(d.ProcessHeader) == target
		}
	}
	return false
}

// pick returns up to n random targets, from as many data centres as possible.
func (d *Detector) pick(n int) []candidate {
	now := d.Clock.Now()
	byDataCentre := make(map[string][]candidate)
	for _, p := range d.Catalogs.Catalog().Pools() {
		for _, r := range p.Replicas() {
			if r.Unavailable(now) || r.Vanished() {
				continue
			}
			byDataCentre[r.DataCentre()] = append(byDataCentre[r.DataCentre()], candidate{
				target: r.Target,
				path:   p.ProbePath(),
			})
		}
	}
	names := slices.Sorted(maps.Keys(byDataCentre))
	for _, name := range names {
		list := byDataCentre[name]
		rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	}
	var out []candidate
	for i := 0; len(out) < n; i++ {
		before := len(out)
		for _, name := range names {
			if i < len(byDataCentre[name]) && len(out) < n {
				out = append(out, byDataCentre[name][i])
			}
		}
		if len(out) == before {
			break
		}
	}
	return out
}
